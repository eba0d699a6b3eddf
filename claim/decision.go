package claim

import (
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Decision is what to do with a request that arrives: Fresh, AlreadyDone, InProgress, MayRetry or Mismatch.
type Decision interface{ decision() }

// Fresh says that there is no claim for the request: Create one.
type Fresh struct{}

// AlreadyDone says that the request has run and must not run again.
type AlreadyDone struct{ claim Claim }

// Claim returns the claim, which names the stored answer if there is one.
func (a AlreadyDone) Claim() Claim { return a.claim }

// InProgress says that an attempt may be running or may still start. Its outcome is unknown until the backend server
// is asked to close the attempt.
type InProgress struct {
	claim   Claim
	version uint64
}

// Claim returns the claim.
func (i InProgress) Claim() Claim { return i.claim }

// Version returns the version of the claim's row.
func (i InProgress) Version() uint64 { return i.version }

// Holder returns the entry VM that made the attempt.
func (i InProgress) Holder() string { return i.claim.holder }

// Server returns the backend server that the attempt is meant for.
func (i InProgress) Server() string { return i.claim.server }

// MayRetry says that the last attempt never ran and that the next may be claimed with Retry.
type MayRetry struct {
	claim   Claim
	version uint64
}

// Claim returns the claim of the last attempt.
func (m MayRetry) Claim() Claim { return m.claim }

// Version returns the version of the claim's row.
func (m MayRetry) Version() uint64 { return m.version }

// Mismatch says that the request id was used for another request: refuse, and reveal nothing of the other one.
type Mismatch struct{}

func (Fresh) decision()       {}
func (AlreadyDone) decision() {}
func (InProgress) decision()  {}
func (MayRetry) decision()    {}
func (Mismatch) decision()    {}

// Decide returns what to do with a request, given the claim's row as read or as named in a conflict. The error tells that
// the row can't be decoded; the request must then not run.
func Decide(row provider.Row, id, team, entry, hash string) (Decision, error) {
	if row.Version() == 0 || row.Deleted() {
		return Fresh{}, nil
	}
	c, err := Decode(row.Value())
	if err != nil {
		return nil, errors.Wrapf(err, "row %s", row.Key())
	}
	if c.id != id {
		return nil, errors.Errorf("row %s holds the claim of request %s", row.Key(), c.id)
	}
	if c.team != team || c.entry != entry || c.hash != hash {
		return Mismatch{}, nil
	}
	switch c.state {
	case Done:
		return AlreadyDone{claim: c}, nil
	case NotRun:
		return MayRetry{claim: c, version: row.Version()}, nil
	default:
		return InProgress{claim: c, version: row.Version()}, nil
	}
}
