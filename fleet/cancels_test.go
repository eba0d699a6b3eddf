package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against tasks that start after their job was cancelled, because a new leader doesn't know of the cancellation yet, and
// against jobs that wait for the cancellations of other partitions.
func TestJobsAwaitCancelsOfTheirPartition(t *testing.T) {
	r := newRig(t)
	step := workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000}
	cancelled, other := r.job(0, step), r.job(1, step)
	r.version++
	r.state = &fleet.State{
		EntryVM: "entry", Token: r.version, TermRequestedAt: r.now,
		Term:             fleet.Term{Holder: "entry", DurationMS: 2500}.WithVersion(r.version),
		CancelPartitions: 2, CancelPartition: func(id string) int { return int(id[len(id)-1] - '0') },
	}
	r.state.Begin(r.now)
	r.state.Restore(fleet.Stored{
		Jobs:     []*workload.Job{cancelled},
		Progress: map[string]workload.Progress{cancelled.ID(): {State: workload.JobQueued}},
	}, r.now)
	r.configure(workload.Resources{})
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: other})
	r.advance(300 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
	r.handle(fleet.CancelsRead{Partition: 1})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Request.Run.Task.Job, other.ID())
	r.handle(fleet.CancelRequested{ID: cancelled.ID()}, fleet.CancelsRead{Partition: 0})
	r.advance(300 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
}
