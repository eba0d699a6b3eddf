package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Event is an input of the control state: something that happened, or the outcome of an effect.
type Event interface{ event() }

// Tick is the periodic event on which time limits are checked.
type Tick struct{}

// JobArrived is a job that an entry VM accepted and stored.
type JobArrived struct{ Job *workload.Job }

// JobsRead says that all jobs that were stored before the term have arrived.
type JobsRead struct{}

// CancelRequested is a stored request to cancel a job, which may be read before the job itself.
type CancelRequested struct{ ID string }

// CancelsRead says that all requests to cancel jobs that a partition held before the term have arrived.
type CancelsRead struct{ Partition int }

// JobsRemoved says that the stored rows of jobs were removed: of jobs that ended a while ago, and of requests to cancel jobs
// that were never stored.
type JobsRemoved struct{ IDs []string }

// OperationArrived is a change by an operator: a configuration, a zone evacuated or restored, or a wave.
type OperationArrived struct{ Operation directory.Operation }

// ServerRegistered is a new or changed registration of a backend server.
type ServerRegistered struct{ Registration backend.Registration }

// ServerUnregistered says that the registration of a backend server was removed or is invalid.
type ServerUnregistered struct{ ID string }

// PollEnded is the outcome of a poll of a backend server.
type PollEnded struct {
	Server      string
	Incarnation int64
	Sequence    uint64
	Outcome     backend.Outcome
}

// StartEnded is the outcome of a request to start a run.
type StartEnded struct {
	Server      string
	Incarnation int64
	Run         backend.Run
	Outcome     backend.Outcome
}

// StopEnded is the outcome of a request to stop a run.
type StopEnded struct {
	Server      string
	Incarnation int64
	Run         backend.Run
	Outcome     backend.Outcome
}

// CommitEnded is the outcome of the current commit.
type CommitEnded struct{ Outcome provider.CommitOutcome }

// VMsListed is the platform's list of VMs. VMs is nil if the list couldn't be read.
type VMsListed struct {
	VMs         []backend.VM
	RequestedAt time.Time
}

// MaintenanceEnded is the outcome of a request to start the maintenance of a VM.
type MaintenanceEnded struct {
	VM      string
	Wave    int64 // the number of the wave
	Outcome backend.Outcome
}

// VMMoveEnded is the outcome of a request to move a VM to another pool.
type VMMoveEnded struct {
	VM      string
	Outcome backend.Outcome
}

// PaceEnded is the outcome of a request to set the pace of a run, in percent of full speed.
type PaceEnded struct {
	Server  string
	Run     backend.Run
	Percent int
	Outcome backend.Outcome
}

// RecommendationEnded is the outcome of a call of the recommendation service that was sent at the time RequestedAt.
// Tickets holds the ticket for each recommended server. Failure is the cause if the call failed, else empty.
type RecommendationEnded struct {
	Step        string
	Tickets     map[string]string // by server id
	RequestedAt time.Time
	Failure     string
}

// WaveStatusPublished is the outcome of publishing the status of a wave, whose row had the given version.
type WaveStatusPublished struct {
	Wave     string
	Version  uint64
	Complete bool
	Outcome  provider.CommitOutcome
}

// Stopping says that a planned stop of this entry VM has begun. The leader then resigns once its changes are stored and
// no start request is in flight.
type Stopping struct{}

// TermClaimed says that an entry VM claimed a term. If it is the term of this leader, the leader resigns in its favor.
// Version is the store version of the claim's row.
type TermClaimed struct {
	Claim   Claim
	Version uint64
}

// ExplanationRequested requests what would become of a job that arrived now. The job isn't added. Explained is the answer.
type ExplanationRequested struct {
	Ticket uint64
	Job    *workload.Job
}

func (Tick) event()                {}
func (JobArrived) event()          {}
func (JobsRead) event()            {}
func (CancelRequested) event()     {}
func (CancelsRead) event()         {}
func (JobsRemoved) event()         {}
func (OperationArrived) event()    {}
func (ServerRegistered) event()    {}
func (ServerUnregistered) event()  {}
func (PollEnded) event()           {}
func (StartEnded) event()          {}
func (StopEnded) event()           {}
func (CommitEnded) event()         {}
func (VMsListed) event()           {}
func (MaintenanceEnded) event()    {}
func (VMMoveEnded) event()         {}
func (PaceEnded) event()           {}
func (RecommendationEnded) event() {}
func (WaveStatusPublished) event() {}
func (Stopping) event()            {}
func (TermClaimed) event()         {}

func (ExplanationRequested) event() {}
