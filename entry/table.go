package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pistachiolead/pistachiolead/provider"
)

// relayedTable reaches the platform's table directly or, if that fails, through another entry VM. A zone that is cut
// off from the platform but not from its peers goes on this way.
type relayedTable struct {
	direct provider.Table

	mu     sync.Mutex
	relays map[string]provider.Table // by entry VM, those that reach the table
	order  []string
}

var _ provider.Table = (*relayedTable)(nil)

// Commit implements provider.Table. It tries a relay only if the transaction certainly wasn't delivered.
func (t *relayedTable) Commit(ctx context.Context, tr provider.Transaction) provider.CommitOutcome {
	o := t.direct.Commit(ctx, tr)
	if _, unavailable := o.(provider.Unavailable); !unavailable {
		return o
	}
	for _, r := range t.usable() {
		relayed := r.Commit(ctx, tr)
		if _, unavailable := relayed.(provider.Unavailable); !unavailable {
			return relayed
		}
	}
	return o
}

// Scan implements provider.Table.
func (t *relayedTable) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	o := t.direct.Scan(ctx, prefix, since)
	if _, ok := o.(provider.Rows); ok {
		return o
	}
	for _, r := range t.usable() {
		if rows, ok := r.Scan(ctx, prefix, since).(provider.Rows); ok {
			return rows
		}
	}
	return o
}

func (t *relayedTable) usable() []provider.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	tables := make([]provider.Table, 0, len(t.order))
	for _, id := range t.order {
		tables = append(tables, t.relays[id])
	}
	return tables
}

// set records whether a peer reaches the table.
func (t *relayedTable) set(id string, reachable bool, table provider.Table) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.relays[id]
	if known == reachable {
		return
	}
	if reachable {
		t.relays[id] = table
		t.order = append(t.order, id)
		return
	}
	delete(t.relays, id)
	kept := t.order[:0]
	for _, o := range t.order {
		if o != id {
			kept = append(kept, o)
		}
	}
	t.order = kept
}

// guardedTable is what peers reach through this entry VM. An entry VM that isn't known to all others yet must not
// relay, because its own freshness isn't taken into account by them (freshness.Acceptance).
type guardedTable struct {
	table   provider.Table
	allowed *atomic.Bool
}

var _ provider.Table = guardedTable{}

// Commit implements provider.Table.
func (g guardedTable) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	if !g.allowed.Load() {
		return provider.NewUnavailable("this entry VM may not relay yet")
	}
	return g.table.Commit(ctx, t)
}

// Scan implements provider.Table.
func (g guardedTable) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	if !g.allowed.Load() {
		return provider.NewUnavailable("this entry VM may not relay yet")
	}
	return g.table.Scan(ctx, prefix, since)
}
