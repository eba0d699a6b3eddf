package queue

import "time"

const (
	defaultBound = 2000 // requests a team

	urgentWaitBound      = 1900 * time.Millisecond // R16
	interactiveWaitBound = 10 * time.Second

	// ageingInterval is the wait after which a request counts as one class higher.
	ageingInterval = 10 * time.Minute

	// Defaults of Shares. In BenchmarkPolicyShare with 8 entry VMs, the largest shortfall of a team in 10 s is 2.5%
	// with them, 3.1% without memory, 4.0% without memory and remote use, and 33% when remote use, which is up to 1 s
	// old, counts in full: all entry VMs then start the same team's work at once.
	defaultShareMemory  = 3 * time.Second
	defaultRemoteWeight = 0.5

	// rateMemory is the time constant of the learned start rate, in time during which the pool had waiting work.
	rateMemory = 10 * time.Second
	// minRateTime is the waiting time that must have been observed before the start rate is used for refusals.
	minRateTime = time.Second

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// minStaleDeadlines keeps the deadline heap from being rebuilt for few removed requests.
	minStaleDeadlines = 64
)
