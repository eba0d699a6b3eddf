package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a task that runs twice after two changes of controllers within a second: the first controller granted a long lease as
// the store was slow, which the term row of the second one, of a fast store, doesn't cover.
func TestRunOutlastsLeaseOfControllerBeforePrevious(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000})
	r.holdCommits = true
	r.handle(fleet.JobArrived{Job: job})
	var running []backend.Run
	var grantedAt, leaseEnd time.Time
	play := func(storeConnected bool) { // the store takes half a second
		var commits []fleet.Commit
		for range 5 {
			r.advance(100 * time.Millisecond)
			for _, e := range r.takeEffects() {
				switch e := e.(type) {
				case fleet.Commit:
					commits = append(commits, e)
				case fleet.Start:
					r.acceptStart(e)
					running = []backend.Run{e.Request.Run}
				case fleet.Poll:
					if e.Request.LeaseExpiry > 0 {
						lease := e.Request.LeaseExpiry - r.now.Sub(r.bootTimes["i-1"])
						grantedAt, leaseEnd = r.now, r.now.Add(time.Duration(float64(lease)/0.98)) // by the slowest clock
					}
				}
			}
			if _, open := r.openPolls["i-1"]; open {
				r.report("i-1", running)
			}
		}
		for _, c := range commits {
			if storeConnected {
				r.commit(c)
			}
		}
	}
	for range 10 {
		play(true)
	}
	assert.Equal(t, len(running), 1)
	assert.Equal(t, r.storedTerm().Lease(), fleet.LongLease)
	for range 20 {
		play(false)
	}

	// The first controller granted leases for 2 s after its term, in which the second one has begun.
	r.now, r.holdCommits, r.previousLease = grantedAt.Add(-1800*time.Millisecond), false, r.storedTerm().Lease()
	before := string(r.rows[fleet.TermKey])
	r.restart(job)
	r.register("i-2", "press")
	for string(r.rows[fleet.TermKey]) == before {
		r.advance(100 * time.Millisecond)
	}
	assert.Equal(t, r.storedTerm().Duration(), fleet.ShortTerm)
	r.now, r.previousLease = r.now.Add(fleet.ShortTerm+100*time.Millisecond), r.storedTerm().Lease()
	r.restart(job)
	r.register("i-1", "press")
	r.register("i-2", "press")
	r.report("i-2", nil)
	r.takeEffects()
	for range 200 {
		r.advance(100 * time.Millisecond)
		for _, e := range r.effects {
			if s, ok := e.(fleet.Start); ok {
				assert.Assert(t, r.now.After(leaseEnd), "started on %s %s before the lease ended", s.Target.ID, leaseEnd.Sub(r.now))
				return
			}
		}
		r.failPoll("i-1")
		r.takeEffects()
		if _, open := r.openPolls["i-2"]; open {
			r.report("i-2", nil)
		}
	}
	t.Fatal("the task wasn't started again")
}
