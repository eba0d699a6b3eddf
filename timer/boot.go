package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Service whose time counts suspensions of the machine and ignores steps of the wall clock. Leases are
// measured with it: a VM that was suspended has to notice that its lease is over.
type Boot struct {
	System

	start  time.Time
	origin time.Duration
}

var _ Service = (*Boot)(nil)

// NewBoot returns a service that starts at the wall clock's time.
func NewBoot() *Boot { return &Boot{start: time.Now().Round(0), origin: sinceBoot()} }

// Now returns the time. It has no monotonic reading, as it is monotonic by itself.
func (b *Boot) Now() time.Time { return b.start.Add(sinceBoot() - b.origin) }

// Every implements Service.
func (b *Boot) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	return b.System.Every(interval, func(time.Time) { fn(b.Now()) })
}

// After implements Service.
func (b *Boot) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return b.System.After(delay, func(time.Time) { fn(b.Now()) })
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(t.Nano())
}
