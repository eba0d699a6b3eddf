package timer

import (
	"sync"
	"time"
)

// Manual is a Clock for tests. Its time advances only by calls of Advance.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	next    uint64
	waiting map[uint64]*entry
}

var _ Clock = (*Manual)(nil)

// entry is a timer that hasn't been stopped.
type entry struct {
	id       uint64
	due      time.Time
	interval time.Duration // 0 for a single call
	fn       func(now time.Time)
}

// NewManual returns a Manual clock that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, waiting: make(map[uint64]*entry)}
}

// Now returns the start time plus the durations of all calls of Advance. During a callback it returns the time at which
// the callback was due.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Every implements Clock.
func (m *Manual) Every(interval time.Duration, fn func(now time.Time)) Subscription {
	return m.add(interval, interval, fn)
}

// After implements Clock.
func (m *Manual) After(delay time.Duration, fn func(now time.Time)) Subscription {
	return m.add(delay, 0, fn)
}

// Advance advances the time by d and runs the callbacks that become due, in the order of their due times. Callbacks run
// on the goroutine of the caller.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	m.mu.Unlock()

	for {
		fn, now := m.takeDue(end)
		if fn == nil {
			return
		}
		fn(now)
	}
}

func (m *Manual) add(delay, interval time.Duration, fn func(now time.Time)) Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.waiting[m.next] = &entry{id: m.next, due: m.now.Add(delay), interval: interval, fn: fn}
	return manualSubscription{clock: m, id: m.next}
}

// takeDue returns the callback that is due first, at end at the latest, and sets the time to its due time. If there is
// none, it sets the time to end and returns nil.
func (m *Manual) takeDue(end time.Time) (func(now time.Time), time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()

	var first *entry
	for _, e := range m.waiting {
		if e.due.After(end) {
			continue
		}
		if first == nil || e.due.Before(first.due) || (e.due.Equal(first.due) && e.id < first.id) {
			first = e
		}
	}
	if first == nil {
		m.now = end
		return nil, end
	}

	if first.due.After(m.now) {
		m.now = first.due
	}
	if first.interval > 0 {
		first.due = first.due.Add(first.interval)
	} else {
		delete(m.waiting, first.id)
	}
	return first.fn, m.now
}

type manualSubscription struct {
	clock *Manual
	id    uint64
}

func (s manualSubscription) Stop() {
	s.clock.mu.Lock()
	defer s.clock.mu.Unlock()
	delete(s.clock.waiting, s.id)
}
