package dispatch

import (
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
)

// owners passes an event to the ownership decisions and maps their effects.
func (s *State) owners(e ownership.Event) {
	for _, f := range s.Owners.Handle(e, s.now) {
		switch f := f.(type) {
		case ownership.Acquire:
			s.emit(Acquire{server: f.Server()})
		case ownership.Report:
			s.emit(Report{server: f.Server(), epoch: f.Epoch()})
		case ownership.Release:
			s.emit(Release{server: f.Server(), epoch: f.Epoch()})
		case ownership.Gained:
			s.gained(f.Server(), f.Tasks())
		case ownership.Lost:
			s.lostServer(f.Server())
		case ownership.Reported:
			delete(s.downSince, f.Server())
			s.reported(f.Server(), f.Report())
		}
	}
}

// gained takes a backend server into use together with the tasks that it runs already.
func (s *State) gained(server string, tasks []provider.TaskStatus) {
	s.count("servers_gained")
	s.setServer(server)
	s.setCapacity()
	for _, t := range tasks {
		s.adopt(server, t)
	}
	s.adoptJobs(server)
}

// adopt counts a task that another entry VM, or this one under an earlier lease, started.
func (s *State) adopt(server string, t provider.TaskStatus) {
	k := runKey{server: server, id: t.ID(), attempt: t.Attempt()}
	if _, held := s.works[t.ID()]; !held {
		epoch, _ := s.Owners.Epoch(server)
		s.found[t.ID()] = foundRun{key: k, epoch: epoch, at: s.now}
	}
	if t.Finished() {
		s.fetchOrphan(server, t)
		return
	}
	if r, ok := s.runs[k]; ok {
		s.regain(r, t.Holder())
		return
	}
	r := &run{
		key: k, team: t.Team(), entry: t.Entry(), shape: t.Shape(), sent: s.now,
		adopted: true, orphan: true,
	}
	s.addRun(r)
	s.Ledger.Adopt(r.team, 1)
	s.Ledger.RequestMove(r.team, t.Holder(), 1)
	s.Chooser.Reserve(server, taskKey(t.ID(), t.Attempt()), t.Shape())
	s.count("runs_adopted")
}

// fetchOrphan asks for the answer of a finished non-idempotent call that nobody here waits for.
func (s *State) fetchOrphan(server string, t provider.TaskStatus) {
	entry, known := s.config.Catalogue().Entry(t.Entry())
	_, isJob := s.jobs[t.ID()]
	epoch, owned := s.Owners.Epoch(server)
	if !known || entry.Idempotent() || isJob || !owned {
		return
	}
	if _, held := s.works[t.ID()]; held {
		return
	}
	s.emit(Close{server: server, epoch: epoch, id: t.ID(), attempt: t.Attempt()})
}

// regain puts a run back on a backend server whose lease was lost and acquired again.
func (s *State) regain(r *run, former string) {
	if r.lostAt.IsZero() {
		return
	}
	r.lostAt = zeroTime
	if s.Ledger.RegainLost(r.team, 1) == 0 {
		// Another entry VM owned the server in between and has moved the slot to itself.
		s.Ledger.Adopt(r.team, 1)
		s.Ledger.RequestMove(r.team, former, 1)
	}
	s.Chooser.Reserve(r.key.server, taskKey(r.key.id, r.key.attempt), r.shape)
}

// lostServer stops counting on a backend server. Its runs stay counted in their teams' slices until they have
// provably ended or another entry VM has taken them over together with their part of the slice.
func (s *State) lostServer(server string) {
	s.count("servers_lost")
	s.setServer(server)
	s.setCapacity()
	for _, k := range s.runsOf(server) {
		r := s.runs[k]
		if !r.lostAt.IsZero() {
			continue
		}
		r.lostAt, r.closing = s.now, false
		s.lostAt[r.team] = s.now
		s.Ledger.MarkLost(r.team, 1)
		s.Chooser.Release(server, taskKey(k.id, k.attempt))
	}
}

// runsOf returns the runs of a backend server in a fixed order.
func (s *State) runsOf(server string) []runKey {
	var keys []runKey
	for k := range s.runs {
		if k.server == server {
			keys = append(keys, k)
		}
	}
	sortRunKeys(keys)
	return keys
}

func sortRunKeys(keys []runKey) {
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.server != b.server {
			return a.server < b.server
		}
		if a.id != b.id {
			return a.id < b.id
		}
		return a.attempt < b.attempt
	})
}

// reported compares what a backend server runs with what is counted for it.
func (s *State) reported(server string, report provider.Report) {
	present := make(map[runKey]bool, len(report.Tasks()))
	for _, t := range report.Tasks() {
		k := runKey{server: server, id: t.ID(), attempt: t.Attempt()}
		present[k] = !t.Finished()
		if _, known := s.runs[k]; !known && !t.Finished() {
			s.adopt(server, t)
		}
	}
	for _, k := range s.runsOf(server) {
		r := s.runs[k]
		running, listed := present[k]
		switch {
		case running:
		case r.orphan && listed:
			s.end(k)
		case r.orphan:
			s.closeRun(r)
		}
	}
}

// checkRuns ends the runs on lost backend servers once their task lease has passed: they have stopped by then, or
// another entry VM has adopted them and moves their slots to itself.
func (s *State) checkRuns() {
	for _, k := range s.lostRuns() {
		if s.now.Sub(s.runs[k].lostAt) > taskLease+taskLeaseGuard {
			s.end(k)
		}
	}
	s.settleLost()
	for id, f := range s.found {
		if _, isJob := s.jobs[id]; !isJob && s.now.Sub(f.at) > foundLifetime {
			delete(s.found, id)
		}
	}
}

// settleLost counts off lost runs that nobody adopted. It waits until the task lease has passed, every other member
// says that all it adopted is covered, and the slice rows were read after that: then all moves are known.
func (s *State) settleLost() {
	if !s.allCovered() {
		s.coveredSince = zeroTime
		return
	}
	if s.coveredSince.IsZero() {
		s.coveredSince = s.now
	}
	if s.sliceReadAt.Sub(s.coveredSince) <= digestLifetime {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(s.lostAt)) {
		if s.now.Sub(s.lostAt[team]) > taskLease+taskLeaseGuard+digestLifetime {
			s.Ledger.ReleaseLost(team, math.MaxInt)
			delete(s.lostAt, team)
		}
	}
}

func (s *State) lostRuns() []runKey {
	var keys []runKey
	for k, r := range s.runs {
		if !r.lostAt.IsZero() {
			keys = append(keys, k)
		}
	}
	sortRunKeys(keys)
	return keys
}

// setServer tells the placement about an owned backend server.
func (s *State) setServer(server string) {
	v, ok := s.vms[server]
	if !ok {
		return
	}
	s.Chooser.SetServer(
		placement.NewServer(v.ID(), v.Zone(), v.Rack(), s.poolOf(server), v.Shape(), s.usable(server)))
}

// usable reports whether new work may start on a backend server.
func (s *State) usable(server string) bool {
	v, listed := s.vms[server]
	_, held := s.Owners.Epoch(server)
	return listed && held && !v.Leaving() && !s.config.VM(server).Out() && !s.Owners.HandingOver(server)
}

// refreshServers tells the placement about all backend servers, so that it knows the size of each pool. Those that
// this entry VM doesn't own aren't usable.
func (s *State) refreshServers() {
	for _, server := range slices.Sorted(maps.Keys(s.vms)) {
		s.setServer(server)
	}
	s.setCapacity()
}

// setCapacity tells the shares what this entry VM and the others place work on.
func (s *State) setCapacity() {
	var own, remote provider.Shape
	for id, v := range s.vms {
		if _, held := s.Owners.Epoch(id); held {
			own = own.Plus(v.Shape())
			continue
		}
		remote = remote.Plus(v.Shape())
	}
	s.Queue.Shares.SetCapacity(own)
	s.Queue.Shares.SetRemoteCapacity(remote)
}

// poolOf returns the one pool of a VM: that of its row, or the spare if no row names one.
func (s *State) poolOf(server string) string {
	if pool := s.config.VM(server).Pool(); pool != "" {
		return pool
	}
	spare, _ := s.config.Catalogue().SparePool()
	return spare.Name()
}

// listEnded takes over a new VM list.
func (s *State) listEnded(e Listed) {
	s.reads.listBusy = false
	list, ok := e.outcome.(provider.VMs)
	if !ok {
		s.count("list_unavailable")
		return
	}
	s.listed = true
	s.neverFit = make(map[string]bool)
	former := s.vms
	s.vms = make(map[string]provider.VM)
	var own []provider.VM
	for _, v := range list.VMs() {
		if v.Role() != provider.RoleBackend {
			continue
		}
		s.vms[v.ID()] = v
		if v.Zone() == s.Zone {
			own = append(own, v)
		}
	}
	s.membersListed(list.VMs())
	s.owners(ownership.NewServersListed(own))
	for id := range former {
		if _, ok := s.vms[id]; !ok {
			s.Chooser.RemoveServer(id)
		}
	}
	s.refreshServers()
}
