package entry

import (
	"sync"

	"github.com/pistachiolead/pistachiolead/dispatch"
)

// mailbox is the queue of events that the control goroutine has yet to handle. Posting never blocks, because events are
// posted by callbacks that must not block and by the control goroutine itself. The length is limited by the number of
// requests in progress, which the HTTP servers and the request queues limit.
type mailbox struct {
	mu     sync.Mutex
	events []dispatch.Event
	wake   chan struct{} // receives a value when events has become non-empty
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

// take removes and returns all posted events. Later events are appended to reuse, whose content is cleared.
func (m *mailbox) take(reuse []dispatch.Event) []dispatch.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	clear(reuse)
	m.events = reuse[:0]
	return events
}
