package standin_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/timer"
)

// tableModel is a reference model of the table: a map with the last state of every row that was ever written.
type tableModel struct {
	version uint64
	rows    map[string]provider.Row
}

func (m *tableModel) current(key string) uint64 {
	if r, ok := m.rows[key]; ok && !r.Deleted() {
		return r.Version()
	}
	return 0
}

// commit returns the key of the first condition that fails, or "".
func (m *tableModel) commit(x provider.Transaction) string {
	for _, c := range x.Conditions() {
		if m.current(c.Key()) != c.Version() {
			return c.Key()
		}
	}
	m.version++
	for _, w := range x.Writes() {
		switch {
		case !w.Delete():
			m.rows[w.Key()] = provider.NewRow(w.Key(), w.Value(), m.version)
		case m.current(w.Key()) != 0:
			m.rows[w.Key()] = provider.NewDeletedRow(w.Key(), m.version)
		}
	}
	return ""
}

func (m *tableModel) scan(prefix string, since uint64) string {
	var lines []string
	for k, r := range m.rows {
		if strings.HasPrefix(k, prefix) && r.Version() > since && (since > 0 || !r.Deleted()) {
			lines = append(lines, fmt.Sprint(r))
		}
	}
	sort.Strings(lines)
	return fmt.Sprint(lines)
}

// Guards against commits that apply partially, twice or although a condition fails, against a lost reply that is
// reported as a failure, and against scans that miss a change or a deletion.
func TestTableMatchesModel(t *testing.T) {
	keys := rapid.SampledFrom([]string{"a/1", "a/2", "b/1", "b/2", "c"})
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		manual := timer.NewManual(time.Unix(1000, 0))
		table := &standin.Table{Clock: manual}
		model := &tableModel{rows: make(map[string]provider.Row)}

		drawTransaction := func(t *rapid.T) provider.Transaction {
			var conditions []provider.Condition
			for range rapid.IntRange(0, 2).Draw(t, "conditions") {
				k := keys.Draw(t, "key")
				v := model.current(k)
				if rapid.IntRange(0, 4).Draw(t, "wrong") == 0 {
					v = rapid.Uint64Range(0, model.version+1).Draw(t, "version")
				}
				conditions = append(conditions, provider.NewCondition(k, v))
			}
			var writes []provider.Write
			for range rapid.IntRange(0, 3).Draw(t, "writes") {
				k := keys.Draw(t, "key")
				if rapid.Bool().Draw(t, "delete") {
					writes = append(writes, provider.NewDelete(k))
					continue
				}
				writes = append(writes, provider.NewPut(k, rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "value")))
			}
			return provider.NewTransaction(conditions, writes)
		}

		t.Repeat(map[string]func(*rapid.T){
			"commit": func(t *rapid.T) {
				x := drawTransaction(t)
				failed := model.commit(x)
				switch o := table.Commit(ctx, x).(type) {
				case provider.Committed:
					assert.Equal(t, failed, "")
					assert.Equal(t, o.Version(), model.version)
				case provider.Conflict:
					assert.Equal(t, o.Row().Key(), failed)
					assert.Equal(t, o.Row().Version(), model.current(failed))
				default:
					t.Fatalf("outcome %v", o)
				}
			},
			"commit with a lost reply": func(t *rapid.T) {
				x := drawTransaction(t)
				model.commit(x)
				table.Faults.SetLoseReplies(standin.NewNext(1))
				_, ok := table.Commit(ctx, x).(provider.OutcomeUnknown)
				assert.Assert(t, ok)
			},
			"commit while down": func(t *rapid.T) {
				table.Faults.SetDown(standin.NewNext(1))
				_, ok := table.Commit(ctx, drawTransaction(t)).(provider.Unavailable)
				assert.Assert(t, ok)
			},
			"commit with a delay beyond the caller's deadline": func(t *rapid.T) {
				x := drawTransaction(t)
				table.Faults.SetDelay(time.Second)
				_, ok := table.Commit(sendOnlyContext{ctx}, x).(provider.OutcomeUnknown)
				assert.Assert(t, ok)
				assert.Equal(t, table.Version(), model.version)
				table.Faults.SetDelay(0)
				model.commit(x)
				manual.Advance(time.Second)
			},
			"": func(t *rapid.T) {
				prefix := rapid.SampledFrom([]string{"", "a/", "b", "d"}).Draw(t, "prefix")
				since := rapid.Uint64Range(0, model.version+1).Draw(t, "since")
				o, ok := table.Scan(ctx, prefix, since).(provider.Rows)
				assert.Assert(t, ok)
				assert.Equal(t, o.Version(), model.version)
				lines := make([]string, 0, len(o.Rows()))
				for _, r := range o.Rows() {
					lines = append(lines, fmt.Sprint(r))
				}
				assert.Equal(t, fmt.Sprint(lines), model.scan(prefix, since))
			},
		})
	})
}

// Guards against deletion records that are removed too early or never, and against the removal of a row that was
// written again after its deletion.
func TestTableRemovesOldDeletions(t *testing.T) {
	ctx := context.Background()
	table := &standin.Table{Clock: timer.NewManual(time.Unix(1000, 0))}
	commit := func(w provider.Write) {
		table.Commit(ctx, provider.NewTransaction(nil, []provider.Write{w}))
	}
	commit(provider.NewPut("rewritten", nil))
	commit(provider.NewDelete("rewritten"))
	commit(provider.NewPut("rewritten", nil))
	commit(provider.NewPut("deleted", nil))
	commit(provider.NewDelete("deleted"))
	deleted := func() bool {
		return len(table.Scan(ctx, "deleted", 1).(provider.Rows).Rows()) == 1
	}

	for range standin.DeletionRetention {
		commit(provider.NewPut("other", nil))
	}
	assert.Assert(t, deleted())
	commit(provider.NewPut("other", nil))
	assert.Assert(t, !deleted())
	absent := provider.NewTransaction([]provider.Condition{provider.NewCondition("rewritten", 0)}, nil)
	_, ok := table.Commit(ctx, absent).(provider.Conflict)
	assert.Assert(t, ok)
}

// Guards against limits that count transactions instead of rows, or that don't recover after a second.
func TestTableLimitsReadsAndWrites(t *testing.T) {
	ctx := context.Background()
	manual := timer.NewManual(time.Unix(1000, 0))
	table := &standin.Table{Clock: manual, MaxWritesPerSecond: 3, MaxReadsPerSecond: 2}
	two := provider.NewTransaction(nil, []provider.Write{provider.NewPut("a", nil), provider.NewPut("b", nil)})

	for range 3 {
		_, ok := table.Commit(ctx, two).(provider.Committed)
		assert.Assert(t, ok)
		_, ok = table.Commit(ctx, two).(provider.Unavailable)
		assert.Assert(t, ok)
		for i := range 3 {
			_, ok = table.Scan(ctx, "", 0).(provider.Rows)
			assert.Equal(t, ok, i < 2)
		}
		manual.Advance(time.Second)
	}
}
