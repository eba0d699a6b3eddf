package deployment

import "time"

const (
	// feedMaxWait is how long the store delays its response to a read of changes until there is a change. It bounds the
	// age of the configuration.
	feedMaxWait    = 500 * time.Millisecond
	jobsBatchDelay = 30 * time.Millisecond  // between two reads, so that jobs are read in batches
	readRetryDelay = 250 * time.Millisecond // after a failed read
	// maxJobsRelistDelay bounds the pause between two lists of jobs, or of cancellations, while the store keeps no history: each
	// reads all partitions. A cancellation has to be noticed within 3 s.
	maxJobsRelistDelay = time.Second
	// registrationsBatchDelay is longer than jobsBatchDelay because registrations change with each heartbeat.
	registrationsBatchDelay = 300 * time.Millisecond
	tickInterval            = 100 * time.Millisecond
	// controllerGCPercent is the target percentage of the garbage collector (GOGC) while this entry VM is the leader. A
	// collection scans the stack of a goroutine for each backend server, so the leader collects less often than others.
	controllerGCPercent = 200
	// bytesPerTask is the memory of a task that waits (BenchmarkWaitingTask), and taskMemoryPercent the share of the memory of the
	// process that tasks of unfinished jobs may use.
	bytesPerTask      = 450
	taskMemoryPercent = 20
	maxParallelReads  = 24 // when the controller starts; the client has 64 connections to the store
	// maxReadRetries bounds the retries of one read when the controller starts. Then the controller ends, so that
	// another entry VM may become the leader.
	maxReadRetries = 3
	// minProgressPages is the number of pages of rows of progress that a new leader reads before it continues with the rows of
	// the live jobs only. It reads one more for each jobsPerPage of these.
	minProgressPages = 4
	jobsPerPage      = 20
	// retentionPercent is how long the rows of ended jobs are kept, in percent of the time for which their states must be
	// readable.
	retentionPercent = 150

	// takeoverStep is the unit of the takeover delay. An entry VM with less CPU time than preferredCores waits for up to
	// two steps, and every entry VM waits for a jitter of up to one step.
	takeoverStep   = 150 * time.Millisecond
	preferredCores = 0.8 // CPU time of an entry VM, in cores, from which on its takeover delay is only the jitter
	// slowCores is the CPU time of an entry VM, in cores, below which it reads the term row less often, so that another
	// entry VM becomes the leader first.
	slowCores = 0.35

	// claimReadInterval is the time between two reads of the claim on its term by a leader with little processor time.
	claimReadInterval = 500 * time.Millisecond

	announceRetryDelay = time.Second
	// membersReadInterval is the time between two reads of the entry VMs by the leader. A new VM is used as a relay after
	// the next read.
	membersReadInterval = 5 * time.Second

	// keyAgeMargin is the part of the bound for revoked keys that is left for a call after its key was checked.
	keyAgeMargin = 800 * time.Millisecond
	// storeContactTimeout is the time without a response of the store after which calls are refused and the entry VM is
	// not ready. Two reads of changes fit into it.
	storeContactTimeout = 1300 * time.Millisecond
	// shutdownReserve is the end of the grace period in which no new calls are served, so that calls in progress end.
	shutdownReserve = 1200 * time.Millisecond

	// maxCommitsPerSecond bounds the transactions of one entry VM: a partition applies 150 a second for all entry VMs.
	maxCommitsPerSecond = 40
	// maxRowsPerSecond is set so high that it has no effect: this store limits transactions, not rows.
	maxRowsPerSecond = 20_000
	maxRowsPerCommit = 90 // the store accepts 100 in one call
)
