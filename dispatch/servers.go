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

// ownershipEvent passes an event to the ownership state and carries out its effects.
func (s *State) ownershipEvent(e ownership.Event) {
	for _, f := range s.Ownership.Handle(e, s.now) {
		switch f := f.(type) {
		case ownership.Acquire:
			s.emit(Acquire{server: f.Server()})
		case ownership.Report:
			s.emit(Report{server: f.Server(), epoch: f.Epoch()})
		case ownership.Release:
			s.emit(Release{server: f.Server(), epoch: f.Epoch()})
		case ownership.Gained:
			s.serverGained(f.Server(), f.Tasks())
		case ownership.Lost:
			s.serverLost(f.Server())
		case ownership.Reported:
			delete(s.unreachableSince, f.Server())
			s.serverReported(f.Server(), f.Report())
		}
	}
}

// serverGained starts using a backend server whose lease was acquired, and adopts the tasks that it runs.
func (s *State) serverGained(server string, tasks []provider.TaskStatus) {
	s.count("servers_gained")
	s.setServer(server)
	s.setCapacity()
	for _, t := range tasks {
		s.adoptTask(server, t)
	}
	s.adoptJobsOn(server)
}

// adoptTask counts a task on an owned backend server that another entry VM started, or this one under an earlier lease.
func (s *State) adoptTask(server string, t provider.TaskStatus) {
	k := runKey{server: server, id: t.ID(), attempt: t.Attempt()}
	if _, held := s.workItems[t.ID()]; !held {
		epoch, _ := s.Ownership.Epoch(server)
		s.discovered[t.ID()] = discoveredRun{key: k, epoch: epoch, reportedAt: s.now}
	}
	if t.Finished() {
		s.fetchOrphanAnswer(server, t)
		return
	}
	if r, ok := s.runs[k]; ok {
		s.restoreRun(r, t.Holder())
		return
	}
	r := &run{
		key: k, team: t.Team(), entry: t.Entry(), shape: t.Shape(), sentAt: s.now,
		adopted: true, orphaned: true,
	}
	s.addRun(r)
	s.Ledger.Adopt(r.team, 1)
	s.Ledger.RequestMove(r.team, t.Holder(), 1)
	s.Placer.Reserve(server, reservationKey(t.ID(), t.Attempt()), t.Shape())
	s.count("runs_adopted")
}

// fetchOrphanAnswer requests the answer of a finished non-idempotent call that has no work item here.
func (s *State) fetchOrphanAnswer(server string, t provider.TaskStatus) {
	entry, known := s.config.Catalogue().Entry(t.Entry())
	_, isJob := s.jobs[t.ID()]
	epoch, owned := s.Ownership.Epoch(server)
	if !known || entry.Idempotent() || isJob || !owned {
		return
	}
	if _, held := s.workItems[t.ID()]; held {
		return
	}
	s.emit(Close{server: server, epoch: epoch, id: t.ID(), attempt: t.Attempt()})
}

// restoreRun counts a run again after the lease of its backend server was lost and acquired again. FormerHolder is the
// entry VM that held the task last.
func (s *State) restoreRun(r *run, formerHolder string) {
	if r.leaseLostAt.IsZero() {
		return
	}
	r.leaseLostAt = zeroTime
	if s.Ledger.RegainLost(r.team, 1) == 0 {
		// Another entry VM owned the server in between and has taken over the slot.
		s.Ledger.Adopt(r.team, 1)
		s.Ledger.RequestMove(r.team, formerHolder, 1)
	}
	s.Placer.Reserve(r.key.server, reservationKey(r.key.id, r.key.attempt), r.shape)
}

// serverLost stops using a backend server whose lease was lost. Its runs stay counted in their teams' slices until they
// are known to have ended, or until another entry VM has taken over the tasks and their slots.
func (s *State) serverLost(server string) {
	s.count("servers_lost")
	s.setServer(server)
	s.setCapacity()
	for _, k := range s.runsOf(server) {
		r := s.runs[k]
		if !r.leaseLostAt.IsZero() {
			continue
		}
		r.leaseLostAt, r.closing = s.now, false
		s.lastServerLoss[r.team] = s.now
		s.Ledger.MarkLost(r.team, 1)
		s.Placer.Release(server, reservationKey(k.id, k.attempt))
	}
}

// runsOf returns the keys of the runs on a backend server, sorted.
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

// serverReported compares the tasks that a backend server reported with the runs counted for it. It adopts unknown
// tasks, ends orphaned runs whose task has finished, and closes orphaned runs that weren't reported.
func (s *State) serverReported(server string, report provider.Report) {
	present := make(map[runKey]bool, len(report.Tasks()))
	for _, t := range report.Tasks() {
		k := runKey{server: server, id: t.ID(), attempt: t.Attempt()}
		present[k] = !t.Finished()
		if _, known := s.runs[k]; !known && !t.Finished() {
			s.adoptTask(server, t)
		}
	}
	for _, k := range s.runsOf(server) {
		r := s.runs[k]
		running, listed := present[k]
		switch {
		case running:
		case r.orphaned && listed:
			s.endRun(k)
		case r.orphaned:
			s.closeRun(r)
		}
	}
}

// expireRuns ends the runs on lost backend servers whose task lease has passed. Their tasks have stopped by then, or
// another entry VM has adopted them and takes over their slots. It also removes discovered attempts that have no job
// row after discoveredRunLifetime.
func (s *State) expireRuns() {
	for _, k := range s.lostRuns() {
		if s.now.Sub(s.runs[k].leaseLostAt) > taskLease+taskLeaseGuard {
			s.endRun(k)
		}
	}
	s.releaseLostSlots()
	for id, d := range s.discovered {
		if _, isJob := s.jobs[id]; !isJob && s.now.Sub(d.reportedAt) > discoveredRunLifetime {
			delete(s.discovered, id)
		}
	}
}

// releaseLostSlots releases the slots of lost runs that no entry VM adopted. It does so once the task lease has passed,
// every other member has reported that its slices cover all adopted tasks, and the slice rows were read after that. All
// transfers of slots are known then.
func (s *State) releaseLostSlots() {
	if !s.peersCovered() {
		s.coveredSince = zeroTime
		return
	}
	if s.coveredSince.IsZero() {
		s.coveredSince = s.now
	}
	if s.sliceReadAt.Sub(s.coveredSince) <= digestLifetime {
		return
	}
	for _, team := range slices.Sorted(maps.Keys(s.lastServerLoss)) {
		if s.now.Sub(s.lastServerLoss[team]) > taskLease+taskLeaseGuard+digestLifetime {
			s.Ledger.ReleaseLost(team, math.MaxInt)
			delete(s.lastServerLoss, team)
		}
	}
}

// lostRuns returns the keys of the runs whose backend server's lease was lost, sorted.
func (s *State) lostRuns() []runKey {
	var keys []runKey
	for k, r := range s.runs {
		if !r.leaseLostAt.IsZero() {
			keys = append(keys, k)
		}
	}
	sortRunKeys(keys)
	return keys
}

// setServer updates a backend server in the placement state.
func (s *State) setServer(server string) {
	v, ok := s.vms[server]
	if !ok {
		return
	}
	s.Placer.SetServer(
		placement.NewServer(v.ID(), v.Zone(), v.Rack(), s.poolOf(server), v.Shape(), s.usable(server)))
}

// usable reports whether new work may start on a backend server: it is listed, owned by this entry VM, and isn't being
// removed, out of service or handed over.
func (s *State) usable(server string) bool { return s.exclusion(server) == ExclusionNone }

// exclusion returns why no new work may start on a backend server, ExclusionNone if it may.
func (s *State) exclusion(server string) Exclusion {
	v, listed := s.vms[server]
	_, held := s.Ownership.Epoch(server)
	switch {
	case !listed:
		return ExclusionUnlisted
	case v.Leaving():
		return ExclusionLeaving
	case s.config.VM(server).OutOfService():
		return ExclusionVMOut
	case !held:
		return ExclusionNotOwned
	case s.Ownership.HandingOver(server):
		return ExclusionHandingOver
	default:
		return ExclusionNone
	}
}

// refreshServers updates all backend servers in the placement state, which needs them for the size of each pool. Those
// that this entry VM doesn't own are marked as not usable.
func (s *State) refreshServers() {
	for _, server := range slices.Sorted(maps.Keys(s.vms)) {
		s.setServer(server)
	}
	s.setCapacity()
}

// setCapacity updates the capacity of the backend servers owned by this entry VM and of all others, by which the teams'
// shares are computed.
func (s *State) setCapacity() {
	var own, remote provider.Shape
	for id, v := range s.vms {
		if _, held := s.Ownership.Epoch(id); held {
			own = own.Plus(v.Shape())
			continue
		}
		remote = remote.Plus(v.Shape())
	}
	s.Queue.Shares.SetCapacity(own)
	s.Queue.Shares.SetRemoteCapacity(remote)
}

// poolOf returns the pool of a VM: the one in its row, or the spare pool if there is none.
func (s *State) poolOf(server string) string {
	if pool := s.config.VM(server).Pool(); pool != "" {
		return pool
	}
	spare, _ := s.config.Catalogue().SparePool()
	return spare.Name()
}

// listEnded applies a new VM list.
func (s *State) listEnded(e ListEnded) {
	s.reads.listBusy = false
	list, ok := e.outcome.(provider.VMs)
	if !ok {
		s.count("list_unavailable")
		return
	}
	s.vmsListed = true
	s.neverFitCache = make(map[string]bool)
	previous := s.vms
	s.vms = make(map[string]provider.VM)
	var own []provider.VM
	for _, v := range list.VMs() {
		if v.Role() != provider.RoleBackendServer {
			continue
		}
		s.vms[v.ID()] = v
		if v.Zone() == s.Zone {
			own = append(own, v)
		}
	}
	s.membersListed(list.VMs())
	s.ownershipEvent(ownership.NewServersListed(own))
	for id := range previous {
		if _, ok := s.vms[id]; !ok {
			s.Placer.RemoveServer(id)
		}
	}
	s.refreshServers()
}
