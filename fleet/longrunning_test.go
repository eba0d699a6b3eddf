package fleet_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// newLongRunningRig runs a job of long-running tasks on one server.
func newLongRunningRig(t *testing.T, step workload.StepOptions) (*crashRig, []fleet.Start) {
	t.Helper()
	c := &crashRig{rig: newRig(t)}
	c.register("i-1", "press")
	c.report("i-1", nil)
	step.LongRunning, step.MilliCores, step.DeclaredDurationMS = true, 1000, 1000
	c.job = c.rig.job(1, step)
	c.takeEffects()
	c.handle(fleet.JobArrived{Job: c.job})
	starts := c.starts()
	assert.Equal(t, len(starts), step.Count)
	for _, s := range starts {
		c.acceptStart(s)
	}
	c.advance(500 * time.Millisecond)
	return c, starts
}

func (c *crashRig) state() workload.JobState {
	c.t.Helper()
	p, err := workload.DecodeProgress(c.rows[fleet.ProgressPrefix+c.job.ID()])
	assert.NilError(c.t, err)
	return p.VisibleState()
}

// Guards against a long-running task that isn't started again because its run ended as done.
func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	for _, kind := range []workload.EndKind{
		workload.EndDone, workload.EndFailed, workload.EndStopped, workload.EndExpired, workload.EndGangBroken,
		workload.EndGangIncomplete,
	} {
		c, starts := newLongRunningRig(t, workload.StepOptions{Count: 1})
		c.report("i-1", nil, backend.RunEnd{Number: 1, Run: starts[0].Request.Run, Kind: kind})
		c.advance(500 * time.Millisecond)
		assert.Equal(t, c.state(), workload.JobRunning, "after %v", kind)
		restarts := c.starts()
		assert.Equal(t, len(restarts), 1, "after %v", kind)
		assert.Equal(t, restarts[0].Request.Run.Number, 2)
	}
}

// Guards against a gang of long-running tasks that is completed with the end of one of them.
func TestLongRunningGangIsRestartedAfterItIsDone(t *testing.T) {
	c, starts := newLongRunningRig(t, workload.StepOptions{Count: 2, Gang: true})
	c.report("i-1", nil,
		backend.RunEnd{Number: 1, Run: starts[0].Request.Run, Kind: workload.EndDone},
		backend.RunEnd{Number: 2, Run: starts[1].Request.Run, Kind: workload.EndDone})
	c.advance(500 * time.Millisecond)
	assert.Equal(t, c.state(), workload.JobRunning)
	assert.Equal(t, len(c.starts()), 2)
}

// Guards against a long-running task that isn't started again because its run was considered lost when it ended as done.
func TestLongRunningTaskIsRestartedAfterLateEnd(t *testing.T) {
	c, starts := newLongRunningRig(t, workload.StepOptions{Count: 1})
	c.partition()
	c.advance(9 * time.Second)
	c.report("i-1", nil, backend.RunEnd{Number: 1, Run: starts[0].Request.Run, Kind: workload.EndDone})
	c.advance(500 * time.Millisecond)
	assert.Equal(t, c.state(), workload.JobRunning)
	assert.Equal(t, len(c.starts()), 1)
}

// Guards against a long-running task that isn't started again because an earlier release stored it as done.
func TestLongRunningTaskStoredAsDoneIsRestarted(t *testing.T) {
	c, _ := newLongRunningRig(t, workload.StepOptions{Count: 2})
	for _, stored := range []string{
		`{"state":"running","done-tasks":{"0.0":[0]},"tasks":{"0.0.1":{"last-run":1,"done":true}}}`,
		`{"state":"running","done-steps":["0.0"]}`,
	} {
		c.rows[fleet.ProgressPrefix+c.job.ID()] = []byte(stored)
		c.restart(c.job)
		c.register("i-1", "press")
		c.report("i-1", nil)
		c.advance(500 * time.Millisecond)
		assert.Equal(t, len(c.starts()), 2)
	}
}

// Guards against a long-running task at work that a new controller stops: its server had restarted under its id, and had started
// the run before it registered again.
func TestRunStartedBeforeRegistrationOutlastsHandover(t *testing.T) {
	c, starts := newLongRunningRig(t, workload.StepOptions{Count: 2})
	kept, gone := starts[0].Request.Run, starts[1].Request.Run
	c.advance(time.Second)
	c.restart(c.job)
	c.restartServer()
	c.report("i-1", []backend.Run{kept})
	c.advance(time.Second)
	for _, e := range c.effects {
		if stop, ok := e.(fleet.Stop); ok {
			assert.Assert(t, stop.Run != kept)
		}
	}
	restarts := c.starts()
	assert.Equal(t, len(restarts), 1)
	assert.Equal(t, restarts[0].Request.Run.Task, gone.Task)
}

// Guards against a long-running task that is given up although its runs end without a crash: it fails soon after each start,
// and now and then its server crashes first.
func TestRunThatEndsByItselfClearsCrashes(t *testing.T) {
	for _, kind := range []workload.EndKind{workload.EndDone, workload.EndFailed} {
		c, _ := newLongRunningRig(t, workload.StepOptions{Count: 1})
		c.partition()
		c.handle(fleet.VMsListed{RequestedAt: c.now, VMs: []backend.VM{{Name: "m-1", Pool: "press", Server: "i-2", State: backend.VMUp}}})
		assert.Equal(t, c.record().Crashes, 1)
		c.register("i-2", "press")
		c.report("i-2", nil)
		starts := c.starts()
		assert.Equal(t, len(starts), 1)
		c.acceptStart(starts[0])
		c.advance(100 * time.Millisecond)
		c.report("i-2", nil, backend.RunEnd{Number: 1, Run: starts[0].Request.Run, Kind: kind})
		assert.Equal(t, c.record().Crashes, 0, "after %v", kind)
	}
}

// Guards against a run at work that is stopped because there was no response to its start: the server carried out the start
// late, and the stop before it got no response either.
func TestRunThatStartedLateIsKept(t *testing.T) {
	c := &crashRig{rig: newRig(t)}
	c.register("i-1", "press")
	c.report("i-1", nil)
	c.job = c.rig.job(1, workload.StepOptions{Count: 1, LongRunning: true, MilliCores: 1000, DeclaredDurationMS: 1000})
	c.takeEffects()
	c.handle(fleet.JobArrived{Job: c.job})
	starts := c.starts()
	assert.Equal(t, len(starts), 1)
	target, run := starts[0].Target, starts[0].Request.Run
	unknown := backend.OutcomeUnknown{Reason: "no response"}
	c.handle(fleet.StartEnded{Server: target.ID, Incarnation: target.Incarnation, Run: run, Outcome: unknown})
	c.advance(100 * time.Millisecond)
	c.report("i-1", nil)
	c.advance(100 * time.Millisecond)
	c.report("i-1", nil)
	for range 5 { // the server leaves the repeated requests without a response as well
		starts = c.starts()
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Request.Run, run)
		c.advance(900 * time.Millisecond)
		c.handle(fleet.StartEnded{Server: target.ID, Incarnation: target.Incarnation, Run: run, Outcome: unknown})
		c.reportProgress("i-1", nil, 0)
		c.advance(100 * time.Millisecond)
		c.report("i-1", nil)
	}
	assert.Equal(t, c.stops(), 1)
	c.advance(900 * time.Millisecond)
	c.handle(fleet.StopEnded{Server: target.ID, Incarnation: target.Incarnation, Run: run, Outcome: unknown})
	for range 10 {
		c.advance(100 * time.Millisecond)
		c.report("i-1", []backend.Run{run})
	}
	assert.Equal(t, c.stops(), 0)
	c.handle(fleet.CancelRequested{ID: c.job.ID()})
	assert.Equal(t, c.stops(), 1)
}

// Guards against a long-running task that is stopped while another of its step is away: its stop was allowed, got no response,
// and was repeated when the other one was gone.
func TestUnansweredStopIsNotRepeatedWhileOthersAreAway(t *testing.T) {
	c, starts := newLongRunningRig(t, workload.StepOptions{Count: 2, MaxUnavailable: 1})
	runs := []backend.Run{starts[0].Request.Run, starts[1].Request.Run}
	report := func(running []backend.Run, ends ...backend.RunEnd) {
		if _, open := c.openPolls["i-1"]; open {
			c.report("i-1", running, ends...)
		}
		c.advance(100 * time.Millisecond)
	}
	for range 20 {
		report(runs)
	}
	c.register("i-2", "press")
	c.report("i-2", nil)
	c.takeEffects()
	vm := func(name, server string) backend.VM {
		return backend.VM{Name: name, Pool: "press", Server: server, State: backend.VMUp, Capacity: workload.NewResources(8000, 8000, 0)}
	}
	c.handle(fleet.VMsListed{RequestedAt: c.now, VMs: []backend.VM{vm("m-1", "i-1"), vm("m-2", "i-2")}})
	c.handle(fleet.OperationArrived{Operation: directory.Wave{
		Name: "1", Number: 1, VMs: []string{"m-1"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1,
	}})
	c.advance(200 * time.Millisecond)
	var stopped []fleet.Stop
	for _, e := range c.takeEffects() {
		if stop, ok := e.(fleet.Stop); ok {
			stopped = append(stopped, stop)
		}
	}
	assert.Equal(t, len(stopped), 1, "one task may be away")
	kept, other := stopped[0], runs[0]
	if kept.Run == other {
		other = runs[1]
	}
	report([]backend.Run{kept.Run}, backend.RunEnd{Number: 1, Run: other, Kind: workload.EndFailed})
	c.handle(fleet.StopEnded{
		Server: "i-1", Incarnation: kept.Target.Incarnation, Run: kept.Run, Outcome: backend.OutcomeUnknown{Reason: "no response"},
	})
	for range 5 {
		report([]backend.Run{kept.Run})
	}
	assert.Equal(t, c.stops(), 0)
}

// Guards against long-running tasks of a repeating job that aren't started, or are started once only, and against such a job that
// is completed.
func TestLongRunningStepOfRepeatingJobStaysAtWork(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	const repetitions = 3
	job := r.repeatingJob(repetitions, time.Second, workload.StepOptions{Count: 1, MilliCores: 100, DeclaredDurationMS: 20},
		workload.StepOptions{Count: 1, MilliCores: 100, LongRunning: true, After: []int{0}})
	r.handle(fleet.JobArrived{Job: job})
	atWork := make(map[backend.Run]bool)
	var ends []backend.RunEnd
	starts := make(map[int]int) // of long-running tasks, by occurrence
	play := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			for _, s := range r.starts() {
				r.acceptStart(s)
				run := s.Request.Run
				if run.Task.Step == 1 {
					starts[run.Task.Occurrence]++
					atWork[run] = true
					continue
				}
				ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: run, Kind: workload.EndDone})
			}
			r.advance(100 * time.Millisecond)
			if _, open := r.openPolls["i-1"]; open {
				r.report("i-1", slices.Collect(maps.Keys(atWork)), ends...)
			}
		}
	}
	play(5 * time.Second)
	assert.DeepEqual(t, starts, map[int]int{0: 1, 1: 1, 2: 1})
	for run := range atWork {
		ends = append(ends, backend.RunEnd{Number: int64(len(ends) + 1), Run: run, Kind: workload.EndDone})
		delete(atWork, run)
	}
	play(2 * time.Second)
	assert.DeepEqual(t, starts, map[int]int{0: 2, 1: 2, 2: 2})
	r.restart(job)
	r.register("i-1", "press")
	r.report("i-1", slices.Collect(maps.Keys(atWork)), ends...)
	play(2 * time.Second)
	assert.DeepEqual(t, starts, map[int]int{0: 2, 1: 2, 2: 2})
	assert.Equal(t, len(atWork), repetitions)
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobRunning)
}
