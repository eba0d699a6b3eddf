package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (r *rig) recommendationRequests() []fleet.RequestRecommendation {
	var calls []fleet.RequestRecommendation
	for _, e := range r.effects {
		if a, ok := e.(fleet.RequestRecommendation); ok {
			calls = append(calls, a)
		}
	}
	return calls
}

// Guards against runs of a queue with recommendations that are started without a ticket or on a server that wasn't
// recommended, against repeated calls of the service for the same servers, and against the reuse of a refused ticket.
func TestQueueWithRecommendationsRunsOnlyWithTickets(t *testing.T) {
	r := newRig(t)
	r.recommendation = &backend.Recommendation{
		BaseDuration: 100 * time.Millisecond, DurationPerServer: 5 * time.Millisecond, TicketValidity: 10 * time.Second,
	}
	r.configure(workload.Resources{})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.takeEffects()
	job := r.job(1, workload.StepOptions{Count: 2, MilliCores: 1000, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: job})
	calls := r.recommendationRequests()
	assert.Equal(t, len(calls), 1)
	assert.Equal(t, calls[0].Step, job.ID()+".0.0")
	assert.Equal(t, len(calls[0].Servers), 3)
	assert.Equal(t, len(r.starts()), 0)

	r.handle(fleet.RecommendationEnded{
		Step: calls[0].Step, Tickets: map[string]string{"i-2": "t-2"}, RequestedAt: r.now,
	})
	starts := r.starts()
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		assert.Equal(t, s.Target.ID, "i-2")
		assert.Equal(t, s.Request.Ticket, "t-2")
		r.handle(fleet.StartEnded{
			Server: "i-2", Incarnation: s.Target.Incarnation, Run: s.Request.Run,
			Outcome: backend.Refused{Reason: backend.RefusedTicket},
		})
	}
	r.advance(300 * time.Millisecond)
	calls = r.recommendationRequests()
	assert.Equal(t, len(calls), 1)
	assert.DeepEqual(t, calls[0].Servers, []string{"i-2"})
	assert.Equal(t, len(r.starts()), 0)

	r.handle(fleet.RecommendationEnded{Step: calls[0].Step, Failure: "no response"})
	r.advance(time.Second)
	assert.Equal(t, len(r.recommendationRequests()), 1)
}

// Guards against tasks that never start because the tickets of their queue are valid for a second or less.
func TestShortTicketsAreUsed(t *testing.T) {
	for _, validity := range []time.Duration{400 * time.Millisecond, time.Second} {
		r := newRig(t)
		r.recommendation = &backend.Recommendation{BaseDuration: 50 * time.Millisecond, TicketValidity: validity}
		r.configure(workload.Resources{})
		r.register("i-1", "press")
		r.report("i-1", nil)
		r.takeEffects()
		r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
		calls := r.recommendationRequests()
		assert.Equal(t, len(calls), 1)
		requestedAt := r.now
		r.advance(100 * time.Millisecond)
		r.handle(fleet.RecommendationEnded{
			Step: calls[0].Step, Tickets: map[string]string{"i-1": "t-1"}, RequestedAt: requestedAt,
		})
		assert.Equal(t, len(r.starts()), 1, "validity %s", validity)
	}
}
