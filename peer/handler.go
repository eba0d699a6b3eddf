package peer

import "context"

// Handler is what an entry VM does with the messages of its peers. Its methods are called concurrently.
type Handler interface {
	// Heartbeat takes the digest of a peer, always whole, and returns the member's own.
	Heartbeat(ctx context.Context, d Digest) Digest
	// Forward runs a request. The outcome Unreachable isn't valid here and is sent as Unknown.
	Forward(ctx context.Context, r Request) ForwardOutcome
	// Apply applies a change and returns the configuration version that the member now holds.
	Apply(ctx context.Context, c Change) uint64
}
