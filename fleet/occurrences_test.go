package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a repeating job that stops for as long as some of its occurrences can't end, against occurrences that run again after
// a takeover, and against a row that grows with each of them.
func TestOccurrencesGoOnBehindStuckOnes(t *testing.T) {
	const repetitions = 4000
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	job := r.repeatingJob(repetitions, 5*time.Millisecond, workload.StepOptions{Count: 1, MilliCores: 10, DeclaredDurationMS: 20})
	r.handle(fleet.JobArrived{Job: job})
	var stuck []backend.Run // each thousandth occurrence
	var ends []backend.RunEnd
	started := make(map[int]int)
	longest := 0
	play := func(rounds int) {
		for range rounds {
			for _, s := range r.starts() {
				r.acceptStart(s)
				run := s.Request.Run
				if started[run.Task.Occurrence]++; run.Task.Occurrence%1000 == 0 {
					stuck = append(stuck, run)
					continue
				}
				ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: run, Kind: workload.EndDone})
			}
			r.advance(100 * time.Millisecond)
			if _, open := r.openPolls["i-1"]; open {
				r.report("i-1", stuck, ends...)
			}
			longest = max(longest, len(r.rows[fleet.ProgressPrefix+job.ID()]))
		}
	}
	play(150)
	r.restart(job)
	r.register("i-1", "press")
	play(250)
	assert.Equal(t, len(started), repetitions, "occurrences that were started while some can't end")
	r.restart(job)
	r.register("i-1", "press")
	play(5)
	for occurrence, starts := range started {
		assert.Equal(t, starts, 1, "starts of occurrence %d", occurrence)
	}
	for _, run := range stuck {
		ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: run, Kind: workload.EndDone})
	}
	stuck = nil
	play(5)
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobCompleted)
	assert.Assert(t, longest <= maxRowBytes, "the longest row has %d bytes", longest)
}

// Guards against a repeating job whose first steps don't run any more soon after the servers are lost that its last step requires, and
// against a row that then outgrows the store's limit.
func TestFirstStepsGoOnWhileLastOnesCannotRun(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	job := r.repeatingJob(2000, 20*time.Millisecond, workload.StepOptions{Count: 9, MilliCores: 10, DeclaredDurationMS: 20},
		workload.StepOptions{Count: 1, MilliCores: 10, DeclaredDurationMS: 20, Label: "b", After: []int{0}})
	r.handle(fleet.JobArrived{Job: job})
	var ends []backend.RunEnd
	started := make(map[int]bool)
	longest := 0
	for range 450 {
		for _, s := range r.starts() {
			r.acceptStart(s)
			started[s.Request.Run.Task.Occurrence] = true
			ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: s.Request.Run, Kind: workload.EndDone})
		}
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil, ends[max(0, len(ends)-400):]...)
		}
		longest = max(longest, len(r.rows[fleet.ProgressPrefix+job.ID()]))
	}
	assert.Assert(t, len(started) >= 700, "%d occurrences were started", len(started))
	assert.Assert(t, longest <= maxRowBytes, "the longest row has %d bytes", longest)
}
