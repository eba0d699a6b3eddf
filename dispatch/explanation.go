package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/explanation"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Decision says what becomes of a request.
type Decision string

// Decisions. A request is accepted by all but DecisionRefuse.
const (
	DecisionStart      Decision = "start"       // it starts at once
	DecisionQueue      Decision = "queue"       // it waits in the queue of the entry VM
	DecisionPreempt    Decision = "preempt"     // less urgent work is preempted for it
	DecisionForward    Decision = "forward"     // another entry VM gets it
	DecisionAwaitOwner Decision = "await-owner" // it waits until an entry VM owns a backend server of the pool
	DecisionRefuse     Decision = "refuse"
)

// Exclusion is why a backend server doesn't start a task now. Those of package placement occur too.
type Exclusion string

// Exclusions that aren't due to the capacity and the results of the backend server.
const (
	ExclusionNone        Exclusion = ""
	ExclusionOtherPool   Exclusion = "other-pool"
	ExclusionUnlisted    Exclusion = "not-listed"
	ExclusionLeaving     Exclusion = "removed-by-platform"
	ExclusionVMOut       Exclusion = "vm-out-of-service"
	ExclusionZoneOut     Exclusion = "zone-out-of-service"
	ExclusionNotOwned    Exclusion = "owned-elsewhere"
	ExclusionHandingOver Exclusion = "changes-owner"
	ExclusionLease       Exclusion = "lease-ends"
	ExclusionTeamLimit   Exclusion = "team-limit"
)

// Kind returns what kind of reason the exclusion is: "label", "maintenance", "owner", "limit", "health" or "capacity",
// empty for ExclusionNone.
func (e Exclusion) Kind() string {
	switch e {
	case ExclusionNone:
		return ""
	case ExclusionOtherPool:
		return "label"
	case ExclusionUnlisted, ExclusionLeaving, ExclusionVMOut, ExclusionZoneOut:
		return "maintenance"
	case ExclusionNotOwned, ExclusionHandingOver, ExclusionLease:
		return "owner"
	case ExclusionTeamLimit:
		return "limit"
	case Exclusion(placement.ExclusionOutOfRotation):
		return "health"
	default:
		return "capacity"
	}
}

// Explanation says what would become of a request that was submitted now, and why.
type Explanation struct {
	entryVM, zone string
	request       Request
	pool, class   string
	decision      Decision
	refusal       NotRun
	peer          string
	position      queue.Position
	team          TeamPlace
	assessment    placement.Assessment
	servers       []explanation.Group
	peers         []PeerPlace
	start         ExpectedStart
}

func (Explanation) outcome() {}

// EntryVM returns the id of the entry VM that explains, Zone its availability zone.
func (e Explanation) EntryVM() string { return e.entryVM }

// Zone returns the availability zone of the entry VM.
func (e Explanation) Zone() string { return e.zone }

// Request returns the request that is explained.
func (e Explanation) Request() Request { return e.request }

// Pool returns the pool of the request's catalogue entry, empty if there is no such entry.
func (e Explanation) Pool() string { return e.pool }

// Class returns the class of the request's catalogue entry, empty if there is no such entry.
func (e Explanation) Class() string { return e.class }

// Decision returns what becomes of the request.
func (e Explanation) Decision() Decision { return e.decision }

// Refusal returns why the request is refused, the zero NotRun unless the decision is DecisionRefuse.
func (e Explanation) Refusal() NotRun { return e.refusal }

// Peer returns the entry VM that gets the request, empty unless the decision is DecisionForward.
func (e Explanation) Peer() string { return e.peer }

// Position returns the place in the queue of this entry VM.
func (e Explanation) Position() queue.Position { return e.position }

// Team returns the place of the request's team.
func (e Explanation) Team() TeamPlace { return e.team }

// Servers returns the listed backend servers, grouped by why they don't start the task. Those that may are first.
func (e Explanation) Servers() []explanation.Group { return e.servers }

// Peers returns the other live entry VMs, sorted by id.
func (e Explanation) Peers() []PeerPlace { return e.peers }

// Start returns when the request is expected to start.
func (e Explanation) Start() ExpectedStart { return e.start }

// TeamPlace is what an entry VM has running and waiting for a team.
type TeamPlace struct {
	running, elsewhere, allowed, limit int
	queued, bound                      int
	weight, share                      float64
}

// Running returns the number of the team's tasks that the entry VM counts as running.
func (t TeamPlace) Running() int { return t.running }

// RunningElsewhere returns the number of the team's tasks that other entry VMs last told to be running.
func (t TeamPlace) RunningElsewhere() int { return t.elsewhere }

// AllowedStarts returns how many tasks of the team may start at the entry VM now.
func (t TeamPlace) AllowedStarts() int { return t.allowed }

// Limit returns the team's limit of slots across the fleet.
func (t TeamPlace) Limit() int { return t.limit }

// Queued returns the number of the team's requests in the queue, QueueBound the largest number there may be.
func (t TeamPlace) Queued() int { return t.queued }

// QueueBound returns the largest number of the team's requests in the queue.
func (t TeamPlace) QueueBound() int { return t.bound }

// Weight returns the team's weight.
func (t TeamPlace) Weight() float64 { return t.weight }

// Share returns the team's dominant share of the fleet, divided by its weight.
func (t TeamPlace) Share() float64 { return t.share }

// limitReached reports whether the team has as many tasks running as its limit allows, as far as is known here.
func (t TeamPlace) limitReached() bool { return t.running+t.elsewhere >= t.limit }

// PeerPlace is what another entry VM last told of the pool.
type PeerPlace struct {
	id        string
	freeSlots int
	age       time.Duration
}

// ID returns the id of the entry VM.
func (p PeerPlace) ID() string { return p.id }

// FreeSlots returns its free slots in the pool, 0 if it accepts no work.
func (p PeerPlace) FreeSlots() int { return p.freeSlots }

// Age returns the time since it told so.
func (p PeerPlace) Age() time.Duration { return p.age }

// ExpectedStart is when a request is expected to start.
type ExpectedStart struct {
	after      time.Duration
	confidence explanation.Confidence
	basis      string
}

// After returns the expected time until the start. It is meaningless with ConfidenceNone.
func (s ExpectedStart) After() time.Duration { return s.after }

// Confidence returns how sure the start is.
func (s ExpectedStart) Confidence() explanation.Confidence {
	if s.confidence == "" {
		return explanation.ConfidenceNone
	}
	return s.confidence
}

// Basis returns what the expectation rests on, or why there is none.
func (s ExpectedStart) Basis() string { return s.basis }
