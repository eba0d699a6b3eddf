package queue_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/timer"
)

const wave = 10_000

// waiting is what a cancellation wave is measured on.
type waiting interface {
	Push(r queue.Request, now time.Time) queue.PushOutcome
	Cancel(id string) bool
	Pick(pool string, now time.Time, try func(r queue.Request) bool) (queue.Request, bool)
}

// scanned removes a cancelled request by a scan.
type scanned struct{ requests []queue.Request }

func (s *scanned) Push(r queue.Request, _ time.Time) queue.PushOutcome {
	s.requests = append(s.requests, r)
	return queue.Queued{}
}

func (s *scanned) Cancel(id string) bool {
	for i, r := range s.requests {
		if r.ID() == id {
			s.requests = append(s.requests[:i], s.requests[i+1:]...)
			return true
		}
	}
	return false
}

func (s *scanned) Pick(string, time.Time, func(r queue.Request) bool) (queue.Request, bool) {
	if len(s.requests) == 0 {
		return queue.Request{}, false
	}
	r := s.requests[0]
	s.requests = s.requests[1:]
	return r, true
}

// BenchmarkPolicyCancel measures a wave of 10,000 cancellations, latest first, with a pick after every 100.
func BenchmarkPolicyCancel(b *testing.B) {
	for name, fresh := range map[string]func() waiting{
		"scan":    func() waiting { return &scanned{} },
		"current": func() waiting { return &queue.Queue{Bound: 2 * wave} },
	} {
		b.Run(name, func(b *testing.B) {
			clock := timer.System{}
			for b.Loop() {
				q := fresh()
				for i := range 2 * wave {
					r := queue.NewRequest(strconv.Itoa(i), "p", "e", strconv.Itoa(i%6), queue.Archive, slots(1+i%5), start, start.Add(time.Hour))
					q.Push(r, start)
				}
				began, longest := clock.Now(), time.Duration(0)
				for i := range wave {
					q.Cancel(strconv.Itoa(2*wave - 1 - i))
					if i%100 == 0 {
						before := clock.Now()
						q.Pick("p", start, func(queue.Request) bool { return true })
						longest = max(longest, clock.Now().Sub(before))
					}
				}
				b.ReportMetric(float64(clock.Now().Sub(began).Microseconds())/1000, "wave-ms")
				b.ReportMetric(float64(longest.Microseconds()), "longest-pick-us")
			}
		})
	}
}
