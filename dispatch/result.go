package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// runEnded handles the end of a Run. The attempt's slot is freed only when the attempt has provably ended.
func (s *State) runEnded(e RunEnded) {
	k := runKey{server: e.server, id: e.id, attempt: e.attempt}
	w := s.works[e.id]
	if w != nil && (w.phase != phaseRunning || w.server != e.server || w.attempt != e.attempt) {
		w = nil
	}
	switch o := e.outcome.(type) {
	case provider.Answer:
		if !whole(o, e.id, e.attempt) {
			s.count("answers_dropped")
			s.runUnknown(k, w)
			return
		}
		entry := s.entryOf(w, k)
		s.end(k)
		s.answered(w, entry, k, o)
	case provider.Refused, provider.StaleEpoch, provider.Unavailable:
		s.runNotStarted(k, w, e.outcome)
	case provider.Unknown:
		s.runUnknown(k, w)
	}
}

// whole reports whether an answer is complete and belongs to the attempt.
func whole(a provider.Answer, id string, attempt int) bool {
	return a.ID() == id && a.Attempt() == attempt && a.Length() == len(a.Output()) &&
		a.Checksum() == xxhash.Sum64(a.Output())
}

func (s *State) answered(w *work, entry string, k runKey, a provider.Answer) {
	if w == nil {
		s.recordOrphan(k, a)
	}
	if a.Stopped() {
		s.stopped(w)
		return
	}
	s.Chooser.Observe(k.server, entry, a.OK(), s.now)
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
	s.settle(w, a)
}

// stopped handles an attempt that started and ended without an answer of its own.
func (s *State) stopped(w *work) {
	s.count("attempts_stopped")
	switch {
	case w == nil:
	case w.cancelled && w.isCall():
		s.finishUnresolved(w, CodeCancelled, "the request was stopped while it ran")
	case w.idempotent && !w.cancelled && !w.expired(s.now):
		// The attempt was stopped to free its place or lost its lease, which isn't a failure of the work.
		s.retry(w)
	case !w.isCall():
		s.recordJob(w, jobResult{state: doneUnknown, code: CodeStopped, message: "the job was stopped while it ran"})
	default:
		s.finishUnresolved(w, CodeStopped, "the request was stopped while it ran")
	}
}

// entryOf returns the catalogue entry of a run, empty if it isn't known.
func (s *State) entryOf(w *work, k runKey) string {
	if w != nil {
		return w.request.entry
	}
	if r, ok := s.runs[k]; ok {
		return r.entry
	}
	return ""
}

// settle hands the answer to whoever waits for it and records it where that is owed.
func (s *State) settle(w *work, a provider.Answer) {
	if !w.isCall() {
		s.recordJob(w, jobResult{state: doneAnswered, ok: a.OK(), output: a.Output()})
		return
	}
	if !w.idempotent {
		s.recordClaim(w, a)
	}
	s.finishAnswered(w, a.OK(), a.Output())
}

// runNotStarted handles a Run that the backend server certainly didn't start. A joined attempt may still be running
// there, so it is looked up again.
func (s *State) runNotStarted(k runKey, w *work, o provider.RunOutcome) {
	r, ok := s.runs[k]
	if !ok || w == nil || w.resends > 0 || r.adopted {
		s.runUnknown(k, w)
		return
	}
	s.end(k)
	s.count("runs_not_started")
	w.started = w.ranBefore
	if _, refused := o.(provider.Refused); refused && w.idempotent {
		w.attempt++ // an attempt that is closed there would be refused again
	}
	s.requeue(w)
}

// runUnknown handles a Run whose outcome isn't known: the attempt may be running, may have ended, or may yet start.
func (s *State) runUnknown(k runKey, w *work) {
	r, ok := s.runs[k]
	if !ok {
		if w != nil {
			s.abandonAttempt(w) // the task lease has passed since the backend server was lost
		}
		return
	}
	if w == nil {
		r.orphan = true
		s.closeRun(r)
		return
	}
	epoch, held := s.Owners.Epoch(k.server)
	if held && s.mayJoin(w, epoch) && !w.cancelled && !w.expired(s.now) {
		// A run whose server was lost may be counted off already, so a start needs a slot again.
		if !r.lostAt.IsZero() || !s.mayStartOn(w) {
			s.closeInDoubt(r, w, epoch)
			return
		}
		// The repeated Run joins the attempt if it started, starts it if it didn't, and returns a stored answer.
		w.phase, w.epoch = phaseRunning, epoch
		w.resends++
		r.orphan, r.sent = false, s.now
		s.send(w, true)
		return
	}
	s.orphan(w)
	s.abandonAttempt(w)
}

// mayJoin reports whether the attempt can be sent again. A backend server process that was started since doesn't know
// the attempt and would start it a second time.
func (s *State) mayJoin(w *work, epoch uint64) bool {
	return w.idempotent || provider.SameProcess(w.sentEpoch, epoch)
}

// abandonAttempt decides what happens to work whose attempt can't be followed any more.
func (s *State) abandonAttempt(w *work) {
	switch {
	case w.cancelled:
		s.finishUnresolved(w, CodeCancelled, "the request was running when it was cancelled")
	case w.idempotent && s.mayRetry(w):
		s.count("retries_after_loss")
		s.retry(w)
	case !w.isCall():
		s.jobLost(w)
	default:
		s.finishUnresolved(w, CodeLostContact, "contact with the backend server was lost")
	}
}

// closeInDoubt finds out whether an attempt has started that must not start any more.
func (s *State) closeInDoubt(r *run, w *work, epoch uint64) {
	w.phase, w.epoch = phaseResolving, epoch
	r.orphan, r.closing = true, true
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// mayRetry takes one retry out of the budget.
func (s *State) mayRetry(w *work) bool {
	if w.attempt >= maxAttempts && w.isCall() {
		return false
	}
	if w.isCall() {
		return !w.expired(s.now) && s.Retries.Spend()
	}
	return w.attempt < maxAttempts*maxAttempts
}

// retry prepares the next attempt after a back-off.
func (s *State) retry(w *work) {
	w.attempt++
	w.server, w.epoch, w.resends = "", 0, 0
	w.phase = phaseBackingOff
	w.wake = s.now.Add(s.Backoff.Delay(w.attempt - 1))
	s.lookAt(w.id(), w.wake)
}

// orphan detaches the running attempt from its work. Its slot stays counted until it has provably ended.
func (s *State) orphan(w *work) {
	r, ok := s.runs[runKey{server: w.server, id: w.id(), attempt: w.attempt}]
	if !ok {
		return
	}
	r.orphan = true
	s.closeRun(r)
}

// closeRun makes sure that an attempt ends: one that hasn't started never will.
func (s *State) closeRun(r *run) {
	epoch, held := s.Owners.Epoch(r.key.server)
	if r.closing || !held {
		return
	}
	r.closing = true
	s.emit(Close{server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt})
}

func (s *State) closeEnded(e CloseEnded) {
	k := runKey{server: e.server, id: e.id, attempt: e.attempt}
	w, held := s.works[e.id]
	// An answer under another epoch can come from another process than the one that the work asked.
	if held && w.phase == phaseResolving && w.server == e.server && w.attempt == e.attempt && w.epoch == e.epoch {
		s.resolved(w, e.outcome)
	}
	if a, ended := e.outcome.(provider.Answer); ended && !held {
		s.recordOrphan(k, a)
	}
	r, ok := s.runs[k]
	if !ok {
		return
	}
	r.closing = false
	if !r.orphan {
		return
	}
	switch e.outcome.(type) {
	case provider.NeverStarted, provider.Answer:
		// A new server process doesn't know the attempt; those of the old one ended with it.
		s.end(k)
	case provider.StillRunning:
		s.stopRun(r)
	}
}

// stopRun tells the backend server to stop an attempt that nobody waits for, if the work may be repeated.
func (s *State) stopRun(r *run) {
	epoch, held := s.Owners.Epoch(r.key.server)
	entry, known := s.config.Catalogue().Entry(r.entry)
	if !held || !r.signalled.IsZero() || !known || !entry.Idempotent() {
		return
	}
	r.signalled = s.now
	s.emit(Signal{
		server: r.key.server, epoch: epoch, id: r.key.id, attempt: r.key.attempt, signal: provider.SignalStop,
	})
}

func (s *State) stopCancelled(w *work) {
	if r, ok := s.runs[runKey{server: w.server, id: w.id(), attempt: w.attempt}]; ok {
		s.stopRun(r)
	}
}
