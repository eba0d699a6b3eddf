package fleet

import (
	"container/heap"
	"time"
)

// pollQueue holds the servers without a poll in flight, the one that is due first on top. With it the cost of an event
// doesn't grow with the fleet.
type pollQueue []*server

// Len implements heap.Interface.
func (q pollQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q pollQueue) Less(a, b int) bool {
	if !q[a].nextPollAt.Equal(q[b].nextPollAt) {
		return q[a].nextPollAt.Before(q[b].nextPollAt)
	}
	return q[a].id < q[b].id
}

// Swap implements heap.Interface.
func (q pollQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].pollIndex, q[b].pollIndex = a, b
}

// Push implements heap.Interface.
func (q *pollQueue) Push(x any) {
	v := x.(*server)
	v.pollIndex = len(*q)
	*q = append(*q, v)
}

// Pop implements heap.Interface.
func (q *pollQueue) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	v.pollIndex = notQueued
	return v
}

// notQueued is the index of a server that isn't in the queue.
const notQueued = -1

// pollAt sets when a server is polled next. While a poll is in flight, its outcome sets the time of the next one.
func (s *State) pollAt(v *server, at time.Time) {
	v.nextPollAt = at
	switch {
	case v.pollIndex != notQueued:
		heap.Fix(&s.polls, v.pollIndex)
	case !v.pollInFlight && !v.retired && v.reg.Address != "":
		heap.Push(&s.polls, v)
	}
}

// nextDuePoll removes a server that is due to be polled from the queue and returns it, or nil if none is due.
func (s *State) nextDuePoll(now time.Time) *server {
	if len(s.polls) == 0 || now.Before(s.polls[0].nextPollAt) {
		return nil
	}
	return heap.Pop(&s.polls).(*server)
}

// pollInterval returns the shortest time between two polls of a server.
func (s *State) pollInterval() time.Duration { return max(minPollInterval, s.placementInterval()) }

// cancelPolls removes a server from the queue.
func (s *State) cancelPolls(v *server) {
	if v.pollIndex != notQueued {
		heap.Remove(&s.polls, v.pollIndex)
	}
}
