package entry

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pistachiolead/pistachiolead/provider"
)

// relayedTable sends requests to the platform's table directly and, if that fails, through another entry VM. This keeps
// the entry VMs of a zone in service that can reach their peers but not the platform.
type relayedTable struct {
	direct provider.Table

	mu     sync.Mutex
	relays map[string]provider.Table // clients of the entry VMs that reach the table, by entry VM id
	order  []string                  // keys of relays, in the order in which they are tried
}

var _ provider.Table = (*relayedTable)(nil)

// Commit implements provider.Table. It tries a relay only if the transaction certainly wasn't delivered,
// so that it isn't committed twice.
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

// Scan implements provider.Table. It returns the failure of the direct read if no relay can read the table either.
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

// usable returns the relays in the order in which they are tried.
func (t *relayedTable) usable() []provider.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	tables := make([]provider.Table, 0, len(t.order))
	for _, id := range t.order {
		tables = append(tables, t.relays[id])
	}
	return tables
}

// set records whether the entry VM id reaches the table, and the table through which it relays if so.
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

// guardedTable is the table that this entry VM offers its peers as a relay. It refuses requests until all other entry
// VMs know this one: before that they don't take its freshness lease into account when they decide that a configuration
// version is in force (see freshness.Propagation.MayPublish).
type guardedTable struct {
	table   provider.Table
	allowed *atomic.Bool
}

var _ provider.Table = guardedTable{}

// Commit implements provider.Table.
func (g guardedTable) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	if !g.allowed.Load() {
		return provider.NewUnavailable("this entry VM may not relay to the table until all other entry VMs know it")
	}
	return g.table.Commit(ctx, t)
}

// Scan implements provider.Table.
func (g guardedTable) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	if !g.allowed.Load() {
		return provider.NewUnavailable("this entry VM may not relay to the table until all other entry VMs know it")
	}
	return g.table.Scan(ctx, prefix, since)
}
