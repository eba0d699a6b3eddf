package queue

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Request is a call or job that is to be started on a backend server.
type Request struct {
	id       string
	pool     string
	entry    string
	team     string
	class    Class
	shape    provider.Shape
	arrived  time.Time
	deadline time.Time
}

// NewRequest returns a request for a catalogue entry of a team. A zero deadline means that there is none.
func NewRequest(id, pool, entry, team string, class Class, shape provider.Shape, arrived, deadline time.Time) Request {
	return Request{
		id: id, pool: pool, entry: entry, team: team, class: class, shape: shape, arrived: arrived, deadline: deadline,
	}
}

// ID returns the request id.
func (r Request) ID() string { return r.id }

// Pool returns the pool that the request must run in.
func (r Request) Pool() string { return r.pool }

// Entry returns the name of the catalogue entry.
func (r Request) Entry() string { return r.entry }

// Team returns the team that the request belongs to.
func (r Request) Team() string { return r.team }

// Class returns the urgency of the request.
func (r Request) Class() Class { return r.class }

// Shape returns the declared size of the task.
func (r Request) Shape() provider.Shape { return r.shape }

// Arrived returns when the request was first accepted.
func (r Request) Arrived() time.Time { return r.arrived }

// Deadline returns when the request expires unless it was started, zero if never.
func (r Request) Deadline() time.Time { return r.deadline }

func (r Request) expired(now time.Time) bool { return !r.deadline.IsZero() && !now.Before(r.deadline) }
