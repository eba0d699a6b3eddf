package remote

import (
	"sync"

	"github.com/pistachiolead/pistachiolead/provider"
)

// cursors holds the remaining rows of unfinished scans by cursor. Beyond maxCursors the oldest ones are dropped.
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
	// Cursors are consecutive numbers, so this one is the only cursor that has become too old.
	if s.last > maxCursors {
		delete(s.scans, s.last-maxCursors)
	}
	return s.last
}

func (s *cursors) remove(id uint64) (provider.Rows, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.scans[id]
	delete(s.scans, id)
	return o, ok
}
