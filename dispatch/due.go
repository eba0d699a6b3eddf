package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// dueEntry asks for a look at a request at a time.
type dueEntry struct {
	at time.Time
	id string
}

// dueHeap orders looks by time, so that a tick touches only the requests that are due.
type dueHeap []dueEntry

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].id < h[j].id
	}
	return h[i].at.Before(h[j].at)
}

func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEntry)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (s *State) lookAt(id string, at time.Time) {
	heap.Push(&s.due, dueEntry{at: at, id: id})
	if len(s.due) >= max(s.dueBound, minDueBound) {
		s.compactDue()
	}
}

// compactDue removes the looks at requests that have ended. Without it each call would be kept until its deadline, which
// may be a day. The bound doubles, so that a look costs constant time, amortized.
func (s *State) compactDue() {
	s.due = slices.DeleteFunc(s.due, func(d dueEntry) bool {
		_, held := s.works[d.id]
		return !held
	})
	heap.Init(&s.due)
	s.dueBound = 2 * len(s.due)
}

// later calls fn after a delay, unless the work has ended by then.
func (s *State) later(w *work, delay time.Duration, fn func()) {
	w.pending, w.wake = fn, s.now.Add(delay)
	s.lookAt(w.id(), w.wake)
}

// takeDue returns the ids that are due, in order of their times.
func (s *State) takeDue() []string {
	var ids []string
	for len(s.due) > 0 && !s.due[0].at.After(s.now) {
		ids = append(ids, heap.Pop(&s.due).(dueEntry).id)
	}
	return ids
}
