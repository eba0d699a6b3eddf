package commit

import "time"

// Option changes how a transaction is committed: Urgent or Deadline.
type Option interface{ option() }

// Urgent puts a transaction before all that aren't urgent. Configuration changes and claims are urgent, because work
// waits for them; job records aren't.
type Urgent struct{}

// Deadline is the time after which the transaction's submitter no longer waits.
type Deadline struct{ at time.Time }

// NewDeadline returns a deadline.
func NewDeadline(at time.Time) Deadline { return Deadline{at: at} }

// At returns the time of the deadline.
func (d Deadline) At() time.Time { return d.at }

func (Urgent) option()   {}
func (Deadline) option() {}
