package freshness

import "time"

// Status is the state of a configuration version: InForce, Pending or NotCommitted.
type Status interface{ status() }

// InForce says that no fresh entry VM holds a lower version, now or later.
type InForce struct{}

// Pending says that the version is committed and some entry VM may still act on a lower one.
type Pending struct {
	awaited []string
	latest  time.Time
}

// NewPending returns a Pending status.
func NewPending(awaited []string, latest time.Time) Pending {
	return Pending{awaited: awaited, latest: latest}
}

// Awaited returns the members that haven't acknowledged the version, sorted. It may be empty while the member set is
// older than the version.
func (p Pending) Awaited() []string { return p.awaited }

// Latest returns the time at which the version is in force without further acknowledgements.
func (p Pending) Latest() time.Time { return p.latest }

// NotCommitted says that this entry VM knows of no such version.
type NotCommitted struct{}

func (InForce) status()      {}
func (Pending) status()      {}
func (NotCommitted) status() {}
