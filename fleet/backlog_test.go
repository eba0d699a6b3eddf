package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// storedTerm returns the term row as the control state has stored it.
func (r *rig) storedTerm() fleet.Term {
	r.t.Helper()
	term, err := fleet.DecodeTerm(provider.NewRow(fleet.TermKey, r.rows[fleet.TermKey], r.version))
	assert.NilError(r.t, err)
	return term
}

// Guards against a leader that runs out of memory because jobs are accepted without bound.
func TestNewJobsAreRefusedWhileTheLeaderIsFull(t *testing.T) {
	r := newRig(t)
	r.state.MaxTasks = 2500
	r.register("i-1", "press")
	r.report("i-1", nil)
	arrive := func(n int) *workload.Job {
		job := r.job(n, workload.StepOptions{Count: 1000, MilliCores: 100_000}) // fits on no server
		r.handle(fleet.JobArrived{Job: job})
		r.advance(time.Second)
		return job
	}
	arrive(1)
	second := arrive(2)
	assert.Equal(t, r.storedTerm().FullFor(), time.Duration(0))
	third := arrive(3)
	assert.Equal(t, r.storedTerm().FullFor(), 30*time.Second, "no task is done")
	r.handle(fleet.CancelRequested{ID: second.ID()})
	r.advance(time.Second)
	assert.Equal(t, r.storedTerm().FullFor(), time.Duration(0))
	r.handle(fleet.CancelRequested{ID: third.ID()})
	r.advance(time.Second)
	assert.Equal(t, r.storedTerm().FullFor(), time.Duration(0))
}
