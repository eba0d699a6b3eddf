package entry

import (
	"context"
	"sync"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/peer"
)

// tickets match replies of the control state with the goroutines that wait for them.
type tickets struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan reply
}

// reply is the outcome of an event, or the digest that answers a heartbeat.
type reply struct {
	outcome dispatch.Outcome
	digest  peer.Digest
}

func newTickets() *tickets { return &tickets{waiting: make(map[uint64]chan reply)} }

func (t *tickets) open() (uint64, <-chan reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	ch := make(chan reply, 1)
	t.waiting[t.last] = ch
	return t.last, ch
}

// resolve hands over a reply. Only the first reply to a ticket counts.
func (t *tickets) resolve(ticket uint64, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch, ok := t.waiting[ticket]; ok {
		delete(t.waiting, ticket)
		ch <- r
	}
}

func (t *tickets) drop(ticket uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, ticket)
}

// wait waits for the reply until ctx ends.
func (t *tickets) wait(ctx context.Context, ticket uint64, ch <-chan reply) (reply, bool) {
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
		t.drop(ticket)
		return reply{}, false
	}
}
