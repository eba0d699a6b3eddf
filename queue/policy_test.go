package queue_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/timer"
)

// cancellations is the number of requests that BenchmarkPolicyCancel cancels, half of those in the queue.
const cancellations = 10_000

// requestQueue is the part of Queue that BenchmarkPolicyCancel measures.
type requestQueue interface {
	Push(r queue.Request, now time.Time) queue.PushOutcome
	Cancel(id string) bool
	Pick(pool string, now time.Time, try func(r queue.Request) bool) (queue.Request, bool)
}

// scanQueue is a slice of requests. Cancel scans it for the request.
type scanQueue struct{ requests []queue.Request }

func (s *scanQueue) Push(r queue.Request, _ time.Time) queue.PushOutcome {
	s.requests = append(s.requests, r)
	return queue.Queued{}
}

func (s *scanQueue) Cancel(id string) bool {
	for i, r := range s.requests {
		if r.ID() == id {
			s.requests = append(s.requests[:i], s.requests[i+1:]...)
			return true
		}
	}
	return false
}

func (s *scanQueue) Pick(string, time.Time, func(r queue.Request) bool) (queue.Request, bool) {
	if len(s.requests) == 0 {
		return queue.Request{}, false
	}
	r := s.requests[0]
	s.requests = s.requests[1:]
	return r, true
}

// BenchmarkPolicyCancel measures 10,000 cancellations in sequence, latest request first, with a Pick every 100.
func BenchmarkPolicyCancel(b *testing.B) {
	for name, newQueue := range map[string]func() requestQueue{
		"scan":    func() requestQueue { return &scanQueue{} },
		"current": func() requestQueue { return &queue.Queue{Bound: 2 * cancellations} },
	} {
		b.Run(name, func(b *testing.B) {
			clock := timer.System{}
			for b.Loop() {
				q := newQueue()
				for i := range 2 * cancellations {
					r := queue.NewRequest(
						strconv.Itoa(i), "p", "e", strconv.Itoa(i%6), queue.ClassArchive, slots(1+i%5),
						start, start.Add(time.Hour),
					)
					q.Push(r, start)
				}
				started, longestPick := clock.Now(), time.Duration(0)
				for i := range cancellations {
					q.Cancel(strconv.Itoa(2*cancellations - 1 - i))
					if i%100 == 0 {
						before := clock.Now()
						q.Pick("p", start, func(queue.Request) bool { return true })
						longestPick = max(longestPick, clock.Now().Sub(before))
					}
				}
				b.ReportMetric(float64(clock.Now().Sub(started).Microseconds())/1000, "cancellations-ms")
				b.ReportMetric(float64(longestPick.Microseconds()), "longest-pick-us")
			}
		})
	}
}
