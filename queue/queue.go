// Package queue keeps requests that wait for a start. It is bounded for each team, refuses requests that would wait too
// long, and orders the others by class, dominant share and arrival.
package queue

import (
	"container/heap"
	"container/list"
	"maps"
	"slices"
	"time"
)

// Queue holds the waiting requests of all pools and teams. It isn't safe for concurrent use. The zero value is ready
// for use.
type Queue struct {
	// Bound is the number of waiting requests a team, 2,000 if it is 0.
	Bound int
	// Shares ranks the teams.
	Shares Shares

	byID    map[string]*item
	pools   map[string]*pool
	backlog map[string]int // by team

	due     deadlines
	stale   int // removed requests that are still in due
	expired []Request
}

// pool holds the waiting requests of one pool.
type pool struct {
	lanes   map[laneKey]*lane
	waiting int
	rate    startRate
}

// Push adds a request, or refuses it if the team's queue is full or the request would wait too long.
func (q *Queue) Push(r Request, now time.Time) PushOutcome {
	q.expire(now)
	if r.expired(now) {
		return Refused{code: CodeDeadlinePassed}
	}
	if _, ok := q.byID[r.id]; ok {
		return Refused{code: CodeDuplicateID}
	}

	wait := q.ExpectedWait(r, now)
	if q.backlog[r.team] >= q.bound() {
		return Refused{code: CodeQueueFull, retryAfter: clampRetry(wait / 2)}
	}
	if bound := r.class.WaitBound(); bound > 0 && wait > bound {
		return Refused{code: CodeTooBusy, retryAfter: clampRetry(wait - bound)}
	}
	if !r.deadline.IsZero() && wait > r.deadline.Sub(now) {
		return Refused{code: CodeTooBusy, retryAfter: clampRetry(wait - r.deadline.Sub(now))}
	}
	q.add(r, now)
	return Queued{}
}

// Readmit adds a request that was accepted before, whatever the bounds. A request that is in the queue already stays as
// it is.
func (q *Queue) Readmit(r Request, now time.Time) {
	if _, ok := q.byID[r.id]; ok {
		return
	}
	q.add(r, now)
}

// Cancel removes a request and reports whether it was waiting. It takes constant time, amortized.
func (q *Queue) Cancel(id string) bool {
	it, ok := q.byID[id]
	if !ok {
		return false
	}
	q.remove(it)
	return true
}

// Expire removes the requests whose deadline has passed and returns them in order of their deadlines.
func (q *Queue) Expire(now time.Time) []Request {
	q.expire(now)
	expired := q.expired
	q.expired = nil
	return expired
}

// Pick offers waiting requests of a pool to try until it accepts one, which is removed and returned. Each team, class
// and shape is offered at most once: lower classes first, then lower dominant shares, then earlier arrivals. The function
// try must not call the queue.
func (q *Queue) Pick(pool string, now time.Time, try func(r Request) bool) (Request, bool) {
	q.expire(now)
	q.Shares.Advance(now)
	p, ok := q.pools[pool]
	if !ok {
		return Request{}, false
	}
	p.rate.advance(now, p.waiting > 0)

	order := make(candidates, 0, len(p.lanes))
	for _, l := range p.lanes {
		order = append(order, newCandidate(l, q.Shares.rank(l.key.team), now))
	}
	heap.Init(&order)
	for len(order) > 0 {
		it := heap.Pop(&order).(candidate).item
		if try(it.request) {
			p.rate.started(it.request.arrived, now)
			q.remove(it)
			return it.request, true
		}
	}
	return Request{}, false
}

// ExpectedWait returns how long a request would wait if it arrived now, 0 as long as the start rate of its pool is
// unknown.
func (q *Queue) ExpectedWait(r Request, now time.Time) time.Duration {
	p, ok := q.pools[r.pool]
	if !ok {
		return 0
	}
	p.rate.advance(now, p.waiting > 0)
	return p.rate.wait(q.ahead(p, r))
}

// ahead returns how many requests are likely to start before r: all of higher classes, those of its team, and as many of
// each other team as its weight allows while the requests of r's team are served.
func (q *Queue) ahead(p *pool, r Request) int {
	ahead := 0
	teams := make(map[string]int)
	for k, l := range p.lanes {
		switch {
		case k.class < r.class:
			ahead += l.items.Len()
		case k.class == r.class:
			teams[k.team] += l.items.Len()
		}
	}

	own := teams[r.team]
	turns := float64(own+1) / q.Shares.Weight(r.team)
	ahead += own
	for t, n := range teams {
		if t != r.team {
			ahead += min(n, int(turns*q.Shares.Weight(t)))
		}
	}
	return ahead
}

// Backlog returns the number of waiting requests of a team.
func (q *Queue) Backlog(team string) int { return q.backlog[team] }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Oldest returns the longest wait in a class, 0 if nothing of the class waits.
func (q *Queue) Oldest(class Class, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, p := range q.pools {
		for k, l := range p.lanes {
			if k.class == class {
				longest = max(longest, now.Sub(l.head().request.arrived))
			}
		}
	}
	return longest
}

// Pools returns the pools with waiting requests in sorted order.
func (q *Queue) Pools() []string {
	var waiting []string
	for _, n := range slices.Sorted(maps.Keys(q.pools)) {
		if q.pools[n].waiting > 0 {
			waiting = append(waiting, n)
		}
	}
	return waiting
}

func (q *Queue) bound() int {
	if q.Bound > 0 {
		return q.Bound
	}
	return defaultBound
}

func (q *Queue) add(r Request, now time.Time) {
	if q.byID == nil {
		q.byID = make(map[string]*item)
		q.pools = make(map[string]*pool)
		q.backlog = make(map[string]int)
	}
	p, ok := q.pools[r.pool]
	if !ok {
		p = &pool{lanes: make(map[laneKey]*lane)}
		q.pools[r.pool] = p
	}
	p.rate.advance(now, p.waiting > 0)

	k := laneKey{team: r.team, class: r.class, shape: r.shape}
	l, ok := p.lanes[k]
	if !ok {
		l = &lane{key: k, items: list.New()}
		p.lanes[k] = l
	}
	it := &item{request: r}
	l.insert(it)
	p.waiting++
	q.byID[r.id] = it
	q.backlog[r.team]++
	if !r.deadline.IsZero() {
		heap.Push(&q.due, it)
	}
}

func (q *Queue) remove(it *item) {
	q.detach(it)
	if !it.request.deadline.IsZero() {
		q.stale++
		q.compact()
	}
}

// detach removes a request from everything but the deadline heap.
func (q *Queue) detach(it *item) {
	it.removed = true
	r := it.request
	p := q.pools[r.pool]
	it.lane.items.Remove(it.place)
	if it.lane.items.Len() == 0 {
		delete(p.lanes, it.lane.key)
	}
	p.waiting--
	delete(q.byID, r.id)
	if q.backlog[r.team]--; q.backlog[r.team] == 0 {
		delete(q.backlog, r.team)
	}
}

// compact rebuilds the deadline heap when most of it is stale, so that a wave of cancellations costs O(n) once.
func (q *Queue) compact() {
	if q.stale < minStaleDeadlines || 2*q.stale < len(q.due) {
		return
	}
	q.due = slices.DeleteFunc(q.due, func(it *item) bool { return it.removed })
	q.stale = 0
	heap.Init(&q.due)
}

func (q *Queue) expire(now time.Time) {
	for len(q.due) > 0 {
		it := q.due[0]
		if !it.removed && !it.request.expired(now) {
			return
		}
		heap.Pop(&q.due)
		if it.removed {
			q.stale--
			continue
		}
		q.detach(it)
		q.expired = append(q.expired, it.request)
	}
}

func clampRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }
