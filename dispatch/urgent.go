package dispatch

import (
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// makeRoom interrupts the cheapest running work of a lower class for urgent work that finds no room: one task for each
// urgent request that waits, less those that were told to end and haven't yet.
func (s *State) makeRoom() {
	if !s.mayStartHere() {
		return
	}
	for _, pool := range s.Queue.Pools() {
		waiting := s.Queue.WaitingCount(pool, queue.Urgent)
		if waiting == 0 {
			continue
		}
		w := s.urgentWaiting(pool)
		for missing := waiting - s.ending(pool); w != nil && missing > 0; missing-- {
			plan, ok := s.Chooser.PlanPreemption(pool, w.shape, queue.Urgent)
			if !ok {
				break
			}
			s.interrupt(plan)
		}
	}
}

// ending counts the tasks of a pool that were told to end and haven't yet.
func (s *State) ending(pool string) int {
	n := 0
	for k, r := range s.runs {
		if s.now.Sub(r.signalled) < signalPatience && r.lostAt.IsZero() && s.poolOf(k.server) == pool {
			n++
		}
	}
	return n
}

// urgentFits reports whether interruptions will make room for an urgent request in time. The start rate that admission
// goes by doesn't know of them.
func (s *State) urgentFits(w *work) bool {
	if w.class != catalogue.ClassUrgent || s.Queue.WaitingCount(w.pool, queue.Urgent) >= maxUrgentWaiting {
		return false
	}
	_, ok := s.Chooser.PlanPreemption(w.pool, w.shape, queue.Urgent)
	return ok
}

// urgentWaiting returns the first urgent request of a pool that only lacks room.
func (s *State) urgentWaiting(pool string) *work {
	var found *work
	s.Queue.Pick(pool, s.now, func(q queue.Request) bool {
		w, ok := s.works[q.ID()]
		if found == nil && ok && w.class == catalogue.ClassUrgent && s.Ledger.AllowedStarts(w.request.team) > 0 {
			found = w
		}
		return false
	})
	return found
}

func (s *State) interrupt(plan placement.Preemption) {
	epoch, held := s.Owners.Epoch(plan.Server())
	if !held {
		return
	}
	for _, v := range plan.Victims() {
		id, attempt := splitTaskKey(v.Key())
		r, ok := s.runs[runKey{server: plan.Server(), id: id, attempt: attempt}]
		if !ok {
			continue
		}
		if v.Signal() == provider.SignalThrottle {
			s.Chooser.MarkThrottled(plan.Server(), v.Key())
		} else if !r.signalled.IsZero() {
			continue
		}
		if v.Signal() != provider.SignalThrottle {
			r.signalled = s.now
		}
		// Without traits the task isn't chosen again while it ends.
		s.Chooser.SetPreemptionInfo(plan.Server(), v.Key(), placement.PreemptionInfo{})
		s.count("interruptions")
		s.emit(Signal{server: plan.Server(), epoch: epoch, id: id, attempt: attempt, signal: v.Signal()})
	}
}

// signalEnded notes that a signal didn't reach its task, so that it is sent again.
func (s *State) signalEnded(e SignalEnded) {
	switch e.outcome.(type) {
	case provider.Signalled, provider.NotRunning:
		return
	}
	r, ok := s.runs[runKey{server: e.server, id: e.id, attempt: e.attempt}]
	if !ok {
		return
	}
	r.signalled = zeroTime
	if w, held := s.works[e.id]; held && w.server == e.server && w.attempt == e.attempt {
		s.describe(w)
	}
}

// splitTaskKey is the inverse of taskKey.
func splitTaskKey(key string) (id string, attempt int) {
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

// describe tells the placement what may be done to the running attempt of a work.
func (s *State) describe(w *work) {
	entry, _ := s.config.Catalogue().Entry(w.request.entry)
	s.Chooser.SetPreemptionInfo(w.server, taskKey(w.id(), w.attempt),
		placement.NewPreemptionInfo(queueClass(w.class), w.idempotent, entry.Checkpoint(), s.now))
}
