package deployment

import "time"

const (
	feedMaxWait             = 500 * time.Millisecond // how long the store waits for a change; bounds the age of the configuration
	jobsBatchDelay          = 30 * time.Millisecond  // gathers jobs that arrive together
	readRetryDelay          = 250 * time.Millisecond // after a read that failed
	registrationsBatchDelay = 300 * time.Millisecond // registrations change with each heartbeat, so they are read in batches
	tickInterval            = 100 * time.Millisecond
	maxParallelReads        = 24 // at a time when control begins, of the 64 connections to the store
	maxReadRetries          = 3  // of a read when control begins, before another entry VM may try

	takeoverStep   = 150 * time.Millisecond // by which VMs with less processor time take over later
	preferredCores = 0.8                    // of a core: VMs with as much take over first
	slowCores      = 0.35                   // of a core: VMs with less take over only if no other does

	keyAgeMargin = 800 * time.Millisecond // of the bound for revoked keys: a request's way to its answer
	// storeContactTimeout is how long the store may not be heard of before customers are sent elsewhere: two answers of the feed.
	storeContactTimeout = 1300 * time.Millisecond
	shutdownReserve     = 1200 * time.Millisecond // of the grace period, for requests under way at its end

	maxCommitsPerSecond = 40     // transactions a second of one committer: a part applies 150 for all entry VMs
	maxRowsPerSecond    = 20_000 // rows are limited by transactions on this store
	maxRowsPerCommit    = 90     // the store takes 100 entries in a call
)
