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
	// Claimed means that the attempt may start, may run or may have ended.
	Claimed State = iota + 1
	// Done means that the attempt has ended, successfully or not.
	Done
	// NotRun means that the attempt never started and never will.
	NotRun
)

// String returns the name used in the stored form.
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

// Claim is the right of one attempt of a request to run.
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

// WithEpoch returns the claim with the epoch of the lease that the attempt is sent under.
func (c Claim) WithEpoch(epoch uint64) Claim {
	c.epoch = epoch
	return c
}

// Epoch returns the epoch of the lease that the attempt is sent under, 0 if it isn't recorded. Only the same process of
// the backend server can tell whether the attempt started.
func (c Claim) Epoch() uint64 { return c.epoch }

// New returns the claim of the first attempt. Holder is the entry VM, server the backend server that the attempt is
// meant for, hash the Hash of the payload. The id must be valid.
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

// Holder returns the entry VM that made the attempt.
func (c Claim) Holder() string { return c.holder }

// Server returns the backend server that the attempt is meant for. The attempt must not be sent to another one, because
// only this one is asked to close it.
func (c Claim) Server() string { return c.server }

// Attempt returns the attempt, counted from 1.
func (c Claim) Attempt() int { return c.attempt }

// State returns the state of the attempt.
func (c Claim) State() State { return c.state }

// Changed returns when the state was set, in whole milliseconds of the holder's wall clock.
func (c Claim) Changed() time.Time { return c.changed }

// Hash returns the hash of the payload.
func (c Claim) Hash() string { return c.hash }

// Answer returns the name of the stored answer, empty if the answer isn't stored.
func (c Claim) Answer() string { return c.answer }

// Hash returns the hash of a payload (SHA-256, hexadecimal).
func Hash(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// RowKey returns the key of the claim's row. The id must be valid.
func RowKey(id string) string {
	mustBeValid(id)
	return rowPrefix + id + "/" // the slash keeps a key from being the prefix of another
}

// CheckID returns an error if a request id doesn't consist of 1 to 128 letters, digits, '-', '_' and '.'.
func CheckID(id string) error {
	if len(id) == 0 || len(id) > MaxIDLength {
		return errors.Errorf("request id has %d characters, allowed are 1 to %d", len(id), MaxIDLength)
	}
	for i := range len(id) {
		if !idCharacter(id[i]) {
			return errors.Errorf("request id has %q at position %d, allowed are letters, digits, '-', '_' and '.'",
				id[i], i)
		}
	}
	return nil
}

type wireClaim struct {
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
	b, err := json.Marshal(wireClaim{
		ID: c.id, Team: c.team, Entry: c.entry, Holder: c.holder, Server: c.server, Attempt: c.attempt,
		State: c.state.String(), Changed: c.changed, Hash: c.hash, Answer: c.answer, Epoch: c.epoch,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Decode reads the stored form of a claim.
func Decode(value []byte) (Claim, error) {
	var w wireClaim
	if err := json.Unmarshal(value, &w); err != nil {
		return Claim{}, errors.Wrap(err, "claim")
	}
	if err := CheckID(w.ID); err != nil {
		return Claim{}, errors.Wrap(err, "claim")
	}
	if w.Attempt < 1 {
		return Claim{}, errors.Errorf("claim %s: attempt is %d, allowed are 1 and more", w.ID, w.Attempt)
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
	return Claim{}, errors.Errorf("claim %s: state is %q, allowed are claimed, done and not-run", w.ID, w.State)
}

func idCharacter(b byte) bool {
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
