package dispatch

import (
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// startWork starts as much queued work as limits, slices, leases and free capacity allow, at most maxStartsPerEvent
// requests.
func (s *State) startWork() {
	if !s.mayStartHere() {
		return
	}
	picks := 0
	for _, pool := range s.Queue.Pools() {
		for picks < maxStartsPerEvent && s.startNext(pool) {
			picks++
		}
	}
}

// mayStartHere reports whether this entry VM may start new work: its configuration is fresh and its availability zone
// is in service.
func (s *State) mayStartHere() bool {
	return s.FreshnessLease.Fresh(s.now) && !s.config.Zone(s.Zone).OutOfService()
}

func (s *State) startNext(pool string) bool {
	if s.Placer.FreeSlots(pool) == 0 {
		return false
	}
	_, ok := s.Queue.Pick(pool, s.now, func(q queue.Request) bool { return s.tryStart(q) })
	return ok
}

// tryStart starts or refuses a queued request. It returns false if the request must stay in the queue.
func (s *State) tryStart(q queue.Request) bool {
	w, ok := s.workItems[q.ID()]
	if !ok || w.phase != phaseQueued {
		return true
	}
	if refusal := s.configurationRefusal(w); refusal != nil {
		w.phase = phaseFinishing
		s.refuse(w, *refusal)
		return true
	}
	if !s.reserve(w) {
		return false
	}
	if w.idempotent {
		s.startAttempt(w)
		return true
	}
	s.claimAttempt(w)
	return true
}

// configurationRefusal returns the refusal of a request that the configuration no longer allows, nil if it is allowed.
func (s *State) configurationRefusal(w *workItem) *NotRun {
	refuse := func(code, message string) *NotRun {
		n := NewNotRun(code, message, 0)
		return &n
	}
	entry, ok := s.config.Catalogue().Entry(w.request.entry)
	if !ok {
		return refuse(CodeUnknownEntry, "the catalogue entry was removed")
	}
	if !entry.Admits(w.request.team) {
		return refuse(CodeTeamNotAllowed, "the team may no longer use the entry")
	}
	key, ok := s.config.Key(w.request.keyID)
	if !ok || key.Revoked() {
		return refuse(CodeRevokedKey, "the key was revoked")
	}
	return nil
}

// reserve takes a slot of the team's slice and reserves capacity on a backend server. It returns false if there is
// none.
func (s *State) reserve(w *workItem) bool {
	if s.Ledger.AllowedStarts(w.request.team) <= 0 {
		return false
	}
	server, o := s.Placer.SelectServer(w.pool, w.request.entry, w.shape, queueClass(w.class), s.now)
	if _, ok := o.(placement.Selected); !ok {
		return false
	}
	epoch, ok := s.Ownership.MayStart(server, s.now)
	if !ok || !s.Ledger.TryStart(w.request.team) {
		return false
	}
	w.server, w.epoch = server, epoch
	s.Placer.Reserve(w.server, reservationKey(w.id(), w.attempt), w.shape)
	return true
}

// mayStartOn reports whether the configuration, the VM list and the lease still allow the work to start on its backend
// server. They may have changed since the server was chosen.
func (s *State) mayStartOn(w *workItem) bool {
	_, ok := s.Ownership.MayStart(w.server, s.now)
	return ok && s.mayStartHere() && s.configurationRefusal(w) == nil &&
		s.usable(w.server) && s.poolOf(w.server) == w.pool
}

// releaseReservation releases the slot and the capacity that reserve took for an attempt that was never sent.
func (s *State) releaseReservation(w *workItem) {
	s.Placer.Release(w.server, reservationKey(w.id(), w.attempt))
	s.Ledger.TaskEnded(w.request.team)
}

// startAttempt sends the attempt to its backend server.
func (s *State) startAttempt(w *workItem) {
	w.phase, w.sentEpoch = phaseRunning, w.epoch
	w.ranBefore, w.started = w.started, true
	s.beginRun(w)
	s.setPreemptionInfo(w)
	s.count("started")
	s.send(w, false)
}

// send emits a Run for the current attempt. A resent Run is delayed by resendDelay; it attaches to the attempt if that
// is running already.
func (s *State) send(w *workItem, resend bool) {
	r := Run{
		server: w.server, epoch: w.epoch, deadline: w.request.deadline,
		task: provider.NewTask(w.id(), w.attempt, w.request.entry, w.request.team, w.shape, w.request.payload),
	}
	if resend {
		r.delay = resendDelay
	}
	s.emit(r)
}

// requeue queues work again whose attempt certainly wasn't started.
func (s *State) requeue(w *workItem) {
	w.server, w.epoch, w.resends = "", 0, 0
	if w.cancelled {
		w.phase = phaseFinishing
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		return
	}
	if w.isCall() && w.expired(s.now) {
		w.phase = phaseFinishing
		s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before the request started", 0))
		return
	}
	w.phase = phaseQueued
	s.Queue.Requeue(s.queueRequest(w), s.now)
}
