package fleet

import (
	"math"
	"time"

	"k8s.io/klog/v2"
)

const (
	// backlogReserve is the share of MaxTasks that has to be free again before new jobs are accepted.
	backlogReserve = 0.1
	// backlogRateTime is the time constant of the mean rate at which tasks are done.
	backlogRateTime = 10 * time.Second
	minFullTime     = time.Second
	maxFullTime     = 30 * time.Second
)

// backlog tells whether the leader holds as many tasks as its memory allows.
type backlog struct {
	tasks     int
	done      int     // tasks done since updatedAt
	rate      float64 // mean of the tasks done in a second
	fullFor   time.Duration
	updatedAt time.Time
}

// FullFor returns after which time new jobs are expected to be accepted again, or 0 if they are accepted.
func (s *State) FullFor() time.Duration { return s.backlog.fullFor }

// updateBacklog counts the tasks of all jobs that haven't ended. From MaxTasks on new jobs are refused, until a part of it is free
// again. Jobs that were accepted before stay.
func (s *State) updateBacklog(now time.Time) {
	b := &s.backlog
	b.tasks = 0
	for _, j := range s.jobs {
		b.tasks += len(j.tasks)
	}
	if elapsed := now.Sub(b.updatedAt); !b.updatedAt.IsZero() && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/backlogRateTime.Seconds())
		b.rate += weight * (float64(b.done)/elapsed.Seconds() - b.rate)
	}
	b.done, b.updatedAt = 0, now
	s.counters.tasks.Update(float64(b.tasks))
	wasFull := b.fullFor > 0
	excess := float64(b.tasks) - (1-backlogReserve)*float64(s.MaxTasks)
	switch {
	case s.MaxTasks == 0 || excess <= 0 || (!wasFull && b.tasks < s.MaxTasks):
		b.fullFor = 0
	case b.rate*maxFullTime.Seconds() <= excess:
		b.fullFor = maxFullTime
	default:
		b.fullFor = max(minFullTime, time.Duration(excess/b.rate*float64(time.Second)))
	}
	if isFull := b.fullFor > 0; isFull != wasFull {
		klog.InfoS("Acceptance of new jobs changed", "accepted", !isFull, "tasks", b.tasks, "max-tasks", s.MaxTasks,
			"done-per-second", b.rate, "full-for", b.fullFor)
	}
}
