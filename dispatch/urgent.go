package dispatch

import (
	"strconv"
	"strings"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/queue"
)

// makeRoom interrupts the cheapest running work of a lower class for urgent work that finds no room. One interruption
// is made for each pool and tick, so that the room it makes is used before the next.
func (s *State) makeRoom() {
	if !s.mayStartHere() {
		return
	}
	for _, pool := range s.Queue.Pools() {
		w := s.urgentWaiting(pool)
		if w == nil {
			continue
		}
		if plan, ok := s.Chooser.Victims(pool, w.shape, queue.Urgent); ok {
			s.interrupt(plan)
		}
	}
}

// urgentFits reports whether interruptions will make room for an urgent request in time. The start rate that admission
// goes by doesn't know of them.
func (s *State) urgentFits(w *work) bool {
	if w.class != catalogue.ClassUrgent || s.urgentQueued(w.pool) >= maxUrgentWaiting {
		return false
	}
	_, ok := s.Chooser.Victims(w.pool, w.shape, queue.Urgent)
	return ok
}

// urgentQueued counts the urgent requests that wait for a pool, up to maxUrgentWaiting.
func (s *State) urgentQueued(pool string) int {
	n := 0
	for _, w := range s.works {
		if w.phase == phaseQueued && w.class == catalogue.ClassUrgent && w.pool == pool {
			n++
		}
	}
	return n
}

// urgentWaiting returns the first urgent request of a pool that only lacks room.
func (s *State) urgentWaiting(pool string) *work {
	var found *work
	s.Queue.Pick(pool, s.now, func(q queue.Request) bool {
		w, ok := s.works[q.ID()]
		if found == nil && ok && w.class == catalogue.ClassUrgent && s.Ledger.Room(w.request.team) > 0 {
			found = w
		}
		return false
	})
	return found
}

func (s *State) interrupt(plan placement.Interruption) {
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
		if v.Signal() == platform.SignalThrottle {
			s.Chooser.Throttled(plan.Server(), v.Key())
		} else if r.signalled {
			continue
		}
		r.signalled = v.Signal() != platform.SignalThrottle
		s.count("interruptions")
		s.emit(Signal{server: plan.Server(), epoch: epoch, id: id, attempt: attempt, signal: v.Signal()})
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
	s.Chooser.Describe(w.server, taskKey(w.id(), w.attempt),
		placement.NewTraits(queueClass(w.class), w.idempotent, entry.Checkpoint(), s.now))
}
