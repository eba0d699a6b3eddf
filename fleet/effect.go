package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Effect is what the control state wants done.
type Effect interface{ effect() }

// Commit stores rows. At most one is under way.
type Commit struct{ Transaction provider.Transaction }

// Look asks a backend server for a report.
type Look struct {
	Target   backend.Target
	Order    backend.PollRequest
	Sequence uint64
}

// Start orders a run to start.
type Start struct {
	Target backend.Target
	Order  backend.StartRequest
}

// Stop orders a run to stop.
type Stop struct {
	Target backend.Target
	Run    backend.Run
	Token  uint64
}

// Pace sets the share, in percent, at which a run works.
type Pace struct {
	Target  backend.Target
	Run     backend.Run
	Percent int
	Token   uint64
}

// Advise asks the recommendation service on which servers a step may run. Expected is how long it takes.
type Advise struct {
	Step     string
	Servers  []string
	Expected time.Duration
}

// ListVMs asks for the platform's list of VMs.
type ListVMs struct{}

// MaintainVM orders the maintenance of a VM.
type MaintainVM struct {
	VM    string
	Wave  int64
	Token uint64
}

// MoveVM orders a VM into a pool.
type MoveVM struct {
	VM    string
	Pool  string
	Token uint64
}

// TellWave tells operators how far a wave is.
type TellWave struct {
	Wave     string
	Complete bool
}

// Deposed says that another entry VM is in control. The state is of no use any more.
type Deposed struct{ Reason string }

func (Commit) effect()     {}
func (Look) effect()       {}
func (Start) effect()      {}
func (Stop) effect()       {}
func (Pace) effect()       {}
func (Advise) effect()     {}
func (ListVMs) effect()    {}
func (MaintainVM) effect() {}
func (MoveVM) effect()     {}
func (TellWave) effect()   {}
func (Deposed) effect()    {}
