package peer

import "time"

const (
	// MaxMessageBytes bounds requests and replies, so that one peer can't exhaust the 32 MB of another (R28).
	MaxMessageBytes = 8 << 20
	// MaxHops is the number of times that a request may be forwarded. With one hop requests can't circulate.
	MaxHops = 1
	// WholeDigestInterval is the longest time between two whole digests. It bounds how long a difference between
	// the two sides could last.
	WholeDigestInterval = 10 * time.Second
	// SecretHeader carries the shared secret of the entry VMs.
	SecretHeader = "Pistachiolead-Peer-Secret"

	// maxTrackedMembers bounds the digest state that a server keeps. It is several times the largest number of
	// entry VMs, so that members replaced in one wave don't evict live ones.
	maxTrackedMembers = 64
	// dialTimeout is several times the largest round trip between entry VMs (R17), with room for one lost SYN.
	dialTimeout = 1500 * time.Millisecond
	// idleConnections is the number of connections kept open to one peer.
	idleConnections = 16
	idleTimeout     = 90 * time.Second

	poolColumns = 1
	teamColumns = 5
	waitColumns = 1

	codeHops     = "too-many-hops"
	codeDeadline = "deadline-exceeded"
	codeTooLarge = "too-large"
)
