package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/timer"
)

// Faults injects the faults that all simulated services support. The zero value injects none. Changes apply to
// operations that start later. Whether a reply is lost is decided when the reply is due.
type Faults struct {
	mu          sync.Mutex
	down        activeTrigger
	loseReplies activeTrigger
	delay       time.Duration
}

// SetDown sets which operations return Unavailable and have no effect.
func (f *Faults) SetDown(t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = activate(t)
}

// SetLoseReplies sets which replies are lost. The operation takes effect and returns OutcomeUnknown, or Unavailable if
// it only reads.
func (f *Faults) SetLoseReplies(t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseReplies = activate(t)
}

// SetDelay sets the delay before an operation takes effect. The operation takes effect after the delay even if the
// context of the caller has ended.
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
	return f.loseReplies.hits()
}

// callResult is the result of a call as its caller sees it.
type callResult uint8

const (
	// completed: the effect took place and the reply was received.
	completed callResult = iota
	// unreachable: the effect didn't and won't take place.
	unreachable
	// replyLost: the effect took place, or will, and no reply was received.
	replyLost
)

// call runs effect as a request to the service, subject to the faults. If later is true, the reply is due later, and
// the caller has to check losesReply then.
func (f *Faults) call(ctx context.Context, t timer.Clock, later bool, effect func(now time.Time)) callResult {
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
		return replyLost
	}
}

func (f *Faults) reply(later bool) callResult {
	if !later && f.losesReply() {
		return replyLost
	}
	return completed
}

const (
	reasonDown    = "the service is down"
	reasonNoReply = "no reply was received"
)
