// Package timer provides clocks with timers: System and Boot for the program, Manual for tests. Code outside this
// package neither reads the system clock nor sleeps, so that tests control the time.
package timer

import "time"

// Clock tells the time and starts timers. Differences between its times are unaffected by steps of the wall clock.
// Callbacks get the time at which they are called.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn once per interval until the subscription is stopped. Calls of one subscription never overlap.
	Every(interval time.Duration, fn func(now time.Time)) Subscription
	// After calls fn once after delay, unless the subscription is stopped first.
	After(delay time.Duration, fn func(now time.Time)) Subscription
}

// Subscription is a timer that Clock.Every or Clock.After has started.
type Subscription interface {
	// Stop stops the timer. It doesn't wait for a callback in progress.
	Stop()
}
