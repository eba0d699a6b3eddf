package commit

import "time"

// Option changes how a transaction is committed. It is Urgent or Deadline.
type Option interface{ option() }

// Urgent puts a transaction ahead of all that aren't urgent. Configuration changes and claims are urgent, because
// requests are blocked until they are stored; job records aren't urgent.
type Urgent struct{}

// Deadline is the time at which a transaction without an outcome is completed as Unavailable or OutcomeUnknown.
type Deadline struct{ at time.Time }

// NewDeadline returns an option that makes a transaction expire at a time.
func NewDeadline(at time.Time) Deadline { return Deadline{at: at} }

// At returns the time of the deadline.
func (d Deadline) At() time.Time { return d.at }

func (Urgent) option()   {}
func (Deadline) option() {}
