package queue

import "time"

const (
	defaultBound = 2000 // requests a team

	urgentWaitBound      = 1900 * time.Millisecond // R16
	interactiveWaitBound = 10 * time.Second

	// ageingInterval is the wait after which a request counts as one class higher.
	ageingInterval = 10 * time.Minute

	// lookAhead bounds how many requests of one team and class Pick examines for a shape that wasn't offered yet.
	lookAhead = 8

	// rateMemory is the time constant of the learned start rate, in time during which the pool had waiting work.
	rateMemory = 10 * time.Second
	// minRateTime is the waiting time that must have been observed before the start rate is used for refusals.
	minRateTime = time.Second

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second

	// minStaleDeadlines keeps the deadline heap from being rebuilt for few removed requests.
	minStaleDeadlines = 64
)
