package standin

import "time"

const (
	// LeaseDuration is the duration of a lease unless Backend.LeaseDuration is set.
	LeaseDuration = 6 * time.Second
	// TaskLease is how long a task runs after it was last renewed by Acquire or Report.
	TaskLease = 20 * time.Second
	// AnswerRetention is how long a backend server keeps the answer of a finished task.
	AnswerRetention = 10 * time.Minute
	// MaxAnswers is the number of answers that a backend server keeps.
	MaxAnswers = 10_000
	// MaxRecords is the number of started and closed attempts that a backend server remembers. They are needed for
	// at-most-once starts, so they outlive the answers; a record takes about 200 bytes.
	MaxRecords = 500_000
	// UsageLag is how old the usage in a report is.
	UsageLag = 3 * time.Second
	// MaxRunTime is the largest run time that a payload may ask for.
	MaxRunTime = 24 * time.Hour
	// MaxOutputBytes is the largest output that a payload may ask for. Encoded as JSON it still fits into the 8 MiB
	// body limit of package remote.
	MaxOutputBytes = 4 << 20
	// DeletionRetention is the number of table versions after which the record of a deletion is forgotten.
	DeletionRetention = 1_000_000
	// maxCheckpoints bounds the checkpoints that no later attempt has resumed.
	maxCheckpoints = 100_000
	// epochCounterBits is the number of low bits of an epoch that count the leases of one process.
	epochCounterBits = 20
)
