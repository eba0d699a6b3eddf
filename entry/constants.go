package entry

import "time"

const (
	// peerHeaderTimeout and peerIdleTimeout bound connections of other entry VMs.
	peerHeaderTimeout = 5 * time.Second
	peerIdleTimeout   = time.Minute
	// scanTimeout bounds a table read, heartbeatTimeout a heartbeat, controlTimeout a short request to a backend
	// server. Each is below the interval at which the request is repeated or its result is missed.
	scanTimeout      = 3 * time.Second
	directTimeout    = time.Second
	heartbeatTimeout = time.Second
	controlTimeout   = 2 * time.Second
	pushTimeout      = 2 * time.Second
	putTimeout       = 10 * time.Second
	listTimeout      = 2 * time.Second
	// runTimeout bounds one wait for the answer of a job. The attempt is joined again afterwards.
	runTimeout = 10 * time.Minute
	// jobPollInterval is the pause between two reads of a job's rows for a caller who waits.
	jobPollInterval = 200 * time.Millisecond
)
