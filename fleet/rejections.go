package fleet

import (
	"bytes"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// rejections finds and holds the rows that the store rejects for their content. After it rejected a commit with several rows, commits
// hold either no row of that commit, or only such rows and fewer of them each time, until one with a single row is rejected.
type rejections struct {
	suspects map[string]bool // keys of the rows of rejected commits of several rows
	limit    int             // of the suspects in one commit
	last     bool            // the last commit held suspects only
	held     map[string]heldRow
}

// heldRow is a row other than a job's that the store rejected. It isn't sent again unchanged, and not before a time.
type heldRow struct {
	value []byte
	until time.Time
}

func newRejections() rejections {
	return rejections{suspects: make(map[string]bool), held: make(map[string]heldRow)}
}

// excludes reports whether a row may not be in a commit that holds the given number of rows.
func (r *rejections) excludes(key string, suspectsOnly bool, rows int) bool {
	if len(r.suspects) == 0 {
		return false
	}
	return r.suspects[key] != suspectsOnly || (suspectsOnly && rows >= r.limit)
}

// holds reports whether a row may not be sent because the store rejected it.
func (r *rejections) holds(w provider.Write, now time.Time) bool {
	h, held := r.held[w.Key()]
	return held && (now.Before(h.until) || bytes.Equal(h.value, w.Value()))
}

// stored records that the store accepted the rows of a commit.
func (r *rejections) stored(parts []committedPart) {
	for _, p := range parts {
		delete(r.suspects, p.key)
		delete(r.held, p.key)
	}
	r.limit *= 2
}

// commitRejected searches for the row that the store rejects. If it is that of a job, the runs of this job that aren't stored are
// given up, and it gets no others for a while.
func (s *State) commitRejected(c *commit, reason string, now time.Time) {
	s.commitNotApplied(c, reason)
	klog.ErrorS(nil, "The store rejects a commit", "reason", reason, "rows", len(c.parts), "bytes", c.size.bytes)
	r := &s.rejections
	if len(c.parts) != 1 {
		for _, p := range c.parts {
			r.suspects[p.key] = true
		}
		r.limit = max(1, len(c.parts)/2)
		return
	}
	p := c.parts[0]
	delete(r.suspects, p.key)
	part, isJob := p.part.(jobPart)
	if !isJob {
		s.counters.rejected.Inc(1)
		r.held[p.key] = heldRow{value: p.value, until: now.Add(rejectedRowPause)}
		return
	}
	s.holdJob(part.job, p.value, now)
}

// holdJob gives up the runs of a job that aren't stored, and starts no others for a while: its row can't be stored.
func (s *State) holdJob(j *job, row []byte, now time.Time) {
	klog.ErrorS(nil, "The progress of a job can't be stored", "job", j.spec.ID(), "bytes", len(row), "unstored-runs", j.unstoredRuns)
	s.counters.rejected.Inc(1)
	j.rejectedRow, j.heldUntil = row, now.Add(rejectedRowPause)
	for _, a := range j.intents() {
		s.removeAttempt(a)
	}
}
