// Package schedule makes the scheduling decisions for one fleet: in which order pending jobs start, on which backend
// server a task runs, which VMs change pools, which VMs go into maintenance next, and how fast best-effort tasks may
// work.
//
// Every decision is a pure function. It takes a snapshot of jobs, servers or pools together with the current time, and
// returns a plan. It uses no clock, network or store. The caller carries out the plan.
package schedule

import (
	"cmp"
	"math"
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
	// Remaining is the estimated duration of the longest chain of steps that aren't done, less the time that its tasks have
	// run.
	Remaining time.Duration
	// Work is the remaining work of the job in server-seconds, less the work that running tasks have done.
	Work float64
	// Started marks a job of which a task has started. What it has done is wasted if the job isn't finished in time.
	Started bool
	// Customer is the job's customer, and Weight the customer's share of the pool while the capacity doesn't suffice, relative to
	// those of the other customers. Jobs without a weight have 0 and share one.
	Customer string
	Weight   float64
	// BeyondWeight marks a job that its customer submitted beyond the customer's weight. It goes behind jobs that are
	// within the weight of theirs and can still meet their hard deadline.
	BeyondWeight bool

	class       priorityClass
	latestStart time.Time // for the deadline that selectFeasible checked last
}

// Capacity is the capacity of a pool for jobs.
type Capacity struct {
	// Servers is the number of servers, which is the work in server-seconds that the pool does in one second. Joining is the
	// number of servers that join the pool within moveDuration.
	Servers, Joining float64
}

// until returns the work that the pool does in the given time.
func (c Capacity) until(d time.Duration) float64 {
	return c.Servers*d.Seconds() + c.Joining*max((d-moveDuration/2).Seconds(), 0)
}

// hardDeadlineFactor times the objective is the hard deadline of a job. By the users' rules a job that ends later has
// no benefit.
const hardDeadlineFactor = 3

const (
	// expiringLead is how long before its latest possible start a late job overtakes jobs that can meet their objective.
	// Estimates are off by up to half, and a start takes a commit and a request to the server.
	expiringLead = 1500 * time.Millisecond
	// expiringShare bounds the work of overtaking jobs, as a share of what a pool does in one second, and costlyShare the work of
	// those that make other jobs late. A late job has 7% of the benefit of one in time, so a larger share of these costs customers
	// more than it saves.
	expiringShare = 0.2
	costlyShare   = 0.05
	// maxOverdue is how long after its hard deadline a job may be pending before it goes first, within overdueShare.
	// It bounds the wait of accepted jobs while demand exceeds the capacity for long.
	maxOverdue   = 10 * time.Second
	overdueShare = 0.05
	// startDelay is the time from the decision on a run until it starts: a commit and a request to the server.
	startDelay = 100 * time.Millisecond
	// overrunShare is the expected excess of a job's duration over its estimate, as the longest of several tasks counts.
	overrunShare = 0.1
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
	classLongRunning  priorityClass = iota
	classOverdue                    // pending for longer than maxOverdue after the hard deadline
	classExpiring                   // late, and about to miss the hard deadline
	classOnTime                     // selected to meet its objective
	classLate                       // selected to meet its hard deadline
	classBeyondWeight               // submitted beyond the weight of its customer
	classUnselected                 // can't meet its hard deadline, or the pool lacks the capacity
)

// SortCandidates sorts candidates into the order in which their tasks start.
//
// In a burst each queue in turn submits about five times its mean rate for some seconds, which is more than its pool
// can run. In order of arrival, every job of the second half of the burst would be late. SortCandidates therefore
// selects the largest set of jobs that can meet their objective together (the Moore-Hodgson algorithm): it adds jobs by
// latest start, and whenever one would miss its deadline it drops a selected job that hasn't started: the one with the most work
// of the customer that then still has the most selected work for its weight. It then selects from the rest those that can meet
// their hard deadline.
//
// Jobs that have started aren't dropped: at four times the capacity more than half of the jobs that had started in time were
// overtaken between two of their tasks, and two thirds of the capacity went to jobs that ended late.
//
// Late jobs that are about to miss their hard deadline go first, within a share of the capacity that is small if it makes other
// jobs late, and so do jobs that have been pending for long.
func SortCandidates(candidates []Candidate, capacity Capacity, now time.Time) {
	for i := range candidates {
		candidates[i].class = initialClass(&candidates[i])
	}
	used := selectOverdue(candidates, overdueShare*capacity.Servers, now)
	used, unused := selectFeasible(candidates, classOnTime, 1, used, capacity, now)
	expiring := max(min(unused, expiringShare*capacity.Servers), costlyShare*capacity.Servers)
	used += selectExpiring(candidates, expiring, now)
	_, _ = selectFeasible(candidates, classLate, hardDeadlineFactor, used, capacity, now)
	slices.SortFunc(candidates, func(a, b Candidate) int { return compare(&a, &b) })
}

func initialClass(c *Candidate) priorityClass {
	switch {
	case c.LongRunning:
		return classLongRunning
	case c.BeyondWeight:
		return classBeyondWeight
	}
	return classUnselected
}

// selectOverdue selects the jobs that have been pending for too long after their hard deadline, the oldest first, up to the
// given work in server-seconds. The oldest one is selected whatever its work. It returns their total work.
func selectOverdue(candidates []Candidate, maxWork float64, now time.Time) float64 {
	var overdue []*Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.class != classLongRunning && now.Sub(c.Submitted) > hardDeadlineFactor*c.Objective+maxOverdue {
			overdue = append(overdue, c)
		}
	}
	slices.SortFunc(overdue, func(a, b *Candidate) int { return a.Submitted.Compare(b.Submitted) })
	used := 0.0
	for i, c := range overdue {
		if i > 0 && used+c.Work > maxWork {
			break
		}
		c.class = classOverdue
		used += c.Work
	}
	return used
}

// selectExpiring selects the late jobs that have to start soon to meet their hard deadline, those with the least work
// first, up to the given work in server-seconds. It returns their total work.
func selectExpiring(candidates []Candidate, maxWork float64, now time.Time) float64 {
	var expiring []*Candidate
	for i := range candidates {
		c := &candidates[i]
		hardDeadline := c.Submitted.Add(hardDeadlineFactor * c.Objective)
		if c.class == classUnselected && Outlook(c.Submitted, c.Objective, c.Remaining, now) == Late &&
			now.Add(c.Remaining+expiringLead).After(hardDeadline) {
			expiring = append(expiring, c)
		}
	}
	slices.SortFunc(expiring, func(a, b *Candidate) int { return cmp.Compare(a.Work, b.Work) })
	used := 0.0
	for _, c := range expiring {
		if used+c.Work > maxWork {
			break
		}
		c.class = classExpiring
		used += c.Work
	}
	return used
}

// selectFeasible selects unselected candidates that can end together within factor times their objective, and gives
// them a class. Used is the work, in server-seconds, that is selected before them. It returns the work selected afterwards, and how
// much more work can go first without making one of them miss its deadline.
//
// Jobs that can all run at once are feasible. Otherwise the last jobs to end before a deadline share the capacity with jobs that
// end later, as a job runs no faster than its longest chain of steps. The work until half of the chain before the deadline has
// to fit then.
func selectFeasible(
	candidates []Candidate, to priorityClass, factor float64, used float64, capacity Capacity, now time.Time,
) (work, unused float64) {
	var feasible []*Candidate
	for i := range candidates {
		c := &candidates[i]
		c.latestStart = c.Submitted.Add(time.Duration(factor*float64(c.Objective)) - c.Remaining - c.startMargin())
		if c.class == classUnselected && !now.After(c.latestStart) {
			feasible = append(feasible, c)
		}
	}
	slices.SortFunc(feasible, func(a, b *Candidate) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.latestStart.Compare(b.latestStart)
	})
	var selected selection
	servers := 0.0
	unused = math.Inf(1)
	for _, c := range feasible {
		c.class = to
		used += c.Work
		servers += c.servers()
		selected.add(c)
		fits := capacity.until(c.latestStart.Add(c.Remaining / 2).Sub(now))
		for servers > capacity.Servers && used > fits {
			dropped := selected.drop()
			if dropped == nil {
				break
			}
			dropped.class = classUnselected
			used -= dropped.Work
			servers -= dropped.servers()
		}
		if servers > capacity.Servers {
			unused = min(unused, fits-used)
		}
	}
	return used, unused
}

// servers returns the mean number of servers that the job uses while it runs.
func (c *Candidate) servers() float64 {
	return c.Work / max(c.Remaining.Seconds(), startDelay.Seconds())
}

// startMargin returns the time for which a job has to start earlier than its estimate says to end in time.
func (c *Candidate) startMargin() time.Duration {
	if c.Started {
		return 0
	}
	return startDelay + time.Duration(overrunShare*float64(c.Remaining))
}

// compare orders candidates by class, priority and latest start. It is negative if a goes first.
func compare(a, b *Candidate) int {
	if a.class != b.class {
		return int(a.class) - int(b.class)
	}
	if a.Priority != b.Priority {
		return a.Priority - b.Priority
	}
	if x, y := a.objectiveStart(), b.objectiveStart(); !x.Equal(y) {
		return x.Compare(y)
	}
	return strings.Compare(a.ID, b.ID)
}

// objectiveStart is the latest time at which the rest of the job can start and still meet the objective.
func (c *Candidate) objectiveStart() time.Time { return c.Submitted.Add(c.Objective - c.Remaining) }
