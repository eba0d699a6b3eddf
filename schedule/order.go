// Package schedule holds the decisions about waiting work: its order, where it is placed, and which backend servers are
// left out. They are functions of what they are given, without clock, network or store.
package schedule

import "time"

// Candidate is a job with tasks that wait.
//
// Load pattern: each queue in turn asks about five times its mean for some seconds, more than its pool can hold.
// Ordered by arrival, every job of the second half of the burst would be late. Here jobs that can't be in time any more
// give way to those that still can.
type Candidate struct {
	ID string
	// Lasting jobs run until they are cancelled, and go first.
	Lasting bool
	// Priority is the queue's, 0 first.
	Priority int
	// Surplus jobs are beyond what their customer is owed.
	Surplus bool
	// Submitted is when the job arrived, Objective how long it may take from then on.
	Submitted time.Time
	Objective time.Duration
	// Remaining is the expected duration of the longest chain of work that is left.
	Remaining time.Duration
	// Share is the dominant share that the customer has of the pool, divided by its weight.
	Share float64
}

// class sorts candidates coarsely. Lower goes first.
func (c Candidate) class(now time.Time) int {
	latest := c.Submitted.Add(c.Objective)
	switch {
	case c.Lasting:
		return 0
	case c.Surplus:
		return 4
	case !now.Add(c.Remaining).After(latest):
		return 1
	case !now.Add(c.Remaining).After(c.Submitted.Add(lateFactor * c.Objective)):
		return 2
	}
	return 3
}

// lateFactor times the objective is when a job's benefit ends, by the users' rules.
const lateFactor = 3

// Compare orders two candidates by class, priority and urgency. It is negative if a goes first.
func Compare(a, b Candidate, now time.Time) int {
	if x, y := a.class(now), b.class(now); x != y {
		return x - y
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if x, y := a.latestStart(), b.latestStart(); !x.Equal(y) {
		return x.Compare(y)
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// latestStart is when the rest of the job has to start to be in time.
func (c Candidate) latestStart() time.Time { return c.Submitted.Add(c.Objective - c.Remaining) }
