// Package schedule makes the scheduling decisions for one fleet: in which order pending jobs start, on which backend
// server a task runs, which VMs change pools, which VMs go into maintenance next, and how fast best-effort tasks may
// work.
//
// Every decision is a pure function. It takes a snapshot of jobs, servers or pools together with the current time, and
// returns a plan. It uses no clock, network or store. The caller carries out the plan.
package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"
)

// Candidate is a job with pending tasks.
type Candidate struct {
	ID string
	// LongRunning marks a long-running job, which runs until it is cancelled. Such jobs go first.
	LongRunning bool
	// Priority is the priority of the job's queue. 0 goes first.
	Priority int
	// Submitted is when the customer submitted the job. The job meets its objective if it ends within
	// Objective after that.
	Submitted time.Time
	Objective time.Duration
	// Remaining is the estimated duration of the longest chain of steps that aren't done.
	Remaining time.Duration
	// Work is the remaining work of the job in server-seconds.
	Work float64

	class    priorityClass
	deadline time.Time // the deadline that selectFeasible checked last
}

// hardDeadlineFactor times the objective is the hard deadline of a job. By the users' rules a job that ends later has
// no benefit.
const hardDeadlineFactor = 3

const (
	// expiringLead is how long before its latest possible start a late job overtakes jobs that can meet their objective.
	// Estimates are off by up to half, and a start takes a commit and a request to the server.
	expiringLead = 1500 * time.Millisecond
	// expiringShare bounds the work of overtaking jobs, as a share of what a pool does in one second. A larger share would
	// make other jobs late.
	expiringShare = 0.2
)

// JobOutlook is what a job can still meet.
type JobOutlook int

// Outlooks of a job.
const (
	OnTime  JobOutlook = iota // its objective
	Late                      // its hard deadline
	Expired                   // neither
)

// Outlook returns what a job can still meet if nothing delays its remaining steps.
func Outlook(submitted time.Time, objective, remaining time.Duration, now time.Time) JobOutlook {
	switch end := now.Add(remaining); {
	case !end.After(submitted.Add(objective)):
		return OnTime
	case !end.After(submitted.Add(hardDeadlineFactor * objective)):
		return Late
	}
	return Expired
}

// priorityClass is the first sort key of candidates. Lower goes first.
type priorityClass int

const (
	classLongRunning priorityClass = iota
	classExpiring                  // late, and about to miss the hard deadline
	classOnTime                    // selected to meet its objective
	classLate                      // selected to meet its hard deadline
	classUnselected                // can't meet its hard deadline, or the pool lacks the capacity
)

// SortCandidates sorts candidates into the order in which their tasks start. Capacity is the number of servers in the
// pool, which is the work in server-seconds that the pool does in one second.
//
// In a burst each queue in turn submits about five times its mean rate for some seconds, which is more than its pool
// can run. In order of arrival, every job of the second half of the burst would be late. SortCandidates therefore
// selects the largest set of jobs that can meet their objective together (the Moore-Hodgson algorithm): it adds jobs by
// deadline, and whenever one would miss its deadline it drops the selected job with the most work. It then selects from
// the rest those that can meet their hard deadline.
//
// Late jobs that are about to miss their hard deadline go first, within a share of the capacity, because customers
// lose more by a job that ends after its hard deadline than by one that only misses its objective.
func SortCandidates(candidates []Candidate, capacity float64, now time.Time) {
	for i := range candidates {
		candidates[i].class = initialClass(&candidates[i])
	}
	used := selectExpiring(candidates, capacity, now)
	used = selectFeasible(candidates, classOnTime, 1, used, capacity, now)
	selectFeasible(candidates, classLate, hardDeadlineFactor, used, capacity, now)
	slices.SortFunc(candidates, func(a, b Candidate) int { return compare(&a, &b) })
}

func initialClass(c *Candidate) priorityClass {
	if c.LongRunning {
		return classLongRunning
	}
	return classUnselected
}

// selectExpiring selects the late jobs that have to start soon to meet their hard deadline, those with the least work
// first, and returns their total work in server-seconds.
func selectExpiring(candidates []Candidate, capacity float64, now time.Time) float64 {
	var expiring []*Candidate
	for i := range candidates {
		c := &candidates[i]
		end := now.Add(c.Remaining)
		hardDeadline := c.Submitted.Add(hardDeadlineFactor * c.Objective)
		if c.class == classUnselected && end.After(c.Submitted.Add(c.Objective)) && !end.After(hardDeadline) &&
			end.Add(expiringLead).After(hardDeadline) {
			expiring = append(expiring, c)
		}
	}
	slices.SortFunc(expiring, func(a, b *Candidate) int { return cmp.Compare(a.Work, b.Work) })
	used := 0.0
	for _, c := range expiring {
		if used+c.Work > expiringShare*capacity {
			break
		}
		c.class = classExpiring
		used += c.Work
	}
	return used
}

// selectFeasible selects unselected candidates that can end together within factor times their objective, and gives
// them a class. Used is the work, in server-seconds, that is selected before them. It returns the work selected
// afterwards.
func selectFeasible(
	candidates []Candidate, to priorityClass, factor float64, used, capacity float64, now time.Time,
) float64 {
	var feasible []*Candidate
	for i := range candidates {
		c := &candidates[i]
		c.deadline = c.Submitted.Add(time.Duration(factor * float64(c.Objective)))
		if c.class == classUnselected && !now.Add(c.Remaining).After(c.deadline) {
			feasible = append(feasible, c)
		}
	}
	slices.SortFunc(feasible, func(a, b *Candidate) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.deadline.Compare(b.deadline)
	})
	var selected maxWorkHeap
	for _, c := range feasible {
		c.class = to
		used += c.Work
		heap.Push(&selected, c)
		for used > capacity*c.deadline.Sub(now).Seconds() && len(selected) > 0 {
			dropped := heap.Pop(&selected).(*Candidate)
			dropped.class = classUnselected
			used -= dropped.Work
		}
	}
	return used
}

// maxWorkHeap is a heap of candidates with the most work on top.
type maxWorkHeap []*Candidate

func (h maxWorkHeap) Len() int           { return len(h) }
func (h maxWorkHeap) Less(a, b int) bool { return h[a].Work > h[b].Work }
func (h maxWorkHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *maxWorkHeap) Push(x any) { *h = append(*h, x.(*Candidate)) }

// Pop implements heap.Interface.
func (h *maxWorkHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// compare orders candidates by class, priority and latest start. It is negative if a goes first.
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

// latestStart is the latest time at which the rest of the job can start and still meet the objective.
func (c *Candidate) latestStart() time.Time { return c.Submitted.Add(c.Objective - c.Remaining) }
