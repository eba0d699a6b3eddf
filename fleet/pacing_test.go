package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// paces answers orders to pace, and returns the percentages since the last call.
func (r *rig) paces() []int {
	var percents []int
	for _, e := range r.take() {
		if p, ok := e.(fleet.Pace); ok {
			percents = append(percents, p.Percent)
			r.handle(fleet.PaceEnded{Server: p.Target.ID, Run: p.Run, Percent: p.Percent, Outcome: backend.Accepted{}})
		}
	}
	return percents
}

// passReporting lets time pass while a server reports its runs.
func (r *rig) passReporting(id string, runs []backend.Run, d time.Duration) (percents []int) {
	for range d / (100 * time.Millisecond) {
		r.pass(100 * time.Millisecond)
		for _, e := range r.effects {
			if l, ok := e.(fleet.Look); ok && l.Target.ID == id {
				r.report(id, runs)
				break
			}
		}
		percents = append(percents, r.paces()...)
	}
	return percents
}

// Load pattern: filling tasks slow a task that serves down, now more and now less. Guards against a target that is
// missed for seconds because of them, and against filling tasks that stay slow afterwards, also under a new controller.
func TestFillersGiveWayToTasksThatServe(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.take()
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true, LatencyTargetMS: 100},
		workload.StepOptions{Count: 1, MilliCores: 4000, EstimateMS: 60_000, BestEffort: true})
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 2)
	var runs []backend.Run
	r.figures = make(map[backend.Run]int64)
	for _, s := range starts {
		r.started(s)
		runs = append(runs, s.Order.Run)
	}
	serving := backend.Run{Task: workload.TaskID{Job: job.ID()}, Number: 1}
	assert.Equal(t, len(r.passReporting("i-1", runs, time.Second)), 0)

	r.figures[serving] = 130
	assert.DeepEqual(t, r.passReporting("i-1", runs, 1500*time.Millisecond)[:1], []int{0})
	r.figures[serving] = 40
	raised := r.passReporting("i-1", runs, 4*time.Second)
	assert.DeepEqual(t, raised[len(raised)-1], 100)

	r.figures[serving] = 130
	r.passReporting("i-1", runs, time.Second)
	r.figures[serving] = 40
	r.restart(job)
	r.register("i-1", "press")
	raised = r.passReporting("i-1", runs, 5*time.Second)
	assert.Assert(t, len(raised) > 0)
	assert.DeepEqual(t, raised[len(raised)-1], 100)
}
