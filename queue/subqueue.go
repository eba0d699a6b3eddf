package queue

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// subqueueKey identifies the requests of one team, class and shape in one pool. Each shape has its own subqueue:
// requests that don't fit any server for a long time would otherwise block the others of their team.
type subqueueKey struct {
	team  string
	class Class
	shape provider.Shape
}

// subqueue holds waiting requests in order of arrival.
type subqueue struct {
	key      subqueueKey
	requests *list.List // of *queuedRequest
}

// queuedRequest is a waiting request and its position in its subqueue.
type queuedRequest struct {
	request  Request
	subqueue *subqueue
	element  *list.Element
	removed  bool // from the queue; it may still be in the deadline heap
}

// insert adds a request in order of arrival. It searches from the back, because nearly all requests are added in order
// of arrival, and checks the front first, because requests that are taken over arrived before all others.
func (s *subqueue) insert(it *queuedRequest) {
	it.subqueue = s
	if s.requests.Len() > 0 && it.request.arrived.Before(s.head().request.arrived) {
		it.element = s.requests.PushFront(it)
		return
	}
	for e := s.requests.Back(); e != nil; e = e.Prev() {
		if !it.request.arrived.Before(e.Value.(*queuedRequest).request.arrived) {
			it.element = s.requests.InsertAfter(it, e)
			return
		}
	}
	it.element = s.requests.PushFront(it)
}

func (s *subqueue) head() *queuedRequest { return s.requests.Front().Value.(*queuedRequest) }

// candidate is the first request of a subqueue with the values that Pick orders it by.
type candidate struct {
	first *queuedRequest
	class Class   // after aging
	rank  float64 // of the team
}

func newCandidate(s *subqueue, rank float64, now time.Time) candidate {
	r := s.head().request
	return candidate{first: s.head(), class: r.class.aged(now.Sub(r.arrived)), rank: rank}
}

// candidateHeap is a heap in the order of Pick.
type candidateHeap []candidate

var _ heap.Interface = (*candidateHeap)(nil)

func (c candidateHeap) Len() int { return len(c) }

func (c candidateHeap) Less(i, j int) bool {
	a, b := c[i], c[j]
	if a.class != b.class {
		return a.class < b.class
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	ra, rb := a.first.request, b.first.request
	if !ra.arrived.Equal(rb.arrived) {
		return ra.arrived.Before(rb.arrived)
	}
	return ra.id < rb.id
}

func (c candidateHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *candidateHeap) Push(x any) { *c = append(*c, x.(candidate)) }

func (c *candidateHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// deadlineHeap is a heap of requests with the earliest deadline first. Requests that were removed from the queue stay
// in it until they reach the top or the heap is rebuilt.
type deadlineHeap []*queuedRequest

var _ heap.Interface = (*deadlineHeap)(nil)

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool {
	a, b := d[i].request, d[j].request
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

func (d deadlineHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deadlineHeap) Push(x any) { *d = append(*d, x.(*queuedRequest)) }

func (d *deadlineHeap) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = nil
	*d = (*d)[:len(*d)-1]
	return last
}
