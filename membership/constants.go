package membership

import "time"

const (
	// heartbeatInterval is the time between two heartbeats to the same peer.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the time after which a heartbeat without a result counts as failed. The result may be
	// missing because this process was paused.
	heartbeatTimeout = time.Second
	// downAfter is how long heartbeats must have failed before a peer is down. Two consecutive lost heartbeats don't
	// suffice.
	downAfter = 3 * time.Second
	// downFailures is the minimum number of failed heartbeats before a peer is down, so that a pause of this process
	// alone takes no peer down.
	downFailures = 2
	// upSuccesses is the number of consecutive heartbeats with a reply after which a peer that was down is live again.
	upSuccesses = 2

	// rowDeletionDelay is how long a member must be missing from the VM list before its row is deleted. It exceeds
	// the delay of the list, so that the row of a new VM, which isn't listed yet, is kept.
	rowDeletionDelay = 10 * time.Second
	// maxListingInterval limits how much one listing adds to the time that a member is missing, because nothing is
	// known of the time between two listings that are far apart.
	maxListingInterval = 2 * time.Second
	// rowRetryInterval is the time between two attempts to write or delete the same row.
	rowRetryInterval = 5 * time.Second
	// peerRetention is how long the state of a peer without a row or listing is kept after the last contact.
	peerRetention = time.Minute
)
