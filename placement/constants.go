package placement

import "time"

const (
	// reserveDivisor sets the slots of a pool that only urgent work may use: one in 16, and at least one from
	// minReservePool slots up.
	reserveDivisor = 16
	minReservePool = 8

	// outcomeWindow is the number of recent tasks that a server's failure rate is computed from. minOutcomes of them
	// must be comparable with peers before it counts.
	outcomeWindow = 20
	minOutcomes   = 5

	// holdDelay is how long a shape must have found no room before a server is held for it, and how long it may go
	// without being asked for before the server is let go. One server in holdDivisor may be held, and at least one.
	holdDelay   = 2 * time.Second
	holdDivisor = 16

	maxFailureRate  = 0.5
	maxFailureRatio = 3.0 // failure rate relative to peers on the same entries
	maxOutDivisor   = 4   // at most a quarter of a pool is out of rotation
	probeInterval   = 10 * time.Second
)

// Costs of an interruption in seconds of work. They only rank the ways to make room.
const (
	throttleDivisor   = 2 // a throttled task gives up half of its processors
	costThrottle      = 0.1
	costCheckpoint    = 1.0  // writing and reading a checkpoint
	costStop          = 2.0  // besides the work that the task has done
	costWaitingCaller = 30.0 // an interactive task has a caller who waits; an archive task doesn't
	maxVictims        = 16   // larger plans disturb more work than one urgent start is worth
)

// Learned estimates.
const (
	defaultHalfLife   = 10 * time.Minute
	minSamples        = 3    // reports before a learned value replaces the declared one
	endsQuantile      = 0.9  // share of comparable tasks that must have ended within a window
	bucketsPerDouble  = 4    // buckets grow by 2^(1/4), about 19%
	estimatorBuckets  = 160  // up to 2^40 times the smallest value
	smallestEstimate  = 1e-3 // 1 ms, if the values are seconds
	roundingError     = 1e-9 // of sums of decayed weights
	minDecayedSamples = 1e-3 // avoids division by zero
)
