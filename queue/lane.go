package queue

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/platform"
)

// laneKey names the requests of one team and class in one pool.
type laneKey struct {
	team  string
	class Class
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
	front := l.items.Front()
	if front != nil && it.request.arrived.Before(front.Value.(*item).request.arrived) {
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

// cursor walks over the first requests of a lane, one for each shape.
type cursor struct {
	place  *list.Element
	seen   int
	shapes []platform.Shape

	class Class
	rank  float64
}

func newCursor(l *lane, rank float64, now time.Time) *cursor {
	c := &cursor{place: l.items.Front(), rank: rank}
	c.class = c.item().agedClass(now)
	return c
}

func (c *cursor) item() *item { return c.place.Value.(*item) }

// advance moves to the next request with a shape that wasn't offered yet and reports whether there is one.
func (c *cursor) advance(now time.Time) bool {
	c.shapes = append(c.shapes, c.item().request.shape)
	for c.seen++; c.seen < lookAhead; c.seen++ {
		c.place = c.place.Next()
		if c.place == nil {
			return false
		}
		if !slices.Contains(c.shapes, c.item().request.shape) {
			c.class = c.item().agedClass(now)
			return true
		}
	}
	return false
}

func (it *item) agedClass(now time.Time) Class {
	return it.request.class.aged(now.Sub(it.request.arrived))
}

// cursors is a heap in the order of Pick.
type cursors []*cursor

var _ heap.Interface = (*cursors)(nil)

func (c cursors) Len() int { return len(c) }

func (c cursors) Less(i, j int) bool {
	a, b := c[i], c[j]
	if a.class != b.class {
		return a.class < b.class
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	ra, rb := a.item().request, b.item().request
	if !ra.arrived.Equal(rb.arrived) {
		return ra.arrived.Before(rb.arrived)
	}
	return ra.id < rb.id
}

func (c cursors) Swap(i, j int) { c[i], c[j] = c[j], c[i] }

func (c *cursors) Push(x any) { *c = append(*c, x.(*cursor)) }

func (c *cursors) Pop() any {
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
