package standin

import (
	"bytes"
	"container/list"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Table is an in-memory provider.Table.
//
// The record of a deletion is removed after DeletionRetention later versions. A reader that is further behind misses
// the deletion and has to scan from version 0.
type Table struct {
	// Clock is required.
	Clock timer.Clock
	// Faults may be changed while the table is in use.
	Faults Faults
	// MaxWritesPerSecond limits the rows written per second, with bursts of the same size. 0 means no limit. Above the
	// limit, and for any transaction of more rows than it, Commit returns Unavailable and has no effect.
	MaxWritesPerSecond int
	// MaxReadsPerSecond limits the scans per second, with bursts of the same size. 0 means no limit.
	MaxReadsPerSecond int

	mu      sync.Mutex
	version uint64
	rows    map[string]*list.Element
	// byVersion holds every row and deletion record once, in order of version, so that the cost of a scan depends only
	// on the number of changes.
	byVersion list.List
	// deletions holds the elements of byVersion that are deletion records, in order of version.
	deletions     list.List
	writes, reads *rate.Limiter
	initialized   bool
}

var _ provider.Table = (*Table)(nil)

type tableRow struct {
	row      provider.Row
	deletion *list.Element
}

// Commit implements provider.Table. The writes of one transaction apply in order. Deleting a row that doesn't exist
// leaves no record.
func (t *Table) Commit(ctx context.Context, x provider.Transaction) provider.CommitOutcome {
	var o provider.CommitOutcome
	switch t.Faults.call(ctx, t.Clock, false, func(now time.Time) { o = t.commit(now, x) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// Scan implements provider.Table.
func (t *Table) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	var o provider.ScanOutcome
	switch t.Faults.call(ctx, t.Clock, false, func(now time.Time) { o = t.scan(now, prefix, since) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewUnavailable(reasonNoReply)
	}
	return o
}

// Version returns the version of the last commit. Faults don't affect it.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

func (t *Table) commit(now time.Time, x provider.Transaction) provider.CommitOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	if t.writes != nil && !t.writes.AllowN(now, len(x.Writes())) {
		return provider.NewUnavailable("the table is over its limit of rows written per second")
	}
	for _, c := range x.Conditions() {
		if r := t.current(c.Key()); r.Version() != c.Version() {
			return provider.NewConflict(r)
		}
	}

	t.version++
	for _, w := range x.Writes() {
		t.write(w)
	}
	t.pruneDeletions()
	return provider.NewCommitted(t.version)
}

func (t *Table) initialize() {
	if t.initialized {
		return
	}
	t.initialized = true
	t.rows = make(map[string]*list.Element)
	t.writes = newLimiter(t.MaxWritesPerSecond)
	t.reads = newLimiter(t.MaxReadsPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// current returns the row, with version 0 if it doesn't exist.
func (t *Table) current(key string) provider.Row {
	e, ok := t.rows[key]
	if !ok {
		return provider.NewRow(key, nil, 0)
	}
	r := e.Value.(*tableRow).row
	if r.Deleted() {
		return provider.NewRow(key, nil, 0)
	}
	return r
}

func (t *Table) write(w provider.Write) {
	if w.Delete() && t.current(w.Key()).Version() == 0 {
		return
	}
	if e, ok := t.rows[w.Key()]; ok {
		t.remove(e)
	}

	if !w.Delete() {
		row := provider.NewRow(w.Key(), bytes.Clone(w.Value()), t.version)
		t.rows[w.Key()] = t.byVersion.PushBack(&tableRow{row: row})
		return
	}
	r := &tableRow{row: provider.NewDeletedRow(w.Key(), t.version)}
	e := t.byVersion.PushBack(r)
	r.deletion = t.deletions.PushBack(e)
	t.rows[w.Key()] = e
}

func (t *Table) remove(e *list.Element) {
	r := e.Value.(*tableRow)
	if r.deletion != nil {
		t.deletions.Remove(r.deletion)
	}
	t.byVersion.Remove(e)
	delete(t.rows, r.row.Key())
}

func (t *Table) pruneDeletions() {
	for d := t.deletions.Front(); d != nil; d = t.deletions.Front() {
		e := d.Value.(*list.Element)
		if e.Value.(*tableRow).row.Version()+DeletionRetention >= t.version {
			return
		}
		t.remove(e)
	}
}

func (t *Table) scan(now time.Time, prefix string, since uint64) provider.ScanOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()

	if t.reads != nil && !t.reads.AllowN(now, 1) {
		return provider.NewUnavailable("the table is over its limit of scans per second")
	}
	var rows []provider.Row
	for e := t.byVersion.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*tableRow).row
		if r.Version() <= since {
			break
		}
		if strings.HasPrefix(r.Key(), prefix) && (since > 0 || !r.Deleted()) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key() < rows[j].Key() })
	return provider.NewRows(rows, t.version)
}
