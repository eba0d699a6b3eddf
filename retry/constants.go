package retry

import "time"

const (
	successRatio  = 0.1   // retries allowed for each success
	initialTokens = 10.0  // retries allowed before the first success
	maxTokens     = 100.0 // bounds the retries that a long good period can save up for an outage

	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)
