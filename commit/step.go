package commit

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Step is what State.Next asks for: Send, Wait or Idle.
type Step interface{ step() }

// Send asks to commit a transaction to the table and to give the outcome to State.Handle.
type Send struct{ transaction provider.Transaction }

// Transaction returns the transaction to commit.
func (s Send) Transaction() provider.Transaction { return s.transaction }

// Wait says that nothing may be sent before a time.
type Wait struct{ until time.Time }

// Until returns the time at which to ask again.
func (w Wait) Until() time.Time { return w.until }

// Idle says that nothing is to be sent until something changes.
type Idle struct{}

func (Send) step() {}
func (Wait) step() {}
func (Idle) step() {}

// Completion is the outcome of one submitted transaction.
type Completion struct {
	id      uint64
	outcome provider.CommitOutcome
}

// ID returns the number that State.Add returned.
func (c Completion) ID() uint64 { return c.id }

// Outcome returns the outcome for the submitter.
func (c Completion) Outcome() provider.CommitOutcome { return c.outcome }
