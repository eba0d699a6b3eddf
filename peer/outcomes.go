package peer

// HeartbeatOutcome is the outcome of Client.Heartbeat: Heard, Unknown or Unreachable.
type HeartbeatOutcome interface{ heartbeatOutcome() }

// ApplyOutcome is the outcome of Client.Apply: Acknowledged, Unknown or Unreachable.
type ApplyOutcome interface{ applyOutcome() }

// Heard is the digest that a peer returned.
type Heard struct{ digest Digest }

// NewHeard returns a Heard outcome.
func NewHeard(digest Digest) Heard { return Heard{digest: digest} }

// Digest returns the peer's digest, whole.
func (h Heard) Digest() Digest { return h.digest }

// Acknowledged says that the peer handled the change.
type Acknowledged struct{ version uint64 }

// NewAcknowledged returns an Acknowledged outcome.
func NewAcknowledged(version uint64) Acknowledged { return Acknowledged{version: version} }

// Version returns the configuration version that the peer now holds.
func (a Acknowledged) Version() uint64 { return a.version }

func (Heard) heartbeatOutcome()       {}
func (Unknown) heartbeatOutcome()     {}
func (Unreachable) heartbeatOutcome() {}
func (Acknowledged) applyOutcome()    {}
func (Unknown) applyOutcome()         {}
func (Unreachable) applyOutcome()     {}
