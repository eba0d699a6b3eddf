package fleet_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a second run of a task while its server still reports the first. A controller whose term isn't renewed
// grants no leases, but the leases of the previous controller are still valid.
func TestRestoredRunIsKeptWhileServerReportsIt(t *testing.T) {
	r := newRig(t)
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: job})
	start := r.starts()
	assert.Equal(t, len(start), 1)
	r.acceptStart(start[0])

	r.restart(job)
	r.holdCommits = true
	r.register("i-1", "press")
	r.register("i-2", "press")
	for range 40 {
		r.advance(300 * time.Millisecond)
		r.report("i-1", []backend.Run{start[0].Request.Run})
		r.report("i-2", nil)
	}
	r.holdCommits = false
	r.handle(fleet.CommitEnded{})
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Guards against a second run of a task whose server can't be reached, before the lease of the server has certainly
// expired.
func TestRunOfUnresponsiveServerRestartsAfterLease(t *testing.T) {
	r := newRig(t)
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	deadline := r.bootTimes["i-1"].Add(starts[0].Request.LeaseExpiry)
	r.acceptStart(starts[0])

	r.register("i-2", "press")
	r.report("i-2", nil)
	for r.now.Before(deadline.Add(3 * time.Second)) {
		r.advance(100 * time.Millisecond)
		for _, e := range r.effects {
			if p, ok := e.(fleet.Poll); ok && p.Target.ID == "i-1" && p.Request.LeaseExpiry > 0 {
				later := r.bootTimes["i-1"].Add(p.Request.LeaseExpiry)
				if later.After(deadline) {
					deadline = later
				}
			}
		}
		r.failPoll("i-1")
		if again := r.starts(); len(again) > 0 {
			assert.Equal(t, again[0].Target.ID, "i-2")
			assert.Assert(t, r.now.After(deadline), "restarted %s before the lease expired", deadline.Sub(r.now))
			return
		}
		r.register("i-2", "press")
	}
	t.Fatal("the task wasn't restarted")
}

// Guards against a run that is stored but never started, because the term was over when its commit succeeded.
func TestRunStoredBySlowCommitIsStartedLater(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	r.holdCommits = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	var held fleet.Commit
	for _, e := range r.takeEffects() {
		if c, ok := e.(fleet.Commit); ok {
			held = c
		}
	}
	r.advance(3 * time.Second)
	r.holdCommits = false
	r.commit(held)
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against a run that is sent to a server that began to drain while the intent was being stored.
func TestRunIsNotSentToDrainingServer(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	r.holdCommits = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	var held fleet.Commit
	for _, e := range r.takeEffects() {
		if c, ok := e.(fleet.Commit); ok {
			held = c
		}
	}
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: "i-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Draining: true,
		Incarnation: r.bootTimes["i-1"].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
	r.holdCommits = false
	r.commit(held)
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Load pattern: the leader loses power at the peak of a burst. Guards against a takeover that takes longer than the
// term and a few frequent reads, against a takeover while renewals arrive, and against frequent reads all the time.
func TestTakeoverAfterMissedRenewal(t *testing.T) {
	w := fleet.TermWatch{EntryVM: "b"}
	start := time.Unix(1_000_000, 0)
	const lastRenewal = 5 * time.Second
	reads := 0
	for now := start; ; now = now.Add(w.ReadDelay(now)) {
		reads++
		renewals := min(now.Sub(start), lastRenewal) / (300 * time.Millisecond)
		w.Observe(fleet.Term{
			Holder: "a", Renewals: int64(renewals), DurationMS: fleet.ShortTerm.Milliseconds(),
		}.WithVersion(uint64(renewals+1)), now)
		if !w.TakeoverDue(now) {
			continue
		}
		elapsed := now.Sub(start) - lastRenewal
		assert.Assert(t, elapsed > 500*time.Millisecond, "takeover %v after the last renewal", elapsed)
		assert.Assert(t, elapsed <= 1300*time.Millisecond, "takeover %v after the last renewal", elapsed)
		assert.Assert(t, reads <= 50, "%d reads", reads)
		return
	}
}

// takeoverOrder returns the names of entry VMs in the order in which they may take over, when each reads the same term
// row at the times of its own schedule.
func takeoverOrder(watches map[string]*fleet.TermWatch, row func(now time.Time) (fleet.Term, bool), start time.Time) []string {
	var order []string
	next := make(map[string]time.Time)
	for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for name, w := range watches {
			if now.Before(next[name]) || slices.Contains(order, name) {
				continue
			}
			if term, readable := row(now); readable {
				w.Observe(term, now)
				if w.TakeoverDue(now) {
					order = append(order, name)
				}
			}
			next[name] = now.Add(w.ReadDelay(now))
		}
	}
	return order
}

// Load pattern: the store is down for longer than a term and comes back at the peak of a burst. Guards against a leader
// with little processor time, whose takeover delay had passed before any entry VM could read the term row.
func TestOutageKeepsPreferenceForFastVMs(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	outageFrom, outageTo := start.Add(1500*time.Millisecond), start.Add(9*time.Second)
	const lastRenewal = 900 * time.Millisecond
	row := func(now time.Time) (fleet.Term, bool) {
		renewals := min(now.Sub(start), lastRenewal) / (250 * time.Millisecond)
		term := fleet.Term{Holder: "gone", DurationMS: fleet.ShortTerm.Milliseconds()}.WithVersion(uint64(renewals + 1))
		return term, now.Before(outageFrom) || !now.Before(outageTo)
	}
	for offset := range 40 { // of the outage's end against the reads of the VMs
		outageTo = outageTo.Add(7 * time.Millisecond)
		watches := map[string]*fleet.TermWatch{
			"fast":   {EntryVM: "fast", TakeoverDelay: 140 * time.Millisecond},
			"slow-1": {EntryVM: "slow-1", TakeoverDelay: 230 * time.Millisecond, Slow: true},
			"slow-2": {EntryVM: "slow-2", TakeoverDelay: 370 * time.Millisecond, Slow: true},
		}
		order := takeoverOrder(watches, row, start)
		assert.Assert(t, len(order) > 0 && order[0] == "fast", "offset %d: %v", offset, order)
	}
}

// Load pattern: all entry VMs restart at once under load. Guards against a leader with little processor time that
// takes over without a delay because the row names it, and against a leader that never gives its term to a faster VM.
func TestFastVMSucceedsSlowLeader(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	slow := fleet.Term{Holder: "slow", Processors: 0.2, DurationMS: fleet.ShortTerm.Milliseconds()}
	fast := &fleet.TermWatch{EntryVM: "fast", Processors: 0.8}
	similar := &fleet.TermWatch{EntryVM: "similar", Processors: 0.3}
	sawClaim := false
	for version := range uint64(20) {
		for _, w := range []*fleet.TermWatch{fast, similar} {
			w.Observe(slow.WithVersion(version+1), now)
			assert.Assert(t, !w.TakeoverDue(now))
		}
		assert.Assert(t, !similar.ClaimDue(now), "a VM that is hardly faster claims the term")
		sawClaim = sawClaim || fast.ClaimDue(now)
		now = now.Add(250 * time.Millisecond)
	}
	assert.Assert(t, sawClaim, "the faster VM doesn't claim the term")

	resigned := fleet.Term{Successor: "fast", DurationMS: fleet.ShortTerm.Milliseconds()}.WithVersion(30)
	fast.Observe(resigned, now)
	similar.Observe(resigned, now)
	assert.Assert(t, fast.TakeoverDue(now), "the successor waits")
	assert.Assert(t, !similar.TakeoverDue(now), "another VM doesn't wait for the successor")
	now = now.Add(2 * time.Second)
	assert.Assert(t, similar.TakeoverDue(now), "nobody takes over from a successor that is gone")
}

// Guards against a slow leader that ignores a claim, and against starts after it has resigned in favor of the claimant.
func TestLeaderResignsForClaimant(t *testing.T) {
	r := newRig(t)
	r.state.Term.Processors = 0.2
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.handle(fleet.TermClaimed{Claim: fleet.Claim{Claimant: "fast", Holder: "entry", Process: 7}, Version: 1000})
	r.handle(fleet.TermClaimed{Claim: fleet.Claim{Claimant: "gone", Holder: "entry"}, Version: r.state.Token - 1})
	r.advance(300 * time.Millisecond)
	term, err := fleet.DecodeTerm(provider.NewRow(fleet.TermKey, r.rows[fleet.TermKey], 1))
	assert.NilError(t, err)
	assert.Equal(t, term.Holder, "entry", "resigned for a claim on another term, or an earlier one of the same process")

	r.handle(fleet.TermClaimed{Claim: fleet.Claim{Claimant: "fast", Holder: "entry"}, Version: 1000})
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000})})
	r.advance(time.Second)
	term, err = fleet.DecodeTerm(provider.NewRow(fleet.TermKey, r.rows[fleet.TermKey], 1))
	assert.NilError(t, err)
	assert.Equal(t, term.Holder, "entry", "resigned with a start request in flight")
	r.acceptStart(starts[0])
	r.advance(time.Second)
	term, err = fleet.DecodeTerm(provider.NewRow(fleet.TermKey, r.rows[fleet.TermKey], 1))
	assert.NilError(t, err)
	assert.Equal(t, term.Holder, "")
	assert.Equal(t, term.Successor, "fast")
	assert.Equal(t, len(r.starts()), 0)
}

// Guards against a claimant that is gone and keeps others from claiming the term.
func TestClaimGoesStale(t *testing.T) {
	term := fleet.Term{Holder: "slow", Process: 3, Renewals: 100}
	claim := fleet.Claim{Claimant: "gone", Holder: "slow", Process: 3, Renewals: 98}
	assert.Assert(t, claim.Claims(term) && !claim.Stale(term))
	term.Renewals = 120
	assert.Assert(t, claim.Stale(term))
	term.Process = 4
	assert.Assert(t, !claim.Claims(term) && !claim.Stale(term))
}
