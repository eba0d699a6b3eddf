package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxRowBytes is the largest row that the store accepts.
const maxRowBytes = 64 << 10

// Guards against a job with so many tasks or occurrences that its progress row exceeds the store's limit. The store
// would then reject every further commit of the controller.
func TestProgressOfWideJobFitsRow(t *testing.T) {
	sm := newSimulation(60, 1)
	steps := []workload.StepOptions{
		{Count: 700, MilliCores: 1000, DeclaredDurationMS: 1000},
		{Count: 700, MilliCores: 1000, DeclaredDurationMS: 1000, After: []int{0}},
	}
	sm.submitJob(1, 0, "", steps)
	longest := 0
	sm.onStore = func(_ string, value []byte) { longest = max(longest, len(value)) }
	sm.advance(20 * time.Second)
	assert.Equal(t, len(sm.endedAt), 1, "the job hasn't ended")
	t.Logf("the longest row has %d bytes", longest)
	assert.Assert(t, longest <= maxRowBytes)
}

// Guards against gangs of a job that together exceed the store's limit of a row.
func TestProgressOfGangsFitsRow(t *testing.T) {
	sm := newSimulation(60, 1)
	gang := workload.StepOptions{Count: fleet.MaxGangTasks, MilliCores: 1000, DeclaredDurationMS: 1000, Gang: true}
	longest := 0
	sm.onStore = func(_ string, value []byte) { longest = max(longest, len(value)) }
	sm.submitJob(1, 0, "", []workload.StepOptions{gang, gang, gang})
	sm.advance(30 * time.Second)
	assert.Equal(t, len(sm.endedAt), 1, "the job hasn't ended")
	t.Logf("the longest row has %d bytes", longest)
	assert.Assert(t, longest <= maxRowBytes)
}

// Guards against a job that repeats so often that its progress row exceeds the store's limit, which would stop all jobs.
func TestProgressOfRepeatingJobFitsRow(t *testing.T) {
	sm := newSimulation(20, 1)
	const repetitions = 9000
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", 1), Queue: "pool-0", Pool: "pool-0", MaxAttempts: 3, Stretch: 1.6, SlackMS: 600,
		Steps:      []workload.StepOptions{{Count: 1, MilliCores: 100, DeclaredDurationMS: 20}},
		AcceptedMS: sm.now.UnixMilli(), FirstRunMS: sm.now.UnixMilli(), IntervalMS: 5, Repetitions: repetitions,
	})
	assert.NilError(t, err)
	longest := 0
	sm.onStore = func(_ string, value []byte) { longest = max(longest, len(value)) }
	sm.state.Handle(fleet.JobArrived{Job: job}, sm.now)
	sm.advance(50 * time.Second)
	assert.Equal(t, sm.states[job.ID()], workload.JobCompleted)
	assert.Equal(t, sm.tasksDone, repetitions)
	t.Logf("the longest row has %d bytes", longest)
	assert.Assert(t, longest <= maxRowBytes)
}

// Guards against occurrences that run again after a takeover, or are left out.
func TestOccurrencesStayDoneAfterTakeover(t *testing.T) {
	c := &crashRig{rig: newRig(t)}
	c.register("i-1", "press")
	c.report("i-1", nil)
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", 1), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Stretch: 1.6,
		Steps:      []workload.StepOptions{{Count: 1, MilliCores: 1000, DeclaredDurationMS: 100}},
		AcceptedMS: c.now.UnixMilli(), FirstRunMS: c.now.UnixMilli(), IntervalMS: 500, Repetitions: 4,
	})
	assert.NilError(t, err)
	c.job = job
	c.handle(fleet.JobArrived{Job: job})
	var started []int
	var ends []backend.RunEnd
	play := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			for _, s := range c.starts() {
				started = append(started, s.Request.Run.Task.Occurrence)
				c.acceptStart(s)
				ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: s.Request.Run, Kind: workload.EndDone})
			}
			c.advance(100 * time.Millisecond)
			if _, open := c.openPolls["i-1"]; open {
				c.report("i-1", nil, ends...)
			}
		}
	}
	play(1200 * time.Millisecond)
	assert.DeepEqual(t, started, []int{0, 1, 2})
	c.restart(job)
	c.register("i-1", "press")
	c.report("i-1", nil)
	play(2 * time.Second)
	assert.DeepEqual(t, started, []int{0, 1, 2, 3})
	assert.Equal(t, c.state(), workload.JobCompleted)
}

// Guards against tasks that run again after a takeover because the new controller doesn't know that they are done.
func TestDoneTasksStayDoneAfterTakeover(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	job := r.job(1, workload.StepOptions{Count: 3, MilliCores: 1000, DeclaredDurationMS: 1000},
		workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000, After: []int{0}})
	r.handle(fleet.JobArrived{Job: job})
	starts := r.starts()
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		r.acceptStart(s)
	}
	r.advance(100 * time.Millisecond)
	end := func(n int64, s fleet.Start) backend.RunEnd {
		return backend.RunEnd{Number: n, Run: s.Request.Run, Kind: workload.EndDone}
	}
	r.report("i-1", []backend.Run{starts[2].Request.Run}, end(1, starts[0]), end(2, starts[1]))
	r.advance(time.Second)
	r.takeEffects()
	r.restart(job)
	r.register("i-1", "press")
	r.report("i-1", []backend.Run{starts[2].Request.Run})
	r.advance(200 * time.Millisecond)
	for _, e := range r.effects {
		_, isStart := e.(fleet.Start)
		assert.Assert(t, !isStart, "%v", e)
	}
	r.report("i-1", nil, end(3, starts[2]))
	r.advance(100 * time.Millisecond)
	next := r.starts()
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Request.Run.Task.Step, 1)
	r.restart(job)
	r.register("i-1", "press")
	r.report("i-1", []backend.Run{next[0].Request.Run})
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Guards against done tasks that run again after a takeover because their occurrence isn't due yet by the clock of the
// new controller.
func TestDoneTasksOfFutureOccurrenceStayDone(t *testing.T) {
	r := newRig(t)
	job, err := workload.NewJob(workload.JobOptions{
		ID: "000000000000000a", Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Specification: "s",
		Steps:       []workload.StepOptions{{Count: 2, MilliCores: 1000, DeclaredDurationMS: 1000}},
		Repetitions: 1, FirstRunMS: r.now.Add(3 * time.Second).UnixMilli(), IntervalMS: 1000,
		AcceptedMS: r.now.UnixMilli(),
	})
	assert.NilError(t, err)
	stored := workload.Progress{State: workload.JobRunning, DoneTasks: map[string][]int{"0.0": {0}}, Job: job.Encode()}
	r.rows[fleet.ProgressPrefix+job.ID()] = stored.Encode()
	r.restart(job)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.takeEffects()
	r.advance(2 * time.Second)
	assert.Equal(t, len(r.starts()), 0)
	r.advance(2 * time.Second)
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Request.Run.Task.Index, 1)
}

// repeatingJob returns a job whose occurrences have one short task each.
func (r *rig) repeatingJob(repetitions int, interval time.Duration, steps ...workload.StepOptions) *workload.Job {
	r.t.Helper()
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", 1), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Stretch: 1.6, Steps: steps,
		AcceptedMS: r.now.UnixMilli(), FirstRunMS: r.now.UnixMilli(), IntervalMS: interval.Milliseconds(), Repetitions: repetitions,
	})
	assert.NilError(r.t, err)
	return job
}

// Guards against a repeating job that is stopped for good, because its progress exceeds the store's limit of a row while the first
// occurrence still runs and thousands of others are done.
func TestProgressFitsRowWhileFirstOccurrenceRuns(t *testing.T) {
	const repetitions = 9000
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	job := r.repeatingJob(repetitions, 5*time.Millisecond, workload.StepOptions{Count: 1, MilliCores: 10, DeclaredDurationMS: 20})
	r.handle(fleet.JobArrived{Job: job})
	var first *backend.Run
	var ends []backend.RunEnd
	longest, done := 0, 0
	play := func(finishFirst bool) {
		for _, s := range r.starts() {
			r.acceptStart(s)
			run := s.Request.Run
			if run.Task.Occurrence == 0 && !finishFirst {
				first = &run
				continue
			}
			done++
			ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: run, Kind: workload.EndDone})
		}
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			var running []backend.Run
			if !finishFirst {
				running = []backend.Run{*first}
			}
			r.report("i-1", running, ends...)
		}
		longest = max(longest, len(r.rows[fleet.ProgressPrefix+job.ID()]))
	}
	for range 600 {
		play(false)
	}
	t.Logf("%d of the other occurrences done, the longest row has %d bytes", done, longest)
	ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: *first, Kind: workload.EndDone})
	for range 600 {
		play(true)
	}
	assert.Equal(t, done, repetitions-1)
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobCompleted)
	assert.Assert(t, longest <= maxRowBytes, "the longest row has %d bytes", longest)
}

// Guards against a repeating job that is stopped because a single occurrence has as many tasks as are kept at a time.
func TestRepeatingWideJobCompletes(t *testing.T) {
	sm := newSimulation(60, 1)
	step := workload.StepOptions{Count: 1000, MilliCores: 1000, DeclaredDurationMS: 100}
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", 1), Queue: "pool-0", Pool: "pool-0", MaxAttempts: 3, Stretch: 1.6, SlackMS: 600,
		Steps: []workload.StepOptions{step, step}, AcceptedMS: sm.now.UnixMilli(), FirstRunMS: sm.now.UnixMilli(), IntervalMS: 5,
		Repetitions: 4,
	})
	assert.NilError(t, err)
	longest := 0
	sm.onStore = func(_ string, value []byte) { longest = max(longest, len(value)) }
	sm.state.Handle(fleet.JobArrived{Job: job}, sm.now)
	sm.advance(60 * time.Second)
	assert.Equal(t, sm.states[job.ID()], workload.JobCompleted)
	assert.Assert(t, longest <= maxRowBytes, "the longest row has %d bytes", longest)
}
