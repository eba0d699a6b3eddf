package fleet

import (
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
)

const (
	// adviceBatch is the number of servers asked about in one call: an answer takes longer with each.
	adviceBatch = 30
	// ticketReserve is the part of a ticket's validity that an order may need on its way, with its repetitions.
	ticketReserve = time.Second
	adviceRetry   = 300 * time.Millisecond // after a call without an answer
)

// advice is what the recommendation service said about a step.
type advice struct {
	tickets map[*server]ticket
	asked   map[*server]int64 // the lives of servers that were asked about
}

// ticket allows tasks of a step on one life of a server.
type ticket struct {
	text        string
	incarnation int64
	until       time.Time
}

// adviceCall is a call of the service under way. It handles one call of an entry VM at a time.
type adviceCall struct {
	step    *step
	servers map[string]*server
	lives   map[string]int64
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

// name names a step of one occurrence for the recommendation service.
func (st *step) name() string {
	id := st.tasks[0].id
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
}

// bar bars the servers for which a step needs a ticket and has none. It returns nil if the step needs none.
func (s *State) bar(st *step, p *pool, now time.Time) *backend.Recommendation {
	r := s.recommendation(st.tasks[0].job)
	for i, v := range p.servers {
		p.views[i].Excluded = r != nil && !st.hasTicket(v, now)
	}
	return r
}

// useAdvice bars servers without a ticket, and asks about more of them if the step's tasks need them.
func (s *State) useAdvice(st *step, p *pool, now time.Time) {
	r := s.bar(st, p, now)
	if r == nil || s.adviceCall != nil || now.Before(s.adviceAt) {
		return
	}
	if st.advice == nil {
		st.advice = &advice{tickets: make(map[*server]ticket), asked: make(map[*server]int64)}
	}
	if ask := st.candidates(p, now); len(ask) > 0 {
		s.ask(st, ask, r)
	}
}

// candidates returns the servers to ask about: those with the most room, unless those with tickets have enough of it.
func (st *step) candidates(p *pool, now time.Time) []*server {
	room := 0
	var ask []int
	for i, v := range p.servers {
		if !st.spec.Reserves().FitsIn(p.views[i].Free) {
			continue
		}
		if st.hasTicket(v, now) {
			room++
		} else if st.advice.asked[v] != v.incarnation {
			ask = append(ask, i)
		}
	}
	if room >= st.idle {
		return nil
	}
	slices.SortStableFunc(ask, func(a, b int) int {
		return int(p.views[b].Free.MilliCores() - p.views[a].Free.MilliCores())
	})
	var servers []*server
	for _, i := range ask[:min(len(ask), adviceBatch)] {
		servers = append(servers, p.servers[i])
	}
	return servers
}

func (st *step) hasTicket(v *server, now time.Time) bool {
	if st.advice == nil {
		return false
	}
	t, known := st.advice.tickets[v]
	if known && t.incarnation == v.incarnation && now.Before(t.until) {
		return true
	}
	if known {
		delete(st.advice.tickets, v)
		delete(st.advice.asked, v)
	}
	return false
}

// ticketFor returns the ticket of a run's server, or "" if its queue needs none.
func (a *attempt) ticketFor() string {
	if a.task.step.advice == nil {
		return ""
	}
	return a.task.step.advice.tickets[a.server].text
}

func (s *State) ask(st *step, servers []*server, r *backend.Recommendation) {
	call := &adviceCall{step: st, servers: make(map[string]*server), lives: make(map[string]int64)}
	ids := make([]string, 0, len(servers))
	for _, v := range servers {
		ids = append(ids, v.id)
		call.servers[v.id], call.lives[v.id] = v, v.incarnation
	}
	s.adviceCall = call
	s.emit(Advise{Step: st.name(), Servers: ids, Expected: r.BaseDuration + time.Duration(len(ids))*r.DurationPerServer})
}

func (s *State) advised(e Advised, now time.Time) {
	call := s.adviceCall
	s.adviceCall = nil
	s.schedule = true
	if call == nil {
		return
	}
	if e.Failure != "" {
		klog.InfoS("No recommendation", "step", e.Step, "reason", e.Failure, "retry-in", adviceRetry)
		s.adviceAt = now.Add(adviceRetry)
		return
	}
	klog.InfoS("Recommendation", "step", e.Step, "asked", len(call.servers), "good", len(e.Tickets))
	st := call.step
	r := s.recommendation(st.tasks[0].job)
	if r == nil {
		return
	}
	for id, v := range call.servers {
		st.advice.asked[v] = call.lives[id]
		if text, good := e.Tickets[id]; good {
			// The validity may have begun when the service was asked.
			st.advice.tickets[v] = ticket{text: text, incarnation: call.lives[id], until: e.Asked.Add(r.TicketValidity - ticketReserve)}
		}
	}
}

// ticketRefused forgets a ticket that a server doesn't take, so that the service is asked again.
func (s *State) ticketRefused(t *task, v *server) {
	if t.step.advice == nil {
		return
	}
	delete(t.step.advice.tickets, v)
	delete(t.step.advice.asked, v)
	t.freeAt = s.now.Add(startRetry)
}
