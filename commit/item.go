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
	// answered is set if the submitter was told Unknown while the item was under way.
	answered bool
	// alone is set after a conflict that couldn't be attributed to an item.
	alone bool
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
	touch := func(key string) {
		if !seen[key] {
			seen[key] = true
			m.keys = append(m.keys, key)
		}
	}
	for _, c := range t.Conditions() {
		touch(c.Key())
	}
	for _, w := range t.Writes() {
		touch(w.Key())
	}
	return m
}

func (m *item) expired(now time.Time) bool {
	return !m.deadline.IsZero() && !now.Before(m.deadline)
}

// conflicts reports whether the item's condition on the row doesn't hold.
func (m *item) conflicts(row provider.Row) bool {
	for _, c := range m.transaction.Conditions() {
		if c.Key() == row.Key() && c.Version() != liveVersion(row) {
			return true
		}
	}
	return false
}

// liveVersion returns the version that a condition on the row must have, 0 if the row doesn't exist.
func liveVersion(row provider.Row) uint64 {
	if row.Deleted() {
		return 0
	}
	return row.Version()
}
