package fleet_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// forgetfulServer is an incarnation of a server. It keeps the highest fencing token and forgets the ends that a poll acknowledges.
type forgetfulServer struct {
	token  uint64
	ends   []backend.RunEnd
	number int64
}

func (v *forgetfulServer) refuses(token uint64) bool {
	v.token = max(v.token, token)
	return token < v.token
}

// runToEnd carries out a start request, and the run is done at once.
func (v *forgetfulServer) runToEnd(s fleet.Start) {
	if v.refuses(s.Request.Token) {
		return
	}
	v.number++
	v.ends = append(v.ends, backend.RunEnd{Number: v.number, Run: s.Request.Run, Kind: workload.EndDone})
}

// poll carries out a poll and returns the ends that it reports.
func (v *forgetfulServer) poll(p fleet.Poll) []backend.RunEnd {
	if v.refuses(p.Request.Token) {
		return nil
	}
	v.ends = slices.DeleteFunc(v.ends, func(e backend.RunEnd) bool { return e.Number <= p.Request.AcknowledgedEnd })
	return slices.Clone(v.ends)
}

// newAcknowledgingRig has two servers that have each reported the end of a run, which is acknowledged by the open polls.
func newAcknowledgingRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	servers := []string{"i-1", "i-2"}
	for _, id := range servers {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.advance(20 * time.Second)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 8000, DeclaredDurationMS: 1000})})
	ends := make(map[string]backend.RunEnd)
	for _, s := range r.starts() {
		r.acceptStart(s)
		ends[s.Target.ID] = backend.RunEnd{Number: 1, Run: s.Request.Run, Kind: workload.EndDone}
	}
	assert.Equal(t, len(ends), len(servers))
	for _, id := range servers {
		r.report(id, nil, ends[id])
	}
	r.advance(200 * time.Millisecond)
	for _, id := range servers {
		assert.Equal(t, r.openPolls[id].Request.AcknowledgedEnd, int64(1))
	}
	r.takeEffects()
	return r
}

// submitOne submits a job with one task and returns its start request.
func (r *rig) submitOne(n int) fleet.Start {
	r.t.Helper()
	r.handle(fleet.JobArrived{Job: r.job(n, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(r.t, len(starts), 1)
	return starts[0]
}

// Guards against a task that runs twice: the next incarnation of its server carries out a held start request and a held poll that
// acknowledges the ends of the earlier one, and so forgets the end of the run before it was reported.
func TestEndOfLateStartIsNotForgotten(t *testing.T) {
	for _, pollFirst := range []bool{true, false} {
		r := newAcknowledgingRig(t)
		var start fleet.Start
		var poll fleet.Poll
		if pollFirst {
			start = r.submitOne(2)
			poll = r.openPolls[start.Target.ID]
		} else {
			for _, id := range []string{"i-1", "i-2"} {
				r.report(id, nil)
			}
			start = r.submitOne(2)
			r.advance(200 * time.Millisecond)
			poll = r.openPolls[start.Target.ID]
		}
		server := start.Target.ID
		next := &forgetfulServer{}
		next.runToEnd(start)
		next.poll(poll)

		r.comeBack(server)
		for range 200 {
			r.advance(100 * time.Millisecond)
			for id, p := range r.openPolls {
				if id == server {
					r.report(id, nil, next.poll(p)...)
					continue
				}
				r.report(id, nil)
			}
			for _, s := range r.starts() {
				t.Fatalf("%v is started after run 1 was done, poll first: %v", s.Request.Run, pollFirst)
			}
		}
		p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+start.Request.Run.Task.Job])
		assert.NilError(t, err)
		assert.Equal(t, p.State, workload.JobCompleted)
	}
}

// Guards against ends that are never acknowledged again once a start request had no response.
func TestEndsAreAcknowledgedOnceStartIsAnswered(t *testing.T) {
	r := newAcknowledgingRig(t)
	for _, id := range []string{"i-1", "i-2"} {
		r.report(id, nil)
	}
	start := r.submitOne(2)
	server := start.Target.ID
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.openPolls[server].Request.AcknowledgedEnd, int64(0))
	r.report(server, []backend.Run{start.Request.Run})
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.openPolls[server].Request.AcknowledgedEnd, int64(1))
}

// assertInOffice fails if the controller has resigned.
func (r *rig) assertInOffice() {
	r.t.Helper()
	for _, e := range r.effects {
		if d, ok := e.(fleet.Deposed); ok {
			r.t.Errorf("deposed: %s", d.Reason)
		}
	}
}

// Guards against a controller that resigns because a start request with a higher token has overtaken its poll and its stop request.
func TestOvertakenPollAndStopKeepTerm(t *testing.T) {
	r := newAcknowledgingRig(t)
	first := r.submitOne(2)
	server := first.Target.ID
	r.acceptStart(first)
	r.report(server, []backend.Run{first.Request.Run})
	r.advance(200 * time.Millisecond)
	poll := r.openPolls[server]
	assert.Equal(t, poll.Request.AcknowledgedEnd, int64(1))
	r.handle(fleet.CancelRequested{ID: first.Request.Run.Task.Job})
	second := r.submitOne(3)
	assert.Equal(t, second.Target.ID, server)
	assert.Assert(t, second.Request.Token > poll.Request.Token)

	refused := backend.Refused{Reason: backend.RefusedStaleToken}
	r.handle(fleet.PollEnded{Server: server, Sequence: poll.Sequence, Outcome: refused}, fleet.StopEnded{
		Server: server, Incarnation: first.Target.Incarnation, Run: first.Request.Run, Outcome: refused,
	})
	r.advance(200 * time.Millisecond)
	r.assertInOffice()
	assert.Equal(t, r.openPolls[server].Request.Token, second.Request.Token)
	var stops int
	for _, e := range r.takeEffects() {
		if stop, ok := e.(fleet.Stop); ok && stop.Token == second.Request.Token {
			stops++
		}
	}
	assert.Equal(t, stops, 1)
}

// Guards against the same for a start request with a ticket, which doesn't hold back acknowledgements, and against a task that isn't
// started because its request was overtaken.
func TestOvertakenStartIsSentAgain(t *testing.T) {
	r := newAcknowledgingRig(t)
	r.recommendation = &backend.Recommendation{BaseDuration: time.Millisecond, TicketValidity: 20 * time.Second}
	r.configure(workload.Resources{})
	const server = "i-1"
	submit := func(n int) fleet.Start {
		r.handle(fleet.JobArrived{Job: r.job(n, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
		calls := r.recommendationRequests()
		assert.Equal(t, len(calls), 1)
		r.takeEffects()
		r.handle(fleet.RecommendationEnded{Step: calls[0].Step, Tickets: map[string]string{server: "t"}, RequestedAt: r.now})
		starts := r.starts()
		assert.Equal(t, len(starts), 1)
		return starts[0]
	}
	first := submit(2)
	r.report(server, nil)
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.openPolls[server].Request.AcknowledgedEnd, int64(1))
	r.takeEffects()
	second := submit(3)
	assert.Assert(t, second.Request.Token > first.Request.Token)
	r.handle(fleet.StartEnded{
		Server: server, Incarnation: first.Target.Incarnation, Run: first.Request.Run,
		Outcome: backend.Refused{Reason: backend.RefusedStaleToken},
	})
	r.advance(200 * time.Millisecond)
	r.assertInOffice()
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Request.Run, first.Request.Run)
	assert.Assert(t, starts[0].Request.Token >= second.Request.Token)
}
