package fleet

import "time"

const (
	// ShortTerm is the duration of a term, counted from the request to renew it, while the store responds quickly. It
	// bounds the time until another entry VM takes over from a leader that failed.
	ShortTerm = time.Second
	// LongTerm is the duration of a term while the store is slow: two renewals that each take as long as the store's
	// slowest responses fit into it.
	LongTerm = 3500 * time.Millisecond
	// slowRenewalThreshold is the duration of a commit from which on the next term is a long one.
	slowRenewalThreshold = 250 * time.Millisecond
	// renewInterval is the time between two renewals: three of them fit into a short term.
	renewInterval = 250 * time.Millisecond
	// termPollInterval is the time between two reads of the term row by an entry VM that isn't the leader.
	// slowTermPollInterval applies to VMs with little processor time: a large fleet has many of them, and the others
	// take over first. Once a term has been unchanged for half of its duration, a renewal is overdue and the row is
	// read every lateTermPollInterval.
	termPollInterval     = 200 * time.Millisecond
	slowTermPollInterval = time.Second
	lateTermPollInterval = 50 * time.Millisecond

	// maxReadGap is the time between two reads of the term row from which on the store counts as having been away. The
	// slowest schedule reads the row every slowTermPollInterval.
	maxReadGap = 1500 * time.Millisecond
	// slowVMOutageDelay is added to the takeover delay of a VM with little processor time after an outage of the store,
	// because the first reads of faster VMs may hang until their timeout.
	slowVMOutageDelay = 500 * time.Millisecond
	// claimFactor is how much more processor time than the leader an entry VM has to have to claim the term.
	claimFactor = 2
	// claimDelay is how long a leader is left in place before its term is claimed: it has then read the stored state, and
	// a planned stop of all VMs in turn doesn't cause a claim at each of them.
	claimDelay    = 500 * time.Millisecond
	claimInterval = 5 * time.Second // before a claim without effect is repeated
	// maxRenewalsAfterClaim is how often a leader renews its term while it reads a claim and stores its changes.
	maxRenewalsAfterClaim = 12
	// successorGrace is how long other entry VMs leave a term to the successor that it names.
	successorGrace = time.Second

	// ShortLease is how long a backend server continues its runs without a poll, while terms are short. It covers a
	// term, the time in which a new controller reads the store, and a poll. The runs of an unresponsive server are
	// restarted elsewhere only after its lease.
	ShortLease = 3500 * time.Millisecond
	// LongLease is the lease of a backend server while terms are long.
	LongLease = 5500 * time.Millisecond
	// leaseExtensionGrace is how long after its term a controller still extends leases, so that runs survive an outage
	// of the store. It starts no runs in that time. A new controller also waits for that time before it restarts the
	// runs of a server that it can't reach.
	leaseExtensionGrace = 2 * time.Second
	// defaultMaxLease is the longest lease that a backend server accepts, unless the platform gives another.
	defaultMaxLease = 10 * time.Second
	// maxCallDelay is the longest time from when a request without a response was sent until the server carries it out.
	maxCallDelay = 15 * time.Second
	// maxStartRequests bounds the requests to start a run on one server. If none of them has a response, the task waits until none can be
	// carried out any more, and starts on another server.
	maxStartRequests = 6
	// overdueStartTime is the time without a response to a start request from which on its server gets no other runs: it may be gone,
	// which a poll shows only after a second or two, and their tasks would wait for it as well.
	overdueStartTime = 300 * time.Millisecond
	// lastingRunTime is how long a run has to last for its start to be worth a write of its own.
	lastingRunTime = 2 * time.Second
	// maxTimeOfDaySkew is the largest difference between the time of day on two machines, also if one jumps.
	maxTimeOfDaySkew = 3 * time.Second
	// minClockRate is the rate of the slowest clock of a backend server that the platform allows.
	minClockRate = 0.98
	// clockRounding covers the rounding of a server's clock to milliseconds, in two responses.
	clockRounding = 2 * time.Millisecond
	// leaseMargin covers the rounding of times to milliseconds.
	leaseMargin = 100 * time.Millisecond

	// maxListLag is the longest time by which the platform's list of VMs may be older than the request for it.
	maxListLag = 10 * time.Second

	pollWait = 1200 * time.Millisecond // how long a server may wait for the end of a run before it responds to a poll
	// startupPollWait replaces pollWait while a long-running task starts up: the next task of its step can migrate only
	// once this one works at full speed.
	startupPollWait = 200 * time.Millisecond
	// stopReportMargin is the time from when a run has stopped until the controller has received a report of it.
	stopReportMargin = 500 * time.Millisecond
	// minPollInterval is the shortest time between two polls of a server, so that one report covers several ends of
	// runs. In a large fleet it is the time between two placement passes, as no run starts in between.
	minPollInterval = 50 * time.Millisecond
	pollRetryDelay  = 300 * time.Millisecond // after a failed poll
	// maxPollBackoff times pollRetryDelay is the longest time between two polls of an unresponsive server without runs.
	maxPollBackoff = 4

	// placementIntervalPerServer times the number of servers is the shortest time between two placement passes, so that
	// the processor time of placement grows less than the fleet.
	placementIntervalPerServer = 80 * time.Microsecond
	// maxPlacementInterval bounds the time by which placement, and polls with it, delay each step of a job.
	maxPlacementInterval = 100 * time.Millisecond

	startRetryDelay = 150 * time.Millisecond // before a stop request without a response is sent again, or another run started

	// maxInvalidStartDelay bounds the time before a task is started again whose start requests are refused as invalid, and
	// maxStartDoublings the doublings of startRetryDelay until then.
	maxInvalidStartDelay = 10 * time.Second
	maxStartDoublings    = 7

	// maxAvoidedServers bounds the servers that a task remembers because it failed there, as it may be restarted for months.
	maxAvoidedServers = 8

	// rejectedRowPause is how long a job gets no runs after the store rejected its progress, and how long a row of another kind
	// isn't sent again.
	rejectedRowPause  = 10 * time.Second
	maxIntentsPerPass = 1200 // starts in one placement pass; a large fleet has ten passes a second
	// maxActiveRuns bounds the runs of a job at a time, as its progress row must stay below the 64 KB that the store
	// accepts: the record of a task with a run has some 110 bytes.
	maxActiveRuns = 400
	// maxOpenTasks bounds the tasks of a job's occurrences that aren't done, unless a single one has more. All tasks of a step that is done
	// count as one: the name of a done step or a range of done occurrences has some 10 bytes in the progress row, beside the records
	// of maxActiveRuns. maxKeptTasks bounds the tasks in memory.
	maxOpenTasks = 1500
	maxKeptTasks = 10 * maxOpenTasks
	// MaxGangTasks bounds the tasks of a gang, as they run at the same time.
	MaxGangTasks = maxActiveRuns

	statusInterval         = time.Second
	failuresBeforeCooldown = 3               // consecutive failed runs that start a failureCooldown
	failureCooldown        = 4 * time.Second // without new runs for the server
	// refusalCooldown is the time without new runs for a server that refused a start request because it is busy, full,
	// unreachable or restarted.
	refusalCooldown = time.Second
	stallTimeout    = 1800 * time.Millisecond // without progress of the first run of a task, before it is stopped
	// maxStallDoublings bounds the doublings of stallTimeout: to two hours.
	maxStallDoublings = 12
)
