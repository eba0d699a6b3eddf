package queue

import (
	"math"
	"time"
)

// startRate estimates the rate at which a pool starts requests, with exponential decay. Only time during which the pool
// has waiting requests counts: the start rate of an idle pool is its arrival rate, with which the first requests of a
// burst would be refused.
type startRate struct {
	starts      float64 // decayed number of starts
	busySeconds float64 // decayed time during which requests waited
	updated     time.Time
}

// advance adds the time since the last call if the pool had waiting requests during it.
func (s *startRate) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(s.updated)
	s.updated = now
	if !waiting || elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / startRateDecayTime.Seconds())
	s.starts *= factor
	s.busySeconds = s.busySeconds*factor + startRateDecayTime.Seconds()*(1-factor)
}

// started counts a start. Requests that started without a wait aren't counted: no time was counted for them, so that
// they would raise the rate.
func (s *startRate) started(arrived, now time.Time) {
	if arrived.Before(now) {
		s.starts++
	}
}

// known reports whether requests have waited for long enough to know the rate.
func (s *startRate) known() bool { return s.busySeconds >= minStartRateTime.Seconds() }

// expectedWait returns how long it takes to start n requests, 0 as long as the rate is unknown.
func (s *startRate) expectedWait(n int) time.Duration {
	if !s.known() || n <= 0 {
		return 0
	}
	seconds := float64(n) * s.busySeconds / max(s.starts, 1)
	return time.Duration(min(seconds, math.MaxInt64/2/float64(time.Second)) * float64(time.Second))
}
