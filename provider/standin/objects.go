package standin

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Objects is an in-memory provider.ObjectStore.
type Objects struct {
	// Clock is required.
	Clock timer.Clock
	// Faults may be changed while the store is in use.
	Faults Faults

	mu      sync.Mutex
	objects map[string][]byte
	puts    map[string]int
}

var _ provider.ObjectStore = (*Objects)(nil)

// Put implements provider.ObjectStore.
func (s *Objects) Put(ctx context.Context, name string, data []byte) provider.PutOutcome {
	data = bytes.Clone(data)
	switch s.Faults.call(ctx, s.Clock, false, func(time.Time) { s.put(name, data) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return provider.Stored{}
}

// Get implements provider.ObjectStore.
func (s *Objects) Get(ctx context.Context, name string) provider.GetOutcome {
	var o provider.GetOutcome
	switch s.Faults.call(ctx, s.Clock, false, func(time.Time) { o = s.get(name) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewUnavailable(reasonNoReply)
	}
	return o
}

// Puts returns the number of times that an object was stored. Faults don't affect it.
func (s *Objects) Puts(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts[name]
}

func (s *Objects) put(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
		s.puts = make(map[string]int)
	}
	s.objects[name] = data
	s.puts[name]++
}

func (s *Objects) get(name string) provider.GetOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return provider.ObjectNotFound{}
	}
	return provider.NewObject(data)
}
