package freshness

import "time"

const (
	// DefaultDuration is G, how long a confirmation keeps an entry VM fresh. It is the largest value that leaves room
	// for the push and the guard interval under the 13 s of R27.
	DefaultDuration = 9 * time.Second
	// DefaultGuard covers the drift between the clocks of two entry VMs during DefaultDuration.
	DefaultGuard = time.Second

	// maxVersions bounds the memory of an Acceptance. At 360 changes a day (R27) it covers more than two days.
	maxVersions = 1000
)
