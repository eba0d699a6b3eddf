package claim

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Create returns the transaction that stores a new claim. It conflicts if there already is a claim for the request;
// Decide then returns what to do. The attempt may be sent to its backend server only after the transaction is
// committed.
func Create(c Claim) provider.Transaction {
	return conditionalPut(c, 0)
}

// Update returns the transaction that stores a changed claim. Version is that of the row from which the claim was
// read.
func Update(c Claim, version uint64) provider.Transaction { return conditionalPut(c, version) }

// Finish returns the claim in the state Done and the transaction that stores it. Version is that of the row that
// holds c, answer the name of the stored answer, or empty. It panics if the claim isn't in the state Claimed.
func Finish(c Claim, version uint64, answer string, now time.Time) (Claim, provider.Transaction) {
	c = c.transition(Claimed, Done, now)
	c.answer = answer
	return c, conditionalPut(c, version)
}

// Abandon returns the claim in the state NotRun and the transaction that stores it. Version is that of the row that
// holds c. It panics if the claim isn't in the state Claimed. One of these must hold: the backend server of the claim
// has answered that the attempt never started and is closed; or the caller is the holder of the claim, has not sent
// the attempt and never will.
func Abandon(c Claim, version uint64, now time.Time) (Claim, provider.Transaction) {
	c = c.transition(Claimed, NotRun, now)
	return c, conditionalPut(c, version)
}

// Retry returns the claim of the next attempt and the transaction that stores it. Version is that of the row that
// holds c. It panics if the claim isn't in the state NotRun. As with Create, the attempt may be sent only after the
// transaction is committed.
func Retry(c Claim, version uint64, holder, server string, now time.Time) (Claim, provider.Transaction) {
	c = c.transition(NotRun, Claimed, now)
	c.attempt++
	c.holder = holder
	c.server = server
	return c, conditionalPut(c, version)
}

// Expired returns transactions that delete the claims whose retention has passed, at most limit of them. Rows that
// can't be decoded are skipped. Claims in the state Claimed are kept for UnknownOutcomeRetention, all others for
// Retention.
func Expired(rows []provider.Row, now time.Time, limit int) []provider.Transaction {
	var deletions []provider.Transaction
	for _, r := range rows {
		if len(deletions) >= limit {
			break
		}
		if !expired(r, now) {
			continue
		}
		deletions = append(deletions, provider.NewTransaction(
			[]provider.Condition{provider.NewCondition(r.Key(), r.Version())},
			[]provider.Write{provider.NewDelete(r.Key())},
		))
	}
	return deletions
}

func expired(r provider.Row, now time.Time) bool {
	if r.Deleted() {
		return false
	}
	c, err := Decode(r.Value())
	if err != nil || RowKey(c.id) != r.Key() {
		return false
	}
	retention := Retention
	if c.state == Claimed {
		retention = UnknownOutcomeRetention
	}
	return now.Sub(c.changed) > retention
}

// transition returns the claim in the state to. It panics if the claim isn't in the state from.
func (c Claim) transition(from, to State, now time.Time) Claim {
	if c.state != from {
		panic("claim " + c.id + " is in state " + c.state.String() + ", required is " + from.String())
	}
	c.state = to
	c.changed = now.UTC().Truncate(time.Millisecond)
	return c
}

// conditionalPut returns the transaction that stores the claim if its row has the given version, 0 if there is no
// row.
func conditionalPut(c Claim, version uint64) provider.Transaction {
	k := RowKey(c.id)
	return provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(k, version)},
		[]provider.Write{provider.NewPut(k, c.Encode())},
	)
}
