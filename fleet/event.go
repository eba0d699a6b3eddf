package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Event is what the control state reacts to.
type Event interface{ event() }

// Tick is the passing of time.
type Tick struct{}

// JobArrived is a job that was accepted and stored.
type JobArrived struct{ Job *workload.Job }

// CancelArrived is the stored wish to cancel a job.
type CancelArrived struct{ ID string }

// OperationArrived is a wish of an operator.
type OperationArrived struct{ Operation directory.Operation }

// ServerRegistered is the registration of a backend server.
type ServerRegistered struct{ Registration backend.Registration }

// ServerUnregistered is a registration that was removed or can't be used.
type ServerUnregistered struct{ ID string }

// LookEnded is the outcome of a look at a backend server.
type LookEnded struct {
	Server      string
	Incarnation int64
	Sequence    uint64
	Outcome     backend.Outcome
}

// StartEnded is the outcome of an order to start a run.
type StartEnded struct {
	Server      string
	Incarnation int64
	Run         backend.Run
	Outcome     backend.Outcome
}

// StopEnded is the outcome of an order to stop a run.
type StopEnded struct {
	Server      string
	Incarnation int64
	Run         backend.Run
	Outcome     backend.Outcome
}

// CommitEnded is the outcome of the commit that is under way.
type CommitEnded struct{ Outcome provider.CommitOutcome }

// VMsListed is the platform's list of VMs, as it was asked for at the given time.
type VMsListed struct {
	VMs   []backend.VM
	Asked time.Time
}

// MaintenanceEnded is the outcome of an order to maintain a VM.
type MaintenanceEnded struct {
	VM      string
	Outcome backend.Outcome
}

// VMMoveEnded is the outcome of an order to move a VM.
type VMMoveEnded struct {
	VM      string
	Outcome backend.Outcome
}

// PaceEnded is the outcome of an order to pace a run.
type PaceEnded struct {
	Server  string
	Run     backend.Run
	Percent int
	Outcome backend.Outcome
}

// Advised is the answer of the recommendation service to a call at the time Asked, or the reason why there is none.
type Advised struct {
	Step    string
	Tickets map[string]string // by server
	Asked   time.Time
	Failure string
}

// WaveTold is the outcome of telling operators how far a wave is.
type WaveTold struct {
	Wave     string
	Complete bool
	Outcome  provider.CommitOutcome
}

// Stopping is the start of a planned stop of this entry VM.
type Stopping struct{}

func (Tick) event()               {}
func (JobArrived) event()         {}
func (CancelArrived) event()      {}
func (OperationArrived) event()   {}
func (ServerRegistered) event()   {}
func (ServerUnregistered) event() {}
func (LookEnded) event()          {}
func (StartEnded) event()         {}
func (StopEnded) event()          {}
func (CommitEnded) event()        {}
func (VMsListed) event()          {}
func (MaintenanceEnded) event()   {}
func (VMMoveEnded) event()        {}
func (PaceEnded) event()          {}
func (Advised) event()            {}
func (WaveTold) event()           {}
func (Stopping) event()           {}
