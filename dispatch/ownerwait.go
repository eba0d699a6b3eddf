package dispatch

import "github.com/pistachiolead/pistachiolead/peer"

// mayAwaitOwner reports whether a call may be delayed because its pool has backend servers in service but no known
// owner, as is the case while they change owner. It must be refused if it was forwarded here, this entry VM is stopping,
// maxAwaitingOwner calls wait already, no backend server of the pool is in service, or the call has waited for
// ownerWaitTimeout.
func (s *State) mayAwaitOwner(w *workItem) bool {
	if w.request.hops > 0 || s.drain.started || len(s.awaitingOwner) >= maxAwaitingOwner || !s.poolInService(w.pool) {
		return false
	}
	return w.ownerAwaitedSince.IsZero() || s.now.Sub(w.ownerAwaitedSince) < ownerWaitTimeout
}

// awaitOwner delays a call until the next check for an owner of its pool.
func (s *State) awaitOwner(w *workItem) {
	if w.ownerAwaitedSince.IsZero() {
		w.ownerAwaitedSince = s.now
	}
	s.awaitingOwner[w.id()] = w
	w.phase = phaseBackingOff
	w.wakeAt = s.now.Add(ownerWaitInterval)
	s.scheduleCheck(w.id(), w.wakeAt)
}

// endBackOff queues work whose delay has ended.
func (s *State) endBackOff(w *workItem) {
	if s.awaitingOwner[w.id()] == w {
		delete(s.awaitingOwner, w.id())
		s.enqueue(w)
		return
	}
	s.enqueueLocally(w)
}

// poolInService reports whether a pool has a backend server that may receive work from any entry VM.
func (s *State) poolInService(pool string) bool {
	for id := range s.vms {
		if s.serves(id, pool) {
			return true
		}
	}
	return false
}

// serves reports whether a listed backend server is in a pool and in service. The server may have any owner or none.
func (s *State) serves(server, pool string) bool {
	v, listed := s.vms[server]
	return listed && s.poolOf(server) == pool && !v.Leaving() &&
		!s.config.VM(server).OutOfService() && !s.config.Zone(v.Zone()).OutOfService()
}

// peerSpecific reports whether a refusal is due to the state of the refusing entry VM, so that the call may be sent to
// another one. After such a refusal the call can't start at the refusing entry VM.
func peerSpecific(n peer.NotRun) bool {
	switch n.Code() {
	case CodeDraining, CodeNoCapacity, CodeConfigurationNotFresh:
		return true
	default:
		return false
	}
}
