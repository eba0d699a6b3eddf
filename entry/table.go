package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pistachiolead/pistachiolead/platform"
)

// relayedTable reaches the platform's table directly or, if that fails, through another entry VM. A zone that is cut
// off from the platform but not from its peers goes on this way.
type relayedTable struct {
	direct platform.Table

	mu     sync.Mutex
	relays map[string]platform.Table // by entry VM, those that reach the table
	order  []string
}

var _ platform.Table = (*relayedTable)(nil)

// Commit implements platform.Table. It tries a relay only if the transaction certainly wasn't delivered.
func (t *relayedTable) Commit(ctx context.Context, tr platform.Transaction) platform.CommitOutcome {
	o := t.direct.Commit(ctx, tr)
	if _, unavailable := o.(platform.Unavailable); !unavailable {
		return o
	}
	for _, r := range t.usable() {
		relayed := r.Commit(ctx, tr)
		if _, unavailable := relayed.(platform.Unavailable); !unavailable {
			return relayed
		}
	}
	return o
}

// Scan implements platform.Table.
func (t *relayedTable) Scan(ctx context.Context, prefix string, since uint64) platform.ScanOutcome {
	o := t.direct.Scan(ctx, prefix, since)
	if _, ok := o.(platform.Rows); ok {
		return o
	}
	for _, r := range t.usable() {
		if rows, ok := r.Scan(ctx, prefix, since).(platform.Rows); ok {
			return rows
		}
	}
	return o
}

func (t *relayedTable) usable() []platform.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	tables := make([]platform.Table, 0, len(t.order))
	for _, id := range t.order {
		tables = append(tables, t.relays[id])
	}
	return tables
}

// set records whether a peer reaches the table.
func (t *relayedTable) set(id string, reachable bool, table platform.Table) {
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
	table   platform.Table
	allowed *atomic.Bool
}

var _ platform.Table = guardedTable{}

// Commit implements platform.Table.
func (g guardedTable) Commit(ctx context.Context, t platform.Transaction) platform.CommitOutcome {
	if !g.allowed.Load() {
		return platform.NewUnavailable("this entry VM may not relay yet")
	}
	return g.table.Commit(ctx, t)
}

// Scan implements platform.Table.
func (g guardedTable) Scan(ctx context.Context, prefix string, since uint64) platform.ScanOutcome {
	if !g.allowed.Load() {
		return platform.NewUnavailable("this entry VM may not relay yet")
	}
	return g.table.Scan(ctx, prefix, since)
}
