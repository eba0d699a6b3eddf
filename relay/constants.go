package relay

import "time"

const (
	// heartbeatInterval is the longest time between two frames in each direction.
	heartbeatInterval = 100 * time.Millisecond
	// sessionTimeout is the time without a byte from the relay after which a session counts as lost. Outcomes of its requests
	// are then unknown long before the leases of the servers expire.
	sessionTimeout = 500 * time.Millisecond
	// idleSessionTimeout is the time without a byte after which a relay closes the connection of a leader that is gone.
	idleSessionTimeout = 3 * time.Second
	// writeTimeout bounds the sending of a frame, also on a slow link. A peer that acknowledges but takes in less than a frame
	// in this time counts as lost.
	writeTimeout = 5 * time.Second
	// userTimeout is how long sent data may stay unacknowledged, or not fit into the buffers of a relay. As there is a frame each
	// heartbeatInterval, it bounds a partition in one direction.
	userTimeout = time.Second
	// outcomeTimeout is the time after which a request ends without an outcome, beside the time for which a poll may wait for the
	// end of a run. The requests that a relay sends end sooner.
	outcomeTimeout = 2500 * time.Millisecond
	dialTimeout    = 400 * time.Millisecond
	redialDelay    = time.Second
	// avoidTime is how long a relay isn't used for a backend server from which it got no response.
	avoidTime = 2 * time.Second
	// batchDelay is the shortest time between two frames in one direction: requests and outcomes are collected meanwhile.
	batchDelay = 3 * time.Millisecond
	// clockMargin covers the rounding of times to milliseconds.
	clockMargin = 2 * time.Millisecond
	// maxQueuedBytes is the size of the queued requests from which on the leader sends others itself.
	maxQueuedBytes = 1 << 20
	// maxSessions bounds the connections that a relay serves at a time. There is one leader, and others that were leaders.
	maxSessions = 16
	// maxRelaySenders bounds the requests in flight of one leader at a relay. Most of them are polls, one a server.
	maxRelaySenders = 4096
	// serversPerProcessor is the number of backend servers whose requests an entry VM with one core of processor time
	// sends.
	serversPerProcessor = 250
)
