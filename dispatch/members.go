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

// peerState is what is known of another entry VM from its last digest.
type peerState struct {
	digest peer.Digest
	// heard is when the digest was received.
	heard time.Time
	// forwarded counts, by pool, what was sent there since the digest, so that one digest isn't spent twice.
	forwarded map[string]int
	// avoidUntil is set after the peer refused work.
	avoidUntil time.Time
}

// memberRow is the stored form of a member.
type memberRow struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Joined  int64  `json:"joined-unix-ms"`
}

// members passes an event to the membership decisions and maps their effects.
func (s *State) members(e membership.Event) {
	for _, f := range s.Members.Handle(e, s.now) {
		switch f := f.(type) {
		case membership.SendHeartbeat:
			s.emit(Heartbeat{peer: f.Peer(), address: s.Members.Address(f.Peer()), digest: s.bareDigest()})
		case membership.PeerUp, membership.PeerDown:
			s.count("membership_changes")
		case membership.WriteMemberRow:
			s.writeMemberRow()
		case membership.DeleteMemberRow:
			s.deleteMemberRow(f.ID())
		}
	}
	// The ownership decisions rank all backend servers of the zone again, so they are told of changes only.
	if live := s.Members.LiveInZone(s.Zone); s.owning == nil || !slices.Equal(live, s.owning) {
		s.owning = append([]string{}, live...)
		s.owners(ownership.NewMembersChanged(live))
	}
}

func (s *State) membersListed(vms []provider.VM) {
	s.members(membership.NewVMsListed(vms))
	present := make(map[string]bool, len(vms))
	for _, v := range vms {
		if v.Role() == provider.RoleEntry {
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
		panic(err) // a struct of strings and numbers always encodes
	}
	t := provider.NewTransaction(nil, []provider.Write{provider.NewPut(memberPrefix+s.Self, data)})
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

// isLive reports whether an entry VM is live as seen from here.
func (s *State) isLive(id string) bool { return s.Members.IsLive(id) }

// bareDigest is what a heartbeat carries. The tables go with the replies only: two entry VMs send each other heartbeats,
// so each still hears the other's tables once a second, at half of the bytes (R28).
func (s *State) bareDigest() peer.Digest {
	uncovered := 0
	for _, team := range s.Ledger.Teams() {
		uncovered += s.Ledger.Uncovered(team)
	}
	return peer.NewDigest(s.Self, s.Incarnation, s.config.Version(), s.reads.tableReachable).
		WithUncovered(uncovered).WithoutTables()
}

// digest describes this entry VM to its peers.
func (s *State) digest() peer.Digest {
	free := make(map[string]int)
	running := make(map[string]provider.Shape)
	wanted := make(map[string]int)
	startable := s.startable()
	uncovered := 0
	open := s.mayStartHere() && !s.drain.started
	for _, p := range s.config.Catalogue().Pools() {
		if n := s.Chooser.FreeSlots(p.Name()); open && n > 0 {
			free[p.Name()] = n
		}
	}
	for _, team := range s.Ledger.Teams() {
		if shape := s.running[team]; shape != (provider.Shape{}) {
			running[team] = shape
		}
		if n := startable[team]; n > 0 {
			wanted[team] = n
		}
		uncovered += s.Ledger.Uncovered(team)
	}
	return peer.NewDigest(s.Self, s.Incarnation, s.config.Version(), s.reads.tableReachable).
		WithFreeSlots(free).WithRunning(running).WithWanted(wanted).WithUncovered(uncovered).WithLeaving(s.drain.started)
}

// digestFor returns the answer to a heartbeat of another entry VM.
func (s *State) digestFor(member string) peer.Digest {
	return s.digest().WithRecognized(s.Grant.Recognizes(member))
}

func (s *State) heartbeatEnded(e HeartbeatEnded) {
	s.members(membership.NewHeartbeatEnded(e.peer, e.ok, e.sent))
	if !e.ok {
		return
	}
	s.heard(e.digest)
	if e.digest.Recognized() {
		s.Grant.HeartbeatAnswered(e.peer, e.sent, e.digest.ConfigurationVersion())
		s.Acceptance.Recognized(e.peer, s.now)
	}
	s.Acceptance.Acknowledged(e.peer, e.digest.ConfigurationVersion())
	if e.digest.ConfigurationVersion() > s.config.Version() {
		s.reads.configDue = s.now
	}
	s.checkChanges()
}

func (s *State) heartbeatHeard(e HeartbeatHeard) {
	id := e.digest.Member()
	s.members(membership.NewHeartbeatReceived(id))
	if e.digest.HasTables() {
		s.heard(e.digest)
	}
	s.Acceptance.Acknowledged(id, e.digest.ConfigurationVersion())
	s.emit(Greet{ticket: e.ticket, digest: s.digestFor(id)})
}

func (s *State) heard(d peer.Digest) {
	p, ok := s.peers[d.Member()]
	if !ok {
		p = &peerState{}
		s.peers[d.Member()] = p
	}
	if d.Leaving() && !p.digest.Leaving() {
		s.members(membership.NewPeerLeaving(d.Member()))
	}
	p.digest, p.heard = d, s.now
	p.forwarded = make(map[string]int)
	s.sumRemote()
}

// sumRemote sets what other entry VMs run for each team.
func (s *State) sumRemote() {
	var digests []peer.Digest
	for _, p := range s.peers {
		if s.now.Sub(p.heard) <= digestLifetime {
			digests = append(digests, p.digest)
		}
	}
	for _, t := range s.config.Catalogue().Teams() {
		var sum provider.Shape
		for _, d := range digests {
			sum = sum.Plus(d.Running(t.Name()))
		}
		s.Queue.Shares.Remote(t.Name(), sum)
	}
}

// othersWant reports whether another entry VM is short of slots for a team.
func (s *State) othersWant(team string) bool {
	for _, p := range s.peers {
		if s.now.Sub(p.heard) <= digestLifetime && p.digest.Wanted(team) > 0 {
			return true
		}
	}
	return false
}

// allCovered reports whether every other member was heard of lately and runs nothing beyond its slices.
func (s *State) allCovered() bool {
	for _, id := range s.Grant.Members() {
		if id == s.Self {
			continue
		}
		p, ok := s.peers[id]
		if !ok || s.now.Sub(p.heard) > digestLifetime || p.digest.Uncovered() > 0 {
			return false
		}
	}
	return true
}

// takes reports whether a peer was heard of lately, has refused nothing lately and isn't stopping.
func (p *peerState) takes(now time.Time) bool {
	return p.forwarded != nil && now.Sub(p.heard) <= digestLifetime && !now.Before(p.avoidUntil) && !p.digest.Leaving()
}

// room returns how many free slots a peer has left in a pool.
func (p *peerState) room(pool string, now time.Time) int {
	if !p.takes(now) {
		return 0
	}
	return p.digest.FreeSlots(pool) - p.forwarded[pool]
}

// peerWithRoom returns the live peer with the most free slots in a pool, empty if none has any. A peer in an availability
// zone that is out starts nothing, although its last digest may tell of free slots.
func (s *State) peerWithRoom(pool string) string {
	best, most := "", 0
	out := s.membersOut()
	for _, id := range s.Members.Live() {
		p, ok := s.peers[id]
		if !ok || id == s.Self || slices.Contains(out, id) {
			continue
		}
		if n := p.room(pool, s.now); n > most {
			best, most = id, n
		}
	}
	return best
}

// membersOut returns the live entry VMs of the availability zones that are out.
func (s *State) membersOut() []string {
	var ids []string
	for _, zone := range s.config.Zones() {
		if s.config.Zone(zone).Out() {
			ids = append(ids, s.Members.LiveInZone(zone)...)
		}
	}
	return ids
}

// hasRoomHere reports whether this entry VM could start work of a pool now.
func (s *State) hasRoomHere(pool string) bool {
	return s.mayStartHere() && s.Chooser.FreeSlots(pool) > 0 && !s.Queue.Waiting(pool)
}

// forwardIfBetter forwards a call if this entry VM has no room and another has.
func (s *State) forwardIfBetter(w *work) bool {
	if s.hasRoomHere(w.pool) {
		return false
	}
	to := s.peerWithRoom(w.pool)
	if to == "" {
		return false
	}
	s.forward(w, to)
	return true
}

func (s *State) forward(w *work, to string) {
	w.phase, w.server = phaseForwarded, to
	s.peers[to].forwarded[w.pool]++
	s.count("forwarded")
	s.emit(Forward{peer: to, address: s.Members.Address(to), request: w.request, attempt: w.attempt})
}

// forwardEnded handles the answer of the entry VM that a call was forwarded to.
func (s *State) forwardEnded(e ForwardEnded) {
	w, ok := s.works[e.id]
	if !ok || w.phase != phaseForwarded || w.server != e.peer {
		return
	}
	w.server = ""
	if len(w.asked) > 0 {
		s.ownerAnswered(w, e.outcome)
		return
	}
	switch o := e.outcome.(type) {
	case peer.Answered:
		if !o.Whole() {
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
	case peer.Unknown:
		s.avoidPeer(e.peer)
		s.forwardLost(w)
	}
}

func (s *State) avoidPeer(id string) {
	if p, ok := s.peers[id]; ok {
		p.avoidUntil = s.now.Add(avoidPeerTime)
	}
}

// forwardRefused passes a refusal on, unless this entry VM can do the work itself. The refusal of a named
// non-idempotent request has closed its claim, so it is final.
func (s *State) forwardRefused(w *work, from string, n peer.NotRun) {
	s.avoidPeer(from)
	refusal := NewNotRun(n.Code(), n.Message(), n.RetryAfter())
	s.followEntry(w)
	if passing(n) && w.reroutes < maxReroutes && !w.expired(s.now) {
		w.reroutes++
		s.enqueue(w)
		return
	}
	if n.RetryAfter() == 0 || (!w.idempotent && w.request.named) {
		s.finishRefused(w, refusal)
		return
	}
	s.enqueueOrRefuse(w, refusal)
}

func (s *State) enqueueOrRefuse(w *work, n NotRun) {
	if s.mayStartHere() && s.Chooser.Capacity(w.pool).Slots() > 0 {
		s.enqueueHere(w)
		return
	}
	w.phase = phaseRefusing
	s.refuse(w, n)
}

// forwardLost handles a call that may be running at another entry VM. Idempotent work is tried again here; other work
// is closed by its claim, which succeeds only if it was never started.
func (s *State) forwardLost(w *work) {
	if w.idempotent {
		if !s.mayRetry(w) {
			s.finishUnresolved(w, CodeLostContact, "contact with the entry VM that ran the request was lost")
			return
		}
		s.count("retries_after_loss")
		w.started = true
		s.retry(w)
		return
	}
	if w.claimVersion != 0 {
		// The peer may have started a further attempt under the claim.
		s.finishUnresolved(w, CodeLostContact, "contact with the entry VM that has the request was lost")
		return
	}
	s.closeClaim(w, NewNotRun(CodeLostContact, "contact was lost before the request started", retryAfterBusy))
}

// peerWithCapacity returns a live peer that is known to serve a pool although it has no room now.
func (s *State) peerWithCapacity(pool string) string {
	zones := make(map[string]bool)
	for id, v := range s.vms {
		if s.serves(id, pool) {
			zones[v.Zone()] = true
		}
	}
	best := ""
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		for _, id := range s.Members.LiveInZone(zone) {
			if id != s.Self && (best == "" || s.room(best) < s.room(id)) {
				best = id
			}
		}
	}
	return best
}

// ownerOfPool returns the live peer that should own a backend server of a pool, in the own availability zone if
// possible, empty if there is none. The request id decides between several. Digests tell only of free slots, so a peer
// whose servers are all busy can't be told from one without servers.
func (s *State) ownerOfPool(pool, id string) string {
	var near, far []string
	live := make(map[string][]string)
	for server, v := range s.vms {
		if !s.serves(server, pool) {
			continue
		}
		members, ok := live[v.Zone()]
		if !ok {
			members = s.Members.LiveInZone(v.Zone())
			live[v.Zone()] = members
		}
		owner := ownership.Preferred(server, members)
		if p, ok := s.peers[owner]; !ok || owner == s.Self || !p.takes(s.now) {
			continue
		}
		if v.Zone() == s.Zone {
			near = append(near, owner)
		} else {
			far = append(far, owner)
		}
	}
	if len(near) > 0 {
		return ownership.Preferred(id, near)
	}
	return ownership.Preferred(id, far)
}

func (s *State) room(id string) int {
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

// moveWaiting hands waiting work to entry VMs that have room while this one has none.
func (s *State) moveWaiting() {
	moved := 0
	for _, pool := range s.Queue.Pools() {
		if s.mayStartHere() && s.Chooser.FreeSlots(pool) > 0 {
			continue
		}
		for moved < maxMovesPerTick && s.moveOne(pool) {
			moved++
		}
	}
}

// moveOne forwards the first waiting request of a pool that may move.
func (s *State) moveOne(pool string) bool {
	to := s.peerWithRoom(pool)
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

// pickMovable takes the first waiting request of a pool out of the queue that another entry VM may run.
func (s *State) pickMovable(pool string) *work {
	var found *work
	s.Queue.Pick(pool, s.now, func(q queue.Request) bool {
		w, ok := s.works[q.ID()]
		if !ok || w.phase != phaseQueued || (w.isCall() && w.started) {
			return false
		}
		row := s.jobs[q.ID()]
		// A call is forwarded once only, unless nothing starts here any more.
		if (w.isCall() && w.request.hops > 0 && !s.config.Zone(s.Zone).Out()) || (!w.isCall() && (row == nil || row.busy)) {
			return false
		}
		found = w
		return true
	})
	return found
}
