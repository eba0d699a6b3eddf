package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// resize registers a server of the rig with another capacity.
func (r *rig) resize(id string, milliCores int64) {
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + id,
		Incarnation: r.bootTimes[id].UnixMilli(), Capacity: workload.NewResources(milliCores, 8000, 0),
	}})
}

// Guards against starts beyond the capacity of a server that has shrunk while their intents were being stored.
func TestRunsAreNotStartedBeyondShrunkCapacity(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.holdCommits = true
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 4, MilliCores: 2000, DeclaredDurationMS: 1000})})
	r.resize("i-1", 4000)
	commits := r.takeEffects()
	r.holdCommits = false
	for _, e := range commits {
		if c, ok := e.(fleet.Commit); ok {
			r.commit(c)
		}
	}
	r.settle()
	assert.Equal(t, len(r.starts()), 2)
}

// Guards against starts on a server that has shrunk below what it runs.
func TestShrunkServerGetsNoRunsUntilItGrows(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 2000, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		r.acceptStart(s)
	}
	r.resize("i-1", 3000)
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
	r.resize("i-1", 8000)
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against runs beyond the capacity of a server that starts again under its id with a smaller one.
func TestServerThatRestartsSmallerGetsWhatFits(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 5, MilliCores: 1500, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 5)
	for _, s := range starts {
		r.acceptStart(s)
	}
	r.now = r.now.Add(time.Second)
	r.bootTimes["i-1"] = r.now
	r.resize("i-1", 2000)
	again := 0
	for range 60 {
		r.advance(100 * time.Millisecond)
		r.reportProgress("i-1", nil, 0)
		again += len(r.starts())
		if again > 0 {
			break
		}
	}
	assert.Equal(t, again, 1)
}
