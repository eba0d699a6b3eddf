package ownership

import "time"

const (
	// TickInterval is the longest time between two Tick events for the bounds of this package to hold.
	TickInterval = 100 * time.Millisecond
	// RequestTimeout is when a request without a result is given up and may be sent again. A later result is still
	// understood. Effects that send requests use the same time-out.
	RequestTimeout = time.Second

	// guardInterval ends the permission to start work before the lease. It covers the drift between the clocks of an
	// entry VM and a backend server during a lease.
	guardInterval = time.Second
	// leaseDuration is the lease that backend servers grant. It is used only to space requests; the lease itself is
	// counted by the duration in the grant.
	leaseDuration = 6 * time.Second
	// maxLeaseDuration limits what a grant can claim, so that a forgotten server can't return with an old lease.
	maxLeaseDuration = 30 * time.Second
	// forgetAfter is how long a server that isn't listed is remembered. It exceeds maxLeaseDuration.
	forgetAfter = time.Minute

	// renewInterval is the time between two reports. Two of them can fail before a lease of 6 s is lost.
	renewInterval = 2 * time.Second
	// renewSpread is added to renewInterval by a hash, so that the reports of one entry VM don't coincide. The longer
	// mean interval also keeps the average take-over after a kill under the 5 s of design 5.2.
	renewSpread = 500 * time.Millisecond

	// retryMin and retryMax bound the back-off of the preferred owner after a failed or refused request. With retryMax
	// a free server is acquired within the 7 s of design 5.2 after a fault has ended.
	retryMin = 125 * time.Millisecond
	retryMax = time.Second
	// leaseEndMargin is how long after the announced end of another entry VM's lease an acquire is sent.
	leaseEndMargin = 10 * time.Millisecond
	// refusedInterval is the time between acquires of a server that refuses this entry VM.
	refusedInterval = 10 * time.Second
	// burstSpread spreads the requests that one change of members or servers causes.
	burstSpread = 100 * time.Millisecond
	// takeOverSpread spreads the acquires of entry VMs that aren't the preferred owner.
	takeOverSpread = time.Second

	// handOverInterval limits hand-overs to 2 servers a second.
	handOverInterval = 500 * time.Millisecond
	// handOverDrain is how long a server takes no new work before it is handed over, so that short calls end.
	handOverDrain = time.Second
	// holdOffMin and holdOffMax bound how long an entry VM keeps a server that its preferred owner didn't acquire. The
	// time doubles with each hand-over in vain, because the server is without an owner meanwhile.
	holdOffMin = 10 * time.Second
	holdOffMax = 8 * time.Minute

	// releaseAttempts limits how often a failed release is sent. After that the lease runs out.
	releaseAttempts = 3
)
