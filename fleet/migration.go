package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// placeWaitMargin is how long beyond the maintenance of its VM a task that was stopped for a wave waits at most for a server that isn't
// due. Together they stay below 3 s, which is the longest that a task of an accepted job may be idle while there is capacity.
const placeWaitMargin = 800 * time.Millisecond

// interruption is the stop of a long-running task for a wave.
type interruption struct {
	run        int       // number of the stopped run
	waitsSince time.Time // when the task could first have started on a server that is due
}

// mayInterruptFor reports whether a run of a long-running task may be stopped for a wave. A wave stops one run of a task at most.
func (s *State) mayInterruptFor(w *wave, a *attempt) bool {
	before, interrupted := w.interruptions[a.task]
	return (!interrupted || before.run == a.runNumber) && s.mayInterrupt(a)
}

func (s *State) interruptFor(w *wave, a *attempt) {
	w.interruptions[a.task] = interruption{run: a.runNumber}
	s.requestStop(a, stopMaintenance)
}

// awaitsPlace reports whether a long-running task waits for a server that isn't due for maintenance, because a wave has stopped it before
// and may not stop it again.
func (s *State) awaitsPlace(t *task, now time.Time) bool {
	for _, w := range s.waves {
		i, interrupted := w.interruptions[t]
		if !interrupted {
			continue
		}
		if i.waitsSince.IsZero() {
			i.waitsSince = now // the stop may have taken as long as the lease of an unresponsive server
			w.interruptions[t] = i
		}
		if now.Sub(i.waitsSince) < s.MaintenanceTime+placeWaitMargin {
			return true
		}
	}
	return false
}

// migrateLongRunning stops the long-running tasks of a server that fit on another one. The server's other work
// continues.
func (s *State) migrateLongRunning(w *wave, v *server, now time.Time) {
	if !s.maySendRequests(now) {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() || a.stopRequested || !s.mayInterruptFor(w, a) {
			continue
		}
		if !s.fitElsewhere(a.task.step, v, 1+a.task.step.tasksWithoutPlace(), now) {
			s.noteShortage(a.task.step, v.reg.Pool, 1)
			continue
		}
		s.interruptFor(w, a)
	}
}

// interruptAll stops the long-running tasks of a server that is drained for a wave, also those that fit on no other one yet.
func (s *State) interruptAll(w *wave, v *server, now time.Time) {
	if !s.maySendRequests(now) {
		return // another controller may stop other tasks of the same steps
	}
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() && !a.stopRequested && s.mayInterruptFor(w, a) {
			s.interruptFor(w, a)
		}
	}
}

// tasksWithoutPlace returns the number of tasks of a step that have no run, or only runs that are being stopped.
func (st *step) tasksWithoutPlace() int {
	n := 0
	for _, t := range st.tasks {
		if !t.record.Done && !t.record.GivenUp && !t.hasPlace() {
			n++
		}
	}
	return n
}

func (t *task) hasPlace() bool {
	for _, a := range t.attempts {
		if !a.stopRequested {
			return true
		}
	}
	return false
}

// fitElsewhere reports whether other servers of the pool, not due for maintenance, have the capacity for the given number of long-running
// tasks of a step beside their other long-running tasks. Tasks that end don't count, because long-running tasks are placed before them.
func (s *State) fitElsewhere(st *step, current *server, tasks int, now time.Time) bool {
	p := &placementPool{}
	for _, v := range s.allServers() {
		if v != current && v.reg.Pool == current.reg.Pool && !v.maintenanceDue && s.acceptsPlacement(v, now) {
			p.add(v)
			p.views[len(p.views)-1].Free = v.reg.Capacity.Minus(v.longRunningReserved())
		}
	}
	p.countStepRuns(st)
	s.excludeWithoutTicket(st, p, now)
	for range tasks {
		i := schedule.SelectServer(st.spec, p.views)
		if i < 0 {
			return false
		}
		p.views[i].Free = p.views[i].Free.Minus(st.spec.Reserves())
		p.countRun(i, st)
	}
	return true
}

// longRunningReserved returns the resources that long-running tasks reserve on a server.
func (v *server) longRunningReserved() workload.Resources {
	var total workload.Resources
	if !v.hasLongRunning() {
		return total
	}
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() {
			total = total.Plus(a.reserves)
		}
	}
	return total
}
