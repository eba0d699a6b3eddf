package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// acceptRepeat leaves the start request without a response and accepts the repeated one. It returns when that was sent.
func (r *heldStartRig) acceptRepeat() (lastRequestAt time.Time) {
	r.t.Helper()
	r.loseStartResponse(r.start)
	for range 20 {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
		for _, s := range r.starts() {
			assert.Equal(r.t, s.Request.Run, r.start.Request.Run)
			r.acceptStart(s)
			return r.now
		}
	}
	r.t.Fatal("the request wasn't repeated")
	return time.Time{}
}

// Guards against a task that runs twice: its server accepted a repeated request, started again unnoticed, and carries out the first
// request before it is cut off from all calls, so that it holds its longest lease.
func TestRepeatedStartOutlastsLeaseOfItsServer(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 60_000})
	unansweredAt := r.sentAt
	lastRequestAt := r.acceptRepeat()
	server, run := r.start.Target.ID, r.start.Request.Run
	for r.now.Before(lastRequestAt.Add(maxRequestDelay - 2*time.Second)) {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			if id == server {
				r.report(id, []backend.Run{run})
				continue
			}
			r.report(id, nil)
		}
	}
	assert.Equal(t, len(r.starts()), 0)
	startedAt := r.cutOff(server, 40*time.Second)
	assert.Assert(t, !startedAt.IsZero(), "the task wasn't started again")
	after := startedAt.Sub(unansweredAt)
	assert.Assert(t, after >= maxRequestDelay+maxLeaseOnSlowestClock, "started again %s after the request without a response", after)
}

// Guards against tasks that start after their job was cancelled: a new controller repeats the request of a run that its server
// doesn't report, before it knows of the cancellation.
func TestRepeatedStartAwaitsCancelsOfItsPartition(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	progress, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+r.job.ID()])
	assert.NilError(t, err)
	r.version++
	r.state = &fleet.State{
		EntryVM: "entry", Token: r.version, TermRequestedAt: r.now,
		Term:             fleet.Term{Holder: "entry", DurationMS: 2500}.WithVersion(r.version),
		CancelPartitions: 1, CancelPartition: func(string) int { return 0 },
	}
	r.state.Begin(r.now)
	r.state.Restore(fleet.Stored{
		Jobs: []*workload.Job{r.job}, Progress: map[string]workload.Progress{r.job.ID(): progress},
	}, r.now)
	r.configure(workload.Resources{})
	clear(r.openPolls)
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
	}
	repeated, after := r.run(3 * time.Second)
	assert.Equal(t, repeated, 0, "the request was repeated")
	assert.Equal(t, after, time.Duration(0))
	r.handle(fleet.CancelsRead{Partition: 0})
	repeated, _ = r.run(3 * time.Second)
	assert.Assert(t, repeated > 0, "the request wasn't repeated")
}

// Guards against a repeated request that the next controller doesn't know of: it was sent before the row of the job said so.
func TestRestoredStartIsRepeatedOnlyOnceStored(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.takeOver()
	r.takeEffects()
	r.holdCommits = true
	server := r.start.Target.ID
	for range 10 {
		if _, open := r.openPolls[server]; open {
			r.report(server, nil)
		}
		r.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(r.starts()), 0, "the request was repeated before that was stored")
}

// Guards against a task on a server without the label that it requires: its server has started again as one of another kind.
func TestStartIsNotRepeatedOnServerOfAnotherKind(t *testing.T) {
	r := newRig(t)
	registration := func(kind string) backend.Registration {
		return backend.Registration{
			ID: "i-1", VM: "m-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r", Kind: kind,
			Incarnation: r.bootTimes["i-1"].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
		}
	}
	r.bootTimes["i-1"] = r.now.Add(-time.Minute)
	r.handle(fleet.ServerRegistered{Registration: registration("a")})
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000, Label: "a"})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	draining := registration("a")
	draining.Draining = true
	r.handle(fleet.ServerRegistered{Registration: draining})
	r.bootTimes["i-1"] = r.now
	r.handle(fleet.ServerRegistered{Registration: registration("b")})
	poll := r.openPolls["i-1"]
	delete(r.openPolls, "i-1")
	r.handle(fleet.PollEnded{Server: "i-1", Sequence: poll.Sequence, Outcome: backend.OutcomeUnknown{Reason: "connection closed"}})
	for range 30 {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil)
		}
	}
	assert.Equal(t, len(r.starts()), 0, "the request was repeated on a server of another kind")
}

// Guards against a task that runs more often than its job allows: two incarnations of its server start a run of the same number, and
// both runs fail.
func TestBothFailuresOfRepeatedRunCount(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptRepeat()
	server, run := r.start.Target.ID, r.start.Request.Run
	fail := func() {
		r.advance(100 * time.Millisecond)
		r.report(server, []backend.Run{run})
		r.advance(300 * time.Millisecond)
		r.report(server, nil, backend.RunEnd{Number: 1, Run: run, Kind: workload.EndFailed})
	}
	fail()
	r.comeBack(server)
	r.advance(300 * time.Millisecond)
	fail()
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+r.job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobFailed)
}

// Guards against requests that a server refuses for certain: it has ended the run.
func TestEndedRunIsNotRequestedAgain(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptRepeat()
	server, run := r.start.Target.ID, r.start.Request.Run
	r.advance(100 * time.Millisecond)
	r.report(server, []backend.Run{run})
	r.advance(300 * time.Millisecond)
	r.report(server, nil, backend.RunEnd{Number: 1, Run: run, Kind: workload.EndFailed})
	for range 20 {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
	}
	assert.Equal(t, len(r.starts()), 0, "a run that has ended was requested again")
}

// Guards against more tasks of a step on a server than may run there: the server has refused a task once, and another one of the
// step runs there since.
func TestResumedStartLeavesRoomOfItsStep(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 1000, DeclaredDurationMS: 60_000, MaxPerServer: 1})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	first := starts[0]
	r.loseStartResponse(first)
	var running []backend.Run
	refused := false
	for range 60 {
		r.advance(100 * time.Millisecond)
		for _, s := range r.starts() {
			switch {
			case s.Request.Run == first.Request.Run && !refused:
				refused = true
				r.handle(fleet.StartEnded{
					Server: s.Target.ID, Incarnation: s.Target.Incarnation, Run: s.Request.Run,
					Outcome: backend.Refused{Reason: backend.RefusedBusy},
				})
			default:
				running = append(running, s.Request.Run)
				r.acceptStart(s)
			}
		}
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", running)
		}
	}
	assert.Equal(t, len(running), 1, "%v run on a server that may run one task of the step", running)
}

// Guards against a run that is started again while its end isn't known: its server has more ends to report than one report holds.
func TestLateStartAwaitsAllEndsOfItsServer(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.comeBack(r.start.Target.ID)
	server := r.start.Target.ID
	sentAt := r.sentAt
	var number int64
	for r.now.Before(sentAt.Add(maxRequestDelay + 3*time.Second)) {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			if id != server || r.now.Before(sentAt.Add(5*time.Second)) {
				r.report(id, nil)
				continue
			}
			ends := make([]backend.RunEnd, backend.MaxReportedEnds)
			for i := range ends {
				number++
				other := workload.TaskID{Job: "00000000000000ff", Index: int(number)}
				ends[i] = backend.RunEnd{Number: number, Run: backend.Run{Task: other, Number: 1}, Kind: workload.EndStopped}
			}
			r.report(id, nil, ends...)
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Stop:
				r.acceptStop(e)
			case fleet.Start:
				assert.Equal(t, e.Target.ID, server, "started elsewhere %s after the request", r.now.Sub(sentAt))
				sentAt = r.now
				r.loseStartResponse(e)
			}
		}
	}
}

// Guards against more tasks of a step on a server than may run there: its next incarnation carries out two held requests.
func TestLateStartsCountInTasksOfTheirStep(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 1000, DeclaredDurationMS: 1000, MaxPerServer: 1})})
	sentAt := r.now
	assert.Equal(t, len(r.starts()), 1)
	r.comeBack("i-1")
	for r.now.Before(sentAt.Add(maxRequestDelay - time.Second)) {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil)
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Stop:
				r.acceptStop(e)
			case fleet.Start:
				t.Fatalf("%v is requested %s after a held request for another task of the step", e.Request.Run, r.now.Sub(sentAt))
			}
		}
	}
}

// Guards against starts beyond the capacity of a server whose next incarnation carries out held requests for a cancelled job, of which
// the next controller doesn't know.
func TestLateStartsOfCancelledJobTakeCapacityAfterTakeover(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	cancelled := r.job(1, workload.StepOptions{Count: 2, MilliCores: 4000, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: cancelled})
	sentAt := r.now
	assert.Equal(t, len(r.starts()), 2)
	r.comeBack("i-1")
	report := func() {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil)
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.Stop:
				r.handle(fleet.StopEnded{Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: backend.Accepted{}})
			case fleet.Start:
				t.Fatalf("%v is requested %s after held requests that take all capacity", e.Request.Run, r.now.Sub(sentAt))
			}
		}
	}
	for range 20 {
		report()
	}
	r.handle(fleet.CancelRequested{ID: cancelled.ID()})
	other := r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: other})
	for range 10 {
		report()
	}
	r.restart(cancelled, other)
	clear(r.openPolls)
	r.register("i-1", "press")
	for range 30 {
		report()
	}
}

// Guards against a task that waits for a request that had a response: its run has failed, and only the first request may still be carried out.
func TestAnsweredRepeatDoesNotHoldTask(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	unansweredAt := r.sentAt
	r.loseStartResponse(r.start)
	r.advance(2 * time.Second) // without a report
	var repeats []fleet.Start
	for ticks := 0; len(repeats) == 0 && ticks < 10; ticks++ {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
		repeats = r.starts()
	}
	assert.Equal(t, len(repeats), 1)
	assert.Equal(t, repeats[0].Request.Run, r.start.Request.Run)
	r.acceptStart(repeats[0])
	r.advance(200 * time.Millisecond)
	r.report(r.start.Target.ID, nil, backend.RunEnd{Number: 1, Run: r.start.Request.Run, Kind: workload.EndFailed})
	_, after := r.run(20 * time.Second)
	assert.Assert(t, after > 0, "the task wasn't started again")
	waited := r.now.Sub(unansweredAt)
	assert.Assert(t, waited >= maxRequestDelay, "started again %s after the request without a response", waited)
	assert.Assert(t, waited < maxRequestDelay+500*time.Millisecond, "started again only %s after the request without a response", waited)
}
