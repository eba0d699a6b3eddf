package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// acceptPaces accepts the requests to set a pace since the last call, and returns their percentages.
func (r *rig) acceptPaces() []int {
	var percents []int
	for _, e := range r.takeEffects() {
		if p, ok := e.(fleet.Pace); ok {
			percents = append(percents, p.Percent)
			r.handle(fleet.PaceEnded{Server: p.Target.ID, Run: p.Run, Percent: p.Percent, Outcome: backend.Accepted{}})
		}
	}
	return percents
}

// advanceReporting advances the time while a server reports its runs, and returns the paces that are set.
func (r *rig) advanceReporting(id string, runs []backend.Run, d time.Duration) (percents []int) {
	for range d / (100 * time.Millisecond) {
		r.advance(100 * time.Millisecond)
		for _, e := range r.effects {
			if p, ok := e.(fleet.Poll); ok && p.Target.ID == id {
				r.report(id, runs)
				break
			}
		}
		percents = append(percents, r.acceptPaces()...)
	}
	return percents
}

// Load pattern: best-effort tasks slow a latency-sensitive task down by varying amounts. Guards against a latency
// target that is missed for seconds because of them, and against best-effort tasks that stay slow afterwards, also
// after a takeover.
func TestBestEffortTasksSlowDownForLatencyTarget(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true, LatencyTargetMS: 100},
		workload.StepOptions{Count: 1, MilliCores: 4000, DeclaredDurationMS: 60_000, BestEffort: true})
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 2)
	var runs []backend.Run
	r.measurements = make(map[backend.Run]int64)
	for _, s := range starts {
		r.acceptStart(s)
		runs = append(runs, s.Request.Run)
	}
	latencySensitive := backend.Run{Task: workload.TaskID{Job: job.ID()}, Number: 1}
	assert.Equal(t, len(r.advanceReporting("i-1", runs, time.Second)), 0)

	r.measurements[latencySensitive] = 130
	assert.DeepEqual(t, r.advanceReporting("i-1", runs, 1500*time.Millisecond)[:1], []int{0})
	r.measurements[latencySensitive] = 40
	raised := r.advanceReporting("i-1", runs, 4*time.Second)
	assert.DeepEqual(t, raised[len(raised)-1], 100)

	r.measurements[latencySensitive] = 130
	r.advanceReporting("i-1", runs, time.Second)
	r.measurements[latencySensitive] = 40
	r.restart(job)
	r.register("i-1", "press")
	raised = r.advanceReporting("i-1", runs, 5*time.Second)
	assert.Assert(t, len(raised) > 0)
	assert.DeepEqual(t, raised[len(raised)-1], 100)
}
