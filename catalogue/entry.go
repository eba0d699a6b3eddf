package catalogue

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Entry is a kind of work that callers can submit. Its tasks run on the servers of one pool. The methods that start
// with With return a changed copy.
type Entry struct {
	name           string
	owner          string
	class          Class
	pool           string
	shape          provider.Shape
	teams          []string
	open           bool
	idempotent     bool
	checkpointable bool
	maxRunning     int
	maxDeadline    time.Duration
	maxPayload     int
	objective      Objective
}

// Objective is a service-level objective. A zero field means that there is no objective for it.
type Objective struct {
	successRatio float64
	startDelay   time.Duration
}

// NewObjective returns an objective for the ratio of successful tasks, below 1, and for the delay within which tasks
// start.
func NewObjective(successRatio float64, startDelay time.Duration) Objective {
	return Objective{successRatio: successRatio, startDelay: startDelay}
}

// SuccessRatio returns the ratio of tasks that must succeed, 0 if there is no objective.
func (o Objective) SuccessRatio() float64 { return o.successRatio }

// StartDelay returns the delay within which tasks must start, 0 if there is no objective.
func (o Objective) StartDelay() time.Duration { return o.startDelay }

// NewEntry returns an entry that isn't idempotent, accepts work of its owner only, and has the default limits of
// deadline and payload.
func NewEntry(name, owner string, class Class, pool string, shape provider.Shape) Entry {
	return Entry{
		name: name, owner: owner, class: class, pool: pool, shape: shape,
		maxDeadline: DefaultDeadline, maxPayload: DefaultPayloadBytes,
	}
}

// WithTeams sets the teams that may submit work in addition to the owner.
func (e Entry) WithTeams(names ...string) Entry {
	e.teams = slices.Clone(names)
	slices.Sort(e.teams)
	return e
}

// WithOpen sets whether all teams may submit work.
func (e Entry) WithOpen(open bool) Entry { e.open = open; return e }

// WithIdempotent sets whether a task may run more than once.
func (e Entry) WithIdempotent(idempotent bool) Entry { e.idempotent = idempotent; return e }

// WithCheckpointable sets whether tasks can be checkpointed.
func (e Entry) WithCheckpointable(checkpoint bool) Entry { e.checkpointable = checkpoint; return e }

// WithMaxRunning sets the largest number of running tasks across the fleet, 0 for no limit.
func (e Entry) WithMaxRunning(n int) Entry { e.maxRunning = n; return e }

// WithMaxDeadline sets the longest deadline that a caller may request.
func (e Entry) WithMaxDeadline(d time.Duration) Entry { e.maxDeadline = d; return e }

// WithMaxPayload sets the largest payload in bytes.
func (e Entry) WithMaxPayload(bytes int) Entry { e.maxPayload = bytes; return e }

// WithObjective sets the service-level objective.
func (e Entry) WithObjective(o Objective) Entry { e.objective = o; return e }

// Name returns the entry's name.
func (e Entry) Name() string { return e.name }

// Owner returns the name of the team that owns the entry.
func (e Entry) Owner() string { return e.owner }

// Class returns the urgency class.
func (e Entry) Class() Class { return e.class }

// Pool returns the name of the pool that runs the entry.
func (e Entry) Pool() string { return e.pool }

// Shape returns the resources of one task.
func (e Entry) Shape() provider.Shape { return e.shape }

// Teams returns the teams that may submit work in addition to the owner, sorted. Callers must not modify the slice.
func (e Entry) Teams() []string { return e.teams }

// Open reports whether all teams may submit work.
func (e Entry) Open() bool { return e.open }

// Idempotent reports whether a task may run more than once.
func (e Entry) Idempotent() bool { return e.idempotent }

// Checkpointable reports whether tasks can be checkpointed.
func (e Entry) Checkpointable() bool { return e.checkpointable }

// MaxRunning returns the largest number of running tasks of the entry across the fleet, 0 if there is no such limit.
func (e Entry) MaxRunning() int { return e.maxRunning }

// MaxDeadline returns the longest deadline that a caller may request.
func (e Entry) MaxDeadline() time.Duration { return e.maxDeadline }

// MaxPayload returns the largest payload in bytes.
func (e Entry) MaxPayload() int { return e.maxPayload }

// Objective returns the service-level objective.
func (e Entry) Objective() Objective { return e.objective }

// Admits reports whether the team may submit work to the entry.
func (e Entry) Admits(team string) bool {
	return e.open || team == e.owner || slices.Contains(e.teams, team)
}
