package commit

import (
	"math"
	"time"
)

// tokenBucket is a rate limiter whose tokens may become negative, so that a transaction with more rows than the
// capacity can be sent too.
type tokenBucket struct {
	rate       float64 // tokens per second
	capacity   float64
	tokens     float64
	refilledAt time.Time
}

func newTokenBucket(rate, capacity float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, capacity: capacity, tokens: capacity, refilledAt: now}
}

func (b *tokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.rate)
		b.refilledAt = now
	}
}

func (b *tokenBucket) take(n float64) { b.tokens -= n }

func (b *tokenBucket) refund(n float64) { b.tokens = min(b.capacity, b.tokens+n) }

// readyAt returns when the bucket will hold n tokens, or now if it holds them already.
func (b *tokenBucket) readyAt(n float64, now time.Time) time.Time {
	if b.tokens >= n {
		return now
	}
	return now.Add(time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))))
}
