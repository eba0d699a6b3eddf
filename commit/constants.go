package commit

import "time"

const (
	// DefaultMaxQueued is the maximum number of pending transactions, queued or being sent.
	DefaultMaxQueued = 10_000
	// DefaultMaxRows is the maximum number of rows in a packed transaction, without the committer's own row.
	DefaultMaxRows = 200
	// DefaultMaxRate is the maximum number of packed transactions per second of one committer. With 9 entry VMs that is
	// 180 of the several hundred writes per second that the table accepts (R22, R31).
	DefaultMaxRate = 20
	// DefaultMaxRowRate is the maximum number of rows per second of all committers together, including the committers'
	// own rows (R31).
	DefaultMaxRowRate = 300

	// minBackoff and maxBackoff bound the delay after a failed attempt. The maximum is also how long the recovery of the
	// table may go unnoticed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// attemptTimeout ends an attempt without a response. The outcome is then unknown and the transaction is sent again.
	attemptTimeout = 3 * time.Second
	// expiryInterval is the interval between checks for transactions whose deadline has passed.
	expiryInterval = 50 * time.Millisecond
	// rowBurstDuration determines the burst of rows after a pause: the rows that the rate allows in this time.
	rowBurstDuration = 500 * time.Millisecond
	// batchInterval determines for how many rows a transaction waits when the row rate is the bottleneck: those that the
	// rate allows in this time. Otherwise most rows of a busy committer would be writes of its own row.
	batchInterval = 250 * time.Millisecond
	// tokenBytes is the length of a random token, large enough that two tokens are practically never equal.
	tokenBytes = 16

	ownRowPrefix = "commit/"
)
