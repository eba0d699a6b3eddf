package commit

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Step is what a committer has to do next. It is Send, Wait or Idle.
type Step interface{ step() }

// Send means: commit a transaction to the table and pass its outcome to State.Handle.
type Send struct{ transaction provider.Transaction }

// Transaction returns the transaction to commit.
func (s Send) Transaction() provider.Transaction { return s.transaction }

// Wait means: nothing may be sent before a time.
type Wait struct{ until time.Time }

// Until returns the time at which to call State.Next again.
func (w Wait) Until() time.Time { return w.until }

// Idle means: there is nothing to send until a transaction is added or an outcome arrives.
type Idle struct{}

func (Send) step() {}
func (Wait) step() {}
func (Idle) step() {}

// Completion is the outcome of one submitted transaction.
type Completion struct {
	id      uint64
	outcome provider.CommitOutcome
}

// ID returns the id that State.Add returned.
func (c Completion) ID() uint64 { return c.id }

// Outcome returns the outcome for the submitter.
func (c Completion) Outcome() provider.CommitOutcome { return c.outcome }
