package dispatch

import "github.com/pistachiolead/pistachiolead/peer"

// hold keeps a call for a short time whose pool has backend servers in service that no entry VM is known to own, as it
// is while they change hands. It returns false if the call has to be refused.
func (s *State) hold(w *work) bool {
	if w.request.hops > 0 || s.drain.started || len(s.onHold) >= maxOnHold || !s.inService(w.pool) {
		return false
	}
	if w.heldSince.IsZero() {
		w.heldSince = s.now
	}
	if s.now.Sub(w.heldSince) >= holdTime {
		return false
	}
	s.onHold[w.id()] = w
	w.phase = phaseBackingOff
	w.wake = s.now.Add(holdInterval)
	s.lookAt(w.id(), w.wake)
	return true
}

// resume queues work whose pause has ended.
func (s *State) resume(w *work) {
	if s.onHold[w.id()] == w {
		delete(s.onHold, w.id())
		s.enqueue(w)
		return
	}
	s.enqueueHere(w)
}

// inService reports whether a pool has a backend server that may be given work by somebody.
func (s *State) inService(pool string) bool {
	for id := range s.vms {
		if s.serves(id, pool) {
			return true
		}
	}
	return false
}

// serves reports whether a listed backend server is in the pool and in service, whoever owns it.
func (s *State) serves(server, pool string) bool {
	v, listed := s.vms[server]
	return listed && s.poolOf(server) == pool && !v.Leaving() &&
		!s.config.VM(server).Out() && !s.config.Zone(v.Zone()).Out()
}

// passing reports whether a refusal of another entry VM comes from a state of that one alone, so that the call may be
// sent elsewhere. None of these refusals lets the call start later.
func passing(n peer.NotRun) bool {
	switch n.Code() {
	case CodeDraining, CodeNoCapacity, CodeStaleConfig:
		return true
	default:
		return false
	}
}
