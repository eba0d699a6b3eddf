package dispatch

import (
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// preemptForUrgent preempts the cheapest running work of lower classes for urgent requests that are queued for lack of
// capacity. It makes one preemption per queued urgent request, less the tasks that were signalled to stop and still run.
func (s *State) preemptForUrgent() {
	if !s.mayStartHere() {
		return
	}
	for _, pool := range s.Queue.Pools() {
		waiting := s.Queue.WaitingCount(pool, queue.ClassUrgent)
		if waiting == 0 {
			continue
		}
		w := s.firstUrgentWaiting(pool)
		for missing := waiting - s.stoppingTasks(pool); w != nil && missing > 0; missing-- {
			plan, ok := s.Placer.PlanPreemption(pool, w.shape, queue.ClassUrgent)
			if !ok {
				break
			}
			s.preempt(plan)
		}
	}
}

// stoppingTasks returns the number of tasks of a pool that were signalled to stop less than signalTimeout ago and still
// run.
func (s *State) stoppingTasks(pool string) int {
	n := 0
	for k, r := range s.runs {
		if s.now.Sub(r.stopSignalledAt) < signalTimeout && r.leaseLostAt.IsZero() && s.poolOf(k.server) == pool {
			n++
		}
	}
	return n
}

// canPreemptFor reports whether preemption can free capacity for an urgent request in time. Such a request bypasses the
// queue's admission, whose estimated start rate doesn't include preemption.
func (s *State) canPreemptFor(w *workItem) bool {
	if w.class != catalogue.ClassUrgent || s.Queue.WaitingCount(w.pool, queue.ClassUrgent) >= maxUrgentWaiting {
		return false
	}
	_, ok := s.Placer.PlanPreemption(w.pool, w.shape, queue.ClassUrgent)
	return ok
}

// firstUrgentWaiting returns the first queued urgent request of a pool whose team has a free slot, nil if there is
// none.
func (s *State) firstUrgentWaiting(pool string) *workItem {
	var found *workItem
	s.Queue.Pick(pool, s.now, func(q queue.Request) bool {
		w, ok := s.workItems[q.ID()]
		if found == nil && ok && w.class == catalogue.ClassUrgent && s.Ledger.AllowedStarts(w.request.team) > 0 {
			found = w
		}
		return false
	})
	return found
}

// preempt signals the tasks that a preemption selects.
func (s *State) preempt(plan placement.Preemption) {
	epoch, held := s.Ownership.Epoch(plan.Server())
	if !held {
		return
	}
	for _, v := range plan.Victims() {
		id, attempt := splitReservationKey(v.Key())
		r, ok := s.runs[runKey{server: plan.Server(), id: id, attempt: attempt}]
		if !ok {
			continue
		}
		if v.Signal() == provider.SignalThrottle {
			s.Placer.MarkThrottled(plan.Server(), v.Key())
		} else if !r.stopSignalledAt.IsZero() {
			continue
		}
		if v.Signal() != provider.SignalThrottle {
			r.stopSignalledAt = s.now
		}
		// A task without PreemptionInfo isn't selected for another preemption.
		s.Placer.SetPreemptionInfo(plan.Server(), v.Key(), placement.PreemptionInfo{})
		s.count("interruptions")
		s.emit(Signal{server: plan.Server(), epoch: epoch, id: id, attempt: attempt, signal: v.Signal()})
	}
}

// signalEnded handles the outcome of a signal. If the signal didn't reach its task, the task may be signalled again.
func (s *State) signalEnded(e SignalEnded) {
	switch e.outcome.(type) {
	case provider.Signalled, provider.NotRunning:
		return
	}
	r, ok := s.runs[runKey{server: e.server, id: e.id, attempt: e.attempt}]
	if !ok {
		return
	}
	r.stopSignalledAt = zeroTime
	if w, held := s.workItems[e.id]; held && w.server == e.server && w.attempt == e.attempt {
		s.describeTask(w)
	}
}

// splitReservationKey is the inverse of reservationKey.
func splitReservationKey(key string) (id string, attempt int) {
	i := strings.LastIndexByte(key, '#')
	if i < 0 {
		return key, 0
	}
	attempt, err := strconv.Atoi(key[i+1:])
	if err != nil {
		return key, 0
	}
	return key[:i], attempt
}

// describeTask sets the PreemptionInfo of the work's running attempt in the placement state: whether it may be
// preempted, and how.
func (s *State) describeTask(w *workItem) {
	entry, _ := s.config.Catalogue().Entry(w.request.entry)
	s.Placer.SetPreemptionInfo(w.server, reservationKey(w.id(), w.attempt),
		placement.NewPreemptionInfo(queueClass(w.class), w.idempotent, entry.Checkpointable(), s.now))
}
