// Package retry decides whether and when a failed request is tried again.
package retry

import "time"

// Budget limits retries to a tenth of the successes plus a fixed number at the start, so that retries cannot multiply
// the load of an overloaded server. The zero value is ready for use.
type Budget struct {
	earned float64
	spent  float64
}

// Succeeded records a request that succeeded.
func (b *Budget) Succeeded() {
	b.earned = min(b.earned+successRatio, maxTokens-initialTokens+b.spent)
}

// Take spends one retry and reports whether there was one to spend.
func (b *Budget) Take() bool {
	if b.Remaining() < 1 {
		return false
	}
	b.spent++
	return true
}

// Remaining returns the number of retries left, with the fraction already earned towards the next.
func (b *Budget) Remaining() float64 { return initialTokens + b.earned - b.spent }

// Allowed reports whether an attempt that starts at now is still within the deadline. The zero deadline never passes.
func Allowed(now, deadline time.Time) bool {
	return deadline.IsZero() || now.Before(deadline)
}
