package commit_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Guards against transactions that are applied twice or not at all, conflicts reported without cause, wrong order of
// transactions with a common key, starvation, and rates above the limits. The simulation loses responses, applies
// transactions late, and has conflicts and outages.
func TestStateAppliesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		assert.Equal(t, s.run(rapid.IntRange(0, 150).Draw(t, "steps")), "")
	})
}

// Runs the same simulation on many more and longer random histories than rapid generates.
func TestStateAppliesExactlyOnceInLongHistories(t *testing.T) {
	for seed := range uint64(1200) {
		random := rand.New(rand.NewPCG(seed, 7))
		assert.Equal(t, newSimulation(random.IntN).run(400), "", "seed %d", seed)
	}
}

// Guards against a committer that exceeds the rate limits while it writes a backlog of an outage.
func TestStateCatchesUpWithinRate(t *testing.T) {
	s := newSimulation(rand.New(rand.NewPCG(1, 7)).IntN)
	for i := range 500 {
		t := markTransaction(i + 1)
		s.submitted[s.state.Add(t)] = t
	}
	assert.Equal(t, s.run(0), "")
	assert.Assert(t, len(s.writes) > 20)
}

// Guards against a simulation that can't detect double application: without the condition on the committer's own row it
// must find one.
func TestSimulationFindsDoubleApplicationWithoutOwnRow(t *testing.T) {
	found := 0
	for seed := range uint64(200) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 7)).IntN)
		s.table.ignoreOwnRow = true
		if strings.HasPrefix(s.run(400), "double application") {
			found++
		}
	}
	t.Logf("double application in %d of 200 histories", found)
	assert.Assert(t, found > 0)
}

// Guards against job records that delay claims and configuration changes, and against an urgent transaction that is
// applied before an earlier one with the same key.
func TestStatePacksUrgentFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := commit.NewState("vm", commit.NewLimits(2, 20, 300), rand.New(rand.NewPCG(1, 2)), now)
	s.Add(markTransaction(1))
	s.Add(markTransaction(2))
	s.Add(markTransaction(2), commit.Urgent{})
	s.Add(markTransaction(3), commit.Urgent{})

	want := [][]string{{"commit/vm", "mark/3", "mark/1"}, {"commit/vm", "mark/2"}, {"commit/vm", "mark/2"}}
	for i, w := range want {
		now = now.Add(time.Second)
		var got []string
		for _, p := range s.Next(now, "token").(commit.Send).Transaction().Writes() {
			got = append(got, p.Key())
		}
		assert.DeepEqual(t, got, w)
		s.Handle(provider.NewCommitted(uint64(i+1)), now)
	}
}

// Guards against a transaction that the table rejects for its content and that is sent for ever, and against others of its batch
// that share its fate.
func TestStateSeparatesRejectedTransaction(t *testing.T) {
	now := time.Unix(1000, 0)
	s := commit.NewState("vm", commit.NewLimits(20, 20, 300), rand.New(rand.NewPCG(1, 2)), now)
	ids := make(map[uint64]int)
	for n := 1; n <= 3; n++ {
		ids[s.Add(markTransaction(n))] = n
	}
	outcomes := make(map[int]provider.CommitOutcome)
	for version := uint64(1); s.Pending() > 0 && version < 20; version++ {
		now = now.Add(time.Second)
		send, ok := s.Next(now, "token").(commit.Send)
		assert.Assert(t, ok)
		var outcome provider.CommitOutcome = provider.NewCommitted(version)
		for _, w := range send.Transaction().Writes() {
			if w.Key() == "mark/2" {
				outcome = provider.NewRejected("too long")
			}
		}
		for _, c := range s.Handle(outcome, now) {
			outcomes[ids[c.ID()]] = c.Outcome()
		}
	}
	assert.Equal(t, len(outcomes), 3)
	for n, o := range outcomes {
		_, rejected := o.(provider.Rejected)
		assert.Equal(t, rejected, n == 2, "transaction %d: %T", n, o)
	}
}
