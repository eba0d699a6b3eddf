package claim

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Create returns the transaction that makes a new claim. It conflicts if there is a claim for the request already; Decide
// then says what to do. The attempt may be sent to its backend server only once the transaction is committed.
func Create(c Claim) provider.Transaction {
	return store(c, 0)
}

// Update returns the transaction that stores a claim. Version is that of the row that the claim was made from.
func Update(c Claim, version uint64) provider.Transaction { return store(c, version) }

// Finish returns a claim that is done and the transaction that stores it. Version is that of the row that holds
// c, answer the name of the stored answer or empty. The claim must be Claimed.
func Finish(c Claim, version uint64, answer string, now time.Time) (Claim, provider.Transaction) {
	c = c.change(Claimed, Done, now)
	c.answer = answer
	return c, store(c, version)
}

// Abandon returns a claim that is not run and the transaction that stores it. Version is that of the row that holds
// c. The claim must be Claimed, and one of these must hold: the backend server named in it has answered that the
// attempt never started and is closed; the caller of Abandon holds the claim and has sent no start, and will send none.
func Abandon(c Claim, version uint64, now time.Time) (Claim, provider.Transaction) {
	c = c.change(Claimed, NotRun, now)
	return c, store(c, version)
}

// Retry returns the claim of the next attempt and the transaction that stores it. Version is that of the row that holds
// c. The claim must be NotRun. As with Create, the attempt may be sent only once the transaction is committed.
func Retry(c Claim, version uint64, holder, server string, now time.Time) (Claim, provider.Transaction) {
	c = c.change(NotRun, Claimed, now)
	c.attempt++
	c.holder = holder
	c.server = server
	return c, store(c, version)
}

// Expired returns transactions that delete the claims whose retention has passed, at most limit. A row that can't be
// decoded is left alone. Claims that are still Claimed are kept for UnresolvedRetention.
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
		retention = UnresolvedRetention
	}
	return now.Sub(c.changed) > retention
}

func (c Claim) change(from, to State, now time.Time) Claim {
	if c.state != from {
		panic("claim " + c.id + " is " + c.state.String() + " instead of " + from.String())
	}
	c.state = to
	c.changed = now.UTC().Truncate(time.Millisecond)
	return c
}

func store(c Claim, version uint64) provider.Transaction {
	k := RowKey(c.id)
	return provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(k, version)},
		[]provider.Write{provider.NewPut(k, c.Encode())},
	)
}
