package fleet

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// maxServersPerRequest bounds the servers in one call of the service, as its response time grows with each.
	maxServersPerRequest = 30
	// ticketMargin is the part of a ticket's validity that is kept for the delivery of a start request and its retries. It is
	// half of the validity at most.
	ticketMargin             = time.Second
	recommendationRetryDelay = 300 * time.Millisecond // after a failed call
)

// stepRecommendations holds the responses of the recommendation service for a step.
type stepRecommendations struct {
	tickets      map[*server]ticket
	requestedFor map[*server]int64 // incarnations of the servers for which the service was called
}

// ticket permits tasks of a step on one incarnation of a server.
type ticket struct {
	text        string
	incarnation int64
	until       time.Time
}

// recommendationCall is a call of the recommendation service in flight. The service handles one call of an entry VM at
// a time.
type recommendationCall struct {
	step         *step
	servers      map[string]*server
	incarnations map[string]int64
}

func (s *State) recommendation(j *job) *backend.Recommendation {
	if s.directory == nil {
		return nil
	}
	q, known := s.directory.Queue(j.spec.Queue())
	if !known {
		return nil
	}
	return q.Recommendation
}

// name returns the name of the step for the recommendation service: job id, occurrence and step number.
func (st *step) name() string {
	id := st.tasks[0].id
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
}

// excludeWithoutTicket excludes the servers for which a step needs a ticket and has none. It returns the
// settings of the recommendation service, or nil if the step needs no tickets.
func (s *State) excludeWithoutTicket(st *step, p *placementPool, now time.Time) *backend.Recommendation {
	r := s.recommendation(st.tasks[0].job)
	for i, v := range p.servers {
		p.views[i].Excluded = r != nil && !st.hasTicket(v, now)
	}
	return r
}

// applyRecommendation excludes servers without a ticket, and requests tickets for more servers if the step needs them.
func (s *State) applyRecommendation(st *step, p *placementPool, now time.Time) {
	r := s.excludeWithoutTicket(st, p, now)
	if r == nil || s.recommendationCall != nil || now.Before(s.recommendationRetryAt) {
		return
	}
	if st.recommendations == nil {
		st.recommendations = &stepRecommendations{
			tickets: make(map[*server]ticket), requestedFor: make(map[*server]int64),
		}
	}
	if servers := st.candidates(p, now); len(servers) > 0 {
		s.requestRecommendation(st, servers, r)
	}
}

// candidates returns the servers to request tickets for: those that can start a task of the step now, the ones with the most free
// processor capacity first. It returns none if each unassigned task could get a server with a ticket of its own. For a long-running step
// that fits on no server now these are the servers that may run it, so that capacity can be reserved on one of them.
func (st *step) candidates(p *placementPool, now time.Time) []*server {
	without, withTicket := st.withoutTicket(p, schedule.Fits, now)
	if len(without) == 0 && withTicket == 0 && st.spec.LongRunning() {
		without, withTicket = st.withoutTicket(p, schedule.MayRun, now)
	}
	if withTicket >= st.unassigned {
		return nil
	}
	slices.SortStableFunc(without, func(a, b int) int {
		return int(p.views[b].Free.MilliCores() - p.views[a].Free.MilliCores())
	})
	var servers []*server
	for _, i := range without[:min(len(without), maxServersPerRequest)] {
		servers = append(servers, p.servers[i])
	}
	return servers
}

// withoutTicket returns the indexes of the usable servers for which no ticket was requested, and the number of those with a ticket.
func (st *step) withoutTicket(
	p *placementPool, usable func(workload.Step, *schedule.Server) bool, now time.Time,
) (without []int, withTicket int) {
	for i, v := range p.servers {
		view := p.views[i]
		if st.mayNeedIsolation {
			view = p.isolationView(i)
		}
		view.Excluded = false // for want of a ticket
		switch {
		case !usable(st.spec, &view):
		case st.hasTicket(v, now):
			withTicket++
		case st.recommendations.requestedFor[v] != v.incarnation:
			without = append(without, i)
		}
	}
	return without, withTicket
}

func (st *step) hasTicket(v *server, now time.Time) bool {
	if st.recommendations == nil {
		return false
	}
	t, known := st.recommendations.tickets[v]
	if known && t.incarnation == v.incarnation && now.Before(t.until) {
		return true
	}
	if known {
		delete(st.recommendations.tickets, v)
		delete(st.recommendations.requestedFor, v)
	}
	return false
}

// ticketFor returns the ticket for a run on its server, or "" if its queue needs none.
func (a *attempt) ticketFor() string {
	if a.task.step.recommendations == nil {
		return ""
	}
	return a.task.step.recommendations.tickets[a.server].text
}

func (s *State) requestRecommendation(st *step, servers []*server, r *backend.Recommendation) {
	call := &recommendationCall{step: st, servers: make(map[string]*server), incarnations: make(map[string]int64)}
	ids := make([]string, 0, len(servers))
	for _, v := range servers {
		ids = append(ids, v.id)
		call.servers[v.id], call.incarnations[v.id] = v, v.incarnation
	}
	s.recommendationCall = call
	s.emit(RequestRecommendation{
		Step: st.name(), Servers: ids, ExpectedDuration: r.BaseDuration + time.Duration(len(ids))*r.DurationPerServer,
	})
}

func (s *State) recommendationEnded(e RecommendationEnded, now time.Time) {
	call := s.recommendationCall
	s.recommendationCall = nil
	s.placeAll = true
	if call == nil {
		return
	}
	if e.Failure != "" {
		klog.InfoS("Recommendation failed", "step", e.Step, "reason", e.Failure, "retry-in", recommendationRetryDelay)
		s.recommendationRetryAt = now.Add(recommendationRetryDelay)
		return
	}
	klog.InfoS("Recommendation received", "step", e.Step, "servers", len(call.servers), "recommended", len(e.Tickets))
	st := call.step
	r := s.recommendation(st.tasks[0].job)
	if r == nil {
		return
	}
	for id, v := range call.servers {
		st.recommendations.requestedFor[v] = call.incarnations[id]
		if text, recommended := e.Tickets[id]; recommended {
			margin := min(ticketMargin, r.TicketValidity/2)
			// The validity may count from when the call was sent.
			st.recommendations.tickets[v] = ticket{
				text: text, incarnation: call.incarnations[id], until: e.RequestedAt.Add(r.TicketValidity - margin),
			}
		}
	}
}

// discardTicket drops a ticket that a server refused, so that a new one is requested.
func (s *State) discardTicket(t *task, v *server) {
	if t.step.recommendations == nil {
		return
	}
	delete(t.step.recommendations.tickets, v)
	delete(t.step.recommendations.requestedFor, v)
	t.retryAt = s.now.Add(startRetryDelay)
}
