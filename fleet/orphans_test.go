package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against starts beyond a server's capacity: it reports a run that was considered lost, and that takes its resources until
// it has been stopped.
func TestServerWithUnknownRunGetsNoOthers(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	unknown := backend.Run{Task: workload.TaskID{Job: "00000000000000ff"}, Number: 1}
	r.report("i-1", []backend.Run{unknown})
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 1000})})
	r.advance(500 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
	r.report("i-1", nil, backend.RunEnd{Number: 1, Run: unknown, Kind: workload.EndStopped})
	r.advance(100 * time.Millisecond)
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Request.Run.Number, 1, "placed before")
}

// Guards against a start beyond a server's capacity: the run was placed before a report showed another one that isn't recorded.
func TestPlacedRunIsNotStartedBesideUnknownRun(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(100 * time.Millisecond)
	r.takeEffects()
	r.holdCommits = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 1000})})
	unknown := backend.Run{Task: workload.TaskID{Job: "00000000000000ff"}, Number: 1}
	r.report("i-1", []backend.Run{unknown})
	r.holdCommits = false
	for _, e := range r.takeEffects() {
		if c, ok := e.(fleet.Commit); ok {
			r.commit(c)
		}
	}
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
}
