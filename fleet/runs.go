package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

// Reasons for stops that may lapse.
const (
	stopUnanswered  = "no-answer-to-start" // the start request had no response, and the server doesn't report the run
	stopMaintenance = "maintenance"        // of the server's VM
	stopServerFails = "server-fails"       // most runs on the server fail
)

// sendStart requests the start of a run whose intent is stored.
func (s *State) sendStart(a *attempt, now time.Time) {
	v := a.server
	if a.inFlight || a.stopRequested {
		return
	}
	if !s.acceptsStarts(v) {
		s.requestStop(a, "server-takes-no-work")
		return
	}
	if !v.hasCapacityFor(a) {
		s.requestStop(a, "server-has-shrunk")
		return
	}
	if a.ticketed && a.ticketFor() == "" {
		s.removeAttempt(a) // the ticket has lapsed, and the record says that the request holds one
		return
	}
	if !now.Before(s.termEndsAt) || !v.hasClock || !v.confirmed || !s.raiseTokenForStart(v) {
		return
	}
	deadline := v.clockNow(now) + s.lease(now)
	v.leaseUntil = max(v.leaseUntil, deadline)
	v.extendExpiry()
	a.inFlight, a.startSentAt, a.startToken = true, now, s.tokenFor(v)
	a.startRequests++
	a.unansweredUntil = a.startableUntil
	if !a.ticketed {
		a.startableUntil = now.Add(maxCallDelay)
	}
	a.earliestClock = v.clock + time.Duration(minClockRate*float64(now.Sub(v.clockAt))) - clockRounding
	s.counters.starts.Inc(1)
	klog.V(1).InfoS("Sending start request", "run", a.id(), "server", v.id, "incarnation", v.incarnation, "token", s.tokenFor(v),
		"term-left", s.termEndsAt.Sub(now))
	s.emit(Start{Target: v.target(), Request: backend.StartRequest{
		Run: a.id(), Specification: a.task.job.spec.Specification(), LeaseExpiry: deadline, Token: s.tokenFor(v),
		Checkpoint: a.checkpoint, Ticket: a.ticketFor(),
	}, ValidUntil: s.termEndsAt})
}

// acceptsStarts reports whether a start request may be sent to a server. The server may have begun to drain since the
// run was placed.
func (s *State) acceptsStarts(v *server) bool {
	return v.registered && v.capacityKnown() && !v.down && !v.hasOrphans && !v.reg.Draining && !s.evacuatedZones[v.reg.Zone]
}

// hasCapacityFor reports whether a run fits on its server beside those that may exist there. The server's capacity may have
// shrunk since the run was placed.
func (v *server) hasCapacityFor(a *attempt) bool {
	if v.reserved.FitsIn(v.reg.Capacity) {
		return true
	}
	needed := a.reserves
	for _, other := range v.attempts {
		if other != a && (other.phase == running || other.phase == restored || !other.startSentAt.IsZero()) {
			needed = needed.Plus(other.reserves)
		}
	}
	return needed.FitsIn(v.reg.Capacity)
}

func (s *State) findAttempt(server string, run backend.Run) (*attempt, bool) {
	v, known := s.servers[server]
	if !known {
		return nil, false
	}
	a, known := v.attempts[run]
	return a, known
}

func (s *State) startEnded(e StartEnded, now time.Time) {
	a, known := s.findAttempt(e.Server, e.Run)
	if !known {
		s.lateStartOutcome(e)
		return
	}
	if a.incarnation != e.Incarnation {
		return
	}
	a.inFlight = false
	v := a.server
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		a.accepted, a.task.job.begun = true, true
		a.startResponded()
		if o.Clock > 0 && (o.Clock < a.earliestClock || o.Clock > v.latestClock(now)) {
			a.onNextIncarnation, a.endsBy = true, s.lateStartExpiry(now)
			s.markChanged(a.task.job)
		}
		if a.phase == requested {
			a.phase, a.startedAt, a.percentChangedAt = running, now, now
			if a.checkpoint == "" {
				a.markProgress(v.clockNow(now), 0)
			}
		}
		a.confirmedAt, v.aliveAt = now, now
		s.storeAnswer(a, now)
	case backend.Refused:
		s.startRefused(v, a, o.Reason, now)
	case backend.OutcomeUnknown, backend.Reported:
		s.counters.unansweredStarts.Inc(1)
		klog.InfoS("No response to start request", "run", e.Run, "server", e.Server, "incarnation", e.Incarnation, "token", v.token,
			"sent-ago", now.Sub(a.startSentAt))
		s.awaitReport(a, stopUnanswered, now)
	}
}

func (s *State) startRefused(v *server, a *attempt, reason backend.RefusalReason, now time.Time) {
	if reason == backend.RefusedStaleToken {
		s.startRefusedByToken(v, a)
		return
	}
	if a.phase == running {
		return // an earlier request started the run
	}
	klog.InfoS("Start request refused", "run", a.id(), "server", v.id, "incarnation", a.incarnation, "reason", reason)
	switch reason {
	case backend.RefusedExpired:
		s.pollAt(v, now)
		a.task.retryAt = now.Add(startRetryDelay)
	case backend.RefusedBusy, backend.RefusedUnreachable, backend.RefusedCapacity, backend.RefusedIncarnation:
		v.cooldownUntil = now.Add(refusalCooldown)
	case backend.RefusedInvalid:
		a.task.startWasInvalid(v, now)
	case backend.RefusedTicket:
		s.discardTicket(a.task, v)
	case backend.RefusedOldRun:
		a.endedThere = true
	case backend.RefusedStaleToken, backend.RefusedOther:
	}
	a.startResponded()
	s.removeAttempt(a)
}

// startWasInvalid delays the next run of a task whose start request a server refused as invalid, and prefers other servers. That
// counts as no attempt, as the server has run nothing: it may be another release that refuses, or something else at its address.
func (t *task) startWasInvalid(v *server, now time.Time) {
	t.avoid(v.id)
	t.retryAt = now.Add(min(startRetryDelay<<min(t.invalidStarts, maxStartDoublings), maxInvalidStartDelay))
	t.invalidStarts++
}

// logLostRun logs why a run is given up, whether its server is known to have started it, and what is known of the server.
func (s *State) logLostRun(a *attempt, reason string, now time.Time) {
	v := a.server
	startAge := time.Duration(-1) // not sent in this term
	if !a.startSentAt.IsZero() {
		startAge = now.Sub(a.startSentAt)
	}
	klog.InfoS("Run lost", "run", a.id(), "server", v.id, "reason", reason, "incarnation", a.incarnation,
		"server-incarnation", v.incarnation, "token", v.token, "start-answered", a.accepted || a.reported || a.answerStored,
		"answer-stored", a.answerStored, "start-age", startAge, "repeated", a.repeated,
		"stop-reason", a.stopReason, "stop-accepted", a.stopAccepted, "restored", a.phase == restored, "registered", v.registered,
		"vm", v.reg.VM, "vm-state", s.listedState(v.reg.VM), "report-age", now.Sub(v.clockAt), "lease-left", v.expiresAt.Sub(now))
}

// startUnanswered reports whether a start request was sent, and neither a response nor a report tells what became of it.
func (a *attempt) startUnanswered() bool {
	return !a.startSentAt.IsZero() && !a.accepted && !a.reported
}

// unansweredStarts returns the number of runs whose start request may still be carried out.
func (v *server) unansweredStarts() int {
	n := 0
	for _, a := range v.attempts {
		if a.startUnanswered() {
			n++
		}
	}
	return n
}

// awaitReport waits for a report after a start request without a response. If the request was carried out, the server's next
// report lists the run. Otherwise a delayed request may still start it: the request is repeated, or the run is stopped for the given
// reason.
func (s *State) awaitReport(a *attempt, reason string, now time.Time) {
	a.awaitsReport, a.stopReason, a.awaitsSince = true, reason, now
	s.pollAt(a.server, now)
}

// requestStop stops a run for the given reason. A run whose intent isn't stored yet is never started.
func (s *State) requestStop(a *attempt, reason string) {
	if a.stopRequested {
		return
	}
	a.stopRequested, a.stopReason = true, reason
	if a.phase == storing {
		return // no start request was or will be sent
	}
	s.sendStop(a, time.Time{})
}

func (s *State) sendStop(a *attempt, now time.Time) {
	if a.stopInFlight || a.stopAccepted || a.server.reg.Address == "" || a.server.needsToken {
		return
	}
	a.stopInFlight, a.stopTriedAt, a.stopToken = true, now, s.tokenFor(a.server)
	s.logStop(a)
	s.emit(Stop{Target: a.server.target(), Run: a.id(), Token: s.tokenFor(a.server)})
}

func (s *State) stopEnded(e StopEnded, now time.Time) {
	a, known := s.findAttempt(e.Server, e.Run)
	if !known || a.incarnation != e.Incarnation {
		return
	}
	a.stopInFlight, a.stopTriedAt = false, now
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		a.stopAccepted = true
		// If the server never had the run, it won't report an end. As "running" the run is removed with the next report
		// that doesn't list it.
		if a.phase != running {
			a.phase, a.confirmedAt = running, now
			a.inFlight = false
		}
		s.pollAt(a.server, now)
	case backend.Refused:
		if o.Reason == backend.RefusedStaleToken && a.stopToken == a.server.token {
			s.depose("server-knows-newer-token")
		}
	case backend.OutcomeUnknown, backend.Reported:
	}
}

// superviseRuns repeats requests without a response and stops stalled runs.
func (s *State) superviseRuns(v *server, now time.Time) {
	for _, a := range v.attempts {
		s.storeAnswer(a, now)
		switch {
		case a.stopRequested && a.phase == storing:
		case a.stopRequested && !a.stopAccepted && now.Sub(a.stopTriedAt) >= startRetryDelay && v.failedPolls == 0:
			s.repeatStop(a, now)
		case a.phase == requested && a.startSentAt.IsZero() && !a.awaitsReport && !a.stopRequested && v.failedPolls == 0:
			s.sendStart(a, now)
		case s.stalled(a):
			s.requestStop(a, "stalled")
			a.task.stalls++
			a.task.avoid(v.id)
			v.consecutiveFailures++
		}
	}
}

// repeatStop sends a stop request again that had no response, unless the run may go on: the first request may have been sent
// seconds ago.
func (s *State) repeatStop(a *attempt, now time.Time) {
	if !a.stopInFlight && a.lacksReport() {
		s.pollAt(a.server, now)
		return
	}
	if a.stopInFlight || !s.mayGoOn(a) {
		s.sendStop(a, now)
		return
	}
	klog.InfoS("Stop without a response isn't repeated", "run", a.id(), "server", a.server.id, "reason", a.stopReason)
	a.stopRequested, a.awaitsReport = false, false
}

// mayGoOn reports whether a run that was to be stopped may go on as well. The server has started a run late that it reports now.
// A long-running task may not be interrupted any more if others of its step have become unavailable.
func (s *State) mayGoOn(a *attempt) bool {
	if a.phase != running || !a.reported || a.server.reg.Draining || !a.task.isWanted() {
		return false
	}
	switch a.stopReason {
	case stopUnanswered:
		return true
	case stopMaintenance, stopServerFails:
		return !s.mayInterrupt(a)
	}
	return false
}

// stalled reports whether a run made no progress for stallTimeout, or for its declared duration if that is longer. stallTimeout
// doubles with each stalled run of the task, because a percent of a long task may take longer than any fixed time. Time without
// reports of the server doesn't count, as nothing is known of its runs then.
func (s *State) stalled(a *attempt) bool {
	if a.phase != running || a.stopRequested || a.server.failedPolls > 0 || a.pace < fullPace {
		return false
	}
	spec := a.task.step.spec
	if spec.LongRunning() || spec.BestEffort() || spec.Gang() {
		return false
	}
	timeout := stallTimeout << min(a.task.stalls, maxStallDoublings)
	return a.server.clockAt.Sub(a.percentChangedAt) >= max(timeout, spec.DeclaredDuration())
}

// stopLongRunning stops the long-running tasks of a server, so that they start elsewhere. If the server
// shuts down, all of them are stopped. Otherwise tasks that may not be interrupted now keep running, and nothing is
// stopped once the term may be over, because another controller may then stop other tasks of the same step.
func (s *State) stopLongRunning(v *server, reason string, shutsDown bool) {
	if !shutsDown && !s.maySendRequests(s.now) {
		return
	}
	for _, a := range v.attempts {
		if !a.task.step.spec.LongRunning() || a.stopRequested {
			continue
		}
		if shutsDown || s.mayInterrupt(a) {
			s.requestStop(a, reason)
		}
	}
}

// mayInterrupt reports whether a long-running task may be stopped, given the number of other tasks of its step that are
// unavailable.
func (s *State) mayInterrupt(a *attempt) bool {
	maxUnavailable := a.task.step.spec.MaxUnavailable()
	return maxUnavailable == 0 || s.othersOf(a).unavailable() < maxUnavailable
}

// atFullSpeed reports whether a long-running task has started up and works at full speed, on a server that has
// reported to this controller since before the given time. The previous controller may have requested a stop just before
// the server received this controller's token, and until the run has stopped the server reports it as at work.
func (t *task) atFullSpeed(reportingSince time.Time) bool {
	for _, a := range t.attempts {
		if a.phase == running && !a.stopRequested && a.percent >= 100 && a.server.failedPolls == 0 &&
			!a.server.confirmedAt.After(reportingSince) {
			return true
		}
	}
	return false
}
