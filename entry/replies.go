package entry

import (
	"context"
	"sync"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/peer"
)

// pendingReplies passes each reply of the control state to the goroutine that waits for it. A ticket is the number that
// an event and its reply have in common.
type pendingReplies struct {
	mu      sync.Mutex
	last    uint64                // the last ticket issued
	waiting map[uint64]chan reply // by ticket
}

// reply holds the outcome of an event or, for a heartbeat, the digest to send back.
type reply struct {
	outcome dispatch.Outcome
	digest  peer.Digest
}

func newPendingReplies() *pendingReplies {
	return &pendingReplies{waiting: make(map[uint64]chan reply)}
}

// open issues a ticket and returns the channel on which its reply arrives.
func (p *pendingReplies) open() (uint64, <-chan reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	ch := make(chan reply, 1)
	p.waiting[p.last] = ch
	return p.last, ch
}

// resolve delivers the reply to a ticket. Later replies to the same ticket are ignored.
func (p *pendingReplies) resolve(ticket uint64, r reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch, ok := p.waiting[ticket]; ok {
		delete(p.waiting, ticket)
		ch <- r
	}
}

// drop forgets a ticket whose reply nothing waits for any more.
func (p *pendingReplies) drop(ticket uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, ticket)
}

// wait waits for the reply. It drops the ticket and returns false if ctx ends first.
func (p *pendingReplies) wait(ctx context.Context, ticket uint64, ch <-chan reply) (reply, bool) {
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
		p.drop(ticket)
		return reply{}, false
	}
}
