package commit

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt, so that one large transaction isn't refused for ever.
type bucket struct {
	rate     float64
	capacity float64
	tokens   float64
	at       time.Time
}

func newBucket(rate, capacity float64, now time.Time) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity, at: now}
}

func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.capacity, b.tokens+elapsed.Seconds()*b.rate)
		b.at = now
	}
}

func (b *bucket) take(n float64) { b.tokens -= n }

func (b *bucket) putBack(n float64) { b.tokens = min(b.capacity, b.tokens+n) }

// ready returns when the bucket will hold n tokens, at the earliest now.
func (b *bucket) ready(n float64, now time.Time) time.Time {
	if b.tokens >= n {
		return now
	}
	return now.Add(time.Duration(math.Ceil((n - b.tokens) / b.rate * float64(time.Second))))
}
