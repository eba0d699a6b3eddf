package entry

import (
	"sync"

	"github.com/pistachiolead/pistachiolead/dispatch"
)

// mailbox is the queue of events before the control goroutine. Posting never blocks, because events are posted from
// callbacks that must not wait and by the control goroutine itself. What can be in it is bounded by the requests in
// progress, which the HTTP servers and the queues bound.
type mailbox struct {
	mu     sync.Mutex
	events []dispatch.Event
	wake   chan struct{}
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) post(e dispatch.Event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take returns all posted events and puts the given slice in their place.
func (m *mailbox) take(reuse []dispatch.Event) []dispatch.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	clear(reuse)
	m.events = reuse[:0]
	return events
}
