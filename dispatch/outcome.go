package dispatch

import "time"

// Outcome is what the sender of a request or of a change is told: Answered, NotRun, Unresolved, Accepted, Changed or
// Rejected.
type Outcome interface{ outcome() }

// Answered carries the whole answer of the request's task.
type Answered struct {
	ok     bool
	output []byte
}

// NewAnswered returns an Answered outcome. The output of a failed task is its error text.
func NewAnswered(ok bool, output []byte) Answered { return Answered{ok: ok, output: output} }

// OK reports whether the task succeeded.
func (a Answered) OK() bool { return a.ok }

// Output returns the whole output. Callers must not modify it.
func (a Answered) Output() []byte { return a.output }

// NotRun says that the request didn't run and never will under this submission.
type NotRun struct {
	code       string
	message    string
	retryAfter time.Duration
}

// NewNotRun returns a NotRun outcome. A retryAfter of 0 means that a retry makes no sense.
func NewNotRun(code, message string, retryAfter time.Duration) NotRun {
	return NotRun{code: code, message: message, retryAfter: retryAfter}
}

// Code returns the machine-readable reason.
func (n NotRun) Code() string { return n.code }

// Message returns the reason as a sentence.
func (n NotRun) Message() string { return n.message }

// RetryAfter returns when a retry makes sense, 0 if never.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// Unresolved says that the request may have run, or may still run. It can be asked for by its id later.
type Unresolved struct {
	code    string
	message string
}

// NewUnresolved returns an Unresolved outcome.
func NewUnresolved(code, message string) Unresolved { return Unresolved{code: code, message: message} }

// Code returns the machine-readable reason.
func (u Unresolved) Code() string { return u.code }

// Message returns the reason as a sentence.
func (u Unresolved) Message() string { return u.message }

// Accepted says that a job is stored.
type Accepted struct{ id string }

// NewAccepted returns an Accepted outcome.
func NewAccepted(id string) Accepted { return Accepted{id: id} }

// ID returns the request id to ask for the answer with.
func (a Accepted) ID() string { return a.id }

// Changed says how far a configuration change has come.
type Changed struct {
	version uint64
	inForce bool
	stored  bool
	awaited []string
	latest  time.Time
}

// Version returns the configuration version that the change created, 0 while it isn't stored.
func (c Changed) Version() uint64 { return c.version }

// InForce reports whether the change is in force on every entry VM.
func (c Changed) InForce() bool { return c.inForce }

// Stored reports whether the change is in the table.
func (c Changed) Stored() bool { return c.stored }

// Awaited returns the entry VMs that haven't acknowledged the change, in order.
func (c Changed) Awaited() []string { return c.awaited }

// Latest returns when the change is in force at the latest, zero if unknown.
func (c Changed) Latest() time.Time { return c.latest }

// Rejected says that a change or a query had no effect, and why.
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

// Message returns the reason as a sentence.
func (r Rejected) Message() string { return r.message }

// RetryAfter returns when a retry makes sense, 0 if never.
func (r Rejected) RetryAfter() time.Duration { return r.retryAfter }

func (Answered) outcome()   {}
func (NotRun) outcome()     {}
func (Unresolved) outcome() {}
func (Accepted) outcome()   {}
func (Changed) outcome()    {}
func (Rejected) outcome()   {}
