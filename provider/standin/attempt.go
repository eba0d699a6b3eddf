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
	work  work
	// remaining is the run time left at since, at full speed.
	remaining time.Duration
	since     time.Time
	throttled bool
	// renewed is when the task lease was last renewed.
	renewed time.Time
	// holder is the entry VM under whose lease the attempt was started or last renewed by a report.
	holder string

	// done is closed when the attempt has ended or its process was lost.
	done    chan struct{}
	lost    bool
	answer  provider.Answer
	ended   time.Time
	fetched bool
	// delivered is set by a report that came after the answer was fetched.
	delivered bool
}

// finishes returns when the attempt finishes at its present speed.
func (a *attempt) finishes() time.Time {
	if a.throttled {
		return a.since.Add(2 * a.remaining)
	}
	return a.since.Add(a.remaining)
}

// expires returns when the task lease ends.
func (a *attempt) expires() time.Time { return a.renewed.Add(TaskLease) }

// ends returns when the attempt ends unless it is renewed or gets a signal.
func (a *attempt) ends() time.Time {
	if f := a.finishes(); !f.After(a.expires()) {
		return f
	}
	return a.expires()
}

// progress accounts for the run time up to now.
func (a *attempt) progress(now time.Time) {
	passed := now.Sub(a.since)
	if a.throttled {
		passed /= 2
	}
	a.remaining = max(0, a.remaining-passed)
	a.since = now
}

// slots returns the slots that a task takes, at least one.
func slots(t provider.Task) int { return max(1, t.Shape().Slots()) }

// footprint returns the shape of a task with the slots that it takes.
func footprint(t provider.Task) provider.Shape {
	s := t.Shape()
	return provider.NewShape(s.Processors(), s.MemoryMiB(), s.Accelerators(), slots(t))
}
