package queue

import "time"

// Codes of refusals. The request wasn't started in any of these cases.
const (
	CodeQueueFull      = "queue-full"
	CodeTooBusy        = "too-busy"
	CodeDeadlinePassed = "deadline-passed"
	CodeDuplicateID    = "duplicate-id"
)

// PushOutcome is the outcome of Queue.Push: Queued or Refused.
type PushOutcome interface{ pushOutcome() }

// Queued is the outcome if the request was added to the queue.
type Queued struct{}

// Refused is the outcome if the request wasn't added to the queue.
type Refused struct {
	code       string
	retryAfter time.Duration
}

// Code returns one of the refusal codes of this package.
func (r Refused) Code() string { return r.code }

// RetryAfter returns the delay after which a retry is likely to be admitted, 0 if a retry can't succeed.
func (r Refused) RetryAfter() time.Duration { return r.retryAfter }

func (Queued) pushOutcome()  {}
func (Refused) pushOutcome() {}
