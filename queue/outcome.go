package queue

import "time"

// Codes of refusals. Nothing was run in any of these cases.
const (
	CodeQueueFull      = "queue-full"
	CodeTooBusy        = "too-busy"
	CodeDeadlinePassed = "deadline-passed"
	CodeDuplicateID    = "duplicate-id"
)

// PushOutcome is the outcome of Queue.Push: Queued or Refused.
type PushOutcome interface{ pushOutcome() }

// Queued says that the request waits in the queue.
type Queued struct{}

// Refused says that the request isn't in the queue, and why.
type Refused struct {
	code       string
	retryAfter time.Duration
}

// Code returns one of the refusal codes of this package.
func (r Refused) Code() string { return r.code }

// RetryAfter returns when the request is likely to be admitted, 0 if a retry can't help.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

func (Queued) pushOutcome()  {}
func (Refused) pushOutcome() {}
