package dispatch

import (
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// startWork starts as much waiting work as limits, slices, leases and room allow.
func (s *State) startWork() {
	if !s.mayStartHere() {
		return
	}
	picks := 0
	for _, pool := range s.Queue.Pools() {
		for picks < maxPicks && s.pickOne(pool) {
			picks++
		}
	}
}

// mayStartHere reports whether this entry VM may start anything: its configuration is current and its availability
// zone is in service.
func (s *State) mayStartHere() bool {
	return s.Grant.Fresh(s.now) && !s.config.Zone(s.Zone).Out()
}

func (s *State) pickOne(pool string) bool {
	if s.Chooser.FreeSlots(pool) == 0 {
		return false
	}
	_, ok := s.Queue.Pick(pool, s.now, func(q queue.Request) bool { return s.tryStart(q) })
	return ok
}

// tryStart starts a request if it can. It returns true if the request must leave the queue.
func (s *State) tryStart(q queue.Request) bool {
	w, ok := s.works[q.ID()]
	if !ok || w.phase != phaseQueued {
		return true
	}
	if refusal := s.forbidden(w); refusal != nil {
		w.phase = phaseRefusing
		s.refuse(w, *refusal)
		return true
	}
	if !s.reserve(w) {
		return false
	}
	if w.idempotent {
		s.run(w)
		return true
	}
	s.claimStart(w)
	return true
}

// forbidden returns why the configuration no longer allows the request, nil if it does.
func (s *State) forbidden(w *work) *NotRun {
	refuse := func(code, message string) *NotRun {
		n := NewNotRun(code, message, 0)
		return &n
	}
	entry, ok := s.config.Catalogue().Entry(w.request.entry)
	if !ok {
		return refuse(CodeUnknownEntry, "the entry was removed")
	}
	if !entry.Admits(w.request.team) {
		return refuse(CodeTeamNotAllowed, "the team may no longer use the entry")
	}
	key, ok := s.config.Key(w.request.key)
	if !ok || key.Revoked() {
		return refuse(CodeRevokedKey, "the key was revoked")
	}
	return nil
}

// reserve takes a slot of the team's slice and a place on a backend server.
func (s *State) reserve(w *work) bool {
	if s.Ledger.AllowedStarts(w.request.team) <= 0 {
		return false
	}
	server, o := s.Chooser.SelectServer(w.pool, w.request.entry, w.shape, queueClass(w.class), s.now)
	if _, ok := o.(placement.Selected); !ok {
		return false
	}
	epoch, ok := s.Owners.MayStart(server, s.now)
	if !ok || !s.Ledger.TryStart(w.request.team) {
		return false
	}
	w.server, w.epoch = server, epoch
	s.Chooser.Reserve(w.server, taskKey(w.id(), w.attempt), w.shape)
	return true
}

// mayStartOn reports whether the configuration, the VM list and the lease allow the work to start on its backend server
// now. A choice made earlier may be out of date.
func (s *State) mayStartOn(w *work) bool {
	_, ok := s.Owners.MayStart(w.server, s.now)
	return ok && s.mayStartHere() && s.forbidden(w) == nil && s.usable(w.server) && s.poolOf(w.server) == w.pool
}

// unreserve gives back what reserve took for an attempt that was never sent.
func (s *State) unreserve(w *work) {
	s.Chooser.Release(w.server, taskKey(w.id(), w.attempt))
	s.Ledger.TaskEnded(w.request.team)
}

// run sends the attempt to its backend server.
func (s *State) run(w *work) {
	w.phase, w.sentEpoch = phaseRunning, w.epoch
	w.ranBefore, w.started = w.started, true
	s.begin(w)
	s.describe(w)
	s.count("started")
	s.send(w, false)
}

// send emits the Run. A repeated Run joins the attempt already running.
func (s *State) send(w *work, again bool) {
	r := Run{
		server: w.server, epoch: w.epoch, deadline: w.request.deadline,
		task: provider.NewTask(w.id(), w.attempt, w.request.entry, w.request.team, w.shape, w.request.payload),
	}
	if again {
		r.delay = rejoinDelay
	}
	s.emit(r)
}

// requeue puts work back whose attempt was certainly not started.
func (s *State) requeue(w *work) {
	w.server, w.epoch, w.resends = "", 0, 0
	if w.cancelled {
		w.phase = phaseRefusing
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		return
	}
	if w.isCall() && w.expired(s.now) {
		w.phase = phaseRefusing
		s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before the request started", 0))
		return
	}
	w.phase = phaseQueued
	s.Queue.Requeue(s.queueRequest(w), s.now)
}
