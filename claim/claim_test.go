package claim_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Guards against a second start of a request (R8) and a wrong "not run" (R7) when duplicates arrive at several entry
// VMs, entry VMs crash, and messages are lost or delayed.
func TestClaimStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		assert.Equal(t, s.run(rapid.IntRange(0, 120).Draw(t, "steps")), "")
	})
}

// Guards against a simulation that is too weak: over fixed seeds it must find violations without the claim and
// without the close of attempts, and none with both.
func TestClaimAndCloseAreNeeded(t *testing.T) {
	for _, c := range []struct {
		name             string
		noClaim, noClose bool
		violation        string
	}{
		{name: "whole"},
		{name: "no claim", noClaim: true, violation: "double start"},
		{name: "no close", noClose: true, violation: "double start"},
		{name: "no close", noClose: true, violation: "not run"},
	} {
		found, answers, denials := 0, 0, 0
		for seed := range uint64(2000) {
			s := newSimulation(rand.New(rand.NewPCG(seed, 11)).IntN)
			s.noClaim, s.noClose = c.noClaim, c.noClose
			violation := s.run(120)
			assert.Assert(t, violation == "" || c.violation != "", "%s, seed %d: %s", c.name, seed, violation)
			if c.violation != "" && strings.HasPrefix(violation, c.violation) {
				found++
			}
			answers += s.answered
			denials += len(s.notRun)
		}
		t.Logf("%s: %q in %d of 2000 runs, %d answers, %d reports of not run", c.name, c.violation, found, answers, denials)
		assert.Equal(t, found > 0, c.violation != "")
		assert.Assert(t, c.noClaim || (answers > 0 && denials > 0))
	}
}

// Guards against a repeated request id that returns the answer of another request or runs with another payload, and
// against claims that change when they are stored and read.
func TestDecideByStoredClaim(t *testing.T) {
	now := time.Unix(1000, 0)
	first := claim.New("r.1", "a", "sale", "vm1", "b1", claim.Hash([]byte("seat 1")), now)
	done, _ := claim.Finish(first, 3, "answers/r.1", now)
	abandoned, _ := claim.Abandon(first, 3, now)
	second, _ := claim.Retry(abandoned, 4, "vm2", "b2", now)
	assert.Equal(t, second.Attempt(), 2)
	row := func(c claim.Claim) provider.Row { return provider.NewRow(claim.RowKey(c.ID()), c.Encode(), 7) }
	stored := func(c claim.Claim) claim.Claim {
		d, err := claim.Decode(c.Encode())
		assert.NilError(t, err)
		return d
	}

	decide := func(r provider.Row, team, entry, payload string) claim.Decision {
		d, err := claim.Decide(r, "r.1", team, entry, claim.Hash([]byte(payload)))
		assert.NilError(t, err)
		return d
	}
	assert.Equal(t, decide(provider.Row{}, "a", "sale", "seat 1"), claim.Unclaimed{})
	assert.Equal(t, decide(provider.NewDeletedRow("claim/r.1/", 9), "a", "sale", "seat 1"), claim.Unclaimed{})
	assert.Equal(t, decide(row(first), "b", "sale", "seat 1"), claim.Mismatch{})
	assert.Equal(t, decide(row(done), "a", "refund", "seat 1"), claim.Mismatch{})
	assert.Equal(t, decide(row(done), "a", "sale", "seat 2"), claim.Mismatch{})
	assert.Equal(t, decide(row(done), "a", "sale", "seat 1").(claim.AlreadyDone).Claim(), stored(done))
	assert.Equal(t, decide(row(abandoned), "a", "sale", "seat 1").(claim.MayRetry).Version(), uint64(7))
	progress := decide(row(second), "a", "sale", "seat 1").(claim.InProgress)
	assert.Equal(t, progress.Holder()+progress.Server(), "vm2b2")
	_, err := claim.Decide(provider.NewRow("claim/r.1/", []byte("{}"), 7), "r.1", "a", "sale", "")
	assert.ErrorContains(t, err, "row claim/r.1/: decode claim: request id has 0 characters")
}

// Guards against row keys that collide with other prefixes or grow without bound.
func TestCheckID(t *testing.T) {
	for id, want := range map[string]string{
		"a-B_9.z":                "",
		strings.Repeat("x", 128): "",
		strings.Repeat("x", 129): "request id has 129 characters, allowed are 1 to 128",
		"":                       "request id has 0 characters",
		"a/b":                    `request id has '/' at position 1`,
	} {
		if err := claim.CheckID(id); want != "" || err != nil {
			assert.ErrorContains(t, err, want)
			assert.Assert(t, want != "")
		}
	}
}

// Guards against the deletion of claims that still protect a request, and against more deletions than the limit.
func TestExpiredKeepsClaimsWithinRetention(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	open := claim.New("open", "a", "sale", "vm1", "b1", "", now)
	done, _ := claim.Finish(claim.New("done", "a", "sale", "vm1", "b1", "", now), 1, "", now)
	rows := []provider.Row{
		provider.NewRow("claim/done/", done.Encode(), 5), provider.NewRow("claim/open/", open.Encode(), 6),
		provider.NewRow("claim/broken/", nil, 7), provider.NewDeletedRow("claim/gone/", 8),
	}
	for _, c := range []struct {
		age         time.Duration
		limit, want int
	}{
		{24 * time.Hour, 9, 0},
		{25 * time.Hour, 9, 1},
		{25 * time.Hour, 0, 0},
		{8 * 24 * time.Hour, 9, 2},
		{8 * 24 * time.Hour, 1, 1},
	} {
		got := claim.Expired(rows, now.Add(c.age), c.limit)
		assert.Equal(t, len(got), c.want, "%v", c)
		if len(got) > 0 {
			assert.Equal(t, got[0].Conditions()[0], provider.NewCondition("claim/done/", 5))
		}
	}
}
