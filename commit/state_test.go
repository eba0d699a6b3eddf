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

// Guards against double or missing application, false refusals, broken order per key, starvation and rates above the
// limits under lost replies, delayed application, conflicts and outages.
func TestStateAppliesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		assert.Equal(t, s.run(rapid.IntRange(0, 150).Draw(t, "steps")), "")
	})
}

// The same simulation over many more and longer histories than rapid draws.
func TestStateAppliesExactlyOnceInLongHistories(t *testing.T) {
	for seed := range uint64(1200) {
		random := rand.New(rand.NewPCG(seed, 7))
		assert.Equal(t, newSimulation(random.IntN).run(400), "", "seed %d", seed)
	}
}

// Guards against a queue that gathered during an outage and then exceeds the rate of the table.
func TestStateCatchesUpWithinRate(t *testing.T) {
	s := newSimulation(rand.New(rand.NewPCG(1, 7)).IntN)
	for i := range 500 {
		t := mark(i + 1)
		s.items[s.state.Add(t)] = t
	}
	assert.Equal(t, s.run(0), "")
	assert.Assert(t, len(s.writes) > 20)
}

// Guards against a simulation too weak to notice that the condition on the committer's own row is missing.
func TestSimulationFindsDoubleApplicationWithoutOwnRow(t *testing.T) {
	found := 0
	for seed := range uint64(200) {
		s := newSimulation(rand.New(rand.NewPCG(seed, 7)).IntN)
		s.table.unguarded = true
		if strings.HasPrefix(s.run(400), "double application") {
			found++
		}
	}
	t.Logf("double applications in %d of 200 histories", found)
	assert.Assert(t, found > 0)
}

// Guards against job records that delay claims and configuration changes, and against an urgent transaction that
// overtakes an earlier one on the same key.
func TestStatePacksUrgentFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := commit.NewState("vm", commit.NewLimits(2, 20, 300), rand.New(rand.NewPCG(1, 2)), now)
	s.Add(mark(1))
	s.Add(mark(2))
	s.Add(mark(2), commit.Urgent{})
	s.Add(mark(3), commit.Urgent{})

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
