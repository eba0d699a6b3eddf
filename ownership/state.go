// Package ownership decides which backend servers an entry VM owns. A backend server grants its lease to one entry VM
// of its availability zone at a time. The State acquires, renews and releases these leases. Its inputs are events:
// the VM list, the live members, the results of requests, and the time. Its outputs are effects, mainly requests to
// backend servers, and the answer to whether work may start on a server (MayStart).
//
// A lease is counted from the time at which its request was sent, on the clock of this process, and no work starts in
// its last guard interval. A lease under which MayStart permits work is therefore current at the backend server,
// regardless of messages that are lost, delayed, duplicated or reordered, and of pauses of the process. A backend
// server that restarts loses the record of its lease. It then rejects old messages by their epoch, so it must give
// every grant a new epoch.
package ownership

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State is the ownership state of one entry VM. It isn't safe for concurrent use. Set the exported fields before use.
type State struct {
	// EntryVM is the id of this entry VM.
	EntryVM string
	// Zone is the availability zone of this entry VM. Servers of other zones are ignored.
	Zone string

	servers           map[string]*server
	serverIDs         []string // sorted keys of servers
	members           []string
	membersKnown      bool // whether members has been set
	draining          bool
	lastHandoverStart time.Time // start of the most recent handover of any server
	lastHandoverEnd   time.Time // end of the most recent handover of any server
}

// Handle applies an event that occurred at now and returns the effects to carry out, in order.
func (s *State) Handle(e Event, now time.Time) []Effect {
	switch e := e.(type) {
	case ServersListed:
		return s.updateServers(e.servers, now)
	case MembersChanged:
		return s.setMembers(e.members, now)
	case AcquireEnded:
		return s.acquireEnded(e, now)
	case ReportEnded:
		return s.reportEnded(e, now)
	case ReleaseEnded:
		return s.releaseEnded(e, now)
	case Tick:
		return s.tick(now)
	case DrainRequested:
		return s.drain(now)
	}
	return nil
}

// MayStart reports whether work may start on a server at now, and returns the epoch that the request to start must
// contain.
func (s *State) MayStart(server string, now time.Time) (epoch uint64, ok bool) {
	v := s.servers[server]
	if v == nil || !v.mayStart(now) {
		return 0, false
	}
	return v.epoch, true
}

// HandingOver reports whether a server gets no new work because it is about to be released.
func (s *State) HandingOver(server string) bool {
	v := s.servers[server]
	return v != nil && !v.handoverStarted.IsZero()
}

// Owned returns the ids of the owned servers, sorted.
func (s *State) Owned() []string {
	var ids []string
	for _, id := range s.serverIDs {
		if s.servers[id].held {
			ids = append(ids, id)
		}
	}
	return ids
}

// updateServers applies a new VM list. Servers of other availability zones are ignored.
func (s *State) updateServers(vms []provider.VM, now time.Time) []Effect {
	if s.servers == nil {
		s.servers = make(map[string]*server)
	}
	present := make(map[string]bool, len(vms))
	for _, m := range vms {
		if m.Role() != provider.RoleBackendServer || m.Zone() != s.Zone {
			continue
		}
		present[m.ID()] = true
		s.addServer(m.ID(), now)
	}
	for id, v := range s.servers {
		if present[id] {
			continue
		}
		if v.listed {
			v.listed, v.unlisted = false, now
		}
		if v.removable(now) {
			delete(s.servers, id)
		}
	}

	s.serverIDs = s.serverIDs[:0]
	for id := range s.servers {
		s.serverIDs = append(s.serverIDs, id)
	}
	slices.Sort(s.serverIDs)
	return s.tick(now)
}

func (s *State) addServer(id string, now time.Time) {
	if v := s.servers[id]; v != nil {
		v.listed = true
		return
	}
	v := &server{id: id, listed: true, preference: newPreference(s.EntryVM, id, s.members)}
	v.nextRequest = now.Add(s.initialDelay(v))
	s.servers[id] = v
}

func (s *State) setMembers(members []string, now time.Time) []Effect {
	s.members = slices.Clone(members)
	for _, id := range s.serverIDs {
		s.updatePreference(s.servers[id], now)
	}
	s.membersKnown = true
	return s.tick(now)
}

// updatePreference computes the preference for a server again after the members changed.
func (s *State) updatePreference(v *server, now time.Time) {
	old := v.preference
	v.preference = newPreference(s.EntryVM, v.id, s.members)
	if v.preference.rank == 0 {
		v.handoverStarted = time.Time{}
	}
	if v.held || (s.membersKnown && v.preference == old) {
		return
	}
	due := now.Add(s.initialDelay(v))
	if !s.membersKnown || v.preference.rank > old.rank || due.Before(v.nextRequest) {
		v.nextRequest, v.failures = due, 0
	}
}

// initialDelay returns the delay before the first acquire of a server that may have no owner.
func (s *State) initialDelay(v *server) time.Duration {
	if v.preference.rank == 0 {
		return jitter(s.EntryVM, v.id, changeSpread)
	}
	return time.Duration(v.preference.rank)*leaseDuration + jitter(s.EntryVM, v.id, takeoverSpread)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	for _, id := range s.serverIDs {
		effects = append(effects, s.advance(s.servers[id], now)...)
	}
	return effects
}

// advance returns the effects that are due for a server.
func (s *State) advance(v *server, now time.Time) []Effect {
	s.expireRequest(v, now)
	switch {
	case v.held:
		return s.advanceOwned(v, now)
	case v.releaseRetryDue && !now.Before(v.nextRequest):
		return s.retryRelease(v, now)
	case !s.membersKnown || s.draining || !v.listed || v.inFlight != requestNone || now.Before(v.nextRequest):
		return nil
	}
	v.startRequest(requestAcquire, now)
	return []Effect{NewAcquire(v.id)}
}

// expireRequest ends a request that has had no result within RequestTimeout.
func (s *State) expireRequest(v *server, now time.Time) {
	if v.inFlight == requestNone || now.Sub(v.requestedAt) < RequestTimeout {
		return
	}
	asking := v.inFlight
	v.inFlight = requestNone
	switch asking {
	case requestRelease:
		s.releaseUnconfirmed(v, now)
	case requestReport:
		if v.held {
			v.nextRequest = now
		}
	default:
		s.scheduleRetry(v, now)
	}
}

// advanceOwned returns the effects that are due for a server that this entry VM owns.
func (s *State) advanceOwned(v *server, now time.Time) []Effect {
	if !now.Before(v.leaseEnd()) {
		return s.loseServer(v, now)
	}
	if s.advanceHandover(v, now) {
		return s.releaseServer(v, now)
	}
	if v.inFlight != requestNone || now.Before(v.nextRequest) {
		return nil
	}
	v.startRequest(requestReport, now)
	return []Effect{NewReport(v.id, v.epoch)}
}

// advanceHandover starts a handover if one is due, and reports whether the server must be released now.
func (s *State) advanceHandover(v *server, now time.Time) bool {
	if v.preference.rank == 0 {
		return false
	}
	if !v.handoverStarted.IsZero() {
		return s.handoverMayEnd(v, now)
	}
	if now.Sub(s.lastHandoverStart) < handoverInterval || now.Sub(v.ownedSince) < v.holdOff {
		return false
	}
	s.lastHandoverStart, v.handoverStarted = now, now
	return false
}

// handoverMayEnd reports whether a server that is being handed over must be released now. The limit on the rate
// applies here as well, because several handovers are overdue after a pause of the process.
func (s *State) handoverMayEnd(v *server, now time.Time) bool {
	if now.Sub(v.handoverStarted) < handoverDrainTime || now.Sub(s.lastHandoverEnd) < handoverInterval {
		return false
	}
	s.lastHandoverEnd = now
	return true
}

// drain releases all owned servers.
func (s *State) drain(now time.Time) []Effect {
	s.draining = true
	var effects []Effect
	for _, id := range s.serverIDs {
		if v := s.servers[id]; v.held {
			effects = append(effects, s.releaseServer(v, now)...)
		}
	}
	return effects
}
