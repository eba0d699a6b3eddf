package dispatch

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Codes of refusals.
const (
	CodeUnknownEntry     = "unknown-entry"
	CodeTeamNotAllowed   = "team-not-allowed"
	CodeRevokedKey       = "revoked-key"
	CodeNeverFits        = "never-fits"
	CodeNoCapacity       = "no-capacity"
	CodeStaleConfig      = "configuration-not-fresh"
	CodeDraining         = "draining"
	CodeDeadlinePassed   = "deadline-passed"
	CodeCancelled        = "cancelled"
	CodeInProgress       = "in-progress"
	CodeMismatch         = "request-id-reused"
	CodeStoreUnavailable = "store-unavailable"
	CodeAttemptsUsed     = "attempts-used"
	CodeLostContact      = "lost-contact"
	CodeUnknownRequest   = "unknown-request"
	CodeSuperseded       = "superseded"
	CodeAnswerLost       = "answer-not-stored"
	CodeStopped          = "stopped"
)

func (s *State) submit(e Submitted) {
	r := e.request
	entry, refusal := s.admissible(r)
	if refusal != nil {
		s.reply(e.ticket, *refusal)
		return
	}
	if _, held := s.works[r.id]; held {
		s.reply(e.ticket, NewUnresolved(CodeInProgress, "a request with this id is in progress"))
		return
	}

	w := newWork(r, e.ticket, entry, s.now)
	s.works[r.id] = w
	if w.isCall() {
		s.lookAt(r.id, w.request.deadline)
	}
	if r.kind == KindJob {
		s.storeJob(w)
		return
	}
	if !w.idempotent && r.named {
		s.readClaim(w)
		return
	}
	s.enqueue(w)
}

// admissible checks what can be checked before anything is written. A refusal here is certain, because nothing of
// the submission has left this entry VM.
func (s *State) admissible(r Request) (catalogue.Entry, *NotRun) {
	refuse := func(code, message string, retryAfter time.Duration) (catalogue.Entry, *NotRun) {
		n := NewNotRun(code, message, retryAfter)
		return catalogue.Entry{}, &n
	}
	if s.drain.started && !s.passesOn(r) {
		return refuse(CodeDraining, "this entry VM is stopping", retryAfterBusy)
	}
	if !s.Grant.Fresh(s.now) {
		return refuse(CodeStaleConfig, "this entry VM can't confirm that its configuration is current", retryAfterBusy)
	}
	entry, ok := s.config.Catalogue().Entry(r.entry)
	if !ok {
		return refuse(CodeUnknownEntry, fmt.Sprintf("there is no entry %q", r.entry), 0)
	}
	if !entry.Admits(r.team) {
		return refuse(CodeTeamNotAllowed, fmt.Sprintf("team %q may not use entry %q", r.team, r.entry), 0)
	}
	if r.kind == KindCall && !r.deadline.IsZero() && !s.now.Before(r.deadline) {
		return refuse(CodeDeadlinePassed, "the deadline has passed", 0)
	}
	if s.tableDown() && (r.kind == KindJob || !entry.Idempotent()) {
		return refuse(CodeStoreUnavailable, "the table can't be reached, which this request needs", retryAfterBusy)
	}
	if s.neverFits(entry) {
		return refuse(CodeNeverFits, fmt.Sprintf("no VM of pool %q can hold a task of entry %q", entry.Pool(), r.entry), 0)
	}
	return entry, nil
}

func newWork(r Request, ticket uint64, entry catalogue.Entry, now time.Time) *work {
	if r.kind == KindCall && r.deadline.IsZero() {
		r.deadline = now.Add(min(DefaultDeadline, entry.MaxDeadline()))
	}
	return &work{
		request: r, ticket: ticket, class: entry.Class(), pool: entry.Pool(), shape: entry.Shape(),
		idempotent: entry.Idempotent(), attempt: 1,
	}
}

// neverFits reports whether no VM of the entry's pool, in any zone, is large enough. Without a VM in the pool the
// answer is false, because the pool may be filled later.
func (s *State) neverFits(entry catalogue.Entry) bool {
	never, known := s.neverFit[entry.Name()]
	if !known {
		never = s.fitsNone(entry)
		s.neverFit[entry.Name()] = never
	}
	return never
}

func (s *State) fitsNone(entry catalogue.Entry) bool {
	seen := false
	for id, v := range s.vms {
		if s.poolOf(id) != entry.Pool() {
			continue
		}
		if entry.Shape().Fits(v.Shape()) {
			return false
		}
		seen = true
	}
	return seen
}

// enqueue queues the work here, or forwards it to an entry VM that has room.
func (s *State) enqueue(w *work) {
	if s.drain.started {
		s.drainWaiting(w)
		return
	}
	if w.isCall() && w.request.hops == 0 && s.forwardIfBetter(w) {
		return
	}
	s.enqueueHere(w)
}

func (s *State) enqueueHere(w *work) {
	q := s.queueRequest(w)
	w.phase = phaseQueued
	if !w.isCall() || w.attempt > 1 {
		s.Queue.Requeue(q, s.now)
		return
	}
	if w.isCall() && s.Chooser.Capacity(w.pool).Slots() == 0 {
		if to := s.ownerOfPool(w.pool, w.id()); to != "" && w.request.hops == 0 {
			s.forward(w, to)
			return
		}
		if !s.hold(w) {
			s.refuse(w, NewNotRun(CodeNoCapacity, "no backend server of the pool can be reached from here", retryAfterBusy))
		}
		return
	}
	if s.urgentFits(w) {
		s.Queue.Requeue(q, s.now)
		return
	}
	switch o := s.Queue.Push(q, s.now).(type) {
	case queue.Queued:
	case queue.Refused:
		s.count("refused_" + metricName(o.Code()))
		s.refuse(w, NewNotRun(o.Code(), "the queue can't take the request", o.RetryAfter()))
	}
}

func (s *State) queueRequest(w *work) queue.Request {
	deadline := time.Time{}
	if w.isCall() {
		deadline = w.request.deadline
	}
	return queue.NewRequest(
		w.id(), w.pool, w.request.entry, w.request.team, queueClass(w.class), w.shape, s.now, deadline,
	)
}

func queueClass(c catalogue.Class) queue.Class {
	switch c {
	case catalogue.ClassUrgent:
		return queue.Urgent
	case catalogue.ClassInteractive:
		return queue.Interactive
	default:
		return queue.Archive
	}
}

// refuse tells the caller that the request didn't run. If the same request may have arrived at another entry VM, its
// claim is closed first, so that the refusal stays true.
func (s *State) refuse(w *work, n NotRun) {
	switch {
	case w.started && !w.isCall():
		s.recordJob(w, jobResult{state: doneUnknown, code: n.code, message: "the job may have run: " + n.message})
	case w.started:
		s.finishUnresolved(w, n.code, "the request may have run: "+n.message)
	case !w.isCall():
		s.recordJob(w, jobResult{state: doneNotRun, code: n.code, message: n.message})
	case !w.idempotent && w.request.named:
		s.closeClaim(w, n)
	default:
		s.finishRefused(w, n)
	}
}

func (s *State) finishAnswered(w *work, ok bool, output []byte) {
	s.forget(w)
	s.count("answered")
	s.reply(w.ticket, NewAnswered(ok, output))
}

func (s *State) finishRefused(w *work, n NotRun) {
	s.forget(w)
	s.count("not_run")
	s.reply(w.ticket, n)
}

func (s *State) finishUnresolved(w *work, code, message string) {
	s.forget(w)
	s.count("unresolved")
	s.reply(w.ticket, NewUnresolved(code, message))
}

func (s *State) forget(w *work) {
	if s.works[w.id()] == w {
		delete(s.works, w.id())
	}
	if s.onHold[w.id()] == w {
		delete(s.onHold, w.id())
	}
	if w.phase == phaseQueued {
		s.Queue.Cancel(w.id())
	}
}

// cancel ends a request that nobody wants any more. Work that waits never starts; work that runs is told to stop if
// it may be repeated, because stopping other work would leave its effects half done.
func (s *State) cancel(e Cancelled) {
	w, ok := s.works[e.id]
	if !ok {
		s.cancelElsewhere(e)
		return
	}
	if e.gone && !w.isCall() {
		return
	}
	w.cancelled = true
	s.count("cancelled")
	switch w.phase {
	case phaseQueued, phaseBackingOff, phaseReading:
		s.Queue.Cancel(e.id)
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		s.reply(e.ticket, NewNotRun(CodeCancelled, "the request was cancelled before it started", 0))
	case phaseRunning:
		s.stopCancelled(w)
		s.reply(e.ticket, NewUnresolved(CodeCancelled, "the request was running"))
	default:
		s.reply(e.ticket, NewUnresolved(CodeCancelled, "the cancellation was noted"))
	}
}

// expireRequests refuses calls whose deadline passed while they waited, and stops waiting for the others.
func (s *State) expireRequests() {
	for _, q := range s.Queue.Expire(s.now) {
		if w, ok := s.works[q.ID()]; ok {
			w.phase = phaseRefusing
			s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before a backend server was free", 0))
		}
	}
	for _, id := range s.takeDue() {
		w, ok := s.works[id]
		if !ok {
			continue
		}
		if w.pending != nil && !s.now.Before(w.wake) {
			fn := w.pending
			w.pending = nil
			fn()
			continue
		}
		if w.phase == phaseBackingOff && !s.now.Before(w.wake) {
			s.resume(w)
			continue
		}
		if w.isCall() && w.expired(s.now) {
			s.expire(w)
		}
	}
}

func (s *State) expire(w *work) {
	switch w.phase {
	case phaseRunning, phaseResolving, phaseForwarded:
		s.orphan(w)
		s.finishUnresolved(w, CodeDeadlinePassed, "the deadline passed while the request was running")
	case phaseClaiming, phaseRefusing:
		// The commit under way ends within its own deadline and settles the request.
	default:
		s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before the request started", 0))
	}
}

// cancelElsewhere cancels a job that another entry VM holds, by a mark in its row.
func (s *State) cancelElsewhere(e Cancelled) {
	row, ok := s.jobs[e.id]
	if !ok || e.gone {
		s.reply(e.ticket, NewRejected(CodeUnknownRequest, "no such request is waiting or running here", 0))
		return
	}
	f := row.fields
	f.Cancelled = true
	s.writeJob(row, f, func(ok bool) {
		if !ok {
			s.reply(e.ticket, NewRejected(CodeStoreUnavailable, "the cancellation could not be stored", retryAfterBusy))
			return
		}
		s.reply(e.ticket, NewUnresolved(CodeCancelled, "the cancellation was noted"))
	})
}
