package dispatch

import "time"

// Kind says how a request is answered.
type Kind uint8

// Kinds of requests.
const (
	// KindCall is answered on the connection that it came by.
	KindCall Kind = iota + 1
	// KindJob is accepted once it is stored and answered by its id.
	KindJob
)

// Request is work that a caller submitted, already authorized.
type Request struct {
	id       string
	kind     Kind
	entry    string
	team     string
	key      string
	payload  []byte
	deadline time.Time
	hops     int
	named    bool
}

// NewRequest returns a request. The id is unique among all teams. Key is the id of the key it was authorized by. A
// zero deadline stands for none. Hops counts how often the request was forwarded between entry VMs. Named says that
// the caller chose the id, so that the same request may arrive more than once.
func NewRequest(
	id string, kind Kind, entry, team, key string, payload []byte, deadline time.Time, hops int, named bool,
) Request {
	return Request{
		id: id, kind: kind, entry: entry, team: team, key: key,
		payload: payload, deadline: deadline, hops: hops, named: named,
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

// Key returns the id of the key that came with the request.
func (r Request) Key() string { return r.key }

// Payload returns the caller's input. Callers must not modify it.
func (r Request) Payload() []byte { return r.payload }

// Deadline returns when the caller stops waiting, zero if never.
func (r Request) Deadline() time.Time { return r.deadline }

// Hops returns how often the request was forwarded between entry VMs.
func (r Request) Hops() int { return r.hops }

// Named reports whether the caller chose the id.
func (r Request) Named() bool { return r.named }
