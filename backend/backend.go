// Package backend defines the messages between an entry VM and the backend servers: registrations and reports of
// servers, requests to them and their outcomes. It also describes the VMs on which the servers run. It holds no
// behaviour; the platform adapter encodes and decodes the messages.
package backend

import (
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// Registration is a backend server as it registered itself.
type Registration struct {
	ID      string
	Pool    string
	Address string // host and port for requests
	Zone    string
	// VM is the name of the VM that runs the server, or "" if it is unknown.
	VM string
	// Incarnation is when the server process started, in Unix milliseconds. A server that restarts keeps its id and gets a
	// higher incarnation.
	Incarnation int64
	// Draining marks a server that will shut down and takes no new runs.
	Draining bool
	// TimeToShutdown is the shortest time until a draining server shuts down, or 0 if that is unknown.
	TimeToShutdown time.Duration
	Capacity       workload.Resources
	// Kind and Rack are the labels of the server, which steps may require.
	Kind string
	Rack string
	// Sequence numbers the heartbeats of an incarnation. 0 stands for a registration without a number.
	Sequence int64
	// Version is the table version of the registration. A registration with a lower version is older.
	Version uint64
}

// HasLabel reports whether the server has a label.
func (r Registration) HasLabel(label string) bool { return label == r.Kind || label == r.Rack }

// Precedes reports whether the heartbeat was certainly sent before another one of the same incarnation.
func (r Registration) Precedes(other Registration) bool {
	return r.Incarnation == other.Incarnation && r.Sequence > 0 && r.Sequence < other.Sequence
}

// Target identifies the incarnation of a backend server that a request is sent to.
type Target struct {
	ID          string
	Address     string
	Incarnation int64
}

// Target returns the target for requests to the server.
func (r Registration) Target() Target {
	return Target{ID: r.ID, Address: r.Address, Incarnation: r.Incarnation}
}

// Run identifies a run of a task: an attempt to execute it on one backend server. Numbers of the runs of a task
// increase.
type Run struct {
	Task   workload.TaskID
	Number int
}

// StartRequest is a request to start a run.
type StartRequest struct {
	Run           Run
	Specification string // what the task runs, as the customer gave it
	// LeaseExpiry is the expiry of the server's lease by the server's clock. The lease covers all runs on the server.
	LeaseExpiry time.Duration
	Token       uint64 // fencing token
	Checkpoint  string // to continue from, or ""
	Ticket      string // of the recommendation service, or ""
}

// PollRequest is a request to extend the lease of all runs on a server and to report them. The server may delay the
// response until a run ends.
type PollRequest struct {
	// LeaseExpiry is the new expiry of the lease by the server's clock. 0 doesn't extend it.
	LeaseExpiry time.Duration
	Token       uint64 // fencing token
	// AcknowledgedEnd is the highest number of an end that the controller has stored. The server drops the ends up to it.
	AcknowledgedEnd int64
	// MaxWait is the longest time that the server may delay the response.
	MaxWait time.Duration
}

// ActiveRun is a run that a server executes.
type ActiveRun struct {
	Run        Run
	Checkpoint string
	// Percent is the progress of the run. For a long-running task it is its pace, in percent of full speed.
	Percent int
	// Measurement is the tail latency in milliseconds of a latency-sensitive task. For other tasks it is their CPU use in
	// thousandths of a core.
	Measurement int64
}

// RunEnd is the end of a run. Numbers increase within an incarnation of the server.
type RunEnd struct {
	Number     int64
	Run        Run
	Kind       workload.EndKind
	Checkpoint string
}

// MaxReportedEnds is the largest number of ends in a report. If a report has as many, the server may have more of them.
const MaxReportedEnds = 500

// Report is a server's response to a PollRequest.
type Report struct {
	Incarnation int64
	Clock       time.Duration // the server's clock
	Running     []ActiveRun
	Ends        []RunEnd // that the controller hasn't acknowledged
}

// Outcome is the outcome of a request to a server or about a VM: Reported, Accepted, Refused or OutcomeUnknown.
type Outcome interface{ outcome() }

// Reported is the report that a PollRequest asked for.
type Reported struct{ Report Report }

// Accepted means that the request was accepted. Clock is the server's clock.
type Accepted struct{ Clock time.Duration }

// RefusalReason is why a request was refused.
type RefusalReason string

// Reasons for refusals.
const (
	RefusedStaleToken  RefusalReason = "stale-token"  // the server has seen a higher fencing token
	RefusedOldRun      RefusalReason = "old-run"      // a run with this or a higher number was stopped or ended there
	RefusedExpired     RefusalReason = "expired"      // the lease in the request has expired
	RefusedCapacity    RefusalReason = "no-room"      // the run would exceed the capacity that the server enforces
	RefusedTicket      RefusalReason = "ticket"       // the ticket of the recommendation service isn't valid
	RefusedIncarnation RefusalReason = "incarnation"  // the server has another incarnation
	RefusedBusy        RefusalReason = "busy"         // the server is unhealthy or overloaded
	RefusedWave        RefusalReason = "wave"         // the VM isn't part of the maintenance wave
	RefusedInvalid     RefusalReason = "invalid"      // the request is malformed
	RefusedUnreachable RefusalReason = "unreachable"  // no connection, so the request wasn't sent
	RefusedOther       RefusalReason = "other-status" // a status or reason outside of the protocol
)

// Refused means that the request had no effect.
type Refused struct{ Reason RefusalReason }

// OutcomeUnknown means that there is no valid response: the request may have been carried out, or may be later.
type OutcomeUnknown struct{ Reason string }

func (Reported) outcome()       {}
func (Accepted) outcome()       {}
func (Refused) outcome()        {}
func (OutcomeUnknown) outcome() {}
