package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxRequestDelay is the longest time from when a start request without a response was sent until a server carries it out.
const maxRequestDelay = 15 * time.Second

// heldStartRig has a task whose start request got no response. Another server of the pool is free.
type heldStartRig struct {
	*rig
	job    *workload.Job
	start  fleet.Start
	sentAt time.Time // of the last request to start the run
}

func newHeldStartRig(t *testing.T, step workload.StepOptions) *heldStartRig {
	t.Helper()
	r := &heldStartRig{rig: newRig(t)}
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.advance(20 * time.Second)
	r.takeEffects()
	step.Count, step.MilliCores = 1, 1000
	r.job = r.rig.job(1, step)
	r.handle(fleet.JobArrived{Job: r.job})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.start, r.sentAt = starts[0], r.now
	return r
}

// run lets all servers report for some time. They accept stop requests and leave start requests without a response. It returns how often
// the start request was repeated, and after which time since the last one the task was started again as another run, or 0.
func (r *heldStartRig) run(d time.Duration) (repeated int, startedAgainAfter time.Duration) {
	r.t.Helper()
	for until := r.now.Add(d); r.now.Before(until); {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Stop:
				r.acceptStop(e)
			case fleet.Start:
				if e.Request.Run != r.start.Request.Run {
					return repeated, r.now.Sub(r.sentAt)
				}
				assert.Equal(r.t, e.Target.ID, r.start.Target.ID)
				repeated, r.sentAt = repeated+1, r.now
				r.loseStartResponse(e)
			}
		}
	}
	return repeated, 0
}

func (r *rig) acceptStop(e fleet.Stop) {
	r.handle(fleet.StopEnded{Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: backend.Accepted{}})
}

// takeOver starts a new term with both servers registered.
func (r *heldStartRig) takeOver() {
	r.t.Helper()
	r.restart(r.job)
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
	}
}

func (r *heldStartRig) assertStartedAgain(after time.Duration) {
	r.t.Helper()
	assert.Assert(r.t, after > 0, "the task wasn't started again")
	assert.Assert(r.t, after > maxRequestDelay-200*time.Millisecond, "started again %s after the last request", after)
	assert.Assert(r.t, after < maxRequestDelay+2*time.Second, "started again %s after the last request", after)
}

// Guards against a task that runs twice: a server held the start request, reported that it doesn't have the run, and its next
// incarnation carries the request out while the task runs elsewhere.
func TestHeldStartKeepsTaskOnItsServer(t *testing.T) {
	for _, step := range []workload.StepOptions{{DeclaredDurationMS: 1000}, {LongRunning: true}} {
		r := newHeldStartRig(t, step)
		r.loseStartResponse(r.start)
		repeated, after := r.run(40 * time.Second)
		assert.Assert(t, repeated > 0, "the request wasn't repeated")
		r.assertStartedAgain(after)
	}
}

// Guards against the same while the start request has no outcome yet: the server starts again and its next incarnation reports.
func TestStartInFlightHoldsTaskOverRestart(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.comeBack(r.start.Target.ID)
	_, after := r.run(20 * time.Second)
	r.assertStartedAgain(after)
}

// Guards against the same after a change of controllers: the next one knows the run by its record only.
func TestHeldStartKeepsTaskOnItsServerAfterTakeover(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.takeOver()
	repeated, after := r.run(40 * time.Second)
	assert.Assert(t, repeated > 0, "the request wasn't repeated")
	r.assertStartedAgain(after)
}

// Guards against the same after two changes of controllers: the run was given up before.
func TestLateStartHoldsTaskAfterTakeover(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.comeBack(r.start.Target.ID)
	for range 3 {
		_, after := r.run(2 * time.Second)
		assert.Equal(t, after, time.Duration(0))
		r.takeOver()
	}
	_, after := r.run(30 * time.Second)
	assert.Assert(t, after > maxRequestDelay, "started again %s after the request", after)
}

// Guards against a run that is stopped as unknown and started once more: the next incarnation of its server has carried out the
// request.
func TestRunOfLateStartIsKept(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	server, run := r.start.Target.ID, r.start.Request.Run
	r.comeBack(server)
	r.run(2 * time.Second)
	r.comeBack(server)
	r.takeEffects()
	for range 10 {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			var running []backend.Run
			if id == server {
				running = []backend.Run{run}
			}
			r.report(id, running)
		}
	}
	starts, stops := r.requests()
	assert.Equal(t, len(starts)+stops, 0)
	r.advance(200 * time.Millisecond)
	r.report(server, nil, backend.RunEnd{Number: 1, Run: run, Kind: workload.EndDone})
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+r.job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobCompleted)
}

// Guards against a task that waits for a server that won't return: its VM runs another one.
func TestLateStartEndsWithItsServer(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	server := r.start.Target.ID
	r.comeBack(server)
	r.run(2 * time.Second)
	r.handle(fleet.ServerUnregistered{ID: server})
	delete(r.openPolls, server)
	r.registerOn("m"+server[1:], "i-3", "press")
	_, after := r.run(3 * time.Second)
	assert.Assert(t, after > 0, "not started again after another server registered on the VM")
}

// Guards against the same if the other server is gone again before the run is given up.
func TestLateStartEndsWithReplacedServer(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	server := r.start.Target.ID
	r.registerOn("m"+server[1:], "i-3", "press")
	r.handle(fleet.ServerUnregistered{ID: "i-3"}, fleet.ServerUnregistered{ID: server})
	delete(r.openPolls, "i-3")
	r.loseStartResponse(r.start)
	after := r.cutOff(server, 8*time.Second)
	assert.Assert(t, !after.IsZero(), "not started again %s after the server was replaced", r.now.Sub(r.sentAt))
}

// Guards against many tasks that wait for a server that is gone: start requests are sent to it until a poll fails.
func TestServerWithOverdueStartGetsNoOthers(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.advance(400 * time.Millisecond)
	r.handle(fleet.JobArrived{Job: r.rig.job(2, workload.StepOptions{Count: 4, MilliCores: 1000, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Assert(t, s.Target.ID != r.start.Target.ID)
	}
	r.acceptStart(r.start)
	r.handle(fleet.JobArrived{Job: r.rig.job(3, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 1000})})
	r.handle(fleet.JobArrived{Job: r.rig.job(4, workload.StepOptions{Count: 1, MilliCores: 7000, DeclaredDurationMS: 1000})})
	starts = r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, r.start.Target.ID)
}

// Guards against starts beyond the capacity of a server that has started again and carries out what its earlier incarnation held.
func TestLateStartsFitOnTheirServerTogether(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	job := r.job(1, workload.StepOptions{Count: 2, MilliCores: 4000, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: job})
	held := r.starts()
	assert.Equal(t, len(held), 2)
	r.comeBack("i-1")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	for range 20 {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil)
		}
	}
	assert.Equal(t, len(r.starts()), 0, "a task was started that doesn't fit beside two held ones")
}

// Guards against tasks that wait for their server after each change of controllers, though it had answered the request to start them.
func TestAnsweredStartDoesNotHoldTaskAfterTakeover(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 30_000})
	r.acceptStart(r.start)
	r.takeOver()
	for range 20 {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
	}
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against a task that runs nowhere while its start request may still be carried out, although its runs may exist at the same time.
func TestLateStartDoesNotHoldDuplicableTask(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000, Duplicable: true})
	r.states[r.removed] = backend.VMDown
	r.loseStartResponse(r.start)
	after := r.run(20*time.Second, false)
	assert.Assert(t, after > 0, "the task wasn't started elsewhere")
	assert.Assert(t, after < 7*time.Second, "started elsewhere only %s after the request", after)
}

// Guards against a task that waits for another poll of its server after its start request can't be carried out any more.
func TestReportEndsLateStartAtOnce(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	server := r.start.Target.ID
	r.comeBack(server)
	lastRequestAt := r.sentAt
	answerAt := make(map[string]time.Time) // when a server responds to its poll
	for r.now.Before(lastRequestAt.Add(maxRequestDelay + 3*time.Second)) {
		r.advance(100 * time.Millisecond)
		for id, poll := range r.openPolls {
			if answerAt[id].IsZero() {
				answerAt[id] = r.now.Add(poll.Request.MaxWait)
			}
			if !r.now.Before(answerAt[id]) {
				delete(answerAt, id)
				r.report(id, nil)
			}
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Stop:
				r.acceptStop(e)
			case fleet.Start:
				if e.Request.Run != r.start.Request.Run {
					after := r.now.Sub(lastRequestAt)
					assert.Assert(t, after > maxRequestDelay-200*time.Millisecond, "started again %s after the last request", after)
					assert.Assert(t, after < maxRequestDelay+500*time.Millisecond, "started again only %s after the last request", after)
					return
				}
				lastRequestAt = r.now
				r.loseStartResponse(e)
			}
		}
	}
	t.Fatal("the task wasn't started again")
}
