package commit

import "github.com/pistachiolead/pistachiolead/provider"

// batch is the packed transaction that is being committed. There is at most one, because each has the condition that
// the committer's own row has the version that the previous one wrote.
type batch struct {
	items       []*item
	token       string
	transaction provider.Transaction
	rows        int // of the transaction to send, including the committer's own row
	// awaitingOutcome is set from Send until the outcome is handled.
	awaitingOutcome bool
	// outcomeUnknown is set once an attempt had an unknown outcome.
	outcomeUnknown bool
	// fenceToken is the token of the fence, or "" if there is none. A fence is a transaction that writes only the
	// committer's own row, so that earlier attempts can no longer be applied. It is sent instead of the batch if the
	// items must not be sent again before it is known that they weren't applied.
	fenceToken       string
	fenceTransaction provider.Transaction
	needsFence       bool
}

func newBatch(items []*item, ownKey string, version uint64, token string) *batch {
	conditions, writes := ownRow(ownKey, version, token)
	b := &batch{items: items, token: token}
	for _, m := range items {
		conditions = append(conditions, m.transaction.Conditions()...)
		writes = append(writes, m.transaction.Writes()...)
	}
	b.rows = len(writes)
	b.transaction = provider.NewTransaction(conditions, writes)
	return b
}

// nextTransaction returns the transaction to send: the batch or a fence. A new fence gets the given token.
func (b *batch) nextTransaction(ownKey string, version uint64, token string) provider.Transaction {
	if b.fenceToken == "" && !b.needsFence && !b.anyCompleted() {
		return b.transaction
	}
	if b.fenceToken == "" {
		b.fenceToken = token
		b.fenceTransaction = provider.NewTransaction(ownRow(ownKey, version, token))
		b.rows = 1
	}
	return b.fenceTransaction
}

func (b *batch) anyCompleted() bool {
	for _, m := range b.items {
		if m.completed {
			return true
		}
	}
	return false
}

func ownRow(key string, version uint64, token string) ([]provider.Condition, []provider.Write) {
	return []provider.Condition{provider.NewCondition(key, version)},
		[]provider.Write{provider.NewPut(key, []byte(token))}
}
