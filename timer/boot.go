package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock whose time advances while the machine is suspended and ignores steps of the wall clock. It is used
// for leases, because a VM must notice after a suspension that its lease has expired. Timers don't advance during a
// suspension.
type Boot struct {
	System

	start  time.Time     // wall clock at NewBoot
	origin time.Duration // time since boot at NewBoot
}

var _ Clock = (*Boot)(nil)

// NewBoot returns a Boot whose time starts at that of the wall clock.
func NewBoot() *Boot { return &Boot{start: time.Now().Round(0), origin: sinceBoot()} }

// Now returns the time. It has no monotonic reading, because it is monotonic itself.
func (b *Boot) Now() time.Time { return b.start.Add(sinceBoot() - b.origin) }

// Every implements Clock.
func (b *Boot) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	return b.System.Every(interval, func(time.Time) { fn(b.Now()) })
}

// After implements Clock.
func (b *Boot) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return b.System.After(delay, func(time.Time) { fn(b.Now()) })
}

// sinceBoot returns the time since the machine was booted, suspensions included.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every supported kernel
	}
	return time.Duration(t.Nano())
}
