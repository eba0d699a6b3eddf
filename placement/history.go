package placement

import (
	"maps"
	"slices"
)

// result is how one task on a server ended.
type result struct {
	entry string
	ok    bool
}

// history holds the latest results of one server, oldest first.
type history []result

func (h history) with(r result) history {
	if len(h) >= outcomeWindow {
		h = h[1:]
	}
	return append(h, r)
}

// counts are the results of one entry.
type counts struct{ failed, total int }

func (h history) byEntry() map[string]counts {
	entries := make(map[string]counts)
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

// failing reports whether the failure rate is high and out of proportion to that of the peers on the same entries.
// Entries that no peer has run are left out, so that a broken entry isn't blamed on the only server that ran it, and so
// are entries that fail so often that no server could be out of proportion.
func (h history) failing(peers map[string]float64) bool {
	failed, total, expected := 0, 0, 0.0
	entries := h.byEntry()
	for _, e := range slices.Sorted(maps.Keys(entries)) {
		rate, ok := peers[e]
		if !ok || rate*maxFailureRatio >= 1 {
			continue
		}
		failed += entries[e].failed
		total += entries[e].total
		expected += rate * float64(entries[e].total)
	}
	if total < minOutcomes {
		return false
	}
	return float64(failed) > maxFailureRate*float64(total) && float64(failed) > maxFailureRatio*expected
}
