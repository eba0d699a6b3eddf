package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ForwardOutcome is the outcome of a forwarded request: Answered, NotRun, Unknown or Unreachable.
type ForwardOutcome interface{ forwardOutcome() }

// Answered is the answer of the task.
type Answered struct {
	ok       bool
	output   []byte
	length   int
	checksum uint64
}

// NewAnswered returns an answer as received. Length and checksum (xxhash64) describe the output at its origin.
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

// Whole reports whether the output has the length and the checksum that it had at its origin (R6).
func (a Answered) Whole() bool {
	return len(a.output) == a.length && xxhash.Sum64(a.output) == a.checksum
}

// NotRun says that the request didn't run and won't.
type NotRun struct {
	code       string
	message    string
	retryAfter time.Duration
}

// NewNotRun returns a refusal. RetryAfter is 0 if a retry would be refused as well.
func NewNotRun(code, message string, retryAfter time.Duration) NotRun {
	return NotRun{code: code, message: message, retryAfter: retryAfter}
}

// Code returns the error code for the caller.
func (n NotRun) Code() string { return n.code }

// Message returns the error text for the caller.
func (n NotRun) Message() string { return n.message }

// RetryAfter returns when a retry could succeed, in whole milliseconds, 0 if not.
func (n NotRun) RetryAfter() time.Duration { return n.retryAfter }

// Unknown says that the request may have been delivered and may have run or may still run.
type Unknown struct{ reason string }

// NewUnknown returns an Unknown outcome.
func NewUnknown(reason string) Unknown { return Unknown{reason: reason} }

// Reason returns a short text for logs.
func (u Unknown) Reason() string { return u.reason }

// Unreachable says that the message was certainly not delivered to the peer's handler.
type Unreachable struct{ reason string }

// NewUnreachable returns an Unreachable outcome.
func NewUnreachable(reason string) Unreachable { return Unreachable{reason: reason} }

// Reason returns a short text for logs.
func (u Unreachable) Reason() string { return u.reason }

func (Answered) forwardOutcome()    {}
func (NotRun) forwardOutcome()      {}
func (Unknown) forwardOutcome()     {}
func (Unreachable) forwardOutcome() {}
