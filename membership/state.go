// Package membership tracks which entry VMs are live. Its inputs are events: the platform's VM list, results of
// heartbeats, received heartbeats, and the rows member/<id> of the table. Its outputs are the live entry VMs and
// effects: heartbeats to send, and the rows to write or delete so that they match the VM list.
package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State is the membership as known to one entry VM. It isn't safe for concurrent use. Set the exported fields before
// use.
type State struct {
	// EntryVM is the id of this entry VM.
	EntryVM string
	// Zone is the availability zone of this entry VM.
	Zone string

	peers        map[string]*peer
	started      time.Time
	lastListing  time.Time // last successful listing
	leaving      bool
	draining     bool
	hasRow       bool
	rowWriteSent time.Time
}

// Handle applies an event that occurred at now and returns the effects to carry out, in order.
func (s *State) Handle(e Event, now time.Time) []Effect {
	s.initialize(now)
	switch e := e.(type) {
	case VMsListed:
		return s.updateListing(e.vms, now)
	case HeartbeatEnded:
		return s.heartbeatEnded(e)
	case HeartbeatReceived:
		return s.heartbeatReceived(e.peer, now)
	case PeerDraining:
		s.peerLeaving(e.peer)
	case MemberRows:
		s.setMemberRows(e.ids, now)
	case Tick:
		return s.tick(now)
	case DrainRequested:
		return s.drain()
	}
	return nil
}

// Live returns the ids of the live entry VMs, sorted, including this one and those that are leaving.
func (s *State) Live() []string {
	ids := []string{s.EntryVM}
	for id, p := range s.peers {
		if p.up {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// IsLive reports whether Live contains an id.
func (s *State) IsLive(id string) bool {
	if id == s.EntryVM {
		return true
	}
	p := s.peers[id]
	return p != nil && p.up
}

// LiveInZone returns the ids of the live entry VMs of an availability zone that aren't leaving, sorted. These may own
// backend servers.
func (s *State) LiveInZone(zone string) []string {
	var ids []string
	if zone == s.Zone && !s.leaving && !s.draining {
		ids = append(ids, s.EntryVM)
	}
	for id, p := range s.peers {
		if p.up && p.zone == zone && !p.leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Address returns the address (host:port) of a peer, empty if it isn't known.
func (s *State) Address(id string) string {
	p := s.peers[id]
	if p == nil {
		return ""
	}
	return p.address
}

func (s *State) initialize(now time.Time) {
	if s.peers != nil {
		return
	}
	s.peers = make(map[string]*peer)
	s.started = now
}

func (s *State) updateListing(vms []provider.VM, now time.Time) []Effect {
	present := make(map[string]bool)
	addresses := make(map[string]string)
	var effects []Effect
	for _, v := range vms {
		if v.Role() != provider.RoleEntryVM {
			continue
		}
		present[v.ID()] = true
		addresses[v.Address()] = v.ID()
		if v.ID() == s.EntryVM {
			s.leaving = v.Leaving()
			continue
		}
		effects = append(effects, s.addListed(v, now)...)
	}

	gap := min(now.Sub(s.lastListing), maxListingInterval)
	if s.lastListing.IsZero() {
		gap = 0
	}
	s.lastListing = now
	for _, p := range s.sortedPeers() {
		if present[p.id] {
			continue
		}
		s.recordAbsence(p, gap, addresses)
		effects = append(effects, s.removeAbsent(p, now)...)
	}
	return effects
}

// addListed applies the entry of one peer in the VM list.
func (s *State) addListed(v provider.VM, now time.Time) []Effect {
	p := s.peerOf(v.ID(), now)
	isNew := !p.listed && !p.everUp
	p.zone, p.address, p.leaving = v.Zone(), v.Address(), v.Leaving() || p.leaving
	p.listed, p.absentFor = true, 0
	// At its own start this entry VM assumes that the listed peers are live until their heartbeats fail. Otherwise it
	// would try to acquire all backend servers of the zone.
	if isNew && now.Sub(s.started) < downAfter {
		p.lastContact = now
		return s.setUp(p)
	}
	return nil
}

// recordAbsence records a listing without the peer p. If another VM uses the address of p, the address is cleared.
func (s *State) recordAbsence(p *peer, gap time.Duration, addresses map[string]string) {
	if p.listed {
		p.listed = false
		gap = 0
	}
	p.absentFor += gap
	if addresses[p.address] != "" {
		p.address = ""
	}
}

// removeAbsent deletes the state of a peer that isn't listed, or returns the effect that deletes its row.
func (s *State) removeAbsent(p *peer, now time.Time) []Effect {
	if p.removable(now) {
		delete(s.peers, p.id)
		return nil
	}
	if !p.hasRow || !p.rowDeletable(now) || now.Sub(p.rowDeletionSent) < rowRetryInterval {
		return nil
	}
	p.rowDeletionSent = now
	return []Effect{NewDeleteMemberRow(p.id)}
}

func (s *State) heartbeatEnded(e HeartbeatEnded) []Effect {
	p := s.peers[e.peer]
	if p == nil {
		return nil
	}
	if !e.ok {
		if p.heartbeatSent.IsZero() {
			return nil // already counted as failed when it timed out
		}
		p.heartbeatSent = time.Time{}
		p.recordFailure()
		return nil
	}
	p.heartbeatSent = time.Time{}
	p.recordContact(e.sent)
	return s.setUpIfDue(p)
}

func (s *State) heartbeatReceived(id string, now time.Time) []Effect {
	if id == s.EntryVM {
		return nil
	}
	p := s.peerOf(id, now)
	p.recordContact(now)
	return s.setUpIfDue(p)
}

func (s *State) peerLeaving(id string) {
	if p := s.peers[id]; p != nil {
		p.leaving = true
	}
}

func (s *State) setMemberRows(ids []string, now time.Time) {
	for _, p := range s.peers {
		p.hasRow = false
	}
	s.hasRow = false
	for _, id := range ids {
		if id == s.EntryVM {
			s.hasRow = true
			continue
		}
		s.peerOf(id, now).hasRow = true
	}
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	if !s.hasRow && !s.draining && (s.rowWriteSent.IsZero() || now.Sub(s.rowWriteSent) >= rowRetryInterval) {
		s.rowWriteSent = now
		effects = append(effects, NewWriteMemberRow(s.EntryVM))
	}
	for _, p := range s.sortedPeers() {
		effects = append(effects, s.tickPeer(p, now)...)
	}
	return effects
}

func (s *State) tickPeer(p *peer, now time.Time) []Effect {
	if !p.heartbeatSent.IsZero() && now.Sub(p.heartbeatSent) >= heartbeatTimeout {
		p.heartbeatSent = time.Time{}
		p.recordFailure()
	}
	var effects []Effect
	if p.up && p.shouldGoDown(now) {
		p.up = false
		effects = append(effects, NewPeerDown(p.id))
	}
	if p.address == "" || !p.heartbeatSent.IsZero() || now.Before(p.nextHeartbeat) {
		return effects
	}
	p.heartbeatSent = now
	p.nextHeartbeat = nextHeartbeatTime(p.nextHeartbeat, now)
	return append(effects, NewSendHeartbeat(p.id))
}

func (s *State) drain() []Effect {
	if s.draining {
		return nil
	}
	s.draining = true
	return []Effect{NewDeleteMemberRow(s.EntryVM)}
}

// setUpIfDue makes a peer live if enough of its heartbeats succeeded and its zone is known.
func (s *State) setUpIfDue(p *peer) []Effect {
	if p.up || !p.shouldComeUp() || p.zone == "" {
		return nil
	}
	return s.setUp(p)
}

func (s *State) setUp(p *peer) []Effect {
	p.up, p.everUp = true, true
	return []Effect{NewPeerUp(p.id)}
}

// peerOf returns the state of the peer with an id and creates it if necessary.
func (s *State) peerOf(id string, now time.Time) *peer {
	p := s.peers[id]
	if p == nil {
		p = &peer{id: id, lastContact: now, nextHeartbeat: now.Add(heartbeatPhase(s.EntryVM, id))}
		s.peers[id] = p
	}
	return p
}

func (s *State) sortedPeers() []*peer {
	peers := make([]*peer, 0, len(s.peers))
	for _, id := range slices.Sorted(maps.Keys(s.peers)) {
		peers = append(peers, s.peers[id])
	}
	return peers
}

// nextHeartbeatTime returns the next due time at which the phase of the heartbeats is kept. It skips heartbeats
// missed during a pause, and one that would follow too soon after a heartbeat that was sent late.
func nextHeartbeatTime(due, now time.Time) time.Time {
	missed := (now.Sub(due) + heartbeatInterval/2) / heartbeatInterval
	return due.Add((missed + 1) * heartbeatInterval)
}

// heartbeatPhase returns the offset of the heartbeats from one entry VM to another, so that they are spread over the
// interval.
func heartbeatPhase(from, to string) time.Duration {
	return time.Duration(xxhash.Sum64String(from+"/"+to) % uint64(heartbeatInterval))
}
