// Package timer provides the time service that all other packages subscribe to. Code outside this package neither
// reads the system clock nor sleeps, so that tests control time.
package timer

import "time"

// Service tells the time and calls subscribers back.
//
// Times carry a monotonic reading, so differences are unaffected by steps of the wall clock.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fn once per interval until the subscription is stopped. Calls of one subscription never overlap.
	Every(interval time.Duration, fn func(now time.Time)) Subscription
	// After calls fn once after delay, unless the subscription is stopped first.
	After(delay time.Duration, fn func(now time.Time)) Subscription
}

// Subscription is a registration with a Service.
type Subscription interface {
	// Stop ends the subscription. It doesn't wait for a call in progress.
	Stop()
}
