package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/timer"
)

// Faults are the faults that all stand-ins share. The zero value has no faults. Changes apply to operations that
// start later; a lost reply is decided when the reply is due.
type Faults struct {
	mu    sync.Mutex
	down  armed
	lose  armed
	delay time.Duration
}

// SetDown sets which operations are answered with Unavailable and have no effect.
func (f *Faults) SetDown(t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = arm(t)
}

// SetLoseReplies sets which replies are lost. The operation takes effect and its outcome is Unknown; the outcome of
// a read is Unavailable.
func (f *Faults) SetLoseReplies(t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = arm(t)
}

// SetDelay sets the time that passes before an operation takes effect. An operation whose caller stops waiting still
// takes effect when the delay has passed.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *Faults) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down.hits()
}

func (f *Faults) losesReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lose.hits()
}

// verdict says what became of a request.
type verdict uint8

const (
	// delivered: the effect took place and the reply arrived.
	delivered verdict = iota
	// unreachable: the effect didn't and won't take place.
	unreachable
	// lost: the effect took place, or will, and no reply arrived.
	lost
)

// apply runs effect as a request to a faulty service, and losesReply is left to the caller if later is true because
// its reply is due later.
func (f *Faults) apply(ctx context.Context, t timer.Clock, later bool, effect func(now time.Time)) verdict {
	if ctx.Err() != nil || f.isDown() {
		return unreachable
	}
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()

	if delay <= 0 {
		effect(t.Now())
		return f.reply(later)
	}
	applied := make(chan struct{})
	t.After(delay, func(now time.Time) {
		effect(now)
		close(applied)
	})
	select {
	case <-applied:
		return f.reply(later)
	case <-ctx.Done():
		return lost
	}
}

func (f *Faults) reply(later bool) verdict {
	if !later && f.losesReply() {
		return lost
	}
	return delivered
}

const (
	reasonDown = "the service is down"
	reasonLost = "no reply arrived"
)
