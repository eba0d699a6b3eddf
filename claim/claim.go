// Package claim keeps non-idempotent requests from running twice: the row claim/<request id> is written by a
// conditional commit before a request starts.
package claim

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/platform"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	Claimed State = "claimed"
	Done    State = "done"
	NotRun  State = "not-run"
)

// Claim is the record of a non-idempotent request.
type Claim struct{ f fields }

type fields struct {
	Team    string `json:"team"`
	Entry   string `json:"entry"`
	Hash    uint64 `json:"payload-hash"`
	Holder  string `json:"holder"`
	Server  string `json:"server,omitempty"`
	Attempt int    `json:"attempt"`
	State   State  `json:"state"`
	At      int64  `json:"at-unix-ms"`
	OK      bool   `json:"ok,omitempty"`
	Output  []byte `json:"output,omitempty"`
	id      string
}

// RowKey returns the key of the row of a request id. The slash at the end keeps it from being a prefix of another.
func RowKey(id string) string { return "claim/" + id + "/" }

// Decode reads the value of a row.
func Decode(data []byte) (Claim, error) {
	var c Claim
	err := json.Unmarshal(data, &c.f)
	return c, errors.Wrap(err, "decode claim")
}

// OK reports whether the task succeeded.
func (c Claim) OK() bool { return c.f.OK }

// Output returns the stored output.
func (c Claim) Output() []byte { return c.f.Output }

// Attempt returns the attempt, counted from 1.
func (c Claim) Attempt() int { return c.f.Attempt }

// Finished returns the claim with the answer.
func (c Claim) Finished(ok bool, output []byte, now time.Time) Claim {
	c.f.State, c.f.OK, c.f.Output, c.f.At = Done, ok, output, now.UnixMilli()
	return c
}

// Next returns the claim of an attempt that is about to start.
func Next(_ Claim, _ uint64, id, team, entry string, payload []byte, holder, server string, attempt int, now time.Time) Claim {
	return Claim{f: fields{
		Team: team, Entry: entry, Hash: xxhash.Sum64(payload), Holder: holder, Server: server, Attempt: attempt,
		State: Claimed, At: now.UnixMilli(), id: id,
	}}
}

// Write returns the transaction that stores the claim, conditional on the version of its row.
func Write(c Claim, version uint64) platform.Transaction {
	data, err := json.Marshal(c.f)
	if err != nil {
		panic(err)
	}
	key := RowKey(c.f.id)
	return platform.NewTransaction(
		[]platform.Condition{platform.NewCondition(key, version)}, []platform.Write{platform.NewPut(key, data)})
}

// Refuse returns the transaction that closes a request that didn't start.
func Refuse(id, team, entry, holder string, payload []byte, old Claim, version uint64, now time.Time) platform.Transaction {
	c := Next(old, version, id, team, entry, payload, holder, "", max(old.f.Attempt, 1), now)
	c.f.State = NotRun
	return Write(c, version)
}

// Decision says what an existing claim means for a request.
type Decision interface{ decision() }

// AlreadyDone says that the request ran and ended.
type AlreadyDone struct{ claim Claim }

// Claim returns the claim with the answer.
func (a AlreadyDone) Claim() Claim { return a.claim }

// InProgress says that the request was started.
type InProgress struct{}

// MayRetry says that the request certainly didn't run.
type MayRetry struct{}

// Mismatch says that the id was used for another request.
type Mismatch struct{}

func (AlreadyDone) decision() {}
func (InProgress) decision()  {}
func (MayRetry) decision()    {}
func (Mismatch) decision()    {}

// Decide returns what an existing claim means for a request.
func Decide(c Claim, team, entry string, payload []byte) Decision {
	switch {
	case c.f.Team != team || c.f.Entry != entry || c.f.Hash != xxhash.Sum64(payload):
		return Mismatch{}
	case c.f.State == Done:
		return AlreadyDone{claim: c}
	case c.f.State == NotRun:
		return MayRetry{}
	default:
		return InProgress{}
	}
}

// State returns the state of the claim.
func (c Claim) State() State { return c.f.State }
