package timer

import (
	"context"
	"time"
)

// Wait waits until the delay has passed on c or until ctx ends.
func Wait(ctx context.Context, c Clock, delay time.Duration) {
	done := make(chan struct{})
	subscription := c.After(delay, func(time.Time) { close(done) })
	defer subscription.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
