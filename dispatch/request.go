package dispatch

import "time"

// Kind determines how a request is answered.
type Kind uint8

// Kinds of requests.
const (
	// KindCall is a call, answered on the connection that it was received on.
	KindCall Kind = iota + 1
	// KindJob is a job, accepted once it is stored. Its result is queried by its id.
	KindJob
)

// Request is a call or a job that a caller submitted and that was authorized.
type Request struct {
	id            string
	kind          Kind
	entry         string
	team          string
	keyID         string
	payload       []byte
	deadline      time.Time
	hops          int
	callerChoseID bool
}

// NewRequest returns a request.
//
// The id is unique among all teams. Entry is the name of the catalogue entry, keyID the id of the key that authorized
// the request. A zero deadline means none. Hops is the number of times that the request was forwarded between entry
// VMs. CallerChoseID is set if the caller chose the id, so that the same request may arrive more than once.
func NewRequest(
	id string, kind Kind, entry, team, keyID string, payload []byte, deadline time.Time, hops int, callerChoseID bool,
) Request {
	return Request{
		id: id, kind: kind, entry: entry, team: team, keyID: keyID,
		payload: payload, deadline: deadline, hops: hops, callerChoseID: callerChoseID,
	}
}

// ID returns the request id.
func (r Request) ID() string { return r.id }

// Kind returns how the request is answered.
func (r Request) Kind() Kind { return r.kind }

// Entry returns the name of the catalogue entry.
func (r Request) Entry() string { return r.entry }

// Team returns the team that the work runs for.
func (r Request) Team() string { return r.team }

// KeyID returns the id of the key that authorized the request.
func (r Request) KeyID() string { return r.keyID }

// Payload returns the caller's input. Callers must not modify it.
func (r Request) Payload() []byte { return r.payload }

// Deadline returns the time at which the caller stops waiting, zero if there is none.
func (r Request) Deadline() time.Time { return r.deadline }

// Hops returns the number of times that the request was forwarded between entry VMs.
func (r Request) Hops() int { return r.hops }

// CallerChoseID reports whether the caller chose the id.
func (r Request) CallerChoseID() bool { return r.callerChoseID }
