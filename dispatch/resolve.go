package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// resolveClaim finds out about the attempt of a request that is repeated: the owner of its backend server closes the
// attempt if it never started, and otherwise waits for its answer.
func (s *State) resolveClaim(w *work, c claim.Claim, version uint64) {
	w.claim, w.claimVersion = c, version
	w.attempt, w.sentEpoch, w.started = c.Attempt(), c.Epoch(), true
	epoch, owned := s.Owners.Epoch(c.Server())
	if !owned {
		s.askOwner(w)
		return
	}
	if !provider.SameProcess(c.Epoch(), epoch) {
		// The process that may have run the attempt has ended, and its successor doesn't know of it.
		s.finishUnresolved(w, CodeLostContact, "the backend server was restarted while the request may have run")
		return
	}
	s.count("claims_resolved")
	w.server, w.epoch, w.phase = c.Server(), epoch, phaseResolving
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// askOwner forwards a repeated request to the entry VMs of the availability zone of its backend server, one after the
// other, since the one that owns the server can resolve the claim.
func (s *State) askOwner(w *work) {
	server, exists := s.vms[w.claim.Server()]
	if w.request.hops == 0 && exists {
		for _, id := range s.Members.LiveInZone(server.Zone()) {
			if id == s.Self || slices.Contains(w.asked, id) {
				continue
			}
			w.asked = append(w.asked, id)
			w.phase, w.server = phaseForwarded, id
			s.emit(Forward{peer: id, address: s.Members.Address(id), request: w.request, attempt: w.attempt})
			return
		}
	}
	s.finishUnresolved(w, CodeInProgress, "a request with this id has been started")
}

// ownerAnswered handles the answer of an entry VM that was asked about a claim.
func (s *State) ownerAnswered(w *work, o peer.ForwardOutcome) {
	switch o := o.(type) {
	case peer.Answered:
		if o.Whole() {
			s.finishAnswered(w, o.OK(), o.Output())
			return
		}
		s.count("answers_dropped")
	case peer.NotRun:
		s.finishRefused(w, NewNotRun(o.Code(), o.Message(), o.RetryAfter()))
		return
	}
	s.askOwner(w)
}
