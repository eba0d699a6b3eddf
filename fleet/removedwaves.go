package fleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
)

// lateRequestTime is how long after a request for a VM that had no response the platform may still carry it out: up to 12 s, and the
// time of the request.
const lateRequestTime = 15 * time.Second

// abandonedRequest is a request for the maintenance of a VM that is no longer part of its wave. It isn't repeated, but may still
// be carried out.
type abandonedRequest struct {
	wave     int64
	server   string // of the VM when the request was first sent
	sentAt   time.Time
	inFlight bool
}

func (s *State) cancelWave(name string) {
	if w, known := s.waves[name]; known {
		klog.InfoS("Wave removed", "wave", name, "vms", len(w.spec.VMs), "begun", len(w.begunAt))
		delete(s.waves, name)
		s.releaseVMs(w, nil)
	}
}

// releaseVMs returns the VMs to service that are no longer part of a wave: those that it drains at once, those with an open
// request once the outcome is known or the request can't be carried out any more.
func (s *State) releaseVMs(w *wave, kept []string) {
	for _, vm := range w.spec.VMs {
		if slices.Contains(kept, vm) {
			continue
		}
		if sentAt := w.requestedAt[vm]; !sentAt.IsZero() {
			s.abandoned[vm] = abandonedRequest{
				wave: w.spec.Number, server: w.server[vm], sentAt: sentAt, inFlight: w.inFlight[vm],
			}
		}
		delete(w.requestedAt, vm)
		delete(w.inFlight, vm)
		delete(w.drainingSince, vm)
		s.uncordonVM(vm)
	}
}

// uncordonVM lets the servers of a VM get runs again, unless the VM is still being drained, maintained or moved.
func (s *State) uncordonVM(vm string) {
	if s.inMaintenance(vm) {
		return
	}
	if v, known := s.servers[s.vms[vm].Server]; known {
		s.uncordon(v)
	}
	for _, v := range s.serversByVM[vm] {
		s.uncordon(v)
	}
}

// uncordon lets a server get runs again, unless its VM is still being drained, maintained or moved.
func (s *State) uncordon(v *server) {
	if !v.cordoned || !v.retiredAt.IsZero() || s.hasOpenRequest(v.reg) || s.inMaintenance(v.reg.VM) {
		return
	}
	if m, moving := s.moves[v.reg.VM]; moving && m.server == v.id {
		return
	}
	v.cordoned, s.placeAll = false, true
}

// abandonedRequestEnded handles the outcome of a request for the maintenance of a VM that is no longer part of the wave.
func (s *State) abandonedRequestEnded(e MaintenanceEnded, now time.Time) {
	r, known := s.abandoned[e.VM]
	if !known || r.wave != e.Wave {
		return
	}
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		delete(s.abandoned, e.VM)
		if v, known := s.servers[r.server]; known {
			s.retire(v, "maintenance", now)
		}
	case backend.Refused:
		if o.Reason == backend.RefusedStaleToken {
			s.depose("vm-knows-newer-token")
			return
		}
		delete(s.abandoned, e.VM)
		s.uncordonVM(e.VM)
	case backend.OutcomeUnknown, backend.Reported:
		r.inFlight, r.sentAt = false, now
		s.abandoned[e.VM] = r
	}
}

// releaseAbandoned returns the servers to service whose VMs' abandoned requests can't be carried out any more.
func (s *State) releaseAbandoned(now time.Time) {
	for vm, r := range s.abandoned {
		if !r.inFlight && now.Sub(r.sentAt) >= lateRequestTime {
			delete(s.abandoned, vm)
			s.uncordonVM(vm)
		}
	}
}

// replaceWave sets another content of a wave's row.
func (s *State) replaceWave(w *wave, spec directory.Wave, now time.Time) {
	klog.InfoS("Wave replaced", "wave", spec.Name, "version", spec.Version, "previous-version", w.spec.Version,
		"vms", len(spec.VMs), "previous-vms", len(w.spec.VMs))
	s.releaseVMs(w, spec.VMs)
	w.reopen(now)
	w.spec = spec
}
