package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// lateStart is a start request with an unknown outcome, of a run that its server doesn't have. The next incarnation of the server
// knows neither fencing token nor stop requests, and may carry it out before its first poll. Until then its task runs nowhere.
type lateStart struct {
	task     *task
	run      backend.Run
	server   string
	vm       string    // that ran the server, or "" if it is unknown
	born     int64     // the incarnation of the server that the request was last sent to
	repeated bool      // it may be one of several
	requests int       // number of requests that were sent in this term
	final    bool      // the run isn't started on the server again: it was stopped there, or the server crashed under it
	until    time.Time // when it can't be carried out any more
	endsBy   time.Time // when a run that it started has ended
	heldFrom time.Time // when its task began to wait for it in this term
	// knownSince is when the controller learned of the server's incarnation.
	knownSince time.Time
}

// lateStarts holds the late starts of a server.
type lateStarts map[backend.Run]*lateStart

// startMayBeCarriedOut reports whether a server that starts again may carry out a request to start the run.
func (a *attempt) startMayBeCarriedOut(now time.Time) bool { return a.startableUntil.After(now) }

// startAccountedFor records that a start request was carried out or refused. If the request was repeated, another one may still be
// on the way.
func (a *attempt) startAccountedFor() {
	if !a.repeated {
		a.startableUntil = time.Time{}
	}
}

// startResponded records that the latest start request had a response, so that it isn't carried out any more. Earlier ones may be.
func (a *attempt) startResponded() {
	if a.repeated {
		a.startableUntil = a.unansweredUntil
	}
	a.startAccountedFor()
}

// startOutlastsReports reports whether a request to start the run may have been carried out since the server's last report, by an
// incarnation that isn't known yet, or may still be.
func (a *attempt) startOutlastsReports() bool { return a.startableUntil.After(a.server.clockAfter) }

// startsOutlastRestart reports whether the next incarnation of the server may carry out a start request. A poll that acknowledges ends
// could then make it forget the end of that run, as it can't tell the poll from one to itself.
func (v *server) startsOutlastRestart(now time.Time) bool {
	for _, a := range v.attempts {
		if a.startMayBeCarriedOut(now) || a.onNextIncarnation {
			return true
		}
	}
	for _, l := range v.lateStarts {
		if l.until.After(now) {
			return true
		}
	}
	return false
}

// startAnswered reports whether the known incarnation of the server has started the run, and its reports show what became of all requests
// to start it.
func (a *attempt) startAnswered() bool {
	return (a.accepted || a.reported || a.answerStored) && !a.onNextIncarnation && !a.startOutlastsReports()
}

// startsInFlight reports whether the outcome of a start request of the job is outstanding.
func (j *job) startsInFlight() bool {
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if a.inFlight {
				return true
			}
		}
	}
	return false
}

// keepLateStart holds the task of a run that was given up until the request to start it can't be carried out any more.
func (s *State) keepLateStart(a *attempt) {
	v := a.server
	l := &lateStart{
		task: a.task, run: a.id(), server: v.id, vm: v.reg.VM, born: a.incarnation, repeated: a.repeated,
		requests: a.startRequests, final: a.stopRequested || a.lossRecorded || a.endedThere,
		knownSince: v.knownSince, until: a.startableUntil, endsBy: a.startableUntil.Add(onSlowestClock(s.MaxLease) + leaseMargin),
	}
	if v.vmRemoved || l.isReplacedBy(s.latestOnVM[l.vm]) {
		return
	}
	s.addLateStart(l)
	klog.InfoS("Start request may still be carried out", "run", l.run, "server", l.server, "incarnation", a.incarnation,
		"requests", a.startRequests, "left", l.until.Sub(s.now), "lease-left", l.endsBy.Sub(s.now),
		"vm", l.vm, "vm-state", s.listedState(l.vm))
}

func (s *State) addLateStart(l *lateStart) {
	t := l.task
	l.heldFrom = s.now
	s.lateStartsOf(l.server)[l.run] = l
	t.lateStarts = append(t.lateStarts, l)
	t.job.lateStarts++
	customer := t.job.spec.Customer()
	s.customerUsage[customer] = s.customerUsage[customer].Plus(t.step.spec.Requests())
}

func (s *State) lateStartsOf(server string) lateStarts {
	if s.lateStarts[server] == nil {
		s.lateStarts[server] = make(lateStarts)
	}
	return s.lateStarts[server]
}

// endLateStart releases the task of a late start, as the given evidence shows that it can't be carried out any more.
func (s *State) endLateStart(l *lateStart, evidence string) {
	klog.InfoS("Start request can't be carried out any more", "run", l.run, "server", l.server, "evidence", evidence,
		"held", s.now.Sub(l.heldFrom), "left", l.until.Sub(s.now))
	t := l.task
	delete(s.lateStarts[l.server], l.run)
	for i, other := range t.lateStarts {
		if other == l {
			t.lateStarts = append(t.lateStarts[:i], t.lateStarts[i+1:]...)
			break
		}
	}
	t.job.lateStarts--
	customer := t.job.spec.Customer()
	s.customerUsage[customer] = s.customerUsage[customer].Minus(t.step.spec.Requests())
	s.markChanged(t.job)
	s.dirtyPools[s.poolOf(t.job)] = true
}

// isReplacedBy reports whether a registered server runs on the VM of a late start's server, which won't return under its id then.
func (l *lateStart) isReplacedBy(r backend.Registration) bool {
	return l.vm != "" && r.VM == l.vm && r.ID != l.server && r.Incarnation > l.born
}

// endReplacedLateStarts releases the tasks whose late starts were sent to earlier servers of the VM of a registered server.
func (s *State) endReplacedLateStarts(r backend.Registration) {
	if r.VM != "" && r.Incarnation >= s.latestOnVM[r.VM].Incarnation {
		s.latestOnVM[r.VM] = r
	}
	for _, starts := range s.lateStarts {
		for _, l := range starts {
			if l.isReplacedBy(r) {
				s.endLateStart(l, "vm-runs-another-server")
			}
		}
	}
}

// endLateStartsOf releases the tasks whose late starts were sent to a server that has ended for good.
func (s *State) endLateStartsOf(server, evidence string) {
	for _, l := range s.lateStarts[server] {
		s.endLateStart(l, evidence)
	}
}

// resumeLateStarts places tasks on the server of their late starts again, if it hasn't started again since.
func (s *State) resumeLateStarts(v *server, now time.Time) {
	if len(v.lateStarts) == 0 || !s.acceptsPlacement(v, now) || !s.maySendRequests(now) {
		return
	}
	for _, l := range v.lateStarts {
		t := l.task
		if l.final || l.born != v.incarnation || l.requests >= maxStartRequests || now.After(l.until) || !t.isWanted() ||
			s.awaitsCancels(t.job) || len(t.attempts) > 0 || t.step.spec.Gang() || s.needsIsolation(t, now) || !s.mayResume(t, v) {
			continue
		}
		s.endLateStart(l, "resumed")
		a := s.adopt(l, v, now)
		a.phase, a.startRequests = requested, l.requests
		if !s.repeatStart(a, now) {
			s.removeAttempt(a)
		}
	}
}

// mayResume reports whether a server has room for a task that has a late start there, and satisfies its constraints. It may have
// got other runs since.
func (s *State) mayResume(t *task, v *server) bool {
	if j := v.isolatedJob(); j != nil && j != t.job {
		return false
	}
	view := placementView(v)
	view.Free, view.SameStepRuns = v.reg.Capacity.Minus(v.reserved), v.runsOf(t.step)-1
	return schedule.Fits(t.step.spec, &view)
}

// measureLateStarts updates the metrics of the tasks that wait for late starts.
func (s *State) measureLateStarts(now time.Time) {
	var count int
	var longest time.Duration
	for _, starts := range s.lateStarts {
		for _, l := range starts {
			count++
			longest = max(longest, now.Sub(l.heldFrom))
		}
	}
	s.counters.lateStarts.Update(float64(count))
	s.counters.longestLateStart.Update(longest.Seconds())
}

// lateStartsLeft returns the time until the next report may end a late start of the server: 0 if one can't be carried out any more and
// awaits just that report, or pollWait if there is none.
func (v *server) lateStartsLeft(now time.Time) time.Duration {
	left := pollWait
	for _, l := range v.lateStarts {
		left = min(left, max(l.until.Sub(now), 0))
	}
	return left
}

// endLateStarts releases the tasks whose late starts can't be carried out any more, and whose server doesn't run them.
func (s *State) endLateStarts(now time.Time) {
	for id, starts := range s.lateStarts {
		v, known := s.servers[id]
		for _, l := range starts {
			switch {
			case now.Before(l.until):
			case now.After(l.endsBy):
				s.endLateStart(l, "lease-expired")
			case known && v.confirmed && v.failedPolls == 0 && !v.allReportedAfter.Before(l.until):
				s.endLateStart(l, "not-reported")
			}
		}
		if len(starts) == 0 && !known {
			delete(s.lateStarts, id)
		}
	}
}

// lateStartOutcome handles the outcome of a start request of a run that was given up meanwhile.
func (s *State) lateStartOutcome(e StartEnded) {
	l, known := s.lateStarts[e.Server][e.Run]
	if !known || l.repeated {
		return
	}
	switch o := e.Outcome.(type) {
	case backend.Refused:
		s.endLateStart(l, string(o.Reason))
	case backend.Accepted, backend.OutcomeUnknown, backend.Reported:
		// a run that was accepted is reported or has ended with its server
	}
}

// adoptLateStart returns the record of a run that a server has started late, or nil if the run isn't a late start or not wanted.
func (s *State) adoptLateStart(v *server, run backend.Run, now time.Time) *attempt {
	l, known := v.lateStarts[run]
	if !known {
		return nil
	}
	s.endLateStart(l, "started")
	t := l.task
	if !t.isWanted() || len(t.attempts) > 0 {
		return nil
	}
	a := s.adopt(l, v, now)
	a.startAccountedFor()
	return a
}

// adopt records the run of a late start as one that may exist.
func (s *State) adopt(l *lateStart, v *server, now time.Time) *attempt {
	a := &attempt{
		runNumber: l.run.Number, phase: restored, incarnation: v.incarnation, checkpoint: l.task.record.Checkpoint, startedAt: now,
		startRequests: 1, repeated: l.repeated, startableUntil: l.until, untilStored: true,
	}
	s.addAttempt(l.task, v, a)
	s.markChanged(l.task.job)
	return a
}

// repeatStart has the start request of a run sent once more to a server that doesn't report the run, and reports whether it did. The
// number of the run stays, so that an incarnation of the server starts it once at most, whichever request comes first. On another
// server the task could run a second time: the next incarnation of this one may carry out the earlier request.
func (s *State) repeatStart(a *attempt, now time.Time) bool {
	t, v := a.task, a.server
	if a.startRequests >= maxStartRequests || !a.startMayBeCarriedOut(now) || !t.isWanted() || a.stopRequested || a.lossRecorded ||
		!s.acceptsStarts(v) || !v.hasCapacityFor(a) || !schedule.HasLabel(t.step.spec, v.reg.Kind, v.reg.Rack) {
		return false
	}
	if a.repeatUnstored || v.reg.Incarnation < v.incarnation || !s.maySendRequests(now) || s.awaitsCancels(t.job) {
		return true // later
	}
	klog.InfoS("Repeating start request", "run", a.id(), "server", v.id, "incarnation", v.incarnation, "requests", a.startRequests)
	if a.checkpoint == "" {
		a.checkpoint = t.record.Checkpoint
	}
	a.phase, a.incarnation = requested, v.incarnation
	a.awaitsReport, a.stopReason, a.awaitsSince = true, stopUnanswered, now
	if a.repeated && !a.untilStored {
		s.sendRepeat(a, now)
		return true
	}
	a.repeated, a.repeatUnstored = true, true
	t.job.repeats++
	s.markChanged(t.job)
	return true
}

// repeatStored repeats the start request of a run after its record says so.
func (s *State) repeatStored(a *attempt, now time.Time) {
	if !a.repeatUnstored {
		return
	}
	a.repeatUnstored = false
	a.task.job.repeats--
	if a.phase == requested && a.awaitsReport && !a.lossRecorded {
		s.sendRepeat(a, now)
	}
}

func (s *State) sendRepeat(a *attempt, now time.Time) {
	s.sendStart(a, now)
	a.awaitsReport = !a.inFlight
}

// leavesStartsUnanswered reports whether the server has left a repeated start request without a response, or is late with one.
func (v *server) leavesStartsUnanswered(now time.Time) bool {
	for _, a := range v.attempts {
		overdue := a.inFlight && now.Sub(a.startSentAt) > overdueStartTime
		if a.phase == requested && (overdue || a.awaitsReport && a.startRequests > 1) {
			return true
		}
	}
	return false
}

// free returns the resources for further runs on the server. The runs whose start requests may be carried out by its next incarnation
// have to fit as well, but not beside those that end with this one.
func (v *server) free() workload.Resources {
	free := v.reg.Capacity.Minus(v.reserved)
	if len(v.lateStarts) == 0 {
		return free
	}
	var startable workload.Resources
	for _, l := range v.lateStarts {
		startable = startable.Plus(l.task.step.spec.Reserves())
	}
	for _, a := range v.attempts {
		if a.phase == storing || a.phase == requested || !a.startableUntil.IsZero() {
			startable = startable.Plus(a.reserves)
		}
	}
	return free.Min(v.reg.Capacity.Minus(startable))
}

// storedLateStarts returns the late starts of the task as they are stored.
func (t *task) storedLateStarts() []workload.LateStart {
	var stored []workload.LateStart
	for _, l := range t.lateStarts {
		stored = append(stored, workload.LateStart{
			VM: l.vm, Server: l.server, Incarnation: l.born, Run: l.run.Number, UntilMS: l.until.UnixMilli(),
		})
	}
	return stored
}

// restoreLateStarts restores the late starts that an earlier controller stored. It has sent no request since the present term began.
func (s *State) restoreLateStarts(t *task, stored []workload.LateStart) {
	for _, l := range stored {
		until := earlier(time.UnixMilli(l.UntilMS).Add(maxTimeOfDaySkew), s.began.Add(maxCallDelay))
		s.addLateStart(&lateStart{
			task: t, run: backend.Run{Task: t.id, Number: l.Run}, server: l.Server, vm: l.VM, born: l.Incarnation,
			repeated: true, final: true, // as far as is known
			knownSince: s.began, until: until, endsBy: until.Add(onSlowestClock(s.MaxLease) + leaseMargin),
		})
	}
}
