package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// runEnded handles the outcome of a Run. The attempt's slot is freed only once the attempt is known to have ended.
func (s *State) runEnded(e RunEnded) {
	k := runKey{server: e.server, id: e.id, attempt: e.attempt}
	w := s.workItems[e.id]
	if w != nil && (w.phase != phaseRunning || w.server != e.server || w.attempt != e.attempt) {
		w = nil
	}
	switch o := e.outcome.(type) {
	case provider.Answer:
		if !answerIntact(o, e.id, e.attempt) {
			s.count("answers_dropped")
			s.runUnknown(k, w)
			return
		}
		entry := s.entryOf(w, k)
		s.endRun(k)
		s.attemptAnswered(w, entry, k, o)
	case provider.Refused, provider.StaleEpoch, provider.Unavailable:
		s.runNotStarted(k, w, e.outcome)
	case provider.OutcomeUnknown:
		s.runUnknown(k, w)
	}
}

// answerIntact reports whether an answer belongs to the attempt and its output has the length and checksum that it had
// at its origin.
func answerIntact(a provider.Answer, id string, attempt int) bool {
	return a.ID() == id && a.Attempt() == attempt && a.Length() == len(a.Output()) &&
		a.Checksum() == xxhash.Sum64(a.Output())
}

// attemptAnswered handles an intact answer of an attempt. The work item is nil if none waits for the answer.
func (s *State) attemptAnswered(w *workItem, entry string, k runKey, a provider.Answer) {
	if w == nil {
		s.recordOrphanAnswer(k, a)
	}
	if a.Stopped() {
		s.attemptStopped(w)
		return
	}
	s.Placer.RecordResult(k.server, entry, a.OK(), s.now)
	if w == nil {
		return
	}
	if a.OK() {
		s.Retries.RecordSuccess()
	}
	if !a.OK() && w.idempotent && !w.cancelled && s.mayRetry(w) {
		s.count("retries_after_failure")
		s.retry(w)
		return
	}
	s.deliverAnswer(w, a)
}

// attemptStopped handles an attempt that was stopped before it completed. The work item is nil if none waits for it.
func (s *State) attemptStopped(w *workItem) {
	s.count("attempts_stopped")
	switch {
	case w == nil:
	case w.cancelled && w.isCall():
		s.finishOutcomeUnknown(w, CodeCancelled, "the request was stopped while it ran")
	case w.idempotent && !w.cancelled && !w.expired(s.now):
		// The attempt was stopped to free its slot, or its task lease expired. Neither is a failure of the work.
		s.retry(w)
	case !w.isCall():
		s.recordJob(w, jobResult{state: doneUnknown, code: CodeStopped, message: "the job was stopped while it ran"})
	default:
		s.finishOutcomeUnknown(w, CodeStopped, "the request was stopped while it ran")
	}
}

// entryOf returns the catalogue entry of a run, empty if it isn't known.
func (s *State) entryOf(w *workItem, k runKey) string {
	if w != nil {
		return w.request.entry
	}
	if r, ok := s.runs[k]; ok {
		return r.entry
	}
	return ""
}

// deliverAnswer returns the answer of a call to its caller, after starting to store it if the call isn't idempotent,
// and stores the answer of a job.
func (s *State) deliverAnswer(w *workItem, a provider.Answer) {
	if !w.isCall() {
		s.recordJob(w, jobResult{state: doneAnswered, ok: a.OK(), output: a.Output()})
		return
	}
	if !w.idempotent {
		s.recordClaim(w, a)
	}
	s.finishAnswered(w, a.OK(), a.Output())
}

// runNotStarted handles a Run that certainly didn't start a task. If this or another entry VM sent the attempt before,
// that earlier Run may have started it, and the outcome is handled as unknown.
func (s *State) runNotStarted(k runKey, w *workItem, o provider.RunOutcome) {
	r, ok := s.runs[k]
	if !ok || w == nil || w.resends > 0 || r.adopted {
		s.runUnknown(k, w)
		return
	}
	s.endRun(k)
	s.count("runs_not_started")
	w.started = w.ranBefore
	if _, refused := o.(provider.Refused); refused && w.idempotent {
		w.attempt++ // a backend server refuses a closed attempt again
	}
	s.requeue(w)
}

// runUnknown handles a Run with an unknown outcome: the attempt may be running, may have ended, or may start later.
func (s *State) runUnknown(k runKey, w *workItem) {
	r, ok := s.runs[k]
	if !ok {
		if w != nil {
			s.abandonAttempt(w) // the task lease has expired since the lease of the backend server was lost
		}
		return
	}
	if w == nil {
		r.orphaned = true
		s.closeRun(r)
		return
	}
	epoch, held := s.Ownership.Epoch(k.server)
	if held && s.mayResend(w, epoch) && !w.cancelled && !w.expired(s.now) {
		// The slot of a run may have been released after the lease of its server was lost, so sending the attempt could
		// start a task without a slot.
		if !r.leaseLostAt.IsZero() || !s.mayStartOn(w) {
			s.closeUncertainAttempt(r, w, epoch)
			return
		}
		// The repeated Run attaches to the attempt if it is running, starts it if it didn't start, and returns the
		// stored answer if it has ended.
		w.phase, w.epoch = phaseRunning, epoch
		w.resends++
		r.orphaned, r.sentAt = false, s.now
		s.send(w, true)
		return
	}
	s.orphan(w)
	s.abandonAttempt(w)
}

// mayResend reports whether the attempt may be sent again without running non-idempotent work twice. A backend server
// process that was started after the attempt was sent has no record of it and would start it a second time.
func (s *State) mayResend(w *workItem, epoch uint64) bool {
	return w.idempotent || provider.SameProcess(w.sentEpoch, epoch)
}

// abandonAttempt retries work whose attempt can't be observed any more, leaves a job to the next owner of its backend
// server, or reports the outcome as unresolved.
func (s *State) abandonAttempt(w *workItem) {
	switch {
	case w.cancelled:
		s.finishOutcomeUnknown(w, CodeCancelled, "the request was running when it was cancelled")
	case w.idempotent && s.mayRetry(w):
		s.count("retries_after_loss")
		s.retry(w)
	case !w.isCall():
		s.leaveJobToOwner(w)
	default:
		s.finishOutcomeUnknown(w, CodeLostContact, "contact with the backend server was lost")
	}
}

// closeUncertainAttempt prevents an attempt that may have started from starting later, and queries its state.
func (s *State) closeUncertainAttempt(r *run, w *workItem, epoch uint64) {
	w.phase, w.epoch = phaseResolving, epoch
	r.orphaned, r.closing = true, true
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// mayRetry reports whether another attempt is allowed. A call uses up one retry of the budget; a job may have
// maxAttempts² attempts.
func (s *State) mayRetry(w *workItem) bool {
	if w.attempt >= maxAttempts && w.isCall() {
		return false
	}
	if w.isCall() {
		return !w.expired(s.now) && s.Retries.Spend()
	}
	return w.attempt < maxAttempts*maxAttempts
}

// retry schedules the next attempt after a back-off.
func (s *State) retry(w *workItem) {
	w.attempt++
	w.server, w.epoch, w.resends = "", 0, 0
	w.phase = phaseBackingOff
	w.wakeAt = s.now.Add(s.Backoff.Delay(w.attempt - 1))
	s.scheduleCheck(w.id(), w.wakeAt)
}

// orphan detaches the running attempt from its work item and closes it. Its slot stays in use until the attempt is
// known to have ended.
func (s *State) orphan(w *workItem) {
	r, ok := s.runs[runKey{server: w.server, id: w.id(), attempt: w.attempt}]
	if !ok {
		return
	}
	r.orphaned = true
	s.closeRun(r)
}

// closeRun sends a Close for an attempt, so that it never starts if it hasn't started yet.
func (s *State) closeRun(r *run) {
	epoch, held := s.Ownership.Epoch(r.key.server)
	if r.closing || !held {
		return
	}
	r.closing = true
	s.emit(Close{server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt})
}

func (s *State) closeEnded(e CloseEnded) {
	k := runKey{server: e.server, id: e.id, attempt: e.attempt}
	w, held := s.workItems[e.id]
	// An outcome under another epoch may come from another server process than the one that the Close was sent to.
	if held && w.phase == phaseResolving && w.server == e.server && w.attempt == e.attempt && w.epoch == e.epoch {
		s.attemptResolved(w, e.outcome)
	}
	if a, ended := e.outcome.(provider.Answer); ended && !held {
		s.recordOrphanAnswer(k, a)
	}
	r, ok := s.runs[k]
	if !ok {
		return
	}
	r.closing = false
	if !r.orphaned {
		return
	}
	switch e.outcome.(type) {
	case provider.NeverStarted, provider.Answer:
		// NeverStarted may come from a new server process that has no record of the attempt. The attempts of the old
		// process ended with it.
		s.endRun(k)
	case provider.StillRunning:
		s.stopRun(r)
	}
}

// stopRun signals the backend server to stop an attempt whose answer isn't needed, if the work is idempotent.
func (s *State) stopRun(r *run) {
	epoch, held := s.Ownership.Epoch(r.key.server)
	entry, known := s.config.Catalogue().Entry(r.entry)
	if !held || !r.stopSignalledAt.IsZero() || !known || !entry.Idempotent() {
		return
	}
	r.stopSignalledAt = s.now
	s.emit(Signal{
		server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt, signal: provider.SignalStop,
	})
}

// stopCancelled stops the running attempt of cancelled work.
func (s *State) stopCancelled(w *workItem) {
	if r, ok := s.runs[runKey{server: w.server, id: w.id(), attempt: w.attempt}]; ok {
		s.stopRun(r)
	}
}
