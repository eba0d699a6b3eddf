package dispatch

import "time"

// Outcome is the reply to an event with a ticket: Answered, NotRun, OutcomeUnknown, Accepted, ChangeStatus, Rejected,
// Status or Explanation.
type Outcome interface{ outcome() }

// Answered is the complete answer of the request's task.
type Answered struct {
	ok     bool
	output []byte
}

// NewAnswered returns an Answered outcome. The output of a failed task is its error text.
func NewAnswered(ok bool, output []byte) Answered { return Answered{ok: ok, output: output} }

// OK reports whether the task succeeded.
func (a Answered) OK() bool { return a.ok }

// Output returns the complete output. Callers must not modify it.
func (a Answered) Output() []byte { return a.output }

// NotRun reports that the request didn't run and that this submission of it never will.
type NotRun struct {
	code       string
	message    string
	retryAfter time.Duration
}

// NewNotRun returns a NotRun outcome. A retryAfter of 0 means that the request should not be retried.
func NewNotRun(code, message string, retryAfter time.Duration) NotRun {
	return NotRun{code: code, message: message, retryAfter: retryAfter}
}

// Code returns the machine-readable reason.
func (n NotRun) Code() string { return n.code }

// Message returns the reason in words.
func (n NotRun) Message() string { return n.message }

// RetryAfter returns the delay before a retry, 0 if a retry is of no use.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// OutcomeUnknown reports that the request may have run or may still run. Its outcome can be queried by its id later.
type OutcomeUnknown struct {
	code    string
	message string
}

// NewOutcomeUnknown returns an OutcomeUnknown outcome.
func NewOutcomeUnknown(code, message string) OutcomeUnknown {
	return OutcomeUnknown{code: code, message: message}
}

// Code returns the machine-readable reason.
func (u OutcomeUnknown) Code() string { return u.code }

// Message returns the reason in words.
func (u OutcomeUnknown) Message() string { return u.message }

// Accepted reports that a job is stored.
type Accepted struct{ id string }

// NewAccepted returns an Accepted outcome.
func NewAccepted(id string) Accepted { return Accepted{id: id} }

// ID returns the request id, by which the job's status can be queried.
func (a Accepted) ID() string { return a.id }

// ChangeStatus is the status of a configuration change.
type ChangeStatus struct {
	version uint64
	inForce bool
	stored  bool
	awaited []string
	latest  time.Time
}

// Version returns the configuration version that the change created, 0 while it isn't stored.
func (c ChangeStatus) Version() uint64 { return c.version }

// InForce reports whether the change is in force on every entry VM.
func (c ChangeStatus) InForce() bool { return c.inForce }

// Stored reports whether the change is in the table.
func (c ChangeStatus) Stored() bool { return c.stored }

// Awaited returns the ids of the entry VMs that haven't acknowledged the change, sorted.
func (c ChangeStatus) Awaited() []string { return c.awaited }

// Latest returns the latest time at which the change will be in force, zero if unknown.
func (c ChangeStatus) Latest() time.Time { return c.latest }

// Rejected reports that a change, a cancellation, a query or a submission with a reused id had no effect, and why.
type Rejected struct {
	code       string
	message    string
	retryAfter time.Duration
}

// NewRejected returns a Rejected outcome.
func NewRejected(code, message string, retryAfter time.Duration) Rejected {
	return Rejected{code: code, message: message, retryAfter: retryAfter}
}

// Code returns the machine-readable reason.
func (r Rejected) Code() string { return r.code }

// Message returns the reason in words.
func (r Rejected) Message() string { return r.message }

// RetryAfter returns the delay before a retry, 0 if a retry is of no use.
func (r Rejected) RetryAfter() time.Duration { return r.retryAfter }

func (Answered) outcome()       {}
func (NotRun) outcome()         {}
func (OutcomeUnknown) outcome() {}
func (Accepted) outcome()       {}
func (ChangeStatus) outcome()   {}
func (Rejected) outcome()       {}
