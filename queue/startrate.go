package queue

import (
	"math"
	"time"
)

// startRate learns how fast a pool starts requests, with exponential decay. Only time during which the pool has waiting
// work counts: the rate of an idle pool is its arrival rate, which would refuse the first requests of a burst.
type startRate struct {
	starts  float64
	seconds float64
	updated time.Time
}

func (s *startRate) advance(now time.Time, waiting bool) {
	passed := now.Sub(s.updated)
	s.updated = now
	if !waiting || passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / rateMemory.Seconds())
	s.starts *= keep
	s.seconds = s.seconds*keep + rateMemory.Seconds()*(1-keep)
}

// started counts a start. Requests that didn't wait took no part in the time that counts, and would raise the rate.
func (s *startRate) started(arrived, now time.Time) {
	if arrived.Before(now) {
		s.starts++
	}
}

// wait returns how long it takes to start n requests, 0 as long as the rate is unknown.
func (s *startRate) wait(n int) time.Duration {
	if s.seconds < minRateTime.Seconds() || n <= 0 {
		return 0
	}
	seconds := float64(n) * s.seconds / max(s.starts, 1)
	return time.Duration(min(seconds, math.MaxInt64/2/float64(time.Second)) * float64(time.Second))
}
