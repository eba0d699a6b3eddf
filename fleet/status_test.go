package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a number of pending jobs that leaves out jobs which a new controller hasn't read yet.
func TestPendingJobsAreCountedOnceAllAreRead(t *testing.T) {
	r := newRig(t)
	step := workload.StepOptions{Count: 1, MilliCores: 1000}
	r.handle(fleet.JobArrived{Job: r.job(1, step)})
	r.advance(5 * time.Second)
	assert.Assert(t, r.rows[fleet.PendingJobsPrefix+"plates"] == nil, "counted one of two jobs")
	r.handle(fleet.JobArrived{Job: r.job(2, step)}, fleet.JobsRead{})
	r.advance(2 * time.Second)
	n, err := fleet.DecodePendingJobs(provider.NewRow("waiting/plates", r.rows[fleet.PendingJobsPrefix+"plates"], 1))
	assert.NilError(t, err)
	assert.Equal(t, n, 2)
}

// Guards against a job that isn't counted as pending because a run of it was placed, although no server has started one.
func TestJobWithRefusedStartIsPending(t *testing.T) {
	r := newRig(t)
	r.handle(fleet.JobsRead{})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	pending := func() int {
		stored, written := r.rows[fleet.PendingJobsPrefix+"plates"]
		if !written {
			return 0
		}
		n, err := fleet.DecodePendingJobs(provider.NewRow("waiting/plates", stored, 1))
		assert.NilError(t, err)
		return n
	}
	refused := r.starts()[0]
	r.handle(fleet.StartEnded{
		Server: "i-1", Incarnation: refused.Target.Incarnation, Run: refused.Request.Run,
		Outcome: backend.Refused{Reason: backend.RefusedBusy},
	})
	r.advance(1500 * time.Millisecond)
	assert.Equal(t, pending(), 1)
	r.advance(2 * time.Second)
	r.acceptStart(r.starts()[0])
	r.advance(2 * time.Second)
	assert.Equal(t, pending(), 0)
}

// Guards against a term that ends while the stored state is read, and against a zone that is evacuated again: the operator
// restored it after its row was read.
func TestTermIsRenewedWhileStoredStateIsRead(t *testing.T) {
	r := newRig(t)
	r.version++
	r.state = &fleet.State{
		EntryVM: "entry", Token: r.version, TermRequestedAt: r.now, AwaitRestore: true,
		Term: fleet.Term{Holder: "entry", DurationMS: fleet.LongTerm.Milliseconds()}.WithVersion(r.version),
	}
	r.state.Begin(r.now)
	r.configure(workload.Resources{})
	r.register("i-1", "press")
	r.handle(fleet.OperationArrived{Operation: directory.ZoneRestored{Zone: "z"}})
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	renewals := 0
	for range 80 {
		r.advance(100 * time.Millisecond)
		for _, e := range r.takeEffects() {
			_, isCommit := e.(fleet.Commit)
			assert.Assert(t, isCommit, "%#v before the state is restored", e)
			renewals++
		}
	}
	assert.Assert(t, renewals >= 8, "%d renewals in 8 s", renewals)

	r.state.Restore(fleet.Stored{Operations: []directory.Operation{directory.ZoneEvacuated{Zone: "z"}}}, r.now)
	r.advance(100 * time.Millisecond)
	r.report("i-1", nil)
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against a copy of a job that is stored with each change, and against one that stays after the job.
func TestJobIsCopiedOnceAndRemovedAfterItsEnd(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	job := r.job(1, workload.StepOptions{Count: 2, MilliCores: 1000})
	r.handle(fleet.JobArrived{Job: job})
	key := fleet.JobsPrefix + job.ID()
	copies, removals := 0, 0
	count := func() {
		for _, e := range r.takeEffects() {
			c, ok := e.(fleet.Commit)
			if !ok {
				continue
			}
			for _, w := range c.Transaction.Writes() {
				if w.Key() == key && w.Delete() {
					removals++
				} else if w.Key() == key {
					copies++
				}
			}
		}
	}
	starts := r.effects
	count()
	assert.Equal(t, copies, 1)
	number := int64(0)
	for _, e := range starts {
		if s, ok := e.(fleet.Start); ok {
			r.acceptStart(s)
			number++
			r.advance(100 * time.Millisecond)
			r.report("i-1", nil, backend.RunEnd{Number: number, Run: s.Request.Run, Kind: workload.EndDone})
		}
	}
	r.advance(time.Second)
	count()
	assert.Equal(t, number, int64(2))
	assert.Equal(t, copies, 1)
	assert.Equal(t, removals, 1)
}
