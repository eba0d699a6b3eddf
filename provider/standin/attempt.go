package standin

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	id      string
	attempt int
}

func (k attemptKey) less(o attemptKey) bool {
	return k.id < o.id || (k.id == o.id && k.attempt < o.attempt)
}

type attemptState uint8

const (
	attemptClosed attemptState = iota
	attemptRunning
	attemptEnded
)

// attempt is the record of an attempt that was started or closed.
type attempt struct {
	key   attemptKey
	state attemptState
	task  provider.Task
	spec  payloadSpec
	// remaining is the run time left at remainingAt, at full speed.
	remaining   time.Duration
	remainingAt time.Time
	throttled   bool
	// leaseRenewedAt is the time of the last renewal of the task lease.
	leaseRenewedAt time.Time
	// holder is the entry VM under whose lease the attempt was started or last renewed by a report.
	holder string

	// done is closed when the attempt has ended, or when a restart of the server lost it, which sets lost.
	done    chan struct{}
	lost    bool
	answer  provider.Answer
	endedAt time.Time
	fetched bool
	// acknowledged is set by the first report after the answer was fetched.
	acknowledged bool
}

// completionTime returns the time at which the attempt completes at its current speed.
func (a *attempt) completionTime() time.Time {
	if a.throttled {
		return a.remainingAt.Add(2 * a.remaining)
	}
	return a.remainingAt.Add(a.remaining)
}

// leaseExpiry returns the time at which the task lease expires.
func (a *attempt) leaseExpiry() time.Time { return a.leaseRenewedAt.Add(TaskLeaseDuration) }

// endTime returns the time at which the attempt ends unless its lease is renewed or it gets a signal.
func (a *attempt) endTime() time.Time {
	if f := a.completionTime(); !f.After(a.leaseExpiry()) {
		return f
	}
	return a.leaseExpiry()
}

// updateRemaining subtracts the run time since remainingAt.
func (a *attempt) updateRemaining(now time.Time) {
	passed := now.Sub(a.remainingAt)
	if a.throttled {
		passed /= 2
	}
	a.remaining = max(0, a.remaining-passed)
	a.remainingAt = now
}

// slots returns the number of slots that a task occupies, at least one.
func slots(t provider.Task) int { return max(1, t.Shape().Slots()) }

// resourceUse returns the shape of a task with the number of slots that it occupies.
func resourceUse(t provider.Task) provider.Shape {
	s := t.Shape()
	return provider.NewShape(s.Processors(), s.MemoryMiB(), s.Accelerators(), slots(t))
}
