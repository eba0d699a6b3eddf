package freshness

import "time"

// Status is the state of a configuration version: InForce, Pending or NotCommitted.
type Status interface{ status() }

// InForce means that no fresh entry VM has a lower version, now or later.
type InForce struct{}

// Pending means that the version is committed and some entry VM may still act on a lower one.
type Pending struct {
	awaited []string
	latest  time.Time
}

// NewPending returns a Pending status with the ids of the awaited members and the latest time.
func NewPending(awaited []string, latest time.Time) Pending {
	return Pending{awaited: awaited, latest: latest}
}

// Awaited returns the ids of the members that haven't acknowledged the version, sorted. It may be empty while the
// known member set is older than the version.
func (p Pending) Awaited() []string { return p.awaited }

// Latest returns the time at which the version is in force even without further acknowledgements.
func (p Pending) Latest() time.Time { return p.latest }

// NotCommitted means that this entry VM knows of no such version.
type NotCommitted struct{}

func (InForce) status()      {}
func (Pending) status()      {}
func (NotCommitted) status() {}
