package settings

import "time"

// Defaults of the duration, renewal interval and guard interval of a backend server's lease, from section 5.2 of the
// design page.
const (
	DefaultLeaseDuration   = 6 * time.Second
	DefaultRenewalInterval = 2 * time.Second
	DefaultGuardInterval   = time.Second
)

// Defaults of the duration of a freshness lease and of the interval between delta scans of the table, from section 5.4
// of the design page.
const (
	DefaultFreshnessLeaseDuration = 9 * time.Second
	DefaultReadInterval           = 500 * time.Millisecond
)

// MaxLeaseDuration is the upper limit of a lease of a backend server. A takeover of the server must complete within
// 7 s, of which this leaves 1 s for the acquire request.
const MaxLeaseDuration = 6 * time.Second

// MaxInForceDelay is the upper limit of the freshness lease plus the guard interval. A configuration change must be in
// force within 13 s (R27), of which this leaves 1 s for the push.
const MaxInForceDelay = 12 * time.Second

// DefaultTaskLeaseDuration is the time after which a backend server stops a task without a renewal (R30).
const DefaultTaskLeaseDuration = 20 * time.Second

// DefaultDrainTimeout is the drain window of 30 s plus 15 s for the handover of the work that still runs then.
const DefaultDrainTimeout = 45 * time.Second

// Defaults of the limits on HTTP requests and on waiting requests. A body is larger than the payload in it because it
// is JSON.
const (
	DefaultMaxBodyBytes = 8 << 20
	DefaultReadTimeout  = 10 * time.Second
	DefaultWriteTimeout = 30 * time.Second
	DefaultIdleTimeout  = time.Minute
	DefaultMaxWait      = time.Minute
	DefaultQueueBound   = 2_000
)

// Limits on the values of settings.
const (
	minDuration   = time.Millisecond
	maxTimeout    = 10 * time.Minute
	maxBodyBytes  = 256 << 20
	minBodyBytes  = 1 << 10
	maxQueueBound = 1_000_000
	maxVerbosity  = 10
	maxPeers      = 100
	maxVMs        = 10_000
	maxFileBytes  = 8 << 20
	maxPathBytes  = 4_096
)
