package local

import "time"

const (
	// stopTimeout limits how long Stop waits for the planned stops of the entry VMs.
	stopTimeout = 20 * time.Second
	// loopback is the address of all listeners: a free port of the loopback interface.
	loopback       = "127.0.0.1:0"
	serversPerRack = 4
	// initAuthor is recorded as the author of the first configuration.
	initAuthor = "init"
)
