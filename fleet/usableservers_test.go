package fleet_test

import (
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
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, VM: "m" + id[1:], Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + id, Kind: kind,
		Incarnation: r.bootTimes[id].UnixMilli(), Capacity: workload.NewResources(milliCores, 8000, 0),
	}})
	r.report(id, nil)
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
