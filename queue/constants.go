package queue

import "time"

const (
	defaultTeamBound = 2000 // requests per team

	urgentWaitBound      = 1900 * time.Millisecond // requirement R16 in docs/design.md
	interactiveWaitBound = 10 * time.Second

	// agingInterval is the wait after which an archive request is ordered one class more urgent.
	agingInterval = 10 * time.Minute

	// Defaults of Shares. In BenchmarkPolicyShare with 8 entry VMs, the largest shortfall of a team in 10 s is 2.5%
	// with them, 3.1% without past use, 4.0% without past and remote use, and 33% when remote use counts in full.
	// Remote use is up to 1 s old, so that all entry VMs would then start work of the same team at once.
	defaultShareDecayTime = 3 * time.Second
	defaultRemoteWeight   = 0.5

	// startRateDecayTime is the time constant of the exponential decay of the start rate. Only time during which the
	// pool has waiting requests counts.
	startRateDecayTime = 10 * time.Second
	// minStartRateTime is the decayed time with waiting requests from which on the start rate is used for refusals.
	minStartRateTime = time.Second

	// Bounds of the delay after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// minRemovedDeadlines is the number of removed requests below which the deadline heap isn't rebuilt.
	minRemovedDeadlines = 64
)
