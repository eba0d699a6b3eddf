package standin

import "time"

const (
	// LeaseDuration is the duration of a lease unless Backend.LeaseDuration is set.
	LeaseDuration = 6 * time.Second
	// TaskLeaseDuration is the time for which a task runs after Acquire or Report last renewed it.
	TaskLeaseDuration = 20 * time.Second
	// AnswerRetention is the time for which a backend server keeps the answer of a finished task.
	AnswerRetention = 10 * time.Minute
	// MaxAnswers is the number of answers that a backend server keeps.
	MaxAnswers = 10_000
	// MaxAttemptRecords is the number of started and closed attempts that a backend server keeps records of. At-most-once
	// starts depend on the records, so they are kept longer than the answers. A record takes about 200 bytes.
	MaxAttemptRecords = 500_000
	// UsageLag is the age of the resource usage in a report.
	UsageLag = 3 * time.Second
	// MaxRunTime is the longest run time that a payload may request.
	MaxRunTime = 24 * time.Hour
	// MaxOutputBytes is the largest output that a payload may request. Encoded as JSON it fits into the 8 MiB limit
	// of package remote for a body.
	MaxOutputBytes = 4 << 20
	// DeletionRetention is the number of table versions after which the record of a deletion is removed.
	DeletionRetention = 1_000_000
	// maxCheckpoints is the number of checkpoints that are kept. Beyond it the oldest one is removed.
	maxCheckpoints = 100_000
	// epochCounterBits is the number of low bits of an epoch that count the leases of one process, as in
	// provider.SameProcess.
	epochCounterBits = 20
)
