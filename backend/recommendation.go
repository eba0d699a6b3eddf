package backend

import "time"

// Recommendation tells how the service works that names the backend servers on which a queue's steps may run.
type Recommendation struct {
	// Decision and PerServer are how long an answer takes: once, and for each server that is asked about.
	Decision, PerServer time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}
