package settings

import "time"

// Defaults of the lease of a backend server, from section 5.2 of the design page.
const (
	DefaultLease   = 6 * time.Second
	DefaultRenewal = 2 * time.Second
	DefaultGuard   = time.Second
)

// Defaults of freshness, from section 5.4 of the design page.
const (
	DefaultFreshness    = 9 * time.Second
	DefaultReadInterval = 500 * time.Millisecond
)

// LongestLease leaves 1 s for the acquire within the bound of 7 s for taking over a backend server.
const LongestLease = 6 * time.Second

// LongestInForce bounds freshness plus guard interval. It leaves 1 s for the push within the 13 s of R27.
const LongestInForce = 12 * time.Second

// DefaultTaskLease is the task lease of the backend servers (R30).
const DefaultTaskLease = 20 * time.Second

// DefaultDrainTimeout leaves 15 s after the drain window of 30 s to hand over what still runs.
const DefaultDrainTimeout = 45 * time.Second

// Defaults of the limits towards callers. The body is larger than a payload because it is JSON.
const (
	DefaultBodyBytes    = 8 << 20
	DefaultReadTimeout  = 10 * time.Second
	DefaultWriteTimeout = 30 * time.Second
	DefaultIdleTimeout  = time.Minute
	DefaultWaitLimit    = time.Minute
	DefaultQueueBound   = 2_000
)

const (
	shortest     = time.Millisecond
	longestLimit = 10 * time.Minute
	largestBody  = 256 << 20
	smallestBody = 1 << 10
	largestQueue = 1_000_000
	maxVerbosity = 10
	maxPeers     = 100
	maxVMs       = 10_000
	maxFileBytes = 8 << 20
	maxPathBytes = 4_096
)
