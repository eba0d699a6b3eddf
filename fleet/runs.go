package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

// sendStart orders a stored run to start.
func (s *State) sendStart(a *attempt, now time.Time) {
	v := a.server
	if a.inFlight || a.stopWanted {
		return
	}
	if !s.mayTake(v) {
		s.wantStop(a, "server-takes-no-work")
		return
	}
	if !now.Before(s.termUntil) || !v.hasClock || !v.confirmed {
		return
	}
	deadline := v.clockNow(now) + s.lease(now)
	v.granted = max(v.granted, deadline)
	v.granting()
	a.inFlight, a.sent = true, now
	a.tries++
	s.counters.starts.Inc(1)
	klog.V(1).InfoS("Run ordered", "run", a.id(), "server", v.id, "try", a.tries, "term-left", s.termUntil.Sub(now))
	s.emit(Start{Target: v.target(), Order: backend.StartRequest{
		Run: a.id(), Specification: a.task.job.spec.Specification(), LeaseExpiry: deadline, Token: s.Token,
		Checkpoint: a.checkpoint, Ticket: a.ticketFor(),
	}})
}

// mayTake reports whether a server may be sent work now. It may have begun to drain since the work was placed.
func (s *State) mayTake(v *server) bool {
	return v.registered && !v.reg.Draining && !s.zonesOut[v.reg.Zone]
}

func (s *State) attempt(server string, run backend.Run) (*attempt, bool) {
	v, known := s.servers[server]
	if !known {
		return nil, false
	}
	a, known := v.attempts[run]
	return a, known
}

func (s *State) startEnded(e StartEnded, now time.Time) {
	a, known := s.attempt(e.Server, e.Run)
	if !known || a.incarnation != e.Incarnation {
		return
	}
	a.inFlight = false
	v := a.server
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		if a.phase == ordered {
			a.phase, a.since, a.percentAt = running, now, now
		}
		a.answered = now
	case backend.Refused:
		s.startRefused(v, a, o.Reason, now)
	case backend.OutcomeUnknown, backend.Reported:
		klog.InfoS("No answer to an order to start", "run", e.Run, "server", e.Server, "try", a.tries)
		if a.tries >= startTries {
			s.wantStop(a, "no-answer-to-start")
		}
	}
}

func (s *State) startRefused(v *server, a *attempt, reason backend.RefusalReason, now time.Time) {
	if reason == backend.RefusedStaleToken {
		s.depose("server-knows-newer-token")
		return
	}
	if a.phase == running {
		return // an earlier order for the run was carried out
	}
	if a.tries > 1 {
		// An earlier order without an answer may still be carried out, unless the server is told to stop the run.
		s.wantStop(a, "start-refused")
		return
	}
	klog.InfoS("Order to start refused", "run", a.id(), "server", v.id, "reason", reason)
	switch reason {
	case backend.RefusedExpired:
		v.nextLook = now
		a.task.freeAt = now.Add(startRetry)
	case backend.RefusedBusy, backend.RefusedUnreachable, backend.RefusedCapacity, backend.RefusedIncarnation:
		v.restUntil = now.Add(time.Second)
	case backend.RefusedInvalid:
		s.failTask(a.task, v.id)
	case backend.RefusedTicket:
		s.ticketRefused(a.task, v)
	case backend.RefusedOldRun, backend.RefusedStaleToken, backend.RefusedOther:
	}
	s.removeAttempt(a)
}

// wantStop asks for the end of a run.
func (s *State) wantStop(a *attempt, reason string) {
	if a.stopWanted {
		return
	}
	a.stopWanted, a.reason = true, reason
	if a.phase == storing {
		return // it wasn't ordered, and never will be
	}
	s.sendStop(a, time.Time{})
}

func (s *State) sendStop(a *attempt, now time.Time) {
	if a.stopSent || a.stopped || a.server.reg.Address == "" {
		return
	}
	a.stopSent, a.stopAt = true, now
	klog.InfoS("Run told to stop", "run", a.id(), "server", a.server.id, "reason", a.reason)
	s.emit(Stop{Target: a.server.target(), Run: a.id(), Token: s.Token})
}

func (s *State) stopEnded(e StopEnded, now time.Time) {
	a, known := s.attempt(e.Server, e.Run)
	if !known || a.incarnation != e.Incarnation {
		return
	}
	a.stopSent, a.stopAt = false, now
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		a.stopped = true
		// A run that the server never had has no end to report.
		if a.phase != running {
			a.phase, a.answered = running, now
			a.inFlight = false
		}
		a.server.nextLook = now
	case backend.Refused:
		if o.Reason == backend.RefusedStaleToken {
			s.depose("server-knows-newer-token")
		}
	case backend.OutcomeUnknown, backend.Reported:
	}
}

// watchRuns repeats orders without an answer.
func (s *State) watchRuns(v *server, now time.Time) {
	for _, a := range v.attempts {
		switch {
		case a.stopWanted && a.phase == storing:
		case a.stopWanted && !a.stopped && now.Sub(a.stopAt) >= startRetry && v.missed == 0:
			s.sendStop(a, now)
		case a.phase == ordered && !a.inFlight && !a.stopWanted && now.Sub(a.sent) >= startRetry && v.missed == 0:
			s.sendStart(a, now)
		case s.stalled(a):
			s.wantStop(a, "stalled")
			a.task.failedOn = append(a.task.failedOn, v.id)
			v.failures++
		}
	}
}

// stalled reports whether a run stood still between reports. A server that doesn't report tells nothing of its runs.
func (s *State) stalled(a *attempt) bool {
	if a.phase != running || a.stopWanted || a.server.missed > 0 || a.pace < fullPace {
		return false
	}
	spec := a.task.step.spec
	if spec.LongRunning() || spec.BestEffort() || spec.Gang() {
		return false
	}
	return a.server.clockAt.Sub(a.percentAt) >= max(stallTimeout, spec.Estimate())
}

// moveLasting stops the tasks of a server that last, so that they start elsewhere. Those that may not be away stay,
// unless the server leaves anyway. Once the term may be over, another controller may have stopped others of a step.
func (s *State) moveLasting(v *server, reason string, leaves bool) {
	if !leaves && !s.mayStart(s.now) {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() || a.stopWanted {
			continue
		}
		if leaves || s.mayMiss(a) {
			s.wantStop(a, reason)
		}
	}
}

// mayMiss reports whether a task that lasts may be stopped, given the others of its step that are away.
func (s *State) mayMiss(a *attempt) bool {
	st := a.task.step
	if st.spec.MaxUnavailable() == 0 {
		return true
	}
	away := 0
	for _, t := range st.tasks {
		if t != a.task && !t.atWork() {
			away++
		}
	}
	return away < st.spec.MaxUnavailable()
}

// atWork reports whether a task that lasts is at its full share of work.
func (t *task) atWork() bool {
	for _, a := range t.attempts {
		if a.phase == running && !a.stopWanted && a.percent >= 100 && a.server.missed == 0 {
			return true
		}
	}
	return false
}
