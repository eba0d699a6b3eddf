package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

// vmList is a list of VMs, by their names, and when it was requested.
type vmList struct {
	vms         map[string]backend.VM
	requestedAt time.Time
}

// removals decides which VMs the platform has removed. Whatever a VM does, the platform lists it: one that crashed or restarts is listed as
// down. A VM that neither of two lists in a row shows is gone for good, if both are from a time when it existed. A single list may
// lack a VM because others were removed while its pages were read.
type removals struct {
	previous, latest map[string]backend.VM
	existedAt        time.Time // the earliest time that the lists may show
	requestedAt      time.Time // of the earlier list
}

func (r removals) lacks(vm string) bool {
	_, before := r.previous[vm]
	_, now := r.latest[vm]
	return vm != "" && !before && !now
}

// detectRemovedVMs gives up the runs and the late starts of servers whose VMs are removed: neither this incarnation of such a server nor
// a later one carries out a start request.
func (s *State) detectRemovedVMs(previous vmList) {
	if len(previous.vms) == 0 || len(s.vms) == 0 {
		return
	}
	r := removals{
		previous: previous.vms, latest: s.vms,
		existedAt: previous.requestedAt.Add(-maxListLag), requestedAt: previous.requestedAt,
	}
	for _, v := range s.allServers() {
		if !v.vmRemoved && r.lacks(v.reg.VM) && v.ranAt(r.existedAt) && r.requestedAt.After(v.aliveAt) && !v.mayRespond() {
			s.vmRemoved(v)
		}
	}
	for id, starts := range s.lateStarts {
		v, known := s.servers[id]
		if known && v.mayRespond() {
			continue
		}
		for _, l := range starts {
			isElsewhere := known && v.reg.VM != "" && v.reg.VM != l.vm
			if r.lacks(l.vm) && l.serverRanAt(r.existedAt) && !isElsewhere {
				s.endLateStart(l, "vm-removed")
			}
		}
	}
}

// serverRanAt reports whether the server of the late start had certainly started at the given time.
func (l *lateStart) serverRanAt(t time.Time) bool {
	return l.knownSince.Before(t) || !mayHaveStartedAfter(l.born, t)
}

// mayRespond reports whether the server has responded to the last poll, or is registered and hasn't been polled yet.
func (v *server) mayRespond() bool { return v.failedPolls == 0 && (v.confirmed || v.registered) }

// vmRemoved gives up all runs of a server whose VM is removed, whether or not it has started them.
func (s *State) vmRemoved(v *server) {
	klog.InfoS("VM of a backend server is removed", "server", v.id, "vm", v.reg.VM, "running", len(v.attempts),
		"late-starts", len(v.lateStarts), "registered", v.registered, "draining", v.reg.Draining, "known-for", s.now.Sub(v.knownSince))
	if !v.down {
		s.noteServerCrash(v)
	}
	v.down, v.vmRemoved = true, true
	for _, a := range v.attempts {
		if a.phase == storing {
			continue // no request is sent to a server that is down
		}
		if a.countsAsLost(maxIncarnation) {
			s.recordLoss(a, s.now)
		}
		s.loseRun(a, "vm-removed", s.now)
	}
	s.endLateStartsOf(v.id, "vm-removed")
	s.serverCrashed(v.id, maxIncarnation, "vm-removed")
}
