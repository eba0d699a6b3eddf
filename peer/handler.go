package peer

import "context"

// Handler processes the messages that an entry VM receives from its peers. Its methods are called concurrently.
type Handler interface {
	// Heartbeat processes the digest of a peer and returns the entry VM's own. Neither is a delta.
	Heartbeat(ctx context.Context, d Digest) Digest
	// Forward runs a request and returns its outcome. Unreachable isn't valid here and is sent as OutcomeUnknown.
	Forward(ctx context.Context, r Request) ForwardOutcome
	// Apply applies a change and returns the configuration version that the entry VM then holds.
	Apply(ctx context.Context, c Change) uint64
}
