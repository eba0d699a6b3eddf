package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/explanation"
	"github.com/pistachiolead/pistachiolead/placement"
)

// basisLimitReached is the basis of an expected start that depends on the team's own tasks.
const basisLimitReached = "the team has as many tasks running as its limit allows; one of them has to end"

// ExplanationQueried queries what would become of a request that was submitted now. Nothing is submitted or stored.
type ExplanationQueried struct {
	ticket  uint64
	request Request
}

// NewExplanationQueried returns an ExplanationQueried event. An Explanation is replied to the ticket.
func NewExplanationQueried(ticket uint64, r Request) ExplanationQueried {
	return ExplanationQueried{ticket: ticket, request: r}
}

func (ExplanationQueried) event() {}

// explain returns the explanation of a request. It calls the functions that decide on a submission, without the effects.
func (s *State) explain(r Request) Explanation {
	e := Explanation{entryVM: s.EntryVM, zone: s.Zone, request: r}
	entry, refusal := s.admissible(r)
	if refusal != nil {
		if entry, ok := s.config.Catalogue().Entry(r.entry); ok {
			s.describe(&e, newWorkItem(r, 0, entry, s.now))
		}
		e.decision, e.refusal = DecisionRefuse, *refusal
		return e
	}
	w := newWorkItem(r, 0, entry, s.now)
	s.describe(&e, w)
	if _, held := s.workItems[r.id]; held {
		e.decision = DecisionRefuse
		e.refusal = NewNotRun(CodeInProgress, "a request with this id is in progress", 0)
		return e
	}
	s.decide(&e, w)
	e.start = s.expectedStart(&e, w)
	return e
}

// describe sets what is known of the queue, the team and the backend servers for a request.
func (s *State) describe(e *Explanation, w *workItem) {
	team := w.request.team
	class := queueClass(w.class)
	t, _ := s.config.Catalogue().Team(team)
	e.pool, e.class = w.pool, class.String()
	e.position = s.Queue.Position(s.queueRequest(w), s.now)
	e.team = TeamPlace{
		running: s.Ledger.Running(team), allowed: s.Ledger.AllowedStarts(team), limit: t.Limit(),
		queued: s.Queue.Backlog(team), bound: s.Queue.TeamBound(),
		weight: s.Queue.Shares.Weight(team), share: s.Queue.Shares.DominantShare(team),
	}
	e.assessment = s.Placer.Assess(w.pool, w.request.entry, w.shape, class, s.now)
	e.servers = s.groupServers(w, e.assessment)
	for _, id := range s.Membership.Live() {
		if p, ok := s.peers[id]; ok && id != s.EntryVM {
			if s.now.Sub(p.receivedAt) <= digestLifetime {
				e.team.elsewhere += p.digest.Running(team).Slots()
			}
			e.peers = append(e.peers, PeerPlace{
				id: id, freeSlots: max(p.freeSlots(w.pool, s.now), 0), age: s.now.Sub(p.receivedAt),
			})
		}
	}
}

// decide sets the decision on a request that is admissible.
func (s *State) decide(e *Explanation, w *workItem) {
	if !w.isCall() {
		if holder := s.chooseHolder(w); holder != s.EntryVM {
			e.decision, e.peer = DecisionForward, holder
			return
		}
	}
	var chosen route
	switch {
	case !w.isCall():
		chosen = s.localRoute(w)
	case s.drain.started:
		chosen = s.drainRoute(w)
	default:
		chosen = s.route(w)
	}
	switch r := chosen.(type) {
	case forwardTo:
		e.decision, e.peer = DecisionForward, r.peer
	case delayForOwner:
		e.decision = DecisionAwaitOwner
	case refuseRoute:
		e.decision, e.refusal = DecisionRefuse, r.refusal
	case joinQueueAlways:
		e.decision = DecisionQueue
		if r.preempts {
			e.decision = DecisionPreempt
		}
	case joinQueue:
		e.decision = DecisionQueue
		if refusal := admissionRefusal(s.Queue.Admission(s.queueRequest(w), s.now)); refusal != nil {
			e.decision, e.refusal = DecisionRefuse, *refusal
		}
	}
	if (e.decision == DecisionQueue || e.decision == DecisionPreempt) && s.startsAtOnce(e) {
		e.decision = DecisionStart
	}
}

// startsAtOnce reports whether a request that joins the queue here is started by the same event.
func (s *State) startsAtOnce(e *Explanation) bool {
	o, selected := e.assessment.Outcome().(placement.Selected)
	if !selected || !s.mayStartHere() || e.position.Ahead() > 0 || e.team.allowed <= 0 {
		return false
	}
	_, ok := s.Ownership.MayStart(o.Server(), s.now)
	return ok
}

// expectedStart returns when a request is expected to start, and what that rests on.
func (s *State) expectedStart(e *Explanation, w *workItem) ExpectedStart {
	_, selected := e.assessment.Outcome().(placement.Selected)
	switch e.decision {
	case DecisionRefuse:
		return ExpectedStart{basis: "the request is refused"}
	case DecisionStart:
		return ExpectedStart{confidence: explanation.ConfidenceHigh, basis: "a backend server and a slot of the team are free now"}
	case DecisionPreempt:
		return ExpectedStart{confidence: explanation.ConfidenceMedium, basis: "less urgent work is preempted, which takes a moment"}
	case DecisionForward:
		if e.team.limitReached() {
			return ExpectedStart{basis: basisLimitReached}
		}
		p, ok := s.peers[e.peer]
		if ok && p.freeSlots(w.pool, s.now) > 0 {
			start := ExpectedStart{confidence: explanation.ConfidenceMedium, basis: fmt.Sprintf(
				"%s had %d free slots in the pool %s ago",
				e.peer, p.freeSlots(w.pool, s.now), s.now.Sub(p.receivedAt).Round(time.Millisecond))}
			if w.class != catalogue.ClassUrgent && p.freeSlots(w.pool, s.now) <= max(w.shape.Slots(), 1) {
				start.confidence = explanation.ConfidenceLow
				start.basis += ", which may be reserved for urgent work"
			}
			return start
		}
		return ExpectedStart{basis: fmt.Sprintf("%s owns backend servers of the pool; ask it", e.peer)}
	case DecisionAwaitOwner:
		return ExpectedStart{basis: fmt.Sprintf("no owner of backend servers of the pool accepts work now; checked for %s", ownerWaitTimeout)}
	}
	switch {
	case s.drain.started:
		return ExpectedStart{basis: "this entry VM is stopping; another one adopts the job"}
	case !s.mayStartHere():
		return ExpectedStart{basis: "the availability zone of this entry VM is out of service"}
	case s.Placer.Capacity(w.pool).Slots() == 0:
		return ExpectedStart{basis: "this entry VM has no backend server of the pool in service"}
	case e.team.limitReached():
		return ExpectedStart{basis: basisLimitReached}
	case e.team.allowed <= 0:
		return ExpectedStart{basis: "the team has no free slot here; one is freed by the end of a task or moves from another entry VM"}
	case !e.position.RateKnown():
		return ExpectedStart{basis: "requests haven't waited for long enough to know the start rate of the pool"}
	case selected:
		return ExpectedStart{after: e.position.Start(), confidence: explanation.ConfidenceMedium, basis: "requests ahead and the start rate of the pool"}
	default:
		return ExpectedStart{after: e.position.Start(), confidence: explanation.ConfidenceLow, basis: "the start rate of the pool; no backend server has room for the task now"}
	}
}

// groupServers groups the listed backend servers by why they don't start a task now.
func (s *State) groupServers(w *workItem, a placement.Assessment) []explanation.Group {
	byReason := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		reason := string(s.exclusionFrom(id, w, a))
		byReason[reason] = append(byReason[reason], id)
	}
	return explanation.Groups(byReason)
}

// exclusionFrom returns why a listed backend server doesn't start a task now, ExclusionNone if it may.
func (s *State) exclusionFrom(server string, w *workItem, a placement.Assessment) Exclusion {
	if s.poolOf(server) != w.pool {
		return ExclusionOtherPool
	}
	if s.config.Zone(s.vms[server].Zone()).OutOfService() {
		return ExclusionZoneOut
	}
	if e := s.exclusion(server); e != ExclusionNone {
		return e
	}
	if e := a.Exclusions()[server]; e != placement.ExclusionNone {
		return Exclusion(e)
	}
	if s.Ledger.AllowedStarts(w.request.team) <= 0 {
		return ExclusionTeamLimit
	}
	if _, ok := s.Ownership.MayStart(server, s.now); !ok {
		return ExclusionLease
	}
	return ExclusionNone
}
