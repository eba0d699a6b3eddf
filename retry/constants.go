package retry

import "time"

const (
	retriesPerSuccess = 0.1
	initialRetries    = 10.0  // allowed before the first success
	maxSavedRetries   = 100.0 // bounds the retries that accumulate while requests succeed, for the next outage

	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)
