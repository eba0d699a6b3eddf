package remote

import "time"

const (
	// MaxBodyBytes is the maximum size of the body of a request or response.
	MaxBodyBytes = 8 << 20
	// maxRequestBytes is below MaxBodyBytes, so that a response that returns the content of a request fits into a body.
	maxRequestBytes = MaxBodyBytes - 64<<10
	// maxPageBytes is the size above which a scan is split into pages.
	maxPageBytes = 4 << 20
	// rowOverheadBytes is an upper bound of the bytes that the JSON of a row adds to its key and value.
	rowOverheadBytes = 100
	// maxCursors is the number of unfinished scans whose remaining rows a server keeps.
	maxCursors = 64

	// MaxRunConnections is the number of connections of one client to one backend server for Run. The sum with
	// MaxControlConnections is the limit of 60 of requirement R18 in docs/design.md. Runs wait for answers, so they
	// have their own connections and never delay lease renewals.
	MaxRunConnections = 52
	// MaxControlConnections is the number of connections of one client to one backend server for all calls but Run.
	MaxControlConnections = 8
	// maxServiceConnections is the number of connections of one client to the table, the object store or the VM list.
	maxServiceConnections = 64

	// DefaultTimeout is the longest time that a request other than Run takes, also if its context has a later deadline.
	DefaultTimeout = 30 * time.Second
	// DefaultRunTimeout is the longest time that a Run takes, also if its context has a later deadline.
	DefaultRunTimeout = 10 * time.Minute
	// clientIdleTimeout is shorter than serverIdleTimeout, so that a request is rarely sent on a connection that the
	// server is closing.
	clientIdleTimeout = 10 * time.Second
	serverIdleTimeout = 60 * time.Second
	serverReadTimeout = 30 * time.Second // until a request is complete
	// dialedUserTimeout and acceptedUserTimeout close a connection whose peer doesn't acknowledge what was sent.
	dialedUserTimeout   = 3 * time.Second
	acceptedUserTimeout = 10 * time.Second
	// shutdownTimeout is the time that a server waits for open requests when it stops.
	shutdownTimeout = 2 * time.Second

	// timeoutHeader is the request header with the time in ms after which the client stops waiting for the response.
	timeoutHeader = "Pistachiolead-Timeout-Ms"
)
