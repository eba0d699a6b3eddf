package peer

// HeartbeatOutcome is the outcome of Client.Heartbeat: HeartbeatReply, OutcomeUnknown or Unreachable.
type HeartbeatOutcome interface{ heartbeatOutcome() }

// ApplyOutcome is the outcome of Client.Apply: Acknowledged, OutcomeUnknown or Unreachable.
type ApplyOutcome interface{ applyOutcome() }

// HeartbeatReply is the peer's reply to a heartbeat.
type HeartbeatReply struct{ digest Digest }

// NewHeartbeatReply returns a reply with the peer's digest.
func NewHeartbeatReply(digest Digest) HeartbeatReply { return HeartbeatReply{digest: digest} }

// Digest returns the peer's digest, which is never a delta.
func (h HeartbeatReply) Digest() Digest { return h.digest }

// Acknowledged means that the peer applied the change.
type Acknowledged struct{ version uint64 }

// NewAcknowledged returns an outcome with the configuration version that the peer holds after the change.
func NewAcknowledged(version uint64) Acknowledged { return Acknowledged{version: version} }

// Version returns the configuration version that the peer holds after the change.
func (a Acknowledged) Version() uint64 { return a.version }

func (HeartbeatReply) heartbeatOutcome() {}
func (OutcomeUnknown) heartbeatOutcome() {}
func (Unreachable) heartbeatOutcome()    {}
func (Acknowledged) applyOutcome()       {}
func (OutcomeUnknown) applyOutcome()     {}
func (Unreachable) applyOutcome()        {}
