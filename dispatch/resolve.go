package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// resolveClaim resolves the claimed attempt of a repeated request. The owner of the attempt's backend server closes the
// attempt if it never started, and otherwise waits for its answer. If this entry VM isn't the owner, it queries the
// others.
func (s *State) resolveClaim(w *workItem, c claim.Claim, version uint64) {
	w.claim, w.claimVersion = c, version
	w.attempt, w.sentEpoch, w.started = c.Attempt(), c.Epoch(), true
	epoch, owned := s.Ownership.Epoch(c.Server())
	if !owned {
		s.queryOwner(w)
		return
	}
	if !provider.SameProcess(c.Epoch(), epoch) {
		// The server process that may have run the attempt has ended, and the new one has no record of the attempt.
		s.finishOutcomeUnknown(w, CodeLostContact, "the backend server was restarted while the request may have run")
		return
	}
	s.count("claims_resolved")
	w.server, w.epoch, w.phase = c.Server(), epoch, phaseResolving
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// queryOwner forwards a repeated request to the entry VMs in the availability zone of its backend server, one after the
// other. Only the one that owns the server can resolve the claim, and it isn't known here which one that is.
func (s *State) queryOwner(w *workItem) {
	server, exists := s.vms[w.claim.Server()]
	if w.request.hops == 0 && exists {
		for _, id := range s.Membership.LiveInZone(server.Zone()) {
			if id == s.EntryVM || slices.Contains(w.queriedOwners, id) {
				continue
			}
			w.queriedOwners = append(w.queriedOwners, id)
			w.phase, w.server = phaseForwarded, id
			s.emit(Forward{peer: id, address: s.Membership.Address(id), request: w.request, attempt: w.attempt})
			return
		}
	}
	s.finishOutcomeUnknown(w, CodeInProgress, "a request with this id has been started; its outcome isn't known yet")
}

// ownerAnswered handles the outcome of a request that queryOwner forwarded. Without a definite outcome the request is
// forwarded to the next entry VM.
func (s *State) ownerAnswered(w *workItem, o peer.ForwardOutcome) {
	switch o := o.(type) {
	case peer.Answered:
		if o.Intact() {
			s.finishAnswered(w, o.OK(), o.Output())
			return
		}
		s.count("answers_dropped")
	case peer.NotRun:
		s.finishRefused(w, NewNotRun(o.Code(), o.Message(), o.RetryAfter()))
		return
	}
	s.queryOwner(w)
}
