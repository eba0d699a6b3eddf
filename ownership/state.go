// Package ownership decides which backend servers an entry VM owns. A backend server grants its lease to one entry VM
// of its availability zone at a time; the State asks for, renews and gives up these leases, and says when work may
// start.
//
// A lease counts from the time its request was sent, on the clock of this process, and ends one guard interval early.
// So a lease that MayStart permits is current at the backend server, whatever messages are lost, delayed, duplicated
// or reordered, and however long the process was paused. A backend server that restarts forgets its lease; the epoch
// in each message then protects it. It has to give every grant a new epoch.
package ownership

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State is the view of one entry VM. It isn't safe for concurrent use. Set the exported fields before use.
type State struct {
	// Self is the id of this entry VM.
	Self string
	// Zone is the availability zone of this entry VM. Servers of other zones are ignored.
	Zone string

	servers map[string]*server
	order   []string // keys of servers, sorted
	members []string
	known   bool // whether members has been set
	drained bool
	handed  time.Time // when the last hand-over began
	passed  time.Time // when the last hand-over ended
}

// Handle applies an event at time now and returns the effects to carry out, in order.
func (s *State) Handle(e Event, now time.Time) []Effect {
	switch e := e.(type) {
	case ServersListed:
		return s.list(e.servers, now)
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
	case Drained:
		return s.drain(now)
	}
	return nil
}

// MayStart reports whether work may start on a server at now, and the epoch that the start has to carry.
func (s *State) MayStart(server string, now time.Time) (epoch uint64, ok bool) {
	v := s.servers[server]
	if v == nil || !v.mayStart(now) {
		return 0, false
	}
	return v.epoch, true
}

// HandingOver reports whether a server takes no new work because it is about to be released.
func (s *State) HandingOver(server string) bool {
	v := s.servers[server]
	return v != nil && !v.handing.IsZero()
}

// Owned returns the ids of the owned servers, sorted.
func (s *State) Owned() []string {
	var ids []string
	for _, id := range s.order {
		if s.servers[id].held {
			ids = append(ids, id)
		}
	}
	return ids
}

func (s *State) list(vms []provider.VM, now time.Time) []Effect {
	if s.servers == nil {
		s.servers = make(map[string]*server)
	}
	present := make(map[string]bool, len(vms))
	for _, m := range vms {
		if m.Role() != provider.RoleBackend || m.Zone() != s.Zone {
			continue
		}
		present[m.ID()] = true
		s.add(m.ID(), now)
	}
	for id, v := range s.servers {
		if present[id] {
			continue
		}
		if v.listed {
			v.listed, v.unlisted = false, now
		}
		if v.forgettable(now) {
			delete(s.servers, id)
		}
	}

	s.order = s.order[:0]
	for id := range s.servers {
		s.order = append(s.order, id)
	}
	slices.Sort(s.order)
	return s.tick(now)
}

func (s *State) add(id string, now time.Time) {
	if v := s.servers[id]; v != nil {
		v.listed = true
		return
	}
	v := &server{id: id, listed: true, pref: prefer(s.Self, id, s.members)}
	v.due = now.Add(s.initialDelay(v))
	s.servers[id] = v
}

func (s *State) setMembers(members []string, now time.Time) []Effect {
	s.members = slices.Clone(members)
	for _, id := range s.order {
		s.rank(s.servers[id], now)
	}
	s.known = true
	return s.tick(now)
}

// rank updates the preference for a server after the members changed.
func (s *State) rank(v *server, now time.Time) {
	old := v.pref
	v.pref = prefer(s.Self, v.id, s.members)
	if v.pref.rank == 0 {
		v.handing = time.Time{}
	}
	if v.held || (s.known && v.pref == old) {
		return
	}
	due := now.Add(s.initialDelay(v))
	if !s.known || v.pref.rank > old.rank || due.Before(v.due) {
		v.due, v.failures = due, 0
	}
}

// initialDelay returns how long to wait before a server that may be free is acquired.
func (s *State) initialDelay(v *server) time.Duration {
	if v.pref.rank == 0 {
		return jitter(s.Self, v.id, burstSpread)
	}
	return time.Duration(v.pref.rank)*leaseDuration + jitter(s.Self, v.id, takeOverSpread)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	for _, id := range s.order {
		effects = append(effects, s.step(s.servers[id], now)...)
	}
	return effects
}

// step does what is due for a server.
func (s *State) step(v *server, now time.Time) []Effect {
	s.expire(v, now)
	switch {
	case v.held:
		return s.stepHeld(v, now)
	case v.releaseFailed && !now.Before(v.due):
		return s.releaseAgain(v, now)
	case !s.known || s.drained || !v.listed || v.asking != requestNone || now.Before(v.due):
		return nil
	}
	v.ask(requestAcquire, now)
	return []Effect{NewAcquire(v.id)}
}

// expire gives up a request without a result.
func (s *State) expire(v *server, now time.Time) {
	if v.asking == requestNone || now.Sub(v.asked) < RequestTimeout {
		return
	}
	asking := v.asking
	v.asking = requestNone
	switch asking {
	case requestRelease:
		s.releaseMissed(v, now)
	case requestReport:
		if v.held {
			v.due = now
		}
	default:
		s.retry(v, now)
	}
}

func (s *State) stepHeld(v *server, now time.Time) []Effect {
	if !now.Before(v.until()) {
		return s.lose(v, now)
	}
	if s.handOver(v, now) {
		return s.release(v, now)
	}
	if v.asking != requestNone || now.Before(v.due) {
		return nil
	}
	v.ask(requestReport, now)
	return []Effect{NewReport(v.id, v.epoch)}
}

// handOver begins a hand-over if one is due, and reports whether the server is to be released now.
func (s *State) handOver(v *server, now time.Time) bool {
	if v.pref.rank == 0 {
		return false
	}
	if !v.handing.IsZero() {
		return s.passOn(v, now)
	}
	if now.Sub(s.handed) < handOverInterval || now.Sub(v.gained) < v.holdOff {
		return false
	}
	s.handed, v.handing = now, now
	return false
}

// passOn reports whether a server that takes no new work is to be released. The limit on hand-overs holds here as well,
// because several are overdue after a pause of the process.
func (s *State) passOn(v *server, now time.Time) bool {
	if now.Sub(v.handing) < handOverDrain || now.Sub(s.passed) < handOverInterval {
		return false
	}
	s.passed = now
	return true
}

func (s *State) drain(now time.Time) []Effect {
	s.drained = true
	var effects []Effect
	for _, id := range s.order {
		if v := s.servers[id]; v.held {
			effects = append(effects, s.release(v, now)...)
		}
	}
	return effects
}
