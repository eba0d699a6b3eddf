package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxLeaseOnSlowestClock is the longest lease of a server by an exact clock.
const maxLeaseOnSlowestClock = 10_204 * time.Millisecond

// returnedRig runs a task on a server that has started again under its id. Another server of the pool is free.
type returnedRig struct {
	*rig
	start       fleet.Start
	confirmedAt map[string]time.Time // when the new incarnations first reported, by server id
}

// newReturnedRig lets both servers crash and return. Their clocks start at any value.
func newReturnedRig(t *testing.T) *returnedRig {
	r := &returnedRig{rig: newRig(t), confirmedAt: make(map[string]time.Time)}
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.advance(20 * time.Second)
	for _, id := range []string{"i-1", "i-2"} {
		r.comeBack(id)
		r.report(id, nil)
		r.confirmedAt[id] = r.now
	}
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 30_000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.start = starts[0]
	return r
}

// comeBack starts a new incarnation of a server, which registers. The poll of the earlier one fails.
func (r *rig) comeBack(id string) {
	r.t.Helper()
	r.bootTimes[id] = r.now
	r.register(id, "press")
	if poll, open := r.openPolls[id]; open {
		delete(r.openPolls, id)
		r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.OutcomeUnknown{Reason: "connection closed"}})
	}
	r.advance(500 * time.Millisecond)
}

// cutOff lets the polls of a server fail for some time, and returns when a task was started on another server, or a zero time.
func (r *rig) cutOff(server string, d time.Duration) time.Time {
	r.t.Helper()
	for until := r.now.Add(d); r.now.Before(until); {
		r.advance(100 * time.Millisecond)
		for _, s := range r.starts() {
			if s.Target.ID != server {
				return r.now
			}
		}
		for id, poll := range r.openPolls {
			delete(r.openPolls, id)
			if id == server {
				r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.OutcomeUnknown{Reason: "timeout"}})
				continue
			}
			report := backend.Report{Incarnation: poll.Target.Incarnation, Clock: r.now.Sub(r.bootTimes[id])}
			r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.Reported{Report: report}})
		}
	}
	return time.Time{}
}

// Guards against a task that runs twice: a poll of the earlier incarnation of its server reached the next one, which holds its
// longest lease by it, and is cut off then.
func TestRunOfReturnedServerOutlastsLongestLease(t *testing.T) {
	r := newReturnedRig(t)
	r.acceptStart(r.start)
	startedAt := r.cutOff(r.start.Target.ID, 20*time.Second)
	assert.Assert(t, !startedAt.IsZero(), "the task wasn't started again")
	waited := startedAt.Sub(r.confirmedAt[r.start.Target.ID])
	assert.Assert(t, waited >= maxLeaseOnSlowestClock, "started again %s after the first report", waited)
	assert.Assert(t, waited < maxLeaseOnSlowestClock+time.Second, "started again %s after the first report", waited)
}

// Guards against a task that runs twice: its start request had no response and reached the next incarnation of its server, which
// is cut off before its first report.
func TestRunStartedLateOnReturnedServerOutlastsLongestLease(t *testing.T) {
	r := newReturnedRig(t)
	server := r.start.Target.ID
	r.handle(fleet.StartEnded{
		Server: server, Incarnation: r.start.Target.Incarnation, Run: r.start.Request.Run, Outcome: backend.OutcomeUnknown{Reason: "timeout"},
	})
	returnedAt := r.now
	r.bootTimes[server] = r.now
	r.register(server, "press")
	startedAt := r.cutOff(server, 40*time.Second)
	assert.Assert(t, !startedAt.IsZero(), "the task wasn't started again")
	assert.Assert(t, startedAt.Sub(returnedAt) >= 15*time.Second+maxLeaseOnSlowestClock, "started again %s after the return", startedAt.Sub(returnedAt))
}

// Guards against a task that runs twice: its start request reached the next incarnation of its server, as the clock in the response
// shows, and the server is cut off before the controller learns more of it. Clocks start at any value.
func TestRunAcceptedByNextIncarnationOutlastsLongestLease(t *testing.T) {
	for _, clock := range []time.Duration{10 * time.Millisecond, time.Hour} {
		r := newReturnedRig(t)
		r.handle(fleet.StartEnded{
			Server: r.start.Target.ID, Incarnation: r.start.Target.Incarnation, Run: r.start.Request.Run,
			Outcome: backend.Accepted{Clock: clock},
		})
		acceptedAt := r.now
		startedAt := r.cutOff(r.start.Target.ID, 40*time.Second)
		assert.Assert(t, startedAt.Sub(acceptedAt) >= 15*time.Second+maxLeaseOnSlowestClock, "started again %s after the start", startedAt.Sub(acceptedAt))
	}
}

// Guards against a task that runs twice after a change of controllers: its server has started again shortly before, and holds its longest
// lease by a request of the earlier controller to its earlier incarnation.
func TestRunOfServerThatReturnedBeforeTermOutlastsLongestLease(t *testing.T) {
	r := newReturnedRig(t)
	r.begin(100)
	r.configure(workload.Resources{})
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	reportedAt := r.now
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 30_000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.acceptStart(starts[0])
	startedAt := r.cutOff(starts[0].Target.ID, 20*time.Second)
	assert.Assert(t, startedAt.Sub(reportedAt) >= maxLeaseOnSlowestClock, "started again %s after the first report", startedAt.Sub(reportedAt))
}

// Guards against a task that runs twice after a change of controllers: its server holds the longest lease, and is cut off
// when the next controller takes over.
func TestRunOfReturnedServerOutlastsLongestLeaseAfterTakeover(t *testing.T) {
	r := newReturnedRig(t)
	r.acceptStart(r.start)
	server := r.start.Target.ID
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 30_000})
	r.restart(job)
	began := r.now
	r.state.PreviousLease = fleet.ShortLease
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
	}
	startedAt := r.cutOff(server, 20*time.Second)
	assert.Assert(t, !startedAt.IsZero(), "the task wasn't started again")
	waited := startedAt.Sub(r.confirmedAt[server])
	assert.Assert(t, waited >= maxLeaseOnSlowestClock, "started again %s after the first report, %s after the takeover", waited, startedAt.Sub(began))
}

// highestToken returns the highest fencing token of the requests to a server since the last call, and of its polls.
func (r *rig) highestToken(server string) (highest, polls uint64) {
	for _, e := range r.takeEffects() {
		switch e := e.(type) {
		case fleet.Start:
			if e.Target.ID == server {
				highest = max(highest, e.Request.Token)
			}
		case fleet.Stop:
			if e.Target.ID == server {
				highest = max(highest, e.Token)
			}
		case fleet.Poll:
			if e.Target.ID == server {
				polls = max(polls, e.Request.Token)
			}
		}
	}
	return max(highest, polls), polls
}

// Guards against requests to an earlier incarnation of a server that the next one carries out late: a lease beyond the known one, the
// acknowledgement of ends that were never reported.
func TestReturnedServerRefusesRequestsToEarlierIncarnation(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(time.Second)
	for range 3 {
		used, _ := r.highestToken("i-1")
		r.comeBack("i-1")
		_, polls := r.highestToken("i-1")
		assert.Assert(t, polls > used, "polled with token %d after requests with %d", polls, used)
		r.report("i-1", nil)
		r.advance(100 * time.Millisecond)
	}
	used, _ := r.highestToken("i-1")
	r.handle(fleet.ServerUnregistered{ID: "i-1"})
	r.advance(time.Second)
	delete(r.openPolls, "i-1")
	r.comeBack("i-1")
	_, polls := r.highestToken("i-1")
	assert.Assert(t, polls > used, "polled with token %d after requests with %d to a server that was unregistered", polls, used)
}

// Guards against tasks that are placed on a server before it refuses the requests to its earlier incarnation: its report answers a
// poll of that one.
func TestReportToPollOfEarlierIncarnationIsNotEnough(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(time.Second)
	r.bootTimes["i-1"] = r.now
	poll := r.openPolls["i-1"]
	delete(r.openPolls, "i-1")
	r.handle(fleet.PollEnded{Server: "i-1", Sequence: poll.Sequence, Outcome: backend.Reported{
		Report: backend.Report{Incarnation: r.now.UnixMilli(), Clock: time.Hour},
	}})
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
	assert.Assert(t, r.openPolls["i-1"].Request.Token > poll.Request.Token)
	r.register("i-1", "press")
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 0)
	r.report("i-1", nil)
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against starts beyond the capacity of a server that returns smaller under its id: its report comes before its registration.
func TestReturnedServerGetsNoRunsBeforeItsRegistration(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(time.Second)
	r.bootTimes["i-1"] = r.now
	poll := r.openPolls["i-1"]
	delete(r.openPolls, "i-1")
	r.handle(fleet.PollEnded{Server: "i-1", Sequence: poll.Sequence, Outcome: backend.Reported{
		Report: backend.Report{Incarnation: r.now.UnixMilli(), Clock: time.Hour},
	}})
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 2, MilliCores: 3000, DeclaredDurationMS: 1000})})
	for range 10 {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls["i-1"]; open {
			r.report("i-1", nil)
		}
	}
	assert.Equal(t, len(r.starts()), 0)
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: "i-1", VM: "m-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-i-1",
		Incarnation: r.bootTimes["i-1"].UnixMilli(), Capacity: workload.NewResources(4000, 8000, 0),
	}})
	r.advance(100 * time.Millisecond)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against a controller that takes the refusal of its own earlier token for that of a deposed controller: a server has started
// again, and has got a higher token meanwhile.
func TestRefusalOfOwnEarlierTokenKeepsTerm(t *testing.T) {
	r := newReturnedRig(t)
	server, run := r.start.Target.ID, r.start.Request.Run
	r.acceptStart(r.start)
	r.takeEffects()
	r.comeBack(server)
	r.report(server, nil)
	r.advance(200 * time.Millisecond)
	for _, e := range r.effects {
		if stop, ok := e.(fleet.Stop); ok && stop.Target.Incarnation == r.bootTimes[server].UnixMilli() {
			assert.Assert(t, stop.Token > r.start.Request.Token)
		}
	}
	r.handle(fleet.StopEnded{
		Server: server, Incarnation: r.start.Target.Incarnation, Run: run, Outcome: backend.Refused{Reason: backend.RefusedStaleToken},
	})
	for _, e := range r.takeEffects() {
		if d, ok := e.(fleet.Deposed); ok {
			t.Errorf("deposed: %s", d.Reason)
		}
	}
}

// Guards against a task that waits for the longest lease once more after each change of controllers.
func TestLongestLeaseIsNotCountedAnewAfterTakeover(t *testing.T) {
	r := newReturnedRig(t)
	r.acceptStart(r.start)
	server := r.start.Target.ID
	job := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 30_000})
	assert.Assert(t, r.cutOff(server, 8*time.Second).IsZero())
	r.restart(job)
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
	}
	startedAt := r.cutOff(server, 20*time.Second)
	assert.Assert(t, !startedAt.IsZero(), "the task wasn't started again")
	waited := startedAt.Sub(r.confirmedAt[server])
	assert.Assert(t, waited < 17*time.Second, "started again %s after the first report", waited)
}
