// Package schedule holds the decisions about waiting work: its order, where it is placed, and which backend servers are
// left out. They are functions of what they are given, without clock, network or store.
package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"
)

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
	// Submitted is when the job arrived, Objective how long it may take from then on.
	Submitted time.Time
	Objective time.Duration
	// Remaining is the expected duration of the longest chain of work that is left.
	Remaining time.Duration
	// Work is what is left of the job, in seconds of a whole server.
	Work float64

	class    class
	deadline time.Time
}

// lateFactor times the objective is when a job's benefit ends, by the users' rules.
const lateFactor = 3

const (
	// rescueLead is how long before its last possible start a late job goes before jobs that can be in time: estimates
	// are off by half, and a start takes a commit and an order.
	rescueLead = 1500 * time.Millisecond
	// rescueShare bounds the part of a second of a pool's work that such jobs take, so that late jobs don't make others
	// late in turn.
	rescueShare = 0.2
)

// class of a candidate. Lower goes first.
type class int

const (
	classLasting class = iota
	classRescue        // is late, and soon can't have any benefit
	classInTime        // can be in time
	classLate          // can have some benefit
	classOver
)

// Order sorts candidates into the order in which their tasks are placed. Room is the work that the pool does in a
// second, in the unit of Candidate.Work: the number of its servers.
//
// It chooses as many jobs as can be in time together, then as many of the others as can have some benefit: in the order
// of their deadlines, and whenever one would miss its own, the largest chosen one gives way. Late jobs that would soon
// be in vain go first, within a share of the room: callers lose more by work that isn't served at all.
func Order(candidates []Candidate, room float64, now time.Time) {
	for i := range candidates {
		candidates[i].class = startClass(&candidates[i])
	}
	used := rescue(candidates, room, now)
	used = choose(candidates, classInTime, 1, used, room, now)
	choose(candidates, classLate, lateFactor, used, room, now)
	slices.SortFunc(candidates, func(a, b Candidate) int { return compare(&a, &b) })
}

func startClass(c *Candidate) class {
	if c.Lasting {
		return classLasting
	}
	return classOver
}

// rescue chooses the late jobs that have to start soon to have some benefit, the smallest first, and returns their work.
func rescue(candidates []Candidate, room float64, now time.Time) float64 {
	var soon []*Candidate
	for i := range candidates {
		c := &candidates[i]
		end := now.Add(c.Remaining)
		last := c.Submitted.Add(lateFactor * c.Objective)
		if c.class == classOver && end.After(c.Submitted.Add(c.Objective)) && !end.After(last) && end.Add(rescueLead).After(last) {
			soon = append(soon, c)
		}
	}
	slices.SortFunc(soon, func(a, b *Candidate) int { return cmp.Compare(a.Work, b.Work) })
	used := 0.0
	for _, c := range soon {
		if used+c.Work > rescueShare*room {
			break
		}
		c.class = classRescue
		used += c.Work
	}
	return used
}

// choose gives a class to the candidates that can end within factor times their objective, after work of which so much
// is used already, and returns the work that is used then.
func choose(candidates []Candidate, to class, factor float64, used, room float64, now time.Time) float64 {
	var waiting []*Candidate
	for i := range candidates {
		c := &candidates[i]
		c.deadline = c.Submitted.Add(time.Duration(factor * float64(c.Objective)))
		if c.class == classOver && !now.Add(c.Remaining).After(c.deadline) {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *Candidate) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.deadline.Compare(b.deadline)
	})
	var chosen largestFirst
	for _, c := range waiting {
		c.class = to
		used += c.Work
		heap.Push(&chosen, c)
		for used > room*c.deadline.Sub(now).Seconds() && len(chosen) > 0 {
			dropped := heap.Pop(&chosen).(*Candidate)
			dropped.class = classOver
			used -= dropped.Work
		}
	}
	return used
}

// largestFirst is a heap of candidates, the one with the most work first.
type largestFirst []*Candidate

func (h largestFirst) Len() int           { return len(h) }
func (h largestFirst) Less(a, b int) bool { return h[a].Work > h[b].Work }
func (h largestFirst) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *largestFirst) Push(x any) { *h = append(*h, x.(*Candidate)) }

// Pop implements heap.Interface.
func (h *largestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// compare orders candidates by class, priority and urgency. It is negative if a goes first.
func compare(a, b *Candidate) int {
	if a.class != b.class {
		return int(a.class) - int(b.class)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if x, y := a.latestStart(), b.latestStart(); !x.Equal(y) {
		return x.Compare(y)
	}
	return strings.Compare(a.ID, b.ID)
}

// latestStart is when the rest of the job has to start to be in time.
func (c *Candidate) latestStart() time.Time { return c.Submitted.Add(c.Objective - c.Remaining) }
