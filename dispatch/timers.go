package dispatch

import (
	"container/heap"
	"slices"
	"time"
)

// timerEntry schedules a check of a request.
type timerEntry struct {
	at time.Time
	id string
}

// timerHeap orders timers by time, so that a tick visits only the requests that are due.
type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].id < h[j].id
	}
	return h[i].at.Before(h[j].at)
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timerEntry)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduleCheck makes expireRequests check the request at the given time.
func (s *State) scheduleCheck(id string, at time.Time) {
	heap.Push(&s.timers, timerEntry{at: at, id: id})
	if len(s.timers) >= max(s.timerCompactLength, minTimerCompactLength) {
		s.compactTimers()
	}
}

// compactTimers removes the timers of requests that have ended. Otherwise the timer of each call would be kept until
// the call's deadline, which may be a day away. The next compaction is at twice the remaining length, so the amortized
// cost of a timer is constant.
func (s *State) compactTimers() {
	s.timers = slices.DeleteFunc(s.timers, func(d timerEntry) bool {
		_, held := s.workItems[d.id]
		return !held
	})
	heap.Init(&s.timers)
	s.timerCompactLength = 2 * len(s.timers)
}

// after calls fn after a delay, unless the work item has ended by then.
func (s *State) after(w *workItem, delay time.Duration, fn func()) {
	w.onWake, w.wakeAt = fn, s.now.Add(delay)
	s.scheduleCheck(w.id(), w.wakeAt)
}

// popDueTimers removes the timers that are due and returns their request ids in order of time.
func (s *State) popDueTimers() []string {
	var ids []string
	for len(s.timers) > 0 && !s.timers[0].at.After(s.now) {
		ids = append(ids, heap.Pop(&s.timers).(timerEntry).id)
	}
	return ids
}
