package claim

import "time"

const (
	// Retention is how long the answer to a repeated request is kept. A request that is repeated later may run again.
	Retention = 24 * time.Hour
	// UnknownOutcomeRetention is how long a claim is kept whose outcome couldn't be determined, because its backend
	// server was lost. It is longer than Retention, because the task may have run.
	UnknownOutcomeRetention = 7 * 24 * time.Hour
	// MaxIDLength is the largest number of characters in a request id.
	MaxIDLength = 128

	rowPrefix = "claim/"
)
