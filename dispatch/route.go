package dispatch

import "github.com/pistachiolead/pistachiolead/queue"

// route is what becomes of work that is to be queued: one of the types in this file.
type route interface{ route() }

// joinQueue queues work at this entry VM if the queue admits it.
type joinQueue struct{}

// joinQueueAlways queues work at this entry VM without admission: it was accepted before, or preemption frees capacity
// for it, which the queue's start rate doesn't include.
type joinQueueAlways struct{ preempts bool }

// forwardTo forwards a call to another entry VM.
type forwardTo struct{ peer string }

// delayForOwner delays a call until an entry VM owns a backend server of its pool.
type delayForOwner struct{}

// refuseRoute refuses work.
type refuseRoute struct{ refusal NotRun }

func (joinQueue) route()       {}
func (joinQueueAlways) route() {}
func (forwardTo) route()       {}
func (delayForOwner) route()   {}
func (refuseRoute) route()     {}

// route returns the route of work that is submitted here or resumes here: to an entry VM that may start it at once, or
// that of localRoute. It changes nothing.
func (s *State) route(w *workItem) route {
	if w.isCall() && w.request.hops == 0 {
		if to := s.betterPeer(w.pool); to != "" {
			return forwardTo{peer: to}
		}
	}
	return s.localRoute(w)
}

// localRoute returns the route of work that is to be queued at this entry VM if possible. It changes nothing.
func (s *State) localRoute(w *workItem) route {
	hasCapacity := s.Placer.Capacity(w.pool).Slots() > 0
	if !w.isCall() || w.attempt > 1 && (w.started || hasCapacity) {
		return joinQueueAlways{}
	}
	if !hasCapacity {
		if to := s.ownerOfPool(w.pool, w.id()); to != "" && w.request.hops == 0 {
			return forwardTo{peer: to}
		}
		if s.mayAwaitOwner(w) {
			return delayForOwner{}
		}
		return refuseRoute{refusal: NewNotRun(CodeNoCapacity,
			"this entry VM owns no backend server of the pool and knows no other owner", retryAfterBusy)}
	}
	if s.canPreemptFor(w) {
		return joinQueueAlways{preempts: true}
	}
	return joinQueue{}
}

// follow carries out a route.
func (s *State) follow(w *workItem, r route) {
	w.phase = phaseQueued
	switch r := r.(type) {
	case forwardTo:
		s.forward(w, r.peer)
	case delayForOwner:
		s.awaitOwner(w)
	case refuseRoute:
		s.refuse(w, r.refusal)
	case joinQueueAlways:
		s.Queue.Requeue(s.queueRequest(w), s.now)
	case joinQueue:
		o := s.Queue.Push(s.queueRequest(w), s.now)
		if refusal := admissionRefusal(o); refusal != nil {
			s.count("refused_" + metricName(refusal.Code()))
			s.refuse(w, *refusal)
		}
	}
}

// admissionRefusal returns the refusal of a request that the queue doesn't admit, nil if it does.
func admissionRefusal(o queue.PushOutcome) *NotRun {
	r, refused := o.(queue.Refused)
	if !refused {
		return nil
	}
	n := NewNotRun(r.Code(), "the queue of the pool rejected the request", r.RetryAfter())
	return &n
}
