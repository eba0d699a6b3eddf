package catalogue_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/provider"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var teamNames = []string{"team-0", "team-1", "team-2"}

// document is a valid catalogue. Tests replace parts of it and check the line numbers in errors, which start at 1.
const document = `pools:
  - {name: proofs, budget: 2}
  - {name: spare, spare: true, budget: 4}
teams:
  - {name: studio, share: 10, limit: 100}
  - {name: adria, limit: 50}
entries:
  - name: quick-proof
    owner: studio
    class: urgent
    pool: proofs
    teams: [adria]
    shape: {processors: 4, memory: 8GiB}
    max-deadline: 30s
`

// drawCatalogue returns a random catalogue with the teams of teamNames.
func drawCatalogue(t *rapid.T) *catalogue.Catalogue {
	var entries []catalogue.Entry
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		entries = append(entries, drawEntry(t, fmt.Sprintf("entry-%d", i)))
	}
	var teams []catalogue.Team
	for _, n := range teamNames {
		share := rapid.IntRange(1, catalogue.MaxTeamShare).Draw(t, "share")
		teams = append(teams, catalogue.NewTeam(n, share, rapid.IntRange(0, catalogue.MaxTeamLimit).Draw(t, "limit")))
	}
	pools := []catalogue.Pool{catalogue.NewPool("spare", true, 1), catalogue.NewPool("main", false, 2)}
	c, err := catalogue.New(entries, teams, pools)
	assert.NilError(t, err)
	return c
}

func drawEntry(t *rapid.T, name string) catalogue.Entry {
	order := rapid.Permutation(teamNames).Draw(t, "teams")
	shape := provider.NewShape(
		rapid.IntRange(0, catalogue.MaxProcessors).Draw(t, "processors"),
		rapid.IntRange(0, catalogue.MaxMemoryMiB).Draw(t, "memory"),
		rapid.IntRange(0, catalogue.MaxAccelerators).Draw(t, "accelerators"),
		rapid.IntRange(1, catalogue.MaxSlots).Draw(t, "slots"),
	)
	class := catalogue.Class(rapid.IntRange(1, 3).Draw(t, "class"))
	deadline := rapid.Int64Range(int64(catalogue.MinDeadline), int64(catalogue.MaxDeadline)).Draw(t, "deadline")
	e := catalogue.NewEntry(name, order[0], class, "main", shape).
		WithTeams(order[1 : 1+rapid.IntRange(0, 2).Draw(t, "others")]...).
		WithOpen(rapid.Bool().Draw(t, "open")).
		WithIdempotent(rapid.Bool().Draw(t, "idempotent")).
		WithCheckpointable(rapid.Bool().Draw(t, "checkpoint")).
		WithMaxRunning(rapid.IntRange(0, catalogue.MaxEntryRunning).Draw(t, "running")).
		WithMaxPayload(rapid.IntRange(0, catalogue.MaxPayloadBytes).Draw(t, "payload")).
		WithMaxDeadline(time.Duration(deadline))
	if rapid.Bool().Draw(t, "objective") {
		ratio := rapid.Float64Range(0.0001, 0.9999999999999999).Draw(t, "ratio")
		e = e.WithObjective(catalogue.NewObjective(ratio, time.Duration(rapid.Int64Range(1e6, 1e15).Draw(t, "delay"))))
	}
	return e
}

func newKey(t testing.TB, team string, role catalogue.Role, seed int64, expires time.Time) (catalogue.Key, string) {
	t.Helper()
	k, secret, err := catalogue.NewKey(team, role, "ana", start, expires, rand.New(rand.NewSource(seed)))
	assert.NilError(t, err)
	return k, secret
}

// table is an in-memory table with the current rows and the history of all written rows.
type table struct {
	versions map[string]uint64
	current  map[string]provider.Row
	history  []provider.Row
	version  uint64
}

func newTable() *table {
	return &table{versions: make(map[string]uint64), current: make(map[string]provider.Row)}
}

func (tb *table) commit(t provider.Transaction) provider.CommitOutcome {
	for _, c := range t.Conditions() {
		if tb.versions[c.Key()] != c.Version() {
			return provider.NewConflict(tb.current[c.Key()])
		}
	}
	tb.version++
	for _, w := range t.Writes() {
		r := provider.NewRow(w.Key(), w.Value(), tb.version)
		tb.versions[w.Key()], tb.current[w.Key()] = tb.version, r
		tb.history = append(tb.history, r)
	}
	return provider.NewCommitted(tb.version)
}

// mustApply commits a transaction that was built from snapshot c, and returns the snapshot after it. The error is the
// one returned with the transaction.
func (tb *table) mustApply(
	t testing.TB, c *catalogue.Configuration, tx provider.Transaction, err error,
) *catalogue.Configuration {
	t.Helper()
	assert.NilError(t, err)
	_, ok := tb.commit(tx).(provider.Committed)
	assert.Assert(t, ok)
	n, err := c.WithRows(tb.history)
	assert.NilError(t, err)
	assert.Equal(t, n.Version(), c.Version()+1)
	return n
}
