package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Effect is an output of the control state: an action for the caller to carry out. Its outcome comes back as an event.
type Effect interface{ effect() }

// Commit commits a transaction to the store. At most one is in flight. Its outcome is CommitEnded.
type Commit struct{ Transaction provider.Transaction }

// Poll polls a backend server: it extends the server's lease and requests a report. Its outcome is PollEnded with the
// same sequence number.
type Poll struct {
	Target   backend.Target
	Request  backend.PollRequest
	Sequence uint64
}

// Start requests a backend server to start a run. Its outcome is StartEnded. After ValidUntil the request must not be
// sent, as another entry VM may be the leader. Its outcome is then a refusal with RefusedExpired.
type Start struct {
	Target     backend.Target
	Request    backend.StartRequest
	ValidUntil time.Time
}

// Stop requests a backend server to stop a run. Its outcome is StopEnded.
type Stop struct {
	Target backend.Target
	Run    backend.Run
	Token  uint64
}

// Pace sets the speed of a run on a backend server, in percent of full speed. Its outcome is PaceEnded.
type Pace struct {
	Target  backend.Target
	Run     backend.Run
	Percent int
	Token   uint64
}

// RequestRecommendation asks the recommendation service on which of the given servers a step may run. Step
// is the job id, occurrence and number of the step, separated by dots. ExpectedDuration is how long the service is
// expected to take. Its outcome is RecommendationEnded.
type RequestRecommendation struct {
	Step             string
	Servers          []string
	ExpectedDuration time.Duration
}

// ListVMs requests the platform's list of VMs. Its outcome is VMsListed.
type ListVMs struct{}

// MaintainVM requests the start of the maintenance of a VM for the wave with the given number. Its outcome is
// MaintenanceEnded.
type MaintainVM struct {
	VM    string
	Wave  int64
	Token uint64
}

// MoveVM requests the move of a VM to a pool. Its outcome is VMMoveEnded.
type MoveVM struct {
	VM    string
	Pool  string
	Token uint64
}

// PublishWaveStatus publishes the status of a wave for operators: in progress or complete. Version is that of the wave's row.
// Its outcome is WaveStatusPublished.
type PublishWaveStatus struct {
	Wave     string
	Version  uint64
	Complete bool
}

// JobsSettled says that jobs have ended, that none of their runs may exist, and that their rows of progress say so in the given
// version. It has no outcome.
type JobsSettled struct {
	IDs     []string
	Version uint64
}

// Deposed says that this entry VM is no longer the leader, and why. The state must not be used any more.
type Deposed struct{ Reason string }

// Explained answers the ExplanationRequested with the ticket.
type Explained struct {
	Ticket      uint64
	Explanation Explanation
}

func (Commit) effect()                {}
func (Poll) effect()                  {}
func (Start) effect()                 {}
func (Stop) effect()                  {}
func (Pace) effect()                  {}
func (RequestRecommendation) effect() {}
func (ListVMs) effect()               {}
func (MaintainVM) effect()            {}
func (MoveVM) effect()                {}
func (PublishWaveStatus) effect()     {}
func (JobsSettled) effect()           {}
func (Deposed) effect()               {}
func (Explained) effect()             {}
