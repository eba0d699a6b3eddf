package placement

import "time"

const (
	// One slot in 16 of a pool is reserved for urgent work, and at least one slot in pools of 8 slots or more.
	urgentReserveDivisor      = 16
	minUrgentReservePoolSlots = 8

	// resultWindow is the number of recent tasks from which a server's failure rate is computed. At least
	// minComparableResults of them must be of catalogue entries that other servers of the pool ran too.
	resultWindow         = 20
	minComparableResults = 5

	// A server is held for a shape after placement of the shape has failed for holdDelay, and released when the shape
	// hasn't been requested for holdDelay. At most one server in 16 of a pool is held, and at least one may be.
	holdDelay          = 2 * time.Second
	heldServersDivisor = 16

	maxFailureRate       = 0.5              // of a server's comparable tasks
	maxFailureRatio      = 3.0              // failures relative to those expected from other servers of the pool
	outOfRotationDivisor = 4                // at most a quarter of a pool is out of rotation
	probeInterval        = 10 * time.Second // between two probes of one server
)

// Costs of preempting a task, in seconds of lost work. They only rank the ways to free capacity.
const (
	throttleDivisor          = 2 // throttling frees half of a task's processors
	throttleCostSeconds      = 0.1
	checkpointCostSeconds    = 1.0  // of writing and reading a checkpoint
	stopCostSeconds          = 2.0  // in addition to the run time that is lost
	waitingCallerCostSeconds = 30.0 // added for interactive tasks, which a caller waits for
	maxVictims               = 16   // per plan; larger plans disrupt more work than one urgent start justifies
)

// Parameters of Estimator.
const (
	defaultReportHalfLife = 10 * time.Minute
	minReports            = 3    // decayed number of reports from which on the learned value replaces the declared one
	completionQuantile    = 0.9  // share of comparable tasks that ended within the window of EndsWithin
	bucketsPerDoubling    = 4    // each bucket is 2^(1/4), about 19%, wider than the one before
	bucketCount           = 160  // covers values up to 2^40 times minBucketValue
	minBucketValue        = 1e-3 // 1 ms for values in seconds
	weightSumTolerance    = 1e-9 // relative rounding error of sums of decayed weights
	minTotalWeight        = 1e-3 // avoids division by zero
)
