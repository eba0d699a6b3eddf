package fleet

import "time"

const (
	// ShortTerm is how long an entry VM stays in control after it asked the store to renew its term, while the store
	// answers quickly. It bounds the time until another entry VM takes over.
	ShortTerm = time.Second
	// LongTerm holds while the store is slow: it covers two renewals that take as long as its slowest answers.
	LongTerm = 3500 * time.Millisecond
	// slowRenewal is the time of a renewal from which on terms are long.
	slowRenewal = 250 * time.Millisecond
	// renewInterval leaves three renewals for a short term.
	renewInterval = 250 * time.Millisecond
	// watchInterval is the time between two readings of the term row, slowWatchInterval that of VMs with little processor
	// time: many of them are in a large fleet, and others go first. A row that is older than half of its term is read
	// every closeWatchInterval, as a renewal is missing.
	watchInterval      = 200 * time.Millisecond
	slowWatchInterval  = time.Second
	closeWatchInterval = 50 * time.Millisecond

	// ShortLease is how long a backend server works on without word from an entry VM, while terms are short. It covers a
	// term, the time that a new controller needs to read the store, and a look; what a server that doesn't answer runs is
	// started elsewhere only after it.
	ShortLease = 3500 * time.Millisecond
	// LongLease holds with long terms.
	LongLease = 5500 * time.Millisecond
	// keepAlive is how long after its term a controller goes on extending leases, so that work outlasts an outage of the
	// store. It starts nothing then. A new controller waits for that time too before it starts anew what a server that it
	// can't reach may run.
	keepAlive = 2 * time.Second
	// slowestClock is the rate of the slowest clock of a backend server, by the platform's bounds.
	slowestClock = 0.98
	// leaseSlack covers the rounding of times to milliseconds.
	leaseSlack = 100 * time.Millisecond

	lookWait = 1200 * time.Millisecond // how long a server waits for an end before it answers
	// startupWait replaces lookWait while a task that lasts starts: the next one of its step may move once it is at work.
	startupWait = 200 * time.Millisecond
	lookPause   = 50 * time.Millisecond  // gathers ends: the shortest time between two looks at a server
	lookRetry   = 300 * time.Millisecond // after a look that failed

	// placePausePerServer spaces placements, so that a large fleet costs its controller no more than a small one.
	placePausePerServer = 80 * time.Microsecond

	startRetry = 150 * time.Millisecond // before an order without an answer is sent again
	startTries = 3

	maxRowsInCommit  = 80  // the store takes 100 entries, among them conditions and the committer's own row
	maxIntentsInPass = 400 // starts that one commit may hold
	// maxLiveTasks of a job run at once, so that its row of progress stays below the 64 KB that the store takes: a record
	// with a run has some 110 bytes.
	maxLiveTasks   = 400
	statusInterval = time.Second
	firstStatus    = 1500 * time.Millisecond // after control begins, until waiting jobs are read and counted
	sickFailures   = 3                       // failed runs in a row after which a server rests
	sickRest       = 4 * time.Second
	stallTimeout   = 1800 * time.Millisecond // a run whose progress stands still for as long
)
