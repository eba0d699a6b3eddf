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

// registerKind registers a server of a kind, and lets it report.
func (r *rig) registerKind(id, kind string, milliCores int64) {
	r.t.Helper()
	r.bootTimes[id] = r.now.Add(-time.Minute)
	r.registerAs(id, kind, milliCores)
	r.report(id, nil)
}

func (r *rig) registerAs(id, kind string, milliCores int64) {
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, VM: "m" + id[1:], Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + id, Kind: kind,
		Incarnation: r.bootTimes[id].UnixMilli(), Capacity: workload.NewResources(milliCores, 8000, 0),
	}})
}

// Guards against long-running tasks that keep capacity free on servers that they may never run on: all servers with the label that they
// require are lost, and no other job of the pool starts.
func TestLongRunningTasksReserveOnlyServersThatMayRunThem(t *testing.T) {
	r := newRig(t)
	r.registerKind("i-1", "a", 4000)
	r.registerKind("i-2", "a", 4000)
	r.takeEffects()
	for n := range 3 {
		r.handle(fleet.JobArrived{Job: r.job(1+n, workload.StepOptions{Count: 1, MilliCores: 2500, LongRunning: true, Label: "b"})})
	}
	r.handle(fleet.JobArrived{Job: r.job(9, workload.StepOptions{Count: 1, MilliCores: 2000, DeclaredDurationMS: 1000})})
	assert.Equal(t, len(r.starts()), 1, "the task of another job isn't started")
}

// Guards against the same on a queue with a recommendation service that allows none of the servers.
func TestLongRunningTasksReserveNoServersWithoutTicket(t *testing.T) {
	r := newRig(t)
	r.recommendation = &backend.Recommendation{BaseDuration: time.Millisecond, TicketValidity: 20 * time.Second}
	r.configure(workload.Resources{})
	r.registerKind("i-1", "a", 4000)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 12, MilliCores: 2500, LongRunning: true})})
	calls := r.recommendationRequests()
	assert.Equal(t, len(calls), 1)
	r.takeEffects()
	r.handle(fleet.RecommendationEnded{Step: calls[0].Step, Tickets: nil, RequestedAt: r.now})
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 2000, DeclaredDurationMS: 1000})})
	calls = r.recommendationRequests()
	assert.Equal(t, len(calls), 1, "the service isn't called for the task of another job")
	r.takeEffects()
	r.handle(fleet.RecommendationEnded{Step: calls[0].Step, Tickets: map[string]string{"i-1": "t"}, RequestedAt: r.now})
	assert.Equal(t, len(r.starts()), 1, "the task of another job isn't started")
}

// recommendationRig has a queue with a recommendation service, which allows all servers.
type recommendationRig struct {
	*rig
	running map[string][]backend.Run // by server
}

func newRecommendationRig(t *testing.T) *recommendationRig {
	t.Helper()
	r := &recommendationRig{rig: newRig(t), running: make(map[string][]backend.Run)}
	r.recommendation = &backend.Recommendation{BaseDuration: time.Millisecond, TicketValidity: 5 * time.Second}
	r.configure(workload.Resources{})
	return r
}

// nextStart answers calls of the recommendation service and lets the servers report that they have no runs, until a start request is sent.
func (r *recommendationRig) nextStart(limit time.Duration) fleet.Start {
	r.t.Helper()
	for until := r.now.Add(limit); r.now.Before(until); r.advance(100 * time.Millisecond) {
		for id := range r.openPolls {
			r.report(id, nil)
		}
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.RequestRecommendation:
				r.recommendAll(e)
			case fleet.Start:
				return e
			}
		}
	}
	r.t.Fatal("no start request was sent")
	return fleet.Start{}
}

func (r *recommendationRig) recommendAll(e fleet.RequestRecommendation) {
	tickets := make(map[string]string)
	for _, id := range e.Servers {
		tickets[id] = "t"
	}
	r.handle(fleet.RecommendationEnded{Step: e.Step, Tickets: tickets, RequestedAt: r.now})
}

// run answers calls of the recommendation service, accepts starts and lets the servers report for some time.
func (r *recommendationRig) run(d time.Duration) {
	r.t.Helper()
	for until := r.now.Add(d); r.now.Before(until); r.advance(100 * time.Millisecond) {
		for _, e := range r.takeEffects() {
			switch e := e.(type) {
			case fleet.RequestRecommendation:
				r.recommendAll(e)
			case fleet.Start:
				r.running[e.Target.ID] = append(r.running[e.Target.ID], e.Request.Run)
				r.acceptStart(e)
			}
		}
		for id := range r.openPolls {
			r.report(id, r.running[id])
		}
	}
}

// Guards against a job that never starts, as the recommendation service is asked only for servers that have more free capacity, but not
// the label that the job requires.
func TestRecommendationsAreRequestedForServersWithLabel(t *testing.T) {
	r := newRecommendationRig(t)
	for i := range 40 {
		r.registerKind(fmt.Sprintf("i-%d", i), "a", 16000)
	}
	r.registerKind("i-small", "b", 8000)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000, Label: "b"})})
	r.run(10 * time.Second)
	assert.Equal(t, len(r.running["i-small"]), 1)
}

// Guards against the same for a task of whose step a server may run one: the servers that run one have more free capacity as well.
func TestRecommendationsAreRequestedForServersBelowLimitOfStep(t *testing.T) {
	r := newRecommendationRig(t)
	for i := range 31 {
		r.registerKind(fmt.Sprintf("i-%d", i), "a", 16000)
	}
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 32, MilliCores: 1000, LongRunning: true, MaxPerServer: 1})})
	r.run(10 * time.Second)
	assert.Equal(t, len(r.running), 31)
	r.registerKind("i-small", "b", 8000)
	r.run(10 * time.Second)
	assert.Equal(t, len(r.running["i-small"]), 1)
}

// Guards against a long-running task that waits for good in a full pool: capacity is reserved for it only where it has a ticket.
func TestRecommendationsAreRequestedForTaskThatFitsNowhere(t *testing.T) {
	r := newRecommendationRig(t)
	r.registerKind("i-1", "a", 8000)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 6000, LongRunning: true})})
	r.run(time.Second)
	assert.Equal(t, len(r.running["i-1"]), 1)
	r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 6000, LongRunning: true})})
	calls := r.recommendationRequests()
	assert.Equal(t, len(calls), 1)
	assert.DeepEqual(t, calls[0].Servers, []string{"i-1"})
}
