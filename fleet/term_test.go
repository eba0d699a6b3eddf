package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a second run of a task that a server reports to run: a controller whose term isn't renewed grants no
// lease, but those that the controller before granted still hold.
func TestRestoredRunIsKeptWhileItsServerReportsIt(t *testing.T) {
	r := newRig(t)
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, EstimateMS: 60_000})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: job})
	start := r.starts()
	assert.Equal(t, len(start), 1)
	r.started(start[0])

	r.restart(job)
	r.held = true
	r.register("i-1", "press")
	r.register("i-2", "press")
	for range 40 {
		r.pass(300 * time.Millisecond)
		r.report("i-1", []backend.Run{start[0].Order.Run})
		r.report("i-2", nil)
	}
	r.held = false
	r.handle(fleet.CommitEnded{})
	r.pass(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Guards against a second run of a task whose server can't be reached, before its lease has surely expired.
func TestRunOfASilentServerIsRestartedAfterItsLease(t *testing.T) {
	r := newRig(t)
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, EstimateMS: 60_000})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	deadline := r.clock["i-1"].Add(starts[0].Order.LeaseExpiry)
	r.started(starts[0])

	r.register("i-2", "press")
	r.report("i-2", nil)
	for r.now.Before(deadline.Add(3 * time.Second)) {
		r.pass(100 * time.Millisecond)
		for _, e := range r.effects {
			if l, ok := e.(fleet.Look); ok && l.Target.ID == "i-1" && l.Order.LeaseExpiry > 0 {
				later := r.clock["i-1"].Add(l.Order.LeaseExpiry)
				if later.After(deadline) {
					deadline = later
				}
			}
		}
		r.silence("i-1")
		if again := r.starts(); len(again) > 0 {
			assert.Equal(t, again[0].Target.ID, "i-2")
			assert.Assert(t, r.now.After(deadline), "restarted %s before the lease expired", deadline.Sub(r.now))
			return
		}
		r.register("i-2", "press")
	}
	t.Fatal("the task isn't started again")
}

// Guards against a run that is stored and never ordered, because the term was over when its commit was answered.
func TestRunStoredByASlowCommitIsOrderedLater(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.take()
	r.held = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	var held fleet.Commit
	for _, e := range r.take() {
		if c, ok := e.(fleet.Commit); ok {
			held = c
		}
	}
	r.pass(3 * time.Second)
	r.held = false
	r.commit(held)
	r.pass(time.Second)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against work that is sent to a server that began to drain while its intent was being stored.
func TestRunIsNotSentToAServerThatDrains(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.take()
	r.held = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	var held fleet.Commit
	for _, e := range r.take() {
		if c, ok := e.(fleet.Commit); ok {
			held = c
		}
	}
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: "i-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Draining: true,
		Incarnation: r.clock["i-1"].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
	r.held = false
	r.commit(held)
	r.pass(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Load pattern: the controller loses power at the peak of a burst. Guards against a take-over that takes longer than the
// term and the pauses of a close watch, against one while renewals arrive, and against reading the row often all the time.
func TestWatchNoticesAMissingRenewal(t *testing.T) {
	w := fleet.Watch{Self: "b"}
	start := time.Unix(1_000_000, 0)
	const lastRenewal = 5 * time.Second
	reads := 0
	for now := start; ; now = now.Add(w.Pause(now)) {
		reads++
		renewals := min(now.Sub(start), lastRenewal) / (300 * time.Millisecond)
		w.Observe(fleet.Term{
			Holder: "a", Renewals: int64(renewals), DurationMS: fleet.ShortTerm.Milliseconds(),
		}.WithVersion(uint64(renewals+1)), now)
		if !w.Due(now) {
			continue
		}
		silent := now.Sub(start) - lastRenewal
		assert.Assert(t, silent > 500*time.Millisecond, "taken %v after the last renewal", silent)
		assert.Assert(t, silent <= 1300*time.Millisecond, "taken %v after the last renewal", silent)
		assert.Assert(t, reads <= 50, "%d reads", reads)
		return
	}
}
