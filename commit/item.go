package commit

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// item is one submitted transaction.
type item struct {
	id          uint64
	transaction provider.Transaction
	keys        []string
	rows        int
	urgent      bool
	deadline    time.Time
	// completed is set if the submitter got the outcome OutcomeUnknown while the item's batch was being committed.
	completed bool
	// sendAlone is set after a conflict that couldn't be attributed to an item of the batch.
	sendAlone bool
}

func newItem(id uint64, t provider.Transaction, options []Option) *item {
	m := &item{id: id, transaction: t, rows: max(1, len(t.Writes()))}
	for _, o := range options {
		switch o := o.(type) {
		case Urgent:
			m.urgent = true
		case Deadline:
			m.deadline = o.at
		}
	}
	seen := make(map[string]bool, len(t.Conditions())+len(t.Writes()))
	addKey := func(key string) {
		if !seen[key] {
			seen[key] = true
			m.keys = append(m.keys, key)
		}
	}
	for _, c := range t.Conditions() {
		addKey(c.Key())
	}
	for _, w := range t.Writes() {
		addKey(w.Key())
	}
	return m
}

func (m *item) expired(now time.Time) bool {
	return !m.deadline.IsZero() && !now.Before(m.deadline)
}

// failsCondition reports whether the item has a condition that the row doesn't meet.
func (m *item) failsCondition(row provider.Row) bool {
	for _, c := range m.transaction.Conditions() {
		if c.Key() == row.Key() && c.Version() != conditionVersion(row) {
			return true
		}
	}
	return false
}

// conditionVersion returns the version that a condition on the row must have: 0 if the row doesn't exist.
func conditionVersion(row provider.Row) uint64 {
	if row.Deleted() {
		return 0
	}
	return row.Version()
}
