package membership

import "time"

const (
	heartbeatInterval = time.Second
	// heartbeatTimeout counts a heartbeat without a result as failed, in case its sender was paused.
	heartbeatTimeout = time.Second
	// downAfter is how long heartbeats have to fail before a peer is down. It tolerates two lost heartbeats in a row.
	downAfter = 3 * time.Second
	// downFailures is the least number of failed heartbeats for a peer to be down, so that a pause of this process
	// alone takes no peer down.
	downFailures = 2
	// upSuccesses is how many heartbeats in a row a peer that was down has to answer.
	upSuccesses = 2

	// removeAfter is how long the VM list has to show a member gone. It exceeds the lag of the list, so that a VM
	// that is new rather than gone keeps its row.
	removeAfter = 10 * time.Second
	// maxListingGap limits how much one listing adds to removeAfter, as nothing is known of the time between two
	// listings that are far apart.
	maxListingGap = 2 * time.Second
	// rowRetryInterval is the time between attempts to write or delete the same row.
	rowRetryInterval = 5 * time.Second
	// forgetAfter is how long a peer without a row or listing is remembered after it was last heard.
	forgetAfter = time.Minute
)
