package backend

import "time"

// Recommendation describes the recommendation service of a queue. The service decides on which backend servers a step
// may run, and issues a ticket for each of them that a start of the step's tasks has to show.
type Recommendation struct {
	// The service takes the time Decision for each request, and PerServer for each server in the request.
	Decision, PerServer time.Duration
	// Validity is how long a ticket may be used.
	Validity time.Duration
}
