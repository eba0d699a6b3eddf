package peer

// HeartbeatOutcome is the outcome of Client.Heartbeat: Heard, Unknown or Unreachable.
type HeartbeatOutcome interface{ heartbeatOutcome() }

// ApplyOutcome is the outcome of Client.Apply: Acknowledged, Unknown or Unreachable.
type ApplyOutcome interface{ applyOutcome() }

// Heard is the peer's reply to a heartbeat.
type Heard struct{ digest Digest }

// NewHeard returns a reply with the peer's digest.
func NewHeard(digest Digest) Heard { return Heard{digest: digest} }

// Digest returns the peer's digest, which is never a delta.
func (h Heard) Digest() Digest { return h.digest }

// Acknowledged means that the peer applied the change.
type Acknowledged struct{ version uint64 }

// NewAcknowledged returns an outcome with the configuration version that the peer holds after the change.
func NewAcknowledged(version uint64) Acknowledged { return Acknowledged{version: version} }

// Version returns the configuration version that the peer holds after the change.
func (a Acknowledged) Version() uint64 { return a.version }

func (Heard) heartbeatOutcome()       {}
func (Unknown) heartbeatOutcome()     {}
func (Unreachable) heartbeatOutcome() {}
func (Acknowledged) applyOutcome()    {}
func (Unknown) applyOutcome()         {}
func (Unreachable) applyOutcome()     {}
