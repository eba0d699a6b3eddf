package fleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (s *State) register(r backend.Registration, now time.Time) {
	v := s.ensureServer(r.ID)
	if v.registered && r.Version != 0 && r.Version < v.reg.Version {
		return
	}
	if v.registered && v.reg.Draining && r.Precedes(v.reg) {
		klog.InfoS("Ignored an earlier heartbeat of a draining server", "server", r.ID, "sequence", r.Sequence,
			"known-sequence", v.reg.Sequence)
		return
	}
	changed := !v.registered || v.reg.Draining != r.Draining || v.incarnation != r.Incarnation
	s.serverCrashed(r.ID, r.Incarnation, "restarted")
	if v.incarnation != 0 && r.Incarnation > v.incarnation {
		s.serverRestarted(v, r.Incarnation, now)
	}
	if v.incarnation == 0 {
		v.setIncarnation(r.Incarnation, now)
	}
	s.setRegisteredVM(v, r.VM)
	s.endReplacedLateStarts(r)
	v.reg, v.registered = r, true
	if _, known := s.poolCapacity[r.Pool]; !known || v.confirmed {
		s.poolCapacity[r.Pool] = r.Capacity
	}
	if !changed {
		return
	}
	klog.InfoS("Backend server registered", "server", r.ID, "pool", r.Pool, "zone", r.Zone, "rack", r.Rack,
		"draining", r.Draining, "incarnation", r.Incarnation)
	v.idleSince, v.aliveAt, v.down, v.vmRemoved = now, now, false, false
	v.cordoned = v.cordoned || s.hasOpenRequest(r)
	s.pollAt(v, now)
	s.placeAll = true
	if r.Draining {
		s.stopLongRunning(v, "draining", true)
	}
}

func (s *State) unregister(id string) {
	v, known := s.servers[id]
	if !known || !v.registered {
		return
	}
	klog.InfoS("Backend server unregistered", "server", id, "running", len(v.attempts))
	v.registered = false
	if len(v.attempts) == 0 {
		s.dropServer(v)
	}
}

// serverRestarted records that a server restarted and lost all of its runs. A start request to the earlier incarnation
// that is still in flight could reach the new one, so the runs are first stopped there. Those of an earlier controller
// needn't be: its requests are refused once the new incarnation has reported.
func (s *State) serverRestarted(v *server, incarnation int64, now time.Time) {
	if !v.down {
		s.noteServerCrash(v)
	}
	klog.InfoS("Backend server restarted", "server", v.id, "incarnation", incarnation, "previous", v.incarnation,
		"token", v.token, "running", len(v.attempts), "unanswered-starts", v.unansweredStarts())
	v.setIncarnation(incarnation, now)
	v.lastEndReceived, v.lastEndStored, v.hasClock, v.confirmed = 0, 0, false, false
	v.leaseUntil, v.consecutiveFailures, v.returned, v.awaitedRuns = 0, 0, true, nil
	v.retired, v.retiredAt = false, time.Time{}
	v.needsToken = v.token != 0
	s.forgetSpeed(v)
	s.pollAt(v, now)
	s.recordLosses(v, incarnation, now)
	s.serverCrashed(v.id, incarnation, "restarted")
	for _, a := range v.attempts {
		if a.onNextIncarnation {
			a.incarnation, a.onNextIncarnation = incarnation, false
			a.endsBy = s.lateStartExpiry(now)
			s.markChanged(a.task.job)
		}
		if a.incarnation >= incarnation {
			continue // started there, or restored with an earlier incarnation of other runs
		}
		// Outcomes of requests to the earlier incarnation are ignored.
		a.incarnation, a.inFlight, a.stopInFlight, a.stopAccepted = incarnation, false, false, false
		switch {
		case a.phase == restored:
			a.endsBy = s.lateStartExpiry(now)
			s.markChanged(a.task.job)
			continue // the first report decides: the new incarnation may have started the run before it registered
		case a.phase == requested && !a.stopRequested && !a.startSentAt.IsZero():
			a.endsBy = s.lateStartExpiry(now)
			s.markChanged(a.task.job)
			s.awaitReport(a, "server-started-again", now) // the request may have reached the new incarnation already
			continue
		}
		s.requestStop(a, "server-started-again")
	}
}

// lateStartExpiry returns when a run has ended that a server starts late, on a request that was sent before the given time: after the
// longest lease of an incarnation that can't tell the request from one to itself.
func (s *State) lateStartExpiry(sentBefore time.Time) time.Time {
	return sentBefore.Add(maxCallDelay + onSlowestClock(s.MaxLease) + leaseMargin)
}

// expireRuns gives up the runs of an unresponsive server that have certainly ended, as its lease has expired.
func (s *State) expireRuns(v *server, now time.Time) {
	for _, a := range v.attempts {
		if a.phase == storing || !now.After(a.endsBy) {
			continue
		}
		if a.countsAsLost(maxIncarnation) {
			s.recordLoss(a, now)
		}
		s.loseRun(a, "lease-expired", now)
	}
}

func (s *State) loseRun(a *attempt, reason string, now time.Time) {
	s.logLostRun(a, reason, now)
	s.counters.lost.Inc(1)
	s.removeAttempt(a)
}

// retire records that the platform has accepted the request for the move or maintenance of a server's VM, which ends the server.
// Its registration remains for some seconds. If the request was done before, on behalf of an earlier controller, the server goes
// on: a later list of VMs shows it, and runs that it has are given up only if a list shows that it is gone, or their lease expires.
func (s *State) retire(v *server, reason string, now time.Time) {
	v.retiredAt = now
	if len(v.attempts) > 0 {
		klog.InfoS("Request for a VM was accepted while its server has runs", "server", v.id, "vm", v.reg.VM, "reason", reason,
			"running", len(v.attempts))
		return
	}
	s.cancelPolls(v)
	v.retired = true
}

// hasOpenRequest reports whether a request for the move or maintenance of a server's VM has no outcome yet.
func (s *State) hasOpenRequest(r backend.Registration) bool {
	if m, moving := s.moves[r.VM]; moving && m.inFlight && m.server == r.ID {
		return true
	}
	for _, w := range s.waves {
		if !w.requestedAt[r.VM].IsZero() && w.server[r.VM] == r.ID {
			return true
		}
	}
	abandoned, known := s.abandoned[r.VM]
	return known && abandoned.server == r.ID
}

// sendPolls polls the servers that are due, and extends their leases.
func (s *State) sendPolls(now time.Time) {
	for v := s.nextDuePoll(now); v != nil; v = s.nextDuePoll(now) {
		if v.needsToken && !s.raiseToken(v) {
			s.pollAt(v, now.Add(minPollInterval))
			continue
		}
		s.pollSequence++
		v.pollInFlight, v.pollSequence, v.pollSentAt = true, s.pollSequence, now
		request := backend.PollRequest{Token: s.tokenFor(v), AcknowledgedEnd: v.lastEndStored, MaxWait: pollWait}
		if latencies, _ := v.colocated(); len(latencies) > 0 && v.bestEffort > 0 {
			request.MaxWait = colocatedPollWait
		}
		if v.startsLongRunning() || v.isolatedRuns > 0 {
			request.MaxWait = startupPollWait
		}
		if !v.confirmed || v.failedPolls > 0 || v.lastEndReceived > v.lastEndStored {
			request.MaxWait = 0
		}
		if v.failedPolls > 0 || v.startsOutlastRestart(now) {
			request.AcknowledgedEnd = 0 // the server may have restarted, and its end numbers with it
		}
		request.MaxWait = min(request.MaxWait, v.lateStartsLeft(now))
		v.pollToken = request.Token
		if request.AcknowledgedEnd > 0 {
			v.ackToken = request.Token
		}
		// The lease is extended only while the server responds. The lease of an unresponsive server has to expire.
		if v.hasClock && v.failedPolls == 0 && now.Before(s.termEndsAt.Add(leaseExtensionGrace)) {
			request.LeaseExpiry = v.clockNow(now) + s.lease(now)
			v.leaseUntil = max(v.leaseUntil, request.LeaseExpiry)
			v.extendExpiry()
		}
		s.emit(Poll{Target: v.target(), Request: request, Sequence: v.pollSequence})
	}
}

// lease returns the duration of a lease that is granted now. Leases are long while terms are long, because a new
// controller then needs more time to take over.
func (s *State) lease(now time.Time) time.Duration {
	if s.Term.Duration() <= ShortTerm {
		return ShortLease
	}
	s.longLeaseGrantedAt = now
	return LongLease
}

// leaseBound returns an upper bound of the remaining time of all leases granted so far, by earlier controllers as well.
func (s *State) leaseBound(now time.Time) time.Duration {
	if now.Sub(s.longLeaseGrantedAt) > LongLease-ShortLease {
		return ShortLease
	}
	return LongLease
}

func (s *State) pollEnded(e PollEnded, now time.Time) {
	v, known := s.servers[e.Server]
	if !known || v.pollSequence != e.Sequence {
		return
	}
	v.pollInFlight = false
	switch o := e.Outcome.(type) {
	case backend.Reported:
		s.handleReport(v, o.Report, now)
	case backend.Refused:
		if o.Reason != backend.RefusedStaleToken {
			s.pollFailed(v, string(o.Reason), now)
			return
		}
		if v.pollToken == v.token {
			s.depose("server-knows-newer-token")
			return
		}
		s.pollAt(v, now) // a start request with a higher token has overtaken the poll
	case backend.OutcomeUnknown:
		s.pollFailed(v, o.Reason, now)
	case backend.Accepted:
		s.pollFailed(v, "no-report", now)
	}
}

func (s *State) pollFailed(v *server, reason string, now time.Time) {
	v.failedPolls++
	delay := pollRetryDelay
	if len(v.attempts) == 0 {
		delay *= time.Duration(min(v.failedPolls, maxPollBackoff))
	}
	s.pollAt(v, now.Add(delay))
	if v.failedPolls == 1 {
		klog.InfoS("Backend server unresponsive", "server", v.id, "reason", reason, "running", len(v.attempts),
			"expires-in", v.expiresAt.Sub(now))
	}
}

func (s *State) handleReport(v *server, r backend.Report, now time.Time) {
	if r.Incarnation != 0 && r.Incarnation != v.incarnation {
		if r.Incarnation < v.incarnation {
			s.pollFailed(v, "earlier-life", now)
			return
		}
		s.serverRestarted(v, r.Incarnation, now)
	}
	if v.needsToken {
		v.aliveAt = now
		s.pollAt(v, now)
		return // requests to an earlier incarnation may still change what it reports
	}
	if v.failedPolls > 0 {
		klog.InfoS("Backend server responds again", "server", v.id, "failed-polls", v.failedPolls)
	}
	if !v.confirmed || v.failedPolls > 0 {
		s.placeAll = true
	}
	if !v.retiredAt.IsZero() && v.pollSentAt.After(v.retiredAt) {
		s.serverWasNotEnded(v)
	}
	first := !v.confirmed
	if first {
		v.confirmedAt = now
		if v.registered {
			s.poolCapacity[v.reg.Pool] = v.reg.Capacity
		}
	}
	if len(s.losses[v.id]) > 0 {
		s.serverSurvived(v.id, v.incarnation, "report")
	}
	v.failedPolls, v.confirmed, v.down, v.vmRemoved, v.aliveAt = 0, true, false, false, now
	v.clock, v.clockAt, v.clockAfter, v.hasClock = r.Clock, now, v.pollSentAt, true
	if first && (v.returned || now.Before(s.began.Add(maxCallDelay)) && v.mayBeYoungerThan(s.began.Add(-maxCallDelay))) {
		v.expectRequestsToEarlierIncarnation(s.MaxLease)
	}
	s.pollAt(v, now.Add(s.pollInterval()))

	lastEnd := v.lastEndReceived
	for _, end := range r.Ends {
		if end.Number > lastEnd {
			s.runEnded(v, end, now)
			s.unstoredEnds[v] = true
			v.lastEndReceived = max(v.lastEndReceived, end.Number)
		}
	}
	s.matchRunning(v, r, now)
	s.resumeLateStarts(v, now)
}

// matchRunning reconciles the runs that a server reports with the recorded runs: unknown runs are stopped, and runs
// that the server doesn't have are removed. Until a report lists no unknown run, the server gets no others: what is being stopped
// still takes its resources.
func (s *State) matchRunning(v *server, r backend.Report, now time.Time) {
	listed := make(map[backend.Run]bool, len(r.Running))
	hadOrphans := v.hasOrphans
	v.hasOrphans = false
	for _, running := range r.Running {
		listed[running.Run] = true
		a, known := v.attempts[running.Run]
		if !known {
			a = s.adoptLateStart(v, running.Run, now)
		}
		if a == nil {
			v.hasOrphans = true
			s.stopOrphan(v, running.Run, now)
			continue
		}
		s.updateAttempt(a, running, now)
	}
	s.placeAll = s.placeAll || hadOrphans && !v.hasOrphans
	if len(r.Ends) >= backend.MaxReportedEnds {
		s.pollAt(v, now)
		return
	}
	v.allReportedAfter = v.pollSentAt
	for _, a := range v.attempts {
		if a.phase == requested && a.awaitsReport && !listed[a.id()] && v.pollSentAt.After(a.awaitsSince) {
			if !s.repeatStart(a, now) {
				a.task.avoid(v.id)
				s.requestStop(a, a.stopReason)
			}
			continue
		}
		if listed[a.id()] || a.inFlight || a.phase == storing || a.phase == requested {
			continue
		}
		// The report may lack a run whose start was confirmed after the poll was sent.
		if a.phase == running && a.confirmedAt.After(v.pollSentAt) {
			continue
		}
		if a.phase == restored && s.repeatStart(a, now) {
			continue
		}
		s.logLostRun(a, "not-reported", now)
		s.counters.lost.Inc(1)
		s.removeAttempt(a)
	}
}

func (s *State) updateAttempt(a *attempt, r backend.ActiveRun, now time.Time) {
	if a.phase != running {
		a.phase, a.startedAt, a.percentChangedAt = running, now, now
		a.confirmedAt = now
		a.markProgress(a.server.clock, r.Percent)
	}
	s.measureSpeed(a, r.Percent, now)
	a.save(r.Checkpoint)
	if r.Percent != a.percent {
		a.percent, a.percentChangedAt = r.Percent, now
	}
	a.measurement = r.Measurement
	a.reported, a.task.job.begun = true, true
	a.startAccountedFor()
	if !a.survived && now.Sub(a.startedAt) >= startupTime {
		s.runSurvivedStart(a)
	}
	s.endIsolation(a)
}

// stopOrphan stops a run that isn't recorded: it was started by a delayed request or by an earlier controller.
func (s *State) stopOrphan(v *server, run backend.Run, now time.Time) {
	if sentAt, sent := v.orphans[run]; sent && now.Sub(sentAt) < pollRetryDelay {
		return
	}
	v.orphans[run] = now
	klog.InfoS("Stopping orphan run", "run", run, "server", v.id, "incarnation", v.incarnation)
	s.emit(Stop{Target: v.target(), Run: run, Token: s.tokenFor(v)})
}

// runEnded handles the end of a run that a server reports.
func (s *State) runEnded(v *server, end backend.RunEnd, now time.Time) {
	delete(v.orphans, end.Run)
	s.counters.ends.Inc(1)
	a, known := v.attempts[end.Run]
	if !known {
		s.unknownRunEnded(v, end)
		return
	}
	t := a.task
	t.job.begun = true
	klog.V(1).InfoS("Run ended", "run", end.Run, "server", v.id, "kind", end.Kind, "took", now.Sub(a.startedAt))
	if end.Kind == workload.EndDone {
		s.measureSpeed(a, 100, now)
	}
	a.endedThere = true
	a.startAccountedFor()
	a.save(end.Checkpoint)
	if end.Kind == workload.EndFailed || end.Kind == workload.EndDone {
		a.checkpoint = ""
	}
	t.record.EndedRun = max(t.record.EndedRun, a.runNumber)
	if !a.survived && (end.Kind == workload.EndDone || end.Kind == workload.EndFailed) {
		s.runSurvivedStart(a)
	}
	if end.Kind == workload.EndDone && !t.step.spec.LongRunning() {
		a.startableUntil = time.Time{} // the task doesn't run again
	}
	s.removeAttempt(a)
	switch end.Kind {
	case workload.EndDone:
		v.consecutiveFailures = 0
		t.step.longestRun = max(t.step.longestRun, now.Sub(a.startedAt))
		s.runDone(t, now)
		s.awaitOtherRuns(v, t)
	case workload.EndFailed:
		s.runFailed(v, a, now)
	case workload.EndStopped, workload.EndExpired, workload.EndGangBroken, workload.EndGangIncomplete:
	}
}

// save records the checkpoint that a server reports for a run. "" stands for none.
func (a *attempt) save(checkpoint string) {
	if checkpoint == "" || checkpoint == a.checkpoint {
		return
	}
	a.checkpoint, a.task.step.checkpoint = checkpoint, checkpoint
}

// runDone handles a run that has done its task. A long-running task is started again however a run ends.
func (s *State) runDone(t *task, now time.Time) {
	if !t.step.spec.LongRunning() {
		s.finishTask(t)
		return
	}
	klog.InfoS("Run of a long-running task ended by itself", "task", t.id, "last-run", t.record.LastRun)
	if len(t.attempts) == 0 {
		t.retryAt = now.Add(startRetryDelay)
	}
	s.markChanged(t.job)
}

// unknownRunEnded handles the end of a run that was considered lost. If the run did its task, the task is done. If it failed,
// that counts as an attempt.
func (s *State) unknownRunEnded(v *server, end backend.RunEnd) {
	if l, late := v.lateStarts[end.Run]; late && !l.repeated {
		s.endLateStart(l, "ended")
	}
	j, known := s.jobs[end.Run.Task.Job]
	if !known {
		return
	}
	t, made := j.tasks[end.Run.Task.LocalName()]
	if made && end.Kind == workload.EndDone {
		defer s.awaitOtherRuns(v, t)
	}
	if !made || t.record.Done || end.Run.Number > t.record.LastRun {
		return
	}
	switch end.Kind {
	case workload.EndDone:
		klog.InfoS("Run that was considered lost is done", "run", end.Run, "server", v.id)
		s.runDone(t, s.now)
	case workload.EndFailed:
		if slices.Contains(t.record.FailedRuns, end.Run.Number) {
			return // received again, as the controller that received it first didn't acknowledge it
		}
		klog.InfoS("Run that was considered lost has failed", "run", end.Run, "server", v.id)
		s.failTask(t, v.id, end.Run.Number)
	case workload.EndStopped, workload.EndExpired, workload.EndGangBroken, workload.EndGangIncomplete:
	}
}

func (s *State) runFailed(v *server, a *attempt, now time.Time) {
	t := a.task
	s.counters.failures.Inc(1)
	v.consecutiveFailures++
	klog.InfoS("Run failed", "task", t.id, "server", v.id, "failures", t.record.Failures+1,
		"server-failures", v.consecutiveFailures)
	if v.consecutiveFailures >= failuresBeforeCooldown {
		v.cooldownUntil = now.Add(failureCooldown)
		v.consecutiveFailures = failuresBeforeCooldown - 1 // the next failed run starts another cooldown
		klog.InfoS("Backend server in cooldown after failed runs", "server", v.id, "cooldown", failureCooldown)
		s.stopLongRunning(v, stopServerFails, false)
	}
	s.failTask(t, v.id, a.runNumber)
}
