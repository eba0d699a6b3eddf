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

// requests returns the start requests and the number of the stop requests since the last call.
func (r *rig) requests() (starts []fleet.Start, stops int) {
	for _, e := range r.takeEffects() {
		switch e := e.(type) {
		case fleet.Start:
			starts = append(starts, e)
		case fleet.Stop:
			stops++
		}
	}
	return starts, stops
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

// Guards against members of a gang that start with different checkpoints, of which some have none.
func TestMembersOfGangStartWithTheSameCheckpoint(t *testing.T) {
	r := newRig(t)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.takeEffects()
	job := r.job(1, workload.StepOptions{Count: 3, MilliCores: 7000, Gang: true, Checkpoints: true, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		r.acceptStart(s)
	}
	r.advance(300 * time.Millisecond)
	for n, s := range starts {
		end := backend.RunEnd{Number: 1, Run: s.Request.Run, Kind: workload.EndGangBroken, Checkpoint: "saved"}
		switch n {
		case 0:
			end.Kind, end.Checkpoint = workload.EndFailed, ""
		case 1:
			end.Checkpoint = ""
		}
		r.reportProgress(s.Target.ID, nil, 0, end)
	}
	checkpoints := func() map[string]int {
		found := make(map[string]int)
		for range 30 {
			for _, s := range r.starts() {
				found[s.Request.Checkpoint]++
			}
			if len(found) > 0 {
				break
			}
			r.advance(100 * time.Millisecond)
			for _, s := range starts {
				r.reportProgress(s.Target.ID, nil, 0)
			}
		}
		return found
	}
	assert.DeepEqual(t, checkpoints(), map[string]int{"saved": 3})
	r.restart(job)
	for _, s := range starts {
		r.register(s.Target.ID, "press")
		r.report(s.Target.ID, nil)
	}
	assert.DeepEqual(t, checkpoints(), map[string]int{"saved": 3})
}
