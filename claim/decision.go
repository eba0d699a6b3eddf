package claim

import (
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Decision is what to do with a request that has arrived: Unclaimed, AlreadyDone, InProgress, MayRetry or Mismatch.
type Decision interface{ decision() }

// Unclaimed means that there is no claim for the request: create one with Create.
type Unclaimed struct{}

// AlreadyDone means that the request has run and must not run again.
type AlreadyDone struct{ claim Claim }

// Claim returns the claim, which has the name of the stored answer if there is one.
func (a AlreadyDone) Claim() Claim { return a.claim }

// InProgress means that an attempt may be running or may still start. Its outcome is unknown until the backend server
// has closed the attempt.
type InProgress struct {
	claim   Claim
	version uint64
}

// Claim returns the claim.
func (i InProgress) Claim() Claim { return i.claim }

// Version returns the version of the claim's row.
func (i InProgress) Version() uint64 { return i.version }

// Holder returns the id of the entry VM that made the attempt.
func (i InProgress) Holder() string { return i.claim.holder }

// Server returns the id of the backend server to which the attempt is sent.
func (i InProgress) Server() string { return i.claim.server }

// MayRetry means that the last attempt never ran and that the next one may be claimed with Retry.
type MayRetry struct {
	claim   Claim
	version uint64
}

// Claim returns the claim of the last attempt.
func (m MayRetry) Claim() Claim { return m.claim }

// Version returns the version of the claim's row.
func (m MayRetry) Version() uint64 { return m.version }

// Mismatch means that the request id was used for another request. The request must be rejected without revealing
// anything about the other one.
type Mismatch struct{}

func (Unclaimed) decision()   {}
func (AlreadyDone) decision() {}
func (InProgress) decision()  {}
func (MayRetry) decision()    {}
func (Mismatch) decision()    {}

// Decide returns what to do with a request, given the row of its claim, as read from the table or as returned with a
// conflict. If the row can't be decoded or belongs to another request it returns an error; the request must then not
// run.
func Decide(row provider.Row, id, team, entry, hash string) (Decision, error) {
	if row.Version() == 0 || row.Deleted() {
		return Unclaimed{}, nil
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
