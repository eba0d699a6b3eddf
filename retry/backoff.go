package retry

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delay before a retry. Delays grow exponentially and have full jitter, so that callers whose
// requests failed at the same time don't retry at the same time. It isn't safe for concurrent use.
type Backoff struct {
	// Random is the source of the jitter. It must be set before use.
	Random *rand.Rand
}

// Delay returns the delay before the given retry, counted from 1. It lies between 20 ms and 1 s.
func (b *Backoff) Delay(retry int) time.Duration {
	ceiling := minBackoff
	for range retry {
		ceiling = min(2*ceiling, maxBackoff)
	}
	return minBackoff + time.Duration(b.Random.Int64N(int64(ceiling-minBackoff)+1))
}
