package commit

import "time"

const (
	// DefaultMaxQueued is the number of transactions that wait or are under way.
	DefaultMaxQueued = 10_000
	// DefaultMaxRows is the number of rows in a packed transaction, without the committer's own.
	DefaultMaxRows = 200
	// DefaultMaxRate is the number of packed transactions a second of one committer. Nine entry VMs make 180 of the
	// several hundred writes that the table accepts (R22, R31).
	DefaultMaxRate = 20
	// DefaultMaxRowRate is the number of rows a second of all committers together, the committers' own rows
	// included (R31).
	DefaultMaxRowRate = 300

	// minBackoff and maxBackoff bound the delay after a failed attempt. The upper bound is the time that a recovered
	// table may stay unnoticed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// attemptTimeout ends an attempt without a reply. Its outcome is then unknown and it is sent again.
	attemptTimeout = 3 * time.Second
	// expiryInterval is how late an item may learn that its deadline has passed.
	expiryInterval = 50 * time.Millisecond
	// rowBurst is the time whose rows may be written at once after a pause.
	rowBurst = 500 * time.Millisecond
	// batchInterval is the time whose rows are gathered into one transaction when rows are scarce. Without it, the
	// committer's own row would be most of what a busy committer writes.
	batchInterval = 250 * time.Millisecond
	// tokenBytes makes equal tokens of two transactions practically impossible.
	tokenBytes = 16

	ownRowPrefix = "commit/"
)
