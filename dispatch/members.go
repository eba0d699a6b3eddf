package dispatch

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// peerState is the state of another entry VM according to its last digest.
type peerState struct {
	digest peer.Digest
	// receivedAt is the time at which the digest was received.
	receivedAt time.Time
	// forwardedSince is the number of requests sent to the peer since the digest, by pool. It is subtracted from the
	// digest's free slots.
	forwardedSince map[string]int
	// avoidUntil is the time until which no work is forwarded to the peer, because it refused work or couldn't be
	// reached.
	avoidUntil time.Time
}

// memberRow is the stored form of a member, as JSON.
type memberRow struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Joined  int64  `json:"joined-unix-ms"`
}

// membershipEvent passes an event to the membership state and carries out its effects.
func (s *State) membershipEvent(e membership.Event) {
	for _, f := range s.Membership.Handle(e, s.now) {
		switch f := f.(type) {
		case membership.SendHeartbeat:
			s.emit(Heartbeat{peer: f.Peer(), address: s.Membership.Address(f.Peer()), digest: s.heartbeatDigest()})
		case membership.PeerUp, membership.PeerDown:
			s.count("membership_changes")
		case membership.WriteMemberRow:
			s.writeMemberRow()
		case membership.DeleteMemberRow:
			s.deleteMemberRow(f.ID())
		}
	}
	// MembersChanged makes the ownership state rank all backend servers of the zone again, so it is sent only on a
	// change.
	if live := s.Membership.LiveInZone(s.Zone); s.ownershipMembers == nil || !slices.Equal(live, s.ownershipMembers) {
		s.ownershipMembers = append([]string{}, live...)
		s.ownershipEvent(ownership.NewMembersChanged(live))
	}
}

// membersListed applies a new VM list to the members and drops the state of entry VMs that are no longer listed.
func (s *State) membersListed(vms []provider.VM) {
	s.membershipEvent(membership.NewVMsListed(vms))
	present := make(map[string]bool, len(vms))
	for _, v := range vms {
		if v.Role() == provider.RoleEntryVM {
			present[v.ID()] = true
		}
	}
	s.entryVMs = present
	for id := range s.peers {
		if !present[id] {
			delete(s.peers, id)
		}
	}
}

func (s *State) writeMemberRow() {
	row := memberRow{Zone: s.Zone, Address: s.Address, Joined: s.now.UnixMilli()}
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // can't happen: all fields are encodable
	}
	t := provider.NewTransaction(nil, []provider.Write{provider.NewPut(memberPrefix+s.EntryVM, data)})
	s.commit(t, UrgencyHigh, s.now.Add(changeTimeout), func(provider.CommitOutcome) { s.reads.configDue = s.now })
}

func (s *State) deleteMemberRow(id string) {
	version, ok := s.reads.memberVersions[id]
	if !ok {
		return
	}
	t := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(memberPrefix+id, version)},
		[]provider.Write{provider.NewDelete(memberPrefix + id)},
	)
	s.commit(t, UrgencyHigh, s.now.Add(changeTimeout), func(provider.CommitOutcome) { s.reads.configDue = s.now })
}

// isLive reports whether this entry VM considers another one live.
func (s *State) isLive(id string) bool { return s.Membership.IsLive(id) }

// heartbeatDigest returns the digest of an outgoing heartbeat, without the load by pool and team. Only the replies
// carry the load. As two entry VMs send each other heartbeats, each still receives the other's load once a second, with
// half of the bytes (R28).
func (s *State) heartbeatDigest() peer.Digest {
	uncovered := 0
	for _, team := range s.Ledger.Teams() {
		uncovered += s.Ledger.Uncovered(team)
	}
	return peer.NewDigest(s.EntryVM, s.Incarnation, s.config.Version(), s.reads.tableReachable).
		WithUncovered(uncovered).WithoutLoad()
}

// fullDigest returns the digest of this entry VM with its load: the free slots by pool, and the running work and the
// demand for slots by team.
func (s *State) fullDigest() peer.Digest {
	free := make(map[string]int)
	running := make(map[string]provider.Shape)
	slotDemand := make(map[string]int)
	startable := s.startable()
	uncovered := 0
	accepting := s.mayStartHere() && !s.drain.started
	for _, p := range s.config.Catalogue().Pools() {
		if n := s.Placer.FreeSlots(p.Name()); accepting && n > 0 {
			free[p.Name()] = n
		}
	}
	for _, team := range s.Ledger.Teams() {
		if shape := s.running[team]; shape != (provider.Shape{}) {
			running[team] = shape
		}
		if n := startable[team]; n > 0 {
			slotDemand[team] = n
		}
		uncovered += s.Ledger.Uncovered(team)
	}
	return peer.NewDigest(s.EntryVM, s.Incarnation, s.config.Version(), s.reads.tableReachable).
		WithFreeSlots(free).WithRunning(running).WithSlotDemand(slotDemand).
		WithUncovered(uncovered).WithDraining(s.drain.started)
}

// heartbeatReply returns the digest that answers a heartbeat of another entry VM.
func (s *State) heartbeatReply(member string) peer.Digest {
	return s.fullDigest().WithRecognized(s.FreshnessLease.Recognizes(member))
}

func (s *State) heartbeatEnded(e HeartbeatEnded) {
	s.membershipEvent(membership.NewHeartbeatEnded(e.peer, e.ok, e.sent))
	if !e.ok {
		return
	}
	s.digestReceived(e.digest)
	if e.digest.Recognized() {
		s.FreshnessLease.HeartbeatReplied(e.peer, e.sent, e.digest.ConfigurationVersion())
		s.Propagation.Recognized(e.peer, s.now)
	}
	s.Propagation.Acknowledged(e.peer, e.digest.ConfigurationVersion())
	if e.digest.ConfigurationVersion() > s.config.Version() {
		s.reads.configDue = s.now
	}
	s.answerChangeWaiters()
}

func (s *State) heartbeatReceived(e HeartbeatReceived) {
	id := e.digest.Member()
	s.membershipEvent(membership.NewHeartbeatReceived(id))
	if e.digest.HasLoad() {
		s.digestReceived(e.digest)
	}
	s.Propagation.Acknowledged(id, e.digest.ConfigurationVersion())
	s.emit(HeartbeatReply{ticket: e.ticket, digest: s.heartbeatReply(id)})
}

// digestReceived stores the digest of another entry VM.
func (s *State) digestReceived(d peer.Digest) {
	p, ok := s.peers[d.Member()]
	if !ok {
		p = &peerState{}
		s.peers[d.Member()] = p
	}
	if d.Draining() && !p.digest.Draining() {
		s.membershipEvent(membership.NewPeerDraining(d.Member()))
	}
	p.digest, p.receivedAt = d, s.now
	p.forwardedSince = make(map[string]int)
	s.updateRemoteUsage()
}

// updateRemoteUsage sets the capacity that other entry VMs use for each team, from their recent digests.
func (s *State) updateRemoteUsage() {
	var digests []peer.Digest
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) <= digestLifetime {
			digests = append(digests, p.digest)
		}
	}
	for _, t := range s.config.Catalogue().Teams() {
		var sum provider.Shape
		for _, d := range digests {
			sum = sum.Plus(d.Running(t.Name()))
		}
		s.Queue.Shares.SetRemoteUse(t.Name(), sum)
	}
}

// peerShortOfSlots reports whether another entry VM is short of slots for queued work of a team.
func (s *State) peerShortOfSlots(team string) bool {
	for _, p := range s.peers {
		if s.now.Sub(p.receivedAt) <= digestLifetime && p.digest.SlotDemand(team) > 0 {
			return true
		}
	}
	return false
}

// peersCovered reports whether every other member has sent a recent digest and its slices cover all tasks that it runs.
func (s *State) peersCovered() bool {
	for _, id := range s.FreshnessLease.Members() {
		if id == s.EntryVM {
			continue
		}
		p, ok := s.peers[id]
		if !ok || s.now.Sub(p.receivedAt) > digestLifetime || p.digest.Uncovered() > 0 {
			return false
		}
	}
	return true
}

// acceptsWork reports whether a peer's digest is recent, the peer isn't avoided after a refusal, and it isn't stopping.
func (p *peerState) acceptsWork(now time.Time) bool {
	return p.forwardedSince != nil && now.Sub(p.receivedAt) <= digestLifetime &&
		!now.Before(p.avoidUntil) && !p.digest.Draining()
}

// freeSlots returns the number of free slots that a peer has left in a pool, 0 if it doesn't accept work. It is
// negative if more was forwarded than the digest allowed.
func (p *peerState) freeSlots(pool string, now time.Time) int {
	if !p.acceptsWork(now) {
		return 0
	}
	return p.digest.FreeSlots(pool) - p.forwardedSince[pool]
}

// peerWithFreeSlots returns the live peer with the most free slots in a pool, empty if none has any. Peers in an
// availability zone that is out of service are excluded: they start nothing, although their last digest may list free
// slots.
func (s *State) peerWithFreeSlots(pool string) string {
	best, most := "", 0
	out := s.membersOut()
	for _, id := range s.Membership.Live() {
		p, ok := s.peers[id]
		if !ok || id == s.EntryVM || slices.Contains(out, id) {
			continue
		}
		if n := p.freeSlots(pool, s.now); n > most {
			best, most = id, n
		}
	}
	return best
}

// membersOut returns the live entry VMs in availability zones that are out of service.
func (s *State) membersOut() []string {
	var ids []string
	for _, zone := range s.config.Zones() {
		if s.config.Zone(zone).OutOfService() {
			ids = append(ids, s.Membership.LiveInZone(zone)...)
		}
	}
	return ids
}

// peerServingPool returns the live peer with the most free slots, of any pool, in the availability zones that have
// backend servers of the pool in service. It returns an empty id if there is none.
func (s *State) peerServingPool(pool string) string {
	zones := make(map[string]bool)
	for id, v := range s.vms {
		if s.serves(id, pool) {
			zones[v.Zone()] = true
		}
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for _, id := range s.Membership.LiveInZone(zone) {
			if id != s.EntryVM && (best == "" || s.totalFreeSlots(best) < s.totalFreeSlots(id)) {
				best = id
			}
		}
	}
	return best
}

// ownerOfPool returns a live peer that should own a backend server of a pool by rendezvous hashing, in this entry VM's
// availability zone if possible, empty if there is none. Of several, the request id selects one. Digests can't be used
// here: they list free slots only, so a peer whose servers are all busy looks like one without servers.
func (s *State) ownerOfPool(pool, id string) string {
	var sameZone, otherZones []string
	live := make(map[string][]string)
	for server, v := range s.vms {
		if !s.serves(server, pool) {
			continue
		}
		members, ok := live[v.Zone()]
		if !ok {
			members = s.Membership.LiveInZone(v.Zone())
			live[v.Zone()] = members
		}
		owner := ownership.Preferred(server, members)
		if p, ok := s.peers[owner]; !ok || owner == s.EntryVM || !p.acceptsWork(s.now) {
			continue
		}
		if v.Zone() == s.Zone {
			sameZone = append(sameZone, owner)
		} else {
			otherZones = append(otherZones, owner)
		}
	}
	if len(sameZone) > 0 {
		return ownership.Preferred(id, sameZone)
	}
	return ownership.Preferred(id, otherZones)
}

// totalFreeSlots returns the free slots of a peer in all pools, -1 if no digest of the peer is known.
func (s *State) totalFreeSlots(id string) int {
	p, ok := s.peers[id]
	if !ok {
		return -1
	}
	total := 0
	for _, pool := range p.digest.Pools() {
		total += p.digest.FreeSlots(pool)
	}
	return total
}

// moveWaiting moves queued work of pools without free slots here to entry VMs with free slots.
func (s *State) moveWaiting() {
	moved := 0
	for _, pool := range s.Queue.Pools() {
		if s.mayStartHere() && s.Placer.FreeSlots(pool) > 0 {
			continue
		}
		for moved < maxMovesPerTick && s.moveFirstWaiting(pool) {
			moved++
		}
	}
}

// moveFirstWaiting moves the first queued request of a pool that may be moved, and reports whether there was one.
func (s *State) moveFirstWaiting(pool string) bool {
	to := s.peerWithFreeSlots(pool)
	if to == "" {
		return false
	}
	w := s.pickMovable(pool)
	if w == nil {
		return false
	}
	if w.isCall() {
		s.forward(w, to)
		return true
	}
	s.handOverJob(w, to)
	return true
}

// pickMovable removes the first queued request of a pool that another entry VM may run from the queue. It returns nil
// if there is none.
func (s *State) pickMovable(pool string) *workItem {
	var found *workItem
	s.Queue.Pick(pool, s.now, func(q queue.Request) bool {
		w, ok := s.workItems[q.ID()]
		if !ok || w.phase != phaseQueued || (w.isCall() && w.started) {
			return false
		}
		row := s.jobs[q.ID()]
		// A call is forwarded only once. The exception is an entry VM whose zone is out of service: it starts nothing,
		// so it forwards the call again.
		if (w.isCall() && w.request.hops > 0 && !s.config.Zone(s.Zone).OutOfService()) ||
			(!w.isCall() && (row == nil || row.pending)) {
			return false
		}
		found = w
		return true
	})
	return found
}
