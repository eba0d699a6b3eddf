package dispatch

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Codes of the outcomes NotRun, OutcomeUnknown and Rejected for requests.
const (
	CodeUnknownEntry          = "unknown-entry"
	CodeTeamNotAllowed        = "team-not-allowed"
	CodeRevokedKey            = "revoked-key"
	CodeNeverFits             = "never-fits"
	CodeNoCapacity            = "no-capacity"
	CodeConfigurationNotFresh = "configuration-not-fresh"
	CodeDraining              = "draining"
	CodeDeadlinePassed        = "deadline-passed"
	CodeCancelled             = "cancelled"
	CodeInProgress            = "in-progress"
	CodeRequestIDReused       = "request-id-reused"
	CodeStoreUnavailable      = "store-unavailable"
	CodeAttemptsUsed          = "attempts-used"
	CodeLostContact           = "lost-contact"
	CodeUnknownRequest        = "unknown-request"
	CodeSuperseded            = "superseded"
	CodeAnswerNotStored       = "answer-not-stored"
	CodeStopped               = "stopped"
)

// submit handles a new request. It is refused, stored as a job, checked against its claim, or queued.
func (s *State) submit(e Submitted) {
	r := e.request
	entry, refusal := s.admissible(r)
	if refusal != nil {
		s.reply(e.ticket, *refusal)
		return
	}
	if _, held := s.workItems[r.id]; held {
		s.reply(e.ticket, NewOutcomeUnknown(CodeInProgress, "a request with this id is in progress"))
		return
	}

	w := newWorkItem(r, e.ticket, entry, s.now)
	s.workItems[r.id] = w
	if w.isCall() {
		s.scheduleCheck(r.id, w.request.deadline)
	}
	if r.kind == KindJob {
		s.storeJob(w)
		return
	}
	if !w.idempotent && r.callerChoseID {
		s.readClaim(w)
		return
	}
	s.enqueue(w)
}

// admissible returns the catalogue entry of a request, or a refusal if the request can't be accepted. The refusal is
// definite, because nothing about the submission has been written or sent yet.
func (s *State) admissible(r Request) (catalogue.Entry, *NotRun) {
	refuse := func(code, message string, retryAfter time.Duration) (catalogue.Entry, *NotRun) {
		n := NewNotRun(code, message, retryAfter)
		return catalogue.Entry{}, &n
	}
	if s.drain.started && !s.admitsWhileDraining(r) {
		return refuse(CodeDraining, "this entry VM is stopping", retryAfterBusy)
	}
	if !s.FreshnessLease.Fresh(s.now) {
		return refuse(CodeConfigurationNotFresh,
			"this entry VM can't confirm that its configuration is current", retryAfterBusy)
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
		return refuse(CodeStoreUnavailable, "the table is unreachable, and this request needs it", retryAfterBusy)
	}
	if s.neverFits(entry) {
		return refuse(CodeNeverFits, fmt.Sprintf("no VM of pool %q can hold a task of entry %q", entry.Pool(), r.entry), 0)
	}
	return entry, nil
}

func newWorkItem(r Request, ticket uint64, entry catalogue.Entry, now time.Time) *workItem {
	if r.kind == KindCall && r.deadline.IsZero() {
		r.deadline = now.Add(min(DefaultCallTimeout, entry.MaxDeadline()))
	}
	return &workItem{
		request: r, ticket: ticket, class: entry.Class(), pool: entry.Pool(), shape: entry.Shape(),
		idempotent: entry.Idempotent(), attempt: 1,
	}
}

// neverFits reports whether every VM of the entry's pool, in any zone, is too small for the entry's tasks. It is false
// for an empty pool, because VMs may be added later. The result is cached until the configuration or the VM list
// changes.
func (s *State) neverFits(entry catalogue.Entry) bool {
	never, known := s.neverFitCache[entry.Name()]
	if !known {
		never = s.fitsNone(entry)
		s.neverFitCache[entry.Name()] = never
	}
	return never
}

func (s *State) fitsNone(entry catalogue.Entry) bool {
	seen := false
	for id, v := range s.vms {
		if s.poolOf(id) != entry.Pool() {
			continue
		}
		if entry.Shape().FitsIn(v.Shape()) {
			return false
		}
		seen = true
	}
	return seen
}

// enqueue queues work here, or forwards it to an entry VM with free slots. During a planned stop it hands the work
// over.
func (s *State) enqueue(w *workItem) {
	if s.drain.started {
		s.handOverWork(w)
		return
	}
	s.follow(w, s.route(w))
}

// enqueueLocally queues work at this entry VM. A call that can't be queued is forwarded, delayed or refused.
func (s *State) enqueueLocally(w *workItem) { s.follow(w, s.localRoute(w)) }

func (s *State) queueRequest(w *workItem) queue.Request {
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
		return queue.ClassUrgent
	case catalogue.ClassInteractive:
		return queue.ClassInteractive
	default:
		return queue.ClassArchive
	}
}

// refuse ends work with a refusal. If an attempt may have started, the outcome is unresolved instead. If the same
// request may have arrived at another entry VM, its claim is closed first, so that the request can't run there later.
func (s *State) refuse(w *workItem, n NotRun) {
	switch {
	case w.started && !w.isCall():
		s.recordJob(w, jobResult{state: doneUnknown, code: n.code, message: "the job may have run: " + n.message})
	case w.started:
		s.finishOutcomeUnknown(w, n.code, "the request may have run: "+n.message)
	case !w.isCall():
		s.recordJob(w, jobResult{state: doneNotRun, code: n.code, message: n.message})
	case !w.idempotent && w.request.callerChoseID:
		s.closeClaim(w, n)
	default:
		s.finishRefused(w, n)
	}
}

func (s *State) finishAnswered(w *workItem, ok bool, output []byte) {
	s.forget(w)
	s.count("answered")
	s.reply(w.ticket, NewAnswered(ok, output))
}

func (s *State) finishRefused(w *workItem, n NotRun) {
	s.forget(w)
	s.count("not_run")
	s.reply(w.ticket, n)
}

func (s *State) finishOutcomeUnknown(w *workItem, code, message string) {
	s.forget(w)
	s.count("unresolved")
	s.reply(w.ticket, NewOutcomeUnknown(code, message))
}

// forget removes a work item from the state and from the queue.
func (s *State) forget(w *workItem) {
	if s.workItems[w.id()] == w {
		delete(s.workItems, w.id())
	}
	if s.awaitingOwner[w.id()] == w {
		delete(s.awaitingOwner, w.id())
	}
	if w.phase == phaseQueued {
		s.Queue.Cancel(w.id())
	}
}

// cancel handles the cancellation of a request. Work that hasn't started never starts. A running attempt is stopped if
// the work is idempotent; stopping other work could leave its effects incomplete.
func (s *State) cancel(e Cancelled) {
	w, ok := s.workItems[e.id]
	if !ok {
		s.cancelElsewhere(e)
		return
	}
	if e.callerDisconnected && !w.isCall() {
		return
	}
	w.cancelled = true
	s.count("cancelled")
	switch w.phase {
	case phaseQueued, phaseBackingOff, phaseReadingClaim:
		s.Queue.Cancel(e.id)
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		s.reply(e.ticket, NewNotRun(CodeCancelled, "the request was cancelled before it started", 0))
	case phaseRunning:
		s.stopCancelled(w)
		s.reply(e.ticket, NewOutcomeUnknown(CodeCancelled, "the request was running"))
	default:
		s.reply(e.ticket, NewOutcomeUnknown(CodeCancelled, "the cancellation was recorded"))
	}
}

// expireRequests ends calls whose deadline has passed. It also calls the functions scheduled with after and resumes
// work whose delay has ended.
func (s *State) expireRequests() {
	for _, q := range s.Queue.Expire(s.now) {
		if w, ok := s.workItems[q.ID()]; ok {
			w.phase = phaseFinishing
			s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before a backend server was free", 0))
		}
	}
	for _, id := range s.popDueTimers() {
		w, ok := s.workItems[id]
		if !ok {
			continue
		}
		if w.onWake != nil && !s.now.Before(w.wakeAt) {
			fn := w.onWake
			w.onWake = nil
			fn()
			continue
		}
		if w.phase == phaseBackingOff && !s.now.Before(w.wakeAt) {
			s.endBackOff(w)
			continue
		}
		if w.isCall() && w.expired(s.now) {
			s.expire(w)
		}
	}
}

// expire ends a call whose deadline has passed.
func (s *State) expire(w *workItem) {
	switch w.phase {
	case phaseRunning, phaseResolving, phaseForwarded:
		s.orphan(w)
		s.finishOutcomeUnknown(w, CodeDeadlinePassed, "the deadline passed while the request was running")
	case phaseWritingClaim, phaseFinishing:
		// The commit in progress has a deadline of its own, and its outcome ends the request.
	default:
		s.refuse(w, NewNotRun(CodeDeadlinePassed, "the deadline passed before the request started", 0))
	}
}

// cancelElsewhere cancels a job that another entry VM holds by setting a flag in its row.
func (s *State) cancelElsewhere(e Cancelled) {
	row, ok := s.jobs[e.id]
	if !ok || e.callerDisconnected {
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
		s.reply(e.ticket, NewOutcomeUnknown(CodeCancelled, "the cancellation was recorded"))
	})
}
