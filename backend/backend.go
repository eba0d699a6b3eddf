// Package backend holds what an entry VM and the backend servers tell each other: registrations, orders and reports.
package backend

import (
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// Registration is what a backend server says of itself.
type Registration struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	// Incarnation is the start of this life of the server, in Unix milliseconds.
	Incarnation int64
	// Draining servers are about to leave.
	Draining bool
	// Leaves is the shortest time left to a draining server, or 0 if it isn't known.
	Leaves   time.Duration
	Capacity workload.Resources
	// Kind and Rack are the labels that every server has.
	Kind string
	Rack string
	// Version is the table version of the registration.
	Version uint64
}

// HasLabel reports whether the server has a label.
func (r Registration) HasLabel(label string) bool { return label == r.Kind || label == r.Rack }

// Target names the life of a backend server that an order is meant for.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
}

// Target returns the target of orders to the server.
func (r Registration) Target() Target {
	return Target{ID: r.ID, Address: r.Address, Incarnation: r.Incarnation}
}

// Run names one run of a task.
type Run struct {
	Task   workload.TaskID
	Number int
}

// StartOrder starts a run. Deadline is the expiry of the server's lease by the server's clock.
type StartOrder struct {
	Run           Run
	Specification string
	Deadline      time.Duration
	Token         uint64
	Checkpoint    string
	Ticket        string
}

// LookOrder extends the lease of all that runs on a server and asks for a report. Ends up to Noted are forgotten by
// the server. The server may wait for an end before it answers.
type LookOrder struct {
	// Deadline is the expiry of the lease by the server's clock. 0 leaves it as it is.
	Deadline time.Duration
	Token    uint64
	Noted    int64
	Wait     time.Duration
}

// Running is a run that is at work on a server.
type Running struct {
	Run        Run
	Checkpoint string
	// Percent is how far the run is, or for a long-running task the share at which it works.
	Percent int
	// Figure is the tail of the response times in milliseconds for a task that serves, else the used thousandths of a core.
	Figure int64
}

// End is the end of a run. Numbers rise within an incarnation.
type End struct {
	Number     int64
	Run        Run
	Kind       workload.EndKind
	Checkpoint string
}

// MaxReportedEnds is the largest number of ends in a report. A report with as many may lack later ones.
const MaxReportedEnds = 500

// Report is a server's answer to a look.
type Report struct {
	Incarnation int64
	Clock       time.Duration
	Running     []Running
	Ends        []End
}

// Outcome is the outcome of an order: Reported, Accepted, Refused or Unanswered.
type Outcome interface{ outcome() }

// Reported is the answer to a look.
type Reported struct{ Report Report }

// Accepted says that the server took the order. Clock is the server's clock.
type Accepted struct{ Clock time.Duration }

// RefusalReason tells why a server didn't take an order.
type RefusalReason string

// Reasons of refusals.
const (
	RefusedStaleToken  RefusalReason = "stale-token"  // a newer token was used
	RefusedOldRun      RefusalReason = "old-run"      // a run as new was stopped or ended there
	RefusedExpired     RefusalReason = "expired"      // the deadline has passed
	RefusedNoRoom      RefusalReason = "no-room"      // the server guards its capacity
	RefusedTicket      RefusalReason = "ticket"       // the recommendation isn't valid
	RefusedIncarnation RefusalReason = "incarnation"  // another life of the server
	RefusedBusy        RefusalReason = "busy"         // the server isn't healthy, or has too many requests
	RefusedWave        RefusalReason = "wave"         // the VM isn't part of the wave
	RefusedInvalid     RefusalReason = "invalid"      // the order isn't well formed
	RefusedUnreachable RefusalReason = "unreachable"  // no connection, so the order wasn't sent
	RefusedUnknown     RefusalReason = "other-status" // a status that the protocol doesn't name
)

// Refused says that the order had no effect.
type Refused struct{ Reason RefusalReason }

// Unanswered says that the order may have been carried out, or may be later.
type Unanswered struct{ Reason string }

func (Reported) outcome()   {}
func (Accepted) outcome()   {}
func (Refused) outcome()    {}
func (Unanswered) outcome() {}
