// Package queue holds the calls and jobs that wait until a backend server can start them.
//
// Its input is requests, the running tasks and weights of the teams, and the current time. Push refuses a request if
// its team has too many waiting requests or if the expected wait is too long. Pick returns the next request to start:
// the most urgent class first, then the team with the lowest dominant share, then the earliest arrival.
package queue

import (
	"container/heap"
	"container/list"
	"maps"
	"slices"
	"time"
)

// Queue holds the waiting requests of all pools and teams on one entry VM. It isn't safe for concurrent use. The zero
// value is ready for use.
type Queue struct {
	// Bound is the maximum number of waiting requests of each team, 2,000 if it is 0.
	Bound int
	// Shares orders the teams within a class.
	Shares Shares

	byID    map[string]*queuedRequest
	pools   map[string]*pool
	backlog map[string]int // number of waiting requests by team

	deadlines        deadlineHeap
	removedDeadlines int       // requests that were removed from the queue and are still in deadlines
	expired          []Request // removed because of their deadline, and not yet returned by Expire
}

// pool holds the waiting requests of one pool.
type pool struct {
	subqueues map[subqueueKey]*subqueue
	waiting   int
	rate      startRate
}

// Push adds a request, or refuses it with one of the codes of this package. Requests are refused if the deadline has
// passed, if the id is in the queue already, if the team has Bound waiting requests, or if the expected wait exceeds
// the bound of the class or the time left until the deadline.
func (q *Queue) Push(r Request, now time.Time) PushOutcome {
	q.expire(now)
	if p, ok := q.pools[r.pool]; ok {
		p.rate.advance(now, p.waiting > 0)
	}
	o := q.Admission(r, now)
	if _, admitted := o.(Queued); admitted {
		q.add(r, now)
	}
	return o
}

// Admission returns the outcome that Push would have. It doesn't add the request.
func (q *Queue) Admission(r Request, now time.Time) PushOutcome {
	if r.expired(now) {
		return Refused{code: CodeDeadlinePassed}
	}
	if _, ok := q.byID[r.id]; ok {
		return Refused{code: CodeDuplicateID}
	}

	wait := q.ExpectedWait(r, now)
	if q.backlog[r.team] >= q.TeamBound() {
		return Refused{code: CodeQueueFull, retryAfter: clampRetryAfter(wait / 2)}
	}
	if bound := r.class.WaitBound(); bound > 0 && wait > bound {
		return Refused{code: CodeTooBusy, retryAfter: clampRetryAfter(wait - bound)}
	}
	if !r.deadline.IsZero() && wait > r.deadline.Sub(now) {
		return Refused{code: CodeTooBusy, retryAfter: clampRetryAfter(wait - r.deadline.Sub(now))}
	}
	return Queued{}
}

// Requeue adds a request that was accepted before, without applying any bound. It has no effect if the id is in the
// queue already.
func (q *Queue) Requeue(r Request, now time.Time) {
	if _, ok := q.byID[r.id]; ok {
		return
	}
	q.add(r, now)
}

// Cancel removes a request and reports whether it was in the queue. It takes amortized constant time.
func (q *Queue) Cancel(id string) bool {
	it, ok := q.byID[id]
	if !ok {
		return false
	}
	q.remove(it)
	return true
}

// Expire removes the requests whose deadline has passed. It returns those removed since the last call, also by other
// methods, in order of their deadlines.
func (q *Queue) Expire(now time.Time) []Request {
	q.expire(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// Pick passes waiting requests of a pool to try until it returns true. It removes that request and returns it, or
// returns false if there is none. Of each team, class and shape only the earliest request is tried. The order is by
// class after aging, most urgent first, then by rank of the team (see Shares), lowest first, then by arrival. The
// function try must not call the queue.
func (q *Queue) Pick(pool string, now time.Time, try func(r Request) bool) (Request, bool) {
	q.expire(now)
	q.Shares.Advance(now)
	p, ok := q.pools[pool]
	if !ok {
		return Request{}, false
	}
	p.rate.advance(now, p.waiting > 0)

	order := make(candidateHeap, 0, len(p.subqueues))
	for _, s := range p.subqueues {
		order = append(order, newCandidate(s, q.Shares.rank(s.key.team), now))
	}
	heap.Init(&order)
	for len(order) > 0 {
		it := heap.Pop(&order).(candidate).first
		if try(it.request) {
			p.rate.started(it.request.arrived, now)
			q.remove(it)
			return it.request, true
		}
	}
	return Request{}, false
}

// ExpectedWait returns how long a request is expected to wait if it is added now, 0 as long as the start rate of its
// pool is unknown.
func (q *Queue) ExpectedWait(r Request, now time.Time) time.Duration {
	p, ok := q.pools[r.pool]
	if !ok {
		return 0
	}
	rate := p.rate
	rate.advance(now, p.waiting > 0)
	return rate.expectedWait(q.requestsAhead(p, r))
}

// requestsAhead returns how many requests are expected to start before r: all of more urgent classes, and of r's class
// all of r's team and as many of each other team as its weight allows by the time that r is first of its team.
func (q *Queue) requestsAhead(p *pool, r Request) int {
	ahead := 0
	teams := make(map[string]int)
	for k, s := range p.subqueues {
		switch {
		case k.class < r.class:
			ahead += s.requests.Len()
		case k.class == r.class:
			teams[k.team] += s.requests.Len()
		}
	}

	own := teams[r.team]
	rounds := float64(own+1) / q.Shares.Weight(r.team)
	ahead += own
	for t, n := range teams {
		if t != r.team {
			ahead += min(n, int(rounds*q.Shares.Weight(t)))
		}
	}
	return ahead
}

// Backlog returns the number of waiting requests of a team.
func (q *Queue) Backlog(team string) int { return q.backlog[team] }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// LongestWait returns the time that the longest waiting request of a class has waited, 0 if there is none.
func (q *Queue) LongestWait(class Class, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range q.pools {
		for k, s := range p.subqueues {
			if k.class == class {
				longest = max(longest, now.Sub(s.head().request.arrived))
			}
		}
	}
	return longest
}

// Pools returns the names of the pools with waiting requests, sorted.
func (q *Queue) Pools() []string {
	var waiting []string
	for _, n := range slices.Sorted(maps.Keys(q.pools)) {
		if q.pools[n].waiting > 0 {
			waiting = append(waiting, n)
		}
	}
	return waiting
}

// TeamBound returns the maximum number of waiting requests of each team.
func (q *Queue) TeamBound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return defaultTeamBound
}

func (q *Queue) add(r Request, now time.Time) {
	if q.byID == nil {
		q.byID = make(map[string]*queuedRequest)
		q.pools = make(map[string]*pool)
		q.backlog = make(map[string]int)
	}
	p, ok := q.pools[r.pool]
	if !ok {
		p = &pool{subqueues: make(map[subqueueKey]*subqueue)}
		q.pools[r.pool] = p
	}
	p.rate.advance(now, p.waiting > 0)

	k := subqueueKey{team: r.team, class: r.class, shape: r.shape}
	s, ok := p.subqueues[k]
	if !ok {
		s = &subqueue{key: k, requests: list.New()}
		p.subqueues[k] = s
	}
	it := &queuedRequest{request: r}
	s.insert(it)
	p.waiting++
	q.byID[r.id] = it
	q.backlog[r.team]++
	if !r.deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
}

func (q *Queue) remove(it *queuedRequest) {
	q.detach(it)
	if !it.request.deadline.IsZero() {
		q.removedDeadlines++
		q.compact()
	}
}

// detach removes a request from everything but the deadline heap.
func (q *Queue) detach(it *queuedRequest) {
	it.removed = true
	r := it.request
	p := q.pools[r.pool]
	it.subqueue.requests.Remove(it.element)
	if it.subqueue.requests.Len() == 0 {
		delete(p.subqueues, it.subqueue.key)
	}
	p.waiting--
	delete(q.byID, r.id)
	if q.backlog[r.team]--; q.backlog[r.team] == 0 {
		delete(q.backlog, r.team)
	}
}

// compact rebuilds the deadline heap without the removed requests once they are half of it or more, so that a large
// number of cancellations costs O(n) once.
func (q *Queue) compact() {
	if q.removedDeadlines < minRemovedDeadlines || 2*q.removedDeadlines < len(q.deadlines) {
		return
	}
	q.deadlines = slices.DeleteFunc(q.deadlines, func(it *queuedRequest) bool { return it.removed })
	q.removedDeadlines = 0
	heap.Init(&q.deadlines)
}

// expire moves the requests whose deadline has passed to expired.
func (q *Queue) expire(now time.Time) {
	for len(q.deadlines) > 0 {
		it := q.deadlines[0]
		if !it.removed && !it.request.expired(now) {
			return
		}
		heap.Pop(&q.deadlines)
		if it.removed {
			q.removedDeadlines--
			continue
		}
		q.detach(it)
		q.expired = append(q.expired, it.request)
	}
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
