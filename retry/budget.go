// Package retry decides whether and when a failed request is retried. A Budget counts successes and limits the number
// of retries, a Backoff returns the delay before each, and BeforeDeadline checks the deadline.
package retry

import "time"

// Budget limits retries to a tenth of the successful requests plus an initial 10, so that retries cannot multiply the
// load of an overloaded server. The zero value is ready for use. It isn't safe for concurrent use.
type Budget struct {
	earnedRetries float64
	spentRetries  float64
}

// RecordSuccess records a request that succeeded.
func (b *Budget) RecordSuccess() {
	b.earnedRetries = min(b.earnedRetries+retriesPerSuccess, maxSavedRetries-initialRetries+b.spentRetries)
}

// Spend uses one retry of the budget, and reports whether there was one left.
func (b *Budget) Spend() bool {
	if b.Remaining() < 1 {
		return false
	}
	b.spentRetries++
	return true
}

// Remaining returns the number of retries left, including the fraction earned towards the next one.
func (b *Budget) Remaining() float64 { return initialRetries + b.earnedRetries - b.spentRetries }

// BeforeDeadline reports whether an attempt that starts at now starts before the deadline. The zero time is no
// deadline.
func BeforeDeadline(now, deadline time.Time) bool {
	return deadline.IsZero() || now.Before(deadline)
}
