package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ForwardOutcome is the outcome of a forwarded request: Answered, NotRun, OutcomeUnknown or Unreachable.
type ForwardOutcome interface{ forwardOutcome() }

// Answered is the result of a task that ended: its output or, if it failed, its error text.
type Answered struct {
	ok       bool
	output   []byte
	length   int
	checksum uint64
}

// NewAnswered returns an answer with the output as received. Length, in bytes, and checksum, an xxhash64, are those of
// the output at its origin.
func NewAnswered(ok bool, output []byte, length int, checksum uint64) Answered {
	return Answered{ok: ok, output: output, length: length, checksum: checksum}
}

// OK reports whether the task succeeded. The output of a failed task is its error text.
func (a Answered) OK() bool { return a.ok }

// Output returns the output as received. Callers must not modify it.
func (a Answered) Output() []byte { return a.output }

// Length returns the length of the output at its origin, in bytes.
func (a Answered) Length() int { return a.length }

// Checksum returns the xxhash64 of the output at its origin.
func (a Answered) Checksum() uint64 { return a.checksum }

// Intact reports whether the output has the length and the checksum of the output at its origin (R6).
func (a Answered) Intact() bool {
	return len(a.output) == a.length && xxhash.Sum64(a.output) == a.checksum
}

// NotRun means that the request was rejected: it didn't run and won't.
type NotRun struct {
	code       string
	message    string
	retryAfter time.Duration
}

// NewNotRun returns a rejection with the error code and text for the caller. RetryAfter is the time until a retry could
// succeed, 0 if no retry can.
func NewNotRun(code, message string, retryAfter time.Duration) NotRun {
	return NotRun{code: code, message: message, retryAfter: retryAfter}
}

// Code returns the error code for the caller.
func (n NotRun) Code() string { return n.code }

// Message returns the error text for the caller.
func (n NotRun) Message() string { return n.message }

// RetryAfter returns the time until a retry could succeed, 0 if no retry can. Peers exchange it in milliseconds.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// OutcomeUnknown means that the message may have been delivered, and the request may have run or may still run.
type OutcomeUnknown struct{ reason string }

// NewOutcomeUnknown returns an outcome with a reason for logs.
func NewOutcomeUnknown(reason string) OutcomeUnknown { return OutcomeUnknown{reason: reason} }

// Reason returns a short text for logs: why the outcome is unknown.
func (u OutcomeUnknown) Reason() string { return u.reason }

// Unreachable means that the message certainly wasn't delivered to the peer's handler.
type Unreachable struct{ reason string }

// NewUnreachable returns an outcome with a reason for logs.
func NewUnreachable(reason string) Unreachable { return Unreachable{reason: reason} }

// Reason returns a short text for logs: why the message wasn't delivered.
func (u Unreachable) Reason() string { return u.reason }

func (Answered) forwardOutcome()       {}
func (NotRun) forwardOutcome()         {}
func (OutcomeUnknown) forwardOutcome() {}
func (Unreachable) forwardOutcome()    {}
