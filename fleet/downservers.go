package fleet

import (
	"container/heap"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

// detectDownServers finds the servers that their VMs don't run any more, by a list of VMs that was requested at the given
// time. Their runs have ended, so their tasks needn't wait for the lease to expire. A server that is only partitioned is listed
// as before, and keeps its runs.
//
// A list shows the VMs as they were up to maxListLag before the request, also if an earlier one showed a later state. That the VM was
// down then says nothing about a server that may have started since.
func (s *State) detectDownServers(requestedAt time.Time) {
	for _, v := range s.allServers() {
		if v.reg.VM == "" || !requestedAt.After(v.aliveAt) {
			continue
		}
		state, down := s.hostState(v)
		switch {
		case down && !v.down && v.ranAt(requestedAt.Add(-maxListLag)):
			v.down = true
			s.serverDown(v, state)
		case !down && v.retired && requestedAt.After(v.retiredAt):
			s.pollRetired(v)
		}
	}
}

// pollRetired polls a server that is listed although a request for the move or maintenance of its VM was accepted: the list may be
// older than that, or the request had been done before and the server goes on.
func (s *State) pollRetired(v *server) {
	if v.pollIndex == notQueued && !v.pollInFlight && v.reg.Address != "" {
		v.nextPollAt = s.now
		heap.Push(&s.polls, v)
	}
}

// serverWasNotEnded returns a server to service that has reported since a request for its VM was accepted: the VM had been moved or
// maintained before, so that the request changed nothing.
func (s *State) serverWasNotEnded(v *server) {
	klog.InfoS("Backend server goes on after an accepted request for its VM", "server", v.id, "vm", v.reg.VM)
	v.retired, v.retiredAt = false, time.Time{}
	s.uncordon(v)
}

// hostState returns the state of the VM that ran a server, and whether it has certainly ended the server.
func (s *State) hostState(v *server) (backend.VMState, bool) {
	vm, listed := s.vms[v.reg.VM]
	switch {
	case !listed:
		return backend.VMDown, false // detectRemovedVMs decides
	case vm.State == backend.VMUp && vm.Server == v.id:
		return backend.VMUp, false
	}
	return vm.State, v.failedPolls > 0 || !v.reg.Draining // a draining server may still work on a VM that is leaving
}

// endedWithServer reports whether a run has ended with the incarnation of its server that is known: that one has started it, and no
// later one has.
func (a *attempt) endedWithServer() bool {
	started := a.phase == running || a.phase == restored && a.answerStored && a.incarnation <= a.server.incarnation
	return started && !a.onNextIncarnation
}

// serverDown gives up the runs that a server had when it ended. A run that isn't known to have started is kept until the lease
// expires: its start request may still arrive at the next incarnation. One that has started there goes on.
func (s *State) serverDown(v *server, state backend.VMState) {
	if !v.retired {
		klog.InfoS("Backend server is down", "server", v.id, "vm", v.reg.VM, "vm-state", state, "running", len(v.attempts),
			"report-age", s.now.Sub(v.clockAt), "list-age", s.now.Sub(s.vmsListedAt))
	}
	crashed := state != backend.VMMoving && state != backend.VMMaintenance
	if crashed {
		s.noteServerCrash(v)
	}
	kept := 0
	for _, a := range v.attempts {
		if !a.endedWithServer() {
			kept++
			continue
		}
		if crashed {
			s.recordLoss(a, s.now)
		}
		s.loseRun(a, "vm-"+string(state), s.now)
	}
	if kept > 0 {
		klog.InfoS("Runs wait for the lease of a server that is down", "server", v.id, "vm", v.reg.VM, "runs", kept,
			"lease-left", v.expiresAt.Sub(s.now))
	}
	if crashed {
		s.serverCrashed(v.id, maxIncarnation, "vm-"+string(state))
	}
}

// listedState returns the state of a VM in the latest list, or "not-listed".
func (s *State) listedState(name string) string {
	if vm, listed := s.vms[name]; listed {
		return string(vm.State)
	}
	return "not-listed"
}

// logListedVMs logs which VMs a list doesn't show any more, and which it shows as down, unlike the one before it.
func (s *State) logListedVMs(vms map[string]backend.VM) {
	for name, vm := range s.vms {
		now, listed := vms[name]
		switch {
		case !listed:
			klog.InfoS("VM isn't listed any more", "vm", name, "vm-state", vm.State, "server", vm.Server)
		case now.State == backend.VMDown && vm.State != backend.VMDown:
			klog.InfoS("VM is listed as down", "vm", name, "vm-state", vm.State, "server", vm.Server)
		}
	}
}
