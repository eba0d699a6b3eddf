package timer

import (
	"sync"
	"time"
)

// System is the Clock that reads the system clock. Its times have a monotonic reading. Callbacks run on goroutines of
// their own.
type System struct{}

var _ Clock = System{}

// Now returns the system time.
func (System) Now() time.Time { return time.Now() }

// Every implements Clock.
func (System) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	p := &periodic{interval: interval, fn: fn}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(interval, p.fire)
	return p
}

// After implements Clock.
func (System) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return single{timer: time.AfterFunc(delay, func() { fn(time.Now()) })}
}

// single is the Subscription of After.
type single struct{ timer *time.Timer }

func (s single) Stop() { s.timer.Stop() }

// periodic is the Subscription of Every. It restarts its timer after each callback, so that callbacks never overlap.
type periodic struct {
	interval time.Duration
	fn       func(now time.Time)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *periodic) fire() {
	p.fn(time.Now())

	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.timer.Reset(p.interval)
	}
}

func (p *periodic) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
