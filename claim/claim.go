package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// State is the state of a claim.
type State uint8

// States of a claim.
const (
	// Claimed means that the attempt may start, may be running or may have ended.
	Claimed State = iota + 1
	// Done means that the attempt has ended, successfully or not.
	Done
	// NotRun means that the attempt never started and never will.
	NotRun
)

// String returns the stored name of the state.
func (s State) String() string {
	switch s {
	case Claimed:
		return "claimed"
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	default:
		return "invalid"
	}
}

// Claim is the idempotency record of a request. It permits one attempt to run and has the state of that attempt.
type Claim struct {
	id      string
	team    string
	entry   string
	holder  string
	server  string
	attempt int
	state   State
	changed time.Time
	hash    string
	answer  string
	epoch   uint64
}

// WithEpoch returns the claim with the epoch of the lease under which the attempt is sent.
func (c Claim) WithEpoch(epoch uint64) Claim {
	c.epoch = epoch
	return c
}

// Epoch returns the epoch of the lease under which the attempt is sent, 0 if it isn't recorded. Whether the attempt
// has started is known only to the backend server process that granted this lease.
func (c Claim) Epoch() uint64 { return c.epoch }

// New returns the claim of the first attempt. Holder is the id of the entry VM, server that of the backend server to
// which the attempt will be sent, and hash the Hash of the payload. It panics if the id fails CheckID.
func New(id, team, entry, holder, server, hash string, now time.Time) Claim {
	mustBeValid(id)
	return Claim{
		id: id, team: team, entry: entry, holder: holder, server: server, attempt: 1, state: Claimed, hash: hash,
		changed: now.UTC().Truncate(time.Millisecond),
	}
}

// ID returns the request id.
func (c Claim) ID() string { return c.id }

// Team returns the team that the request is for.
func (c Claim) Team() string { return c.team }

// Entry returns the name of the catalogue entry.
func (c Claim) Entry() string { return c.entry }

// Holder returns the id of the entry VM that made the attempt.
func (c Claim) Holder() string { return c.holder }

// Server returns the id of the backend server to which the attempt is sent. It must not be sent to another one,
// because only this one is asked to close it.
func (c Claim) Server() string { return c.server }

// Attempt returns the number of the attempt, counted from 1.
func (c Claim) Attempt() int { return c.attempt }

// State returns the state of the attempt.
func (c Claim) State() State { return c.state }

// Changed returns when the state was set, in whole milliseconds of the holder's wall clock.
func (c Claim) Changed() time.Time { return c.changed }

// Hash returns the hash of the payload.
func (c Claim) Hash() string { return c.hash }

// Answer returns the name of the object that holds the answer, empty if the answer isn't stored.
func (c Claim) Answer() string { return c.answer }

// Hash returns the SHA-256 hash of a payload in hexadecimal.
func Hash(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// RowKey returns the key of the row of a claim. It panics if the id fails CheckID.
func RowKey(id string) string {
	mustBeValid(id)
	return rowPrefix + id + "/" // with the slash, no key is a prefix of another
}

// CheckID returns an error if a request id doesn't consist of 1 to 128 letters, digits, '-', '_' and '.'.
func CheckID(id string) error {
	if len(id) == 0 || len(id) > MaxIDLength {
		return errors.Errorf("request id has %d characters, allowed are 1 to %d", len(id), MaxIDLength)
	}
	for i := range len(id) {
		if !isIDCharacter(id[i]) {
			return errors.Errorf("request id has %q at position %d, allowed are letters, digits, '-', '_' and '.'",
				id[i], i)
		}
	}
	return nil
}

type storedClaim struct {
	ID      string    `json:"request-id"`
	Team    string    `json:"team"`
	Entry   string    `json:"entry"`
	Holder  string    `json:"holder"`
	Server  string    `json:"server"`
	Attempt int       `json:"attempt"`
	State   string    `json:"state"`
	Changed time.Time `json:"changed"`
	Hash    string    `json:"payload-hash"`
	Answer  string    `json:"answer,omitempty"`
	Epoch   uint64    `json:"epoch,omitempty"`
}

// Encode returns the stored form of the claim.
func (c Claim) Encode() []byte {
	b, err := json.Marshal(storedClaim{
		ID: c.id, Team: c.team, Entry: c.entry, Holder: c.holder, Server: c.server, Attempt: c.attempt,
		State: c.state.String(), Changed: c.changed, Hash: c.hash, Answer: c.answer, Epoch: c.epoch,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Decode parses the stored form of a claim. It returns an error if the JSON, the request id, the attempt or the state
// is invalid.
func Decode(value []byte) (Claim, error) {
	var w storedClaim
	if err := json.Unmarshal(value, &w); err != nil {
		return Claim{}, errors.Wrap(err, "decode claim")
	}
	if err := CheckID(w.ID); err != nil {
		return Claim{}, errors.Wrap(err, "decode claim")
	}
	if w.Attempt < 1 {
		return Claim{}, errors.Errorf("decode claim %s: attempt is %d, allowed are 1 and more", w.ID, w.Attempt)
	}
	c := Claim{
		id: w.ID, team: w.Team, entry: w.Entry, holder: w.Holder, server: w.Server, attempt: w.Attempt,
		changed: w.Changed, hash: w.Hash, answer: w.Answer, epoch: w.Epoch,
	}
	for _, s := range []State{Claimed, Done, NotRun} {
		if s.String() == w.State {
			c.state = s
			return c, nil
		}
	}
	return Claim{}, errors.Errorf("decode claim %s: state is %q, allowed are claimed, done and not-run", w.ID, w.State)
}

func isIDCharacter(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}

func mustBeValid(id string) {
	if err := CheckID(id); err != nil {
		panic(err)
	}
}
