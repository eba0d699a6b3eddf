package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

// logLateVMs logs once, when the time limit of a wave is over, which VMs are left and what each of them waits for.
func (s *State) logLateVMs(w *wave, now time.Time) {
	if w.lateLogged || now.Before(w.firstSeen.Add(w.spec.TimeLimit)) {
		return
	}
	w.lateLogged = true
	for _, name := range w.spec.VMs {
		if _, begun := w.begunAt[name]; begun {
			continue
		}
		vm := s.vms[name]
		running := s.runsOn(name)
		_, draining := w.drainingSince[name]
		klog.InfoS("VM is late for its maintenance wave", "vm", name, "wave", w.spec.Name, "waits-for", s.obstacle(w, name, now),
			"server", vm.Server, "running", running, "draining", draining, "limit", w.spec.TimeLimit,
			"list-age", now.Sub(s.vmsListedAt))
	}
}

// obstacle returns what the maintenance of a VM waits for.
func (s *State) obstacle(w *wave, name string, now time.Time) string {
	vm, listed := s.vms[name]
	_, moving := s.moves[name]
	switch {
	case w.skipped[name]:
		return "nothing, it was refused"
	case w.inFlight[name] || !w.requestedAt[name].IsZero():
		return "response"
	case !listed:
		return "list of VMs, which lacks it"
	case moving:
		return "move"
	case vm.State != backend.VMUp:
		return "vm-" + string(vm.State)
	case s.requestedForOther(w, name):
		return "request of another wave"
	case s.runsOn(name) > 0:
		return s.runningObstacle(w, name, now)
	case s.mayBeRequestedBefore(name) || !s.vmRequestAllowed(name, now):
		return "pause after a change of leader"
	case !s.listIsCurrent(name):
		return "list of VMs, which is older than its server"
	}
	return "other VMs in maintenance"
}

// runningObstacle returns what the runs on a VM wait for.
func (s *State) runningObstacle(w *wave, name string, now time.Time) string {
	for _, v := range s.serversByVM[name] {
		if v.unresponsive() && len(v.attempts) > 0 {
			return "unresponsive server"
		}
		for _, a := range v.attempts {
			if a.task.step.spec.LongRunning() {
				return s.longRunningObstacle(w, a, now)
			}
		}
	}
	return "runs"
}

func (s *State) longRunningObstacle(w *wave, a *attempt, now time.Time) string {
	before, interrupted := w.interruptions[a.task]
	switch {
	case a.stopRequested:
		return "stop of a long-running task"
	case interrupted && before.run != a.runNumber:
		return "long-running task that was stopped before"
	case !s.mayInterrupt(a):
		return "long-running task of which others are unavailable"
	case !s.fitElsewhere(a.task.step, a.server, 1+a.task.step.tasksWithoutPlace(), now):
		return "long-running task that fits on no other server"
	}
	return "long-running task"
}
