package backend

import "time"

// Recommendation describes the recommendation service of a queue. The service decides on which backend servers a step
// may run, and issues a ticket for each of them. Start requests for the step's tasks must carry the server's ticket.
type Recommendation struct {
	// The service takes the time BaseDuration for each request, and DurationPerServer for each server in the request.
	BaseDuration, DurationPerServer time.Duration
	// TicketValidity is how long a ticket may be used.
	TicketValidity time.Duration
}
