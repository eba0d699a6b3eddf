package peer

import "time"

// Kind distinguishes calls from jobs.
type Kind uint8

// Kinds of requests.
const (
	// KindCall is a request whose caller waits for the answer on the connection.
	KindCall Kind = iota + 1
	// KindJob is a request that is stored before it is accepted. The caller fetches its answer by the request id.
	KindJob
)

// Request is a call or a job that one entry VM forwards to another.
type Request struct {
	id        string
	attempt   int
	entry     string
	team      string
	keyID     string
	payload   []byte
	remaining time.Duration
	kind      Kind
	hops      int
}

// NewRequest returns a request that hasn't been forwarded yet. Attempt counts from 1, entry is the name of the
// catalogue entry, keyID is the id of the caller's API key, and remaining is the time until the caller's deadline, 0 if
// there is none.
func NewRequest(
	id string, attempt int, kind Kind, entry, team, keyID string, payload []byte, remaining time.Duration,
) Request {
	return Request{
		id: id, attempt: attempt, entry: entry, team: team, keyID: keyID, payload: payload,
		remaining: remaining, kind: kind,
	}
}

// ID returns the request id.
func (r Request) ID() string { return r.id }

// Attempt returns the attempt, counted from 1.
func (r Request) Attempt() int { return r.attempt }

// Entry returns the name of the catalogue entry.
func (r Request) Entry() string { return r.entry }

// Team returns the team that the request is for.
func (r Request) Team() string { return r.team }

// KeyID returns the id of the caller's API key. The receiver checks again that the key isn't revoked.
func (r Request) KeyID() string { return r.keyID }

// Payload returns the caller's input. Callers must not modify it.
func (r Request) Payload() []byte { return r.payload }

// Remaining returns the time that was left until the caller's deadline when the request was sent, 0 if there is no
// deadline.
func (r Request) Remaining() time.Duration { return r.remaining }

// Kind returns whether the request is a call or a job.
func (r Request) Kind() Kind { return r.kind }

// Hops returns how many times the request has been forwarded: 0 before Client.Forward, 1 at the receiver, which must
// not forward it again.
func (r Request) Hops() int { return r.hops }
