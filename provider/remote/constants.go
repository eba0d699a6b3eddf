package remote

import "time"

const (
	// MaxBodyBytes bounds the bodies of requests and responses.
	MaxBodyBytes = 8 << 20
	// maxRequestBytes leaves room for the envelope of a response that returns the content of a request.
	maxRequestBytes = MaxBodyBytes - 64<<10
	// maxPageBytes is the size above which a scan is split into pages.
	maxPageBytes = 4 << 20
	// rowOverheadBytes bounds what the JSON of a row adds to its key and value.
	rowOverheadBytes = 100
	// maxCursors is the number of scans whose next page a server keeps.
	maxCursors = 64

	// MaxRunConnections and MaxControlConnections bound the connections of one client to one backend server. Their sum
	// is the 60 of R18. Runs wait for answers, so they have connections of their own: renewals never wait for them.
	MaxRunConnections = 52
	// MaxControlConnections is for all calls to a backend server but Run.
	MaxControlConnections = 8
	// maxServiceConnections bounds the connections of one client to the table, the object store or the VM list.
	maxServiceConnections = 64

	// DefaultTimeout applies to calls whose context has no deadline.
	DefaultTimeout = 30 * time.Second
	// DefaultRunTimeout is the DefaultTimeout of Run.
	DefaultRunTimeout = 10 * time.Minute
	// clientIdleTimeout is shorter than serverIdleTimeout, so that a request is seldom sent on a connection that the
	// server is closing.
	clientIdleTimeout = 10 * time.Second
	serverIdleTimeout = 60 * time.Second
	// shutdownTimeout bounds the wait for open requests when a server stops.
	shutdownTimeout = 2 * time.Second

	// timeoutHeader carries the time in ms after which the client stops waiting.
	timeoutHeader = "Pistachiolead-Timeout-Ms"
)
