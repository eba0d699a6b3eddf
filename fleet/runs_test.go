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
	for _, e := range r.take() {
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
	r.take()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, EstimateMS: 1000})})
	effects := r.effects
	starts := r.starts()
	r.effects = effects
	assert.Equal(r.t, len(starts), 1)
	r.started(starts[0])
	return starts[0]
}

// Guards against work that is thrown away because its server can't be asked for a while, as when a zone is cut off.
func TestRunsOfAServerThatDoesNotReportAreNotStalled(t *testing.T) {
	r := newRig(t)
	start := r.startOne()
	r.pass(100 * time.Millisecond)
	r.report("i-1", []backend.Run{start.Order.Run})
	r.pass(3 * time.Second)
	assert.Equal(t, r.stops(), 0)
}

// Guards against tasks that stand still on a server that says it is well.
func TestRunThatStandsStillIsStopped(t *testing.T) {
	r := newRig(t)
	start := r.startOne()
	for range 25 {
		r.pass(100 * time.Millisecond)
		r.report("i-1", []backend.Run{start.Order.Run})
	}
	assert.Equal(t, r.stops(), 1)
}
