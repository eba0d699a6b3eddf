// Package membership tracks which entry VMs are live. It learns them from the platform's VM list and from heartbeats,
// and keeps the rows member/<id> of the table in step with the list.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State is the view of one entry VM. It isn't safe for concurrent use. Set the exported fields before use.
type State struct {
	// Self is the id of this entry VM.
	Self string
	// Zone is the availability zone of this entry VM.
	Zone string

	peers   map[string]*peer
	started time.Time
	listed  time.Time // last successful listing
	leaving bool
	drained bool
	row     bool
	wrote   time.Time
}

// Handle applies an event at time now and returns the effects to carry out, in order.
func (s *State) Handle(e Event, now time.Time) []Effect {
	s.start(now)
	switch e := e.(type) {
	case Listed:
		return s.list(e.vms, now)
	case HeartbeatEnded:
		return s.heartbeatEnded(e)
	case Heard:
		return s.heard(e.peer, now)
	case PeerLeaving:
		s.peerLeaving(e.peer)
	case MemberRows:
		s.setRows(e.ids, now)
	case Tick:
		return s.tick(now)
	case Drained:
		return s.drain()
	}
	return nil
}

// Live returns the ids of the live entry VMs, this one and leaving ones included, sorted.
func (s *State) Live() []string {
	ids := []string{s.Self}
	for id, p := range s.peers {
		if p.up {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// IsLive reports whether Live contains an entry VM.
func (s *State) IsLive(id string) bool {
	if id == s.Self {
		return true
	}
	p := s.peers[id]
	return p != nil && p.up
}

// LiveInZone returns the ids of the live entry VMs of zone that aren't leaving, sorted. These may own backend servers.
func (s *State) LiveInZone(zone string) []string {
	var ids []string
	if zone == s.Zone && !s.leaving && !s.drained {
		ids = append(ids, s.Self)
	}
	for id, p := range s.peers {
		if p.up && p.zone == zone && !p.leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Address returns host:port of a peer, or "" if it isn't known.
func (s *State) Address(id string) string {
	p := s.peers[id]
	if p == nil {
		return ""
	}
	return p.address
}

func (s *State) start(now time.Time) {
	if s.peers != nil {
		return
	}
	s.peers = make(map[string]*peer)
	s.started = now
}

func (s *State) list(vms []provider.VM, now time.Time) []Effect {
	present := make(map[string]bool)
	addresses := make(map[string]string)
	var effects []Effect
	for _, v := range vms {
		if v.Role() != provider.RoleEntry {
			continue
		}
		present[v.ID()] = true
		addresses[v.Address()] = v.ID()
		if v.ID() == s.Self {
			s.leaving = v.Leaving()
			continue
		}
		effects = append(effects, s.listPeer(v, now)...)
	}

	gap := min(now.Sub(s.listed), maxListingGap)
	if s.listed.IsZero() {
		gap = 0
	}
	s.listed = now
	for _, p := range s.sorted() {
		if present[p.id] {
			continue
		}
		s.missing(p, gap, addresses)
		effects = append(effects, s.remove(p, now)...)
	}
	return effects
}

func (s *State) listPeer(v provider.VM, now time.Time) []Effect {
	p := s.peer(v.ID(), now)
	fresh := !p.listed && !p.everUp
	p.zone, p.address, p.leaving = v.Zone(), v.Address(), v.Leaving() || p.leaving
	p.listed, p.absent = true, 0
	// At its own start this entry VM takes the others for live until heartbeats fail. Otherwise it would try to
	// acquire all backend servers of the zone.
	if fresh && now.Sub(s.started) < downAfter {
		p.good = now
		return s.setUp(p)
	}
	return nil
}

// missing records a listing without p. An address in use by another VM isn't p's any more.
func (s *State) missing(p *peer, gap time.Duration, addresses map[string]string) {
	if p.listed {
		p.listed = false
		gap = 0
	}
	p.absent += gap
	if addresses[p.address] != "" {
		p.address = ""
	}
}

func (s *State) remove(p *peer, now time.Time) []Effect {
	if p.forgettable(now) {
		delete(s.peers, p.id)
		return nil
	}
	if !p.row || !p.gone(now) || now.Sub(p.deleted) < rowRetryInterval {
		return nil
	}
	p.deleted = now
	return []Effect{NewDeleteMemberRow(p.id)}
}

func (s *State) heartbeatEnded(e HeartbeatEnded) []Effect {
	p := s.peers[e.peer]
	if p == nil {
		return nil
	}
	if !e.ok {
		if p.sent.IsZero() {
			return nil // counted at its time-out
		}
		p.sent = time.Time{}
		p.failed()
		return nil
	}
	p.sent = time.Time{}
	p.alive(e.sent)
	return s.raise(p)
}

func (s *State) heard(id string, now time.Time) []Effect {
	if id == s.Self {
		return nil
	}
	p := s.peer(id, now)
	p.alive(now)
	return s.raise(p)
}

func (s *State) peerLeaving(id string) {
	if p := s.peers[id]; p != nil {
		p.leaving = true
	}
}

func (s *State) setRows(ids []string, now time.Time) {
	for _, p := range s.peers {
		p.row = false
	}
	s.row = false
	for _, id := range ids {
		if id == s.Self {
			s.row = true
			continue
		}
		s.peer(id, now).row = true
	}
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	if !s.row && !s.drained && (s.wrote.IsZero() || now.Sub(s.wrote) >= rowRetryInterval) {
		s.wrote = now
		effects = append(effects, NewWriteMemberRow(s.Self))
	}
	for _, p := range s.sorted() {
		effects = append(effects, s.tickPeer(p, now)...)
	}
	return effects
}

func (s *State) tickPeer(p *peer, now time.Time) []Effect {
	if !p.sent.IsZero() && now.Sub(p.sent) >= heartbeatTimeout {
		p.sent = time.Time{}
		p.failed()
	}
	var effects []Effect
	if p.up && p.wantsDown(now) {
		p.up = false
		effects = append(effects, NewPeerDown(p.id))
	}
	if p.address == "" || !p.sent.IsZero() || now.Before(p.due) {
		return effects
	}
	p.sent = now
	p.due = nextDue(p.due, now)
	return append(effects, NewSendHeartbeat(p.id))
}

func (s *State) drain() []Effect {
	if s.drained {
		return nil
	}
	s.drained = true
	return []Effect{NewDeleteMemberRow(s.Self)}
}

func (s *State) raise(p *peer) []Effect {
	if p.up || !p.wantsUp() || p.zone == "" {
		return nil
	}
	return s.setUp(p)
}

func (s *State) setUp(p *peer) []Effect {
	p.up, p.everUp = true, true
	return []Effect{NewPeerUp(p.id)}
}

func (s *State) peer(id string, now time.Time) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{id: id, good: now, due: now.Add(stagger(s.Self, id))}
		s.peers[id] = p
	}
	return p
}

func (s *State) sorted() []*peer {
	peers := make([]*peer, 0, len(s.peers))
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		peers = append(peers, s.peers[id])
	}
	return peers
}

// nextDue keeps the phase of the heartbeats. It skips those missed during a pause, and one that would follow too closely
// on a heartbeat sent late.
func nextDue(due, now time.Time) time.Time {
	missed := (now.Sub(due) + heartbeatInterval/2) / heartbeatInterval
	return due.Add((missed + 1) * heartbeatInterval)
}

// stagger returns the phase of the heartbeats from one entry VM to another, so that they don't coincide.
func stagger(from, to string) time.Duration {
	return time.Duration(xxhash.Sum64String(from+"/"+to) % uint64(heartbeatInterval))
}
