package queue

import (
	"container/heap"
	"container/list"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// laneKey names the requests of one team, class and shape in one pool. Shapes have lanes of their own because requests
// that don't fit for a long time would otherwise fill the front of their team's lane and stop the team.
type laneKey struct {
	team  string
	class Class
	shape provider.Shape
}

// lane holds waiting requests in order of arrival.
type lane struct {
	key   laneKey
	items *list.List // of *item
}

// item is a waiting request and its place in its lane.
type item struct {
	request Request
	lane    *lane
	place   *list.Element
	removed bool
}

// insert keeps the order of arrival. Requests nearly always arrive in order, or all at the front after a takeover.
func (l *lane) insert(it *item) {
	it.lane = l
	if l.items.Len() > 0 && it.request.arrived.Before(l.head().request.arrived) {
		it.place = l.items.PushFront(it)
		return
	}
	for e := l.items.Back(); e != nil; e = e.Prev() {
		if !it.request.arrived.Before(e.Value.(*item).request.arrived) {
			it.place = l.items.InsertAfter(it, e)
			return
		}
	}
	it.place = l.items.PushFront(it)
}

func (l *lane) head() *item { return l.items.Front().Value.(*item) }

// candidate is the first request of a lane with its rank.
type candidate struct {
	item  *item
	class Class
	rank  float64
}

func newCandidate(l *lane, rank float64, now time.Time) candidate {
	r := l.head().request
	return candidate{item: l.head(), class: r.class.aged(now.Sub(r.arrived)), rank: rank}
}

// candidates is a heap in the order of Pick.
type candidates []candidate

var _ heap.Interface = (*candidates)(nil)

func (c candidates) Len() int { return len(c) }

func (c candidates) Less(i, j int) bool {
	a, b := c[i], c[j]
	if a.class != b.class {
		return a.class < b.class
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	ra, rb := a.item.request, b.item.request
	if !ra.arrived.Equal(rb.arrived) {
		return ra.arrived.Before(rb.arrived)
	}
	return ra.id < rb.id
}

func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// deadlines is a heap of requests with the earliest deadline first. Removed requests stay in it until they reach the top
// or the heap is rebuilt.
type deadlines []*item

var _ heap.Interface = (*deadlines)(nil)

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool {
	a, b := d[i].request, d[j].request
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.id < b.id
}

func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

func (d *deadlines) Push(x any) { *d = append(*d, x.(*item)) }

func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = nil
	*d = (*d)[:len(*d)-1]
	return last
}
