package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (r *rig) stops() int {
	n := 0
	for _, e := range r.takeEffects() {
		if _, ok := e.(fleet.Stop); ok {
			n++
		}
	}
	return n
}

func (r *rig) startOne() fleet.Start {
	r.t.Helper()
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	effects := r.effects
	starts := r.starts()
	r.effects = effects
	assert.Equal(r.t, len(starts), 1)
	r.acceptStart(starts[0])
	return starts[0]
}

// Guards against runs that are stopped as stalled because their server can't be polled, as in a network partition of a
// zone.
func TestRunsOfUnresponsiveServerAreNotStalled(t *testing.T) {
	r := newRig(t)
	start := r.startOne()
	r.advance(100 * time.Millisecond)
	r.report("i-1", []backend.Run{start.Request.Run})
	r.advance(3 * time.Second)
	assert.Equal(t, r.stops(), 0)
}

// Guards against tasks that make no progress on a server that responds to polls.
func TestStalledRunIsStopped(t *testing.T) {
	r := newRig(t)
	start := r.startOne()
	for range 25 {
		r.advance(100 * time.Millisecond)
		r.report("i-1", []backend.Run{start.Request.Run})
	}
	assert.Equal(t, r.stops(), 1)
}

// Guards against a task without a declared duration that is stopped as stalled again and again, because a percent of its work
// takes longer than any run is given.
func TestSlowTaskWithoutDeclaredDurationEnds(t *testing.T) {
	const percentTime = 3 * time.Second
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000})})
	var run *backend.Run
	var startedAt time.Time
	stops := 0
	for began := r.now; r.now.Sub(began) < 60*time.Second; {
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Start:
				r.acceptStart(e)
				run, startedAt = &e.Request.Run, r.now
			case fleet.Stop:
				stops++
				r.handle(fleet.StopEnded{
					Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: backend.Accepted{},
				})
				r.reportProgress("i-1", nil, 0, backend.RunEnd{Number: int64(stops), Run: e.Run, Kind: workload.EndStopped})
				run = nil
			}
		}
		r.advance(100 * time.Millisecond)
		r.reportProgress("i-1", run, int(r.now.Sub(startedAt)/percentTime))
	}
	assert.Assert(t, run != nil)
	assert.Assert(t, r.now.Sub(startedAt) > 30*time.Second, "stopped %d times", stops)
}
