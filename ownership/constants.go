package ownership

import "time"

const (
	// TickInterval is the longest time between two Tick events. The time bounds of this package hold only if it is
	// kept.
	TickInterval = 100 * time.Millisecond
	// RequestTimeout is the time after which a request without a result counts as failed and may be sent again. A
	// result that arrives later is still handled. Callers that carry out effects use the same timeout.
	RequestTimeout = time.Second

	// guardInterval is how long before the end of a lease no more work may start. It covers the drift between the
	// clocks of an entry VM and a backend server during a lease.
	guardInterval = time.Second
	// leaseDuration is the duration of the leases that backend servers grant. It is used only to space requests; the
	// end of a lease is computed from the duration in the grant.
	leaseDuration = 6 * time.Second
	// maxLeaseDuration limits the duration of a grant. A lease has thus ended when the state of an unlisted server is
	// deleted.
	maxLeaseDuration = 30 * time.Second
	// unlistedRetention is how long the state of a server that isn't listed is kept. It exceeds maxLeaseDuration.
	unlistedRetention = time.Minute

	// renewInterval is the time between two reports. Two of them can fail before a lease of 6 s ends.
	renewInterval = 2 * time.Second
	// renewSpread is the range of a hash-based delay that is added to renewInterval, so that the reports of one entry
	// VM are spread over time. The longer mean interval also keeps the mean takeover time after a kill under the 5 s
	// of design 5.2.
	renewSpread = 500 * time.Millisecond

	// minRetryDelay and maxRetryDelay bound the exponential delay of the preferred owner after a failed or refused
	// request. With maxRetryDelay a free server is acquired within the 7 s of design 5.2 after a fault has ended.
	minRetryDelay = 125 * time.Millisecond
	maxRetryDelay = time.Second
	// leaseEndMargin is the time between the announced end of another entry VM's lease and the next acquire.
	leaseEndMargin = 10 * time.Millisecond
	// refusedRetryInterval is the time between acquires of a server that refuses this entry VM.
	refusedRetryInterval = 10 * time.Second
	// changeSpread is the range of the delays of requests that are caused by one change of the members or servers.
	changeSpread = 100 * time.Millisecond
	// takeoverSpread is the range of the delays with which entry VMs other than the preferred owner acquire a server.
	takeoverSpread = time.Second

	// handoverInterval limits handovers to 2 servers a second.
	handoverInterval = 500 * time.Millisecond
	// handoverDrainTime is how long a server gets no new work before it is handed over, so that short calls can end.
	handoverDrainTime = time.Second
	// minHoldOff and maxHoldOff bound the time for which an entry VM keeps a server after its preferred owner failed
	// to acquire it. The time doubles with each unsuccessful handover, because the server has no owner in the
	// meantime.
	minHoldOff = 10 * time.Second
	maxHoldOff = 8 * time.Minute

	// maxReleaseAttempts limits how often one release is sent. After that the lease expires by itself.
	maxReleaseAttempts = 3
)
