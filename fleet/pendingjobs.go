package fleet

import (
	"encoding/json"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// pendingJobs holds the numbers of pending jobs by queue, and which of them have to be stored.
type pendingJobs struct {
	counts    map[string]int
	stored    map[string]int
	due       []string // queues whose number has to be stored, the one that waits longest first
	isDue     map[string]bool
	countedAt time.Time
}

func newPendingJobs() pendingJobs {
	return pendingJobs{stored: make(map[string]int), isDue: make(map[string]bool)}
}

// setDue adds a queue to those whose number has to be stored.
func (p *pendingJobs) setDue(queue string) {
	if !p.isDue[queue] {
		p.isDue[queue] = true
		p.due = append(p.due, queue)
	}
}

// isStored reports whether the row of a queue holds its present number.
func (p *pendingJobs) isStored(queue string) bool {
	n, stored := p.stored[queue]
	return stored && n == p.counts[queue]
}

// countPendingJobs counts the pending jobs of each queue. Until a new controller knows all jobs, the rows of the previous one
// stay.
func (s *State) countPendingJobs(now time.Time) {
	p := &s.pending
	if !s.jobsRead || now.Sub(p.countedAt) < statusInterval {
		return
	}
	p.countedAt, p.counts = now, make(map[string]int)
	total := 0
	for _, j := range s.jobs {
		if !j.begun && !j.state.Final() {
			p.counts[j.spec.Queue()]++
			total++
		}
	}
	s.counters.pending.Update(float64(total))
	for queue := range p.stored {
		p.counts[queue] += 0
	}
	for queue := range p.counts {
		if !p.isStored(queue) {
			p.setDue(queue)
		}
	}
}

// addPendingJobs adds the numbers of pending jobs that have to be stored to a commit.
func (s *State) addPendingJobs(c *commit, now time.Time) {
	s.countPendingJobs(now)
	p := &s.pending
	left := p.due[:0]
	for _, queue := range p.due {
		if !p.isStored(queue) {
			n := p.counts[queue]
			data, err := json.Marshal(map[string]int{"jobs": n})
			if err != nil {
				panic(err) // a map of numbers can always be encoded
			}
			if !s.add(c, pendingPart{queue: queue, jobs: n}, provider.NewPut(PendingJobsPrefix+queue, data)) {
				left = append(left, queue)
				continue
			}
		}
		delete(p.isDue, queue)
	}
	p.due = left
}

// DecodePendingJobs decodes the row with the number of pending jobs of a queue.
func DecodePendingJobs(row provider.Row) (int, error) {
	var w map[string]int
	err := json.Unmarshal(row.Value(), &w)
	return w["jobs"], err
}
