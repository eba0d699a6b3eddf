package peer

import "time"

const (
	// MaxMessageBytes limits the size of a request or a reply, so that one peer can't exhaust the 32 MB of another
	// (R28).
	MaxMessageBytes = 8 << 20
	// MaxHops is the number of times that a request may be forwarded. A limit of 1 rules out forwarding loops.
	MaxHops = 1
	// FullDigestInterval is the longest time between two full digests. It limits how long the states of sender and
	// receiver could differ.
	FullDigestInterval = 10 * time.Second
	// SecretHeader is the HTTP header that carries the shared secret of the entry VMs.
	SecretHeader = "Pistachiolead-Peer-Secret"

	// maxTrackedMembers is the number of members whose digests a server keeps. It is several times the largest number
	// of entry VMs, so that the replacement of all members in one wave evicts none that still runs.
	maxTrackedMembers = 64
	// dialTimeout is several times the largest round trip between entry VMs (R17) and allows for one lost SYN.
	dialTimeout = 1500 * time.Millisecond
	// userTimeout closes a connection whose peer doesn't acknowledge what was sent.
	userTimeout = 3 * time.Second
	// maxIdleConnections is the number of idle connections kept open to one peer.
	maxIdleConnections    = 16
	idleConnectionTimeout = 90 * time.Second

	// Columns of the load tables of a digest, see peerwire.Digest.
	poolColumns = 1
	teamColumns = 5
	waitColumns = 1

	codeTooManyHops      = "too-many-hops"
	codeDeadlineExceeded = "deadline-exceeded"
	codeTooLarge         = "too-large"
)
