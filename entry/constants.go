package entry

import "time"

const (
	// peerHeaderTimeout limits how long another entry VM may take to send the headers of a request, and peerIdleTimeout
	// how long its connection may stay open without a request.
	peerHeaderTimeout = 5 * time.Second
	peerReadTimeout   = 10 * time.Second // until a request is complete
	peerIdleTimeout   = time.Minute
	// Timeouts of requests to the platform, to backend servers and to other entry VMs. controlTimeout is that of every
	// request to a backend server except Run, objectTimeout that of a Put or Get of the object store. scanTimeout,
	// heartbeatTimeout and controlTimeout are shorter than the interval at which the request is repeated or after which
	// the caller acts on a missing result.
	scanTimeout      = 3 * time.Second
	heartbeatTimeout = time.Second
	controlTimeout   = 2 * time.Second
	pushTimeout      = 2 * time.Second
	objectTimeout    = 10 * time.Second
	listTimeout      = 2 * time.Second
	// runTimeout limits one Run request of a job without a deadline. The task keeps running on the server, and the
	// control loop attaches to its attempt again with the next Run request.
	runTimeout = 10 * time.Minute
	// jobPollInterval is the time between two reads of a job's rows while a caller waits for the job.
	jobPollInterval = 200 * time.Millisecond
)
