package dispatch

import "github.com/pistachiolead/pistachiolead/peer"

// hasFreeSlotsHere reports whether this entry VM could start new work of a pool now.
func (s *State) hasFreeSlotsHere(pool string) bool {
	return s.mayStartHere() && s.Placer.FreeSlots(pool) > 0 && !s.Queue.HasWaiting(pool)
}

// betterPeer returns the entry VM with the most free slots in a pool, empty if this one has free slots or none has.
func (s *State) betterPeer(pool string) string {
	if s.hasFreeSlotsHere(pool) {
		return ""
	}
	return s.peerWithFreeSlots(pool)
}

func (s *State) forward(w *workItem, to string) {
	w.phase, w.server = phaseForwarded, to
	s.peers[to].forwardedSince[w.pool]++
	s.count("forwarded")
	s.emit(Forward{peer: to, address: s.Membership.Address(to), request: w.request, attempt: w.attempt})
}

// forwardEnded handles the outcome of a forwarded call.
func (s *State) forwardEnded(e ForwardEnded) {
	w, ok := s.workItems[e.id]
	if !ok || w.phase != phaseForwarded || w.server != e.peer {
		return
	}
	w.server = ""
	if len(w.queriedOwners) > 0 {
		s.ownerAnswered(w, e.outcome)
		return
	}
	switch o := e.outcome.(type) {
	case peer.Answered:
		if !o.Intact() {
			s.count("answers_dropped")
			s.forwardLost(w)
			return
		}
		s.finishAnswered(w, o.OK(), o.Output())
	case peer.NotRun:
		s.forwardRefused(w, e.peer, o)
	case peer.Unreachable:
		s.avoidPeer(e.peer)
		s.enqueueOrRefuse(w, NewNotRun(CodeNoCapacity, "no backend server of the pool can be reached", retryAfterBusy))
	case peer.OutcomeUnknown:
		s.avoidPeer(e.peer)
		s.forwardLost(w)
	}
}

func (s *State) avoidPeer(id string) {
	if p, ok := s.peers[id]; ok {
		p.avoidUntil = s.now.Add(peerAvoidance)
	}
}

// forwardRefused handles the refusal of a forwarded call. The call is sent to another entry VM or queued here if
// possible; otherwise the refusal is returned to the caller. The refusal of a non-idempotent request whose id the
// caller chose has closed its claim, so it is final.
func (s *State) forwardRefused(w *workItem, from string, n peer.NotRun) {
	s.avoidPeer(from)
	refusal := NewNotRun(n.Code(), n.Message(), n.RetryAfter())
	s.updateFromEntry(w)
	if peerSpecific(n) && w.reroutes < maxReroutes && !w.expired(s.now) {
		w.reroutes++
		s.enqueue(w)
		return
	}
	if n.RetryAfter() == 0 || (!w.idempotent && w.request.callerChoseID) {
		s.finishRefused(w, refusal)
		return
	}
	s.enqueueOrRefuse(w, refusal)
}

// enqueueOrRefuse queues work here if this entry VM may start work of its pool, else refuses it.
func (s *State) enqueueOrRefuse(w *workItem, n NotRun) {
	if s.mayStartHere() && s.Placer.Capacity(w.pool).Slots() > 0 {
		s.enqueueLocally(w)
		return
	}
	w.phase = phaseFinishing
	s.refuse(w, n)
}

// forwardLost handles a forwarded call with an unknown outcome, which may be running at another entry VM. An idempotent
// call is retried. The claim of any other call is closed, which succeeds only if the call was never started; then the call
// runs here if it can. It isn't forwarded again: a copy that arrives late finds the claim of the next attempt only if that was
// made here.
func (s *State) forwardLost(w *workItem) {
	if w.idempotent {
		if !s.mayRetry(w) {
			s.finishOutcomeUnknown(w, CodeLostContact, "contact with the entry VM that may have run the request was lost")
			return
		}
		s.count("retries_after_loss")
		w.started = true
		s.retry(w)
		return
	}
	if w.claimVersion != 0 {
		// The peer may have started the next attempt under the claim.
		s.finishOutcomeUnknown(w, CodeLostContact, "contact with the entry VM that has the request was lost")
		return
	}
	s.closeClaimThen(w, func() {
		refusal := NewNotRun(CodeLostContact, "contact was lost before the request started", retryAfterBusy)
		if w.cancelled || w.expired(s.now) {
			s.finishRefused(w, refusal)
			return
		}
		s.updateFromEntry(w)
		w.attempt = w.claim.Attempt() + 1
		s.enqueueOrRefuse(w, refusal)
	})
}
