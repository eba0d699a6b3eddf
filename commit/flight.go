package commit

import "github.com/pistachiolead/pistachiolead/provider"

// flight is the packed transaction that is under way. There is at most one, because each requires the version of the
// committer's own row that the one before has written.
type flight struct {
	items       []*item
	token       string
	transaction provider.Transaction
	rows        int
	// sending is set from Send until the outcome is handled.
	sending bool
	// doubt is set once an attempt had an unknown outcome.
	doubt bool
	// fence is the token of a transaction that writes only the committer's own row, empty if none was sent. It is
	// sent instead of the items if they must not be tried again before it is known that they weren't applied.
	fence            string
	fenceTransaction provider.Transaction
	needsFence       bool
}

func newFlight(items []*item, ownKey string, version uint64, token string) *flight {
	conditions, writes := ownRow(ownKey, version, token)
	f := &flight{items: items, token: token}
	for _, m := range items {
		conditions = append(conditions, m.transaction.Conditions()...)
		writes = append(writes, m.transaction.Writes()...)
	}
	f.rows = len(writes)
	f.transaction = provider.NewTransaction(conditions, writes)
	return f
}

// next returns the transaction to send. Token is used for a new fence.
func (f *flight) next(ownKey string, version uint64, token string) provider.Transaction {
	if f.fence == "" && !f.needsFence && !f.anyAnswered() {
		return f.transaction
	}
	if f.fence == "" {
		f.fence = token
		f.fenceTransaction = provider.NewTransaction(ownRow(ownKey, version, token))
		f.rows = 1
	}
	return f.fenceTransaction
}

func (f *flight) anyAnswered() bool {
	for _, m := range f.items {
		if m.answered {
			return true
		}
	}
	return false
}

func ownRow(key string, version uint64, token string) ([]provider.Condition, []provider.Write) {
	return []provider.Condition{provider.NewCondition(key, version)},
		[]provider.Write{provider.NewPut(key, []byte(token))}
}
