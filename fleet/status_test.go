package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
