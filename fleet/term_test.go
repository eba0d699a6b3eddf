package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
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
