package freshness

import "time"

const (
	// DefaultLeaseDuration is the duration of a lease, called G in the design. It is the largest value that leaves
	// time for the push of a change and for the guard interval within the 13 s of R27.
	DefaultLeaseDuration = 9 * time.Second
	// DefaultGuardInterval covers the drift between the clocks of two entry VMs during DefaultLeaseDuration.
	DefaultGuardInterval = time.Second

	// maxTrackedVersions limits the number of versions whose commit times a Propagation keeps. At 360 changes a day
	// (R27) it covers more than two days.
	maxTrackedVersions = 1000
)
