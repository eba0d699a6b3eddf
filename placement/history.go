package placement

import (
	"maps"
	"slices"
)

// taskResult is the result of one task of a catalogue entry on a server.
type taskResult struct {
	entry string
	ok    bool
}

// resultHistory holds the latest results of one server, oldest first, at most resultWindow.
type resultHistory []taskResult

func (h resultHistory) withResult(r taskResult) resultHistory {
	if len(h) >= resultWindow {
		h = h[1:]
	}
	return append(h, r)
}

// resultCounts counts the results of one catalogue entry.
type resultCounts struct{ failed, total int }

func (h resultHistory) countsByEntry() map[string]resultCounts {
	entries := make(map[string]resultCounts)
	for _, r := range h {
		c := entries[r.entry]
		c.total++
		if !r.ok {
			c.failed++
		}
		entries[r.entry] = c
	}
	return entries
}

// isOutlier reports whether more than half of the server's comparable tasks failed, and more than 3 times as many as
// expected from the failure rates of the same catalogue entries on other servers of the pool (peerRates, by entry
// name). With fewer than 5 comparable tasks it returns false.
//
// Entries that no other server has run are ignored, so that a faulty entry doesn't count against the only server that
// ran it. Entries that fail in a third or more of their tasks elsewhere are ignored too, because no failure rate could
// exceed 3 times theirs.
func (h resultHistory) isOutlier(peerRates map[string]float64) bool {
	failed, total, expected := 0, 0, 0.0
	entries := h.countsByEntry()
	for _, e := range slices.Sorted(maps.Keys(entries)) {
		rate, ok := peerRates[e]
		if !ok || rate*maxFailureRatio >= 1 {
			continue
		}
		failed += entries[e].failed
		total += entries[e].total
		expected += rate * float64(entries[e].total)
	}
	if total < minComparableResults {
		return false
	}
	return float64(failed) > maxFailureRate*float64(total) && float64(failed) > maxFailureRatio*expected
}
