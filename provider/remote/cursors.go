package remote

import (
	"sync"

	"github.com/pistachiolead/pistachiolead/provider"
)

// cursors keep the rest of scans whose first pages were sent. The oldest ones are dropped beyond maxCursors.
type cursors struct {
	mu    sync.Mutex
	last  uint64
	scans map[uint64]provider.Rows
}

func (s *cursors) put(o provider.Rows) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scans == nil {
		s.scans = make(map[uint64]provider.Rows)
	}
	s.last++
	s.scans[s.last] = o
	// Cursors are numbered in order, so all but the last maxCursors numbers are too old.
	if s.last > maxCursors {
		delete(s.scans, s.last-maxCursors)
	}
	return s.last
}

func (s *cursors) take(id uint64) (provider.Rows, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.scans[id]
	delete(s.scans, id)
	return o, ok
}
