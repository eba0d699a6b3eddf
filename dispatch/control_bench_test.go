package dispatch_test

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// targetSize is the target of R23 to R26 with 8 entry VMs.
var targetSize = controlSize{servers: 530, pools: 36, teams: 95, entries: 8}

// busy adds a load of about the entry VM's part of one task start a second on each backend server, in the proportion
// of 10 calls to 1 job.
func (s controlSize) busy() controlSize {
	s.calls, s.jobs = 60, 6
	return s
}

func (s controlSize) String() string {
	return fmt.Sprintf("servers=%d/pools=%d/teams=%d", s.servers, s.pools, s.teams)
}

// BenchmarkControlIdle measures one second of control of an entry VM without load, at several sizes of the fleet.
func BenchmarkControlIdle(b *testing.B) {
	for _, s := range []controlSize{
		{servers: 50, pools: 6, teams: 6, entries: 8}, {servers: 200, pools: 36, teams: 95, entries: 8}, targetSize,
	} {
		b.Run(s.String(), func(b *testing.B) { benchmarkControl(b, s) })
	}
}

// BenchmarkControlBusy is BenchmarkControlIdle with calls and jobs.
func BenchmarkControlBusy(b *testing.B) {
	backlogged := targetSize.busy()
	backlogged.backlog = 10_000
	for _, s := range []controlSize{
		controlSize{servers: 50, pools: 6, teams: 6, entries: 8}.busy(),
		controlSize{servers: 200, pools: 36, teams: 95, entries: 8}.busy(), targetSize.busy(), backlogged,
	} {
		b.Run(fmt.Sprintf("%v/backlog=%d", s, s.backlog), func(b *testing.B) { benchmarkControl(b, s) })
	}
}

func benchmarkControl(b *testing.B, s controlSize) {
	b.Helper()
	c := newControlRig(s)
	for range 30 {
		c.second(s.calls, s.jobs)
	}
	c.reset()
	n := 0
	for b.Loop() {
		c.second(s.calls, s.jobs)
		n++
	}
	b.ReportMetric(float64(c.started.Microseconds())/1000, "start-ms")
	per := func(v float64) float64 { return v / float64(n) }
	b.ReportMetric(per(float64(c.spent.Nanoseconds()))/1000, "control-µs/s")
	for _, kind := range slices.Sorted(maps.Keys(c.counts)) {
		b.ReportMetric(per(c.counts[kind]), kind+"/s")
	}
	sent, received := 0.0, 0.0
	for kind, v := range c.sent {
		sent += v
		b.ReportMetric(per(v), kind+"-sent-B/s")
	}
	for kind, v := range c.received {
		received += v
		b.ReportMetric(per(v), kind+"-received-B/s")
	}
	b.ReportMetric(per(sent), "sent-B/s")
	b.ReportMetric(per(received), "received-B/s")
	b.ReportMetric(heapOf(s)/1024, "heap-KiB")

	c.reset()
	c.exact = true
	for range 3 {
		c.second(s.calls, s.jobs)
	}
	b.ReportMetric(float64(c.objects)/3, "control-allocs/s")
}

// Guards against memory that grows with each finished call until its deadline, which callers may set to a day: at 60 calls
// a second that were 5 million entries, over the 32 MB of R28.
func TestFinishedCallsAreForgotten(t *testing.T) {
	c := newControlRig(controlSize{servers: 50, pools: 6, teams: 6, entries: 3})
	c.deadline = c.clock.Now().Add(24 * time.Hour)
	for range 5 {
		c.second(100, 0)
	}
	before := liveHeap()
	const seconds = 120
	for range seconds {
		c.second(100, 0)
	}
	grown := (liveHeap() - before) / (seconds * 100)
	runtime.KeepAlive(c)
	assert.Assert(t, grown < 8, "%.0f bytes a call", grown)
}

// heapOf returns the live heap bytes of a control state after load, without those of the rig around it.
func heapOf(s controlSize) float64 {
	c := newControlRig(s)
	for range 15 {
		c.second(s.calls, s.jobs)
	}
	with := liveHeap()
	c.state = nil
	without := liveHeap()
	runtime.KeepAlive(c)
	return with - without
}

func liveHeap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// controlCost is what a second of control costs.
type controlCost struct{ micros, sent, received, messages, heap float64 }

func costOf(s controlSize) controlCost {
	c := newControlRig(s)
	for range 15 {
		c.second(s.calls, s.jobs)
	}
	c.reset()
	const seconds = 20
	for range seconds {
		c.second(s.calls, s.jobs)
	}
	cost := controlCost{micros: float64(c.spent.Nanoseconds()) / 1000 / seconds, heap: heapOf(s)}
	for _, kind := range slices.Sorted(maps.Keys(c.sent)) {
		cost.sent += c.sent[kind] / seconds
		cost.received += c.received[kind] / seconds
		cost.messages += c.counts[kind] / seconds
	}
	return cost
}

// BenchmarkControlSlopes measures what one more of each adds to a second of control at the target. The range of
// processor time over 5 runs is reported, because it depends on the machine.
func BenchmarkControlSlopes(b *testing.B) {
	base := targetSize.busy()
	with := func(change func(*controlSize)) controlSize {
		s := base
		change(&s)
		return s
	}
	for _, v := range []struct {
		name   string
		less   controlSize
		amount float64
	}{
		{"server", with(func(s *controlSize) { s.servers = 200 }), 330},
		{"pool", with(func(s *controlSize) { s.pools = 6 }), 30},
		{"team", with(func(s *controlSize) { s.teams = 35 }), 60},
		{"entry-vm", with(func(s *controlSize) { s.entries = 6 }), 2},
		{"call", with(func(s *controlSize) { s.calls = 20 }), 40},
		{"job", with(func(s *controlSize) { s.jobs = 2 }), 4},
	} {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				var slopes []float64
				var more, less controlCost
				for range 5 {
					more, less = costOf(base), costOf(v.less)
					slopes = append(slopes, (more.micros-less.micros)/v.amount)
				}
				slices.Sort(slopes)
				b.ReportMetric(slopes[0], "µs-lowest")
				b.ReportMetric(slopes[len(slopes)/2], "µs-median")
				b.ReportMetric(slopes[len(slopes)-1], "µs-highest")
				b.ReportMetric((more.sent-less.sent)/v.amount, "sent-B")
				b.ReportMetric((more.received-less.received)/v.amount, "received-B")
				b.ReportMetric((more.messages-less.messages)/v.amount, "messages")
				b.ReportMetric((more.heap-less.heap)/v.amount, "heap-B")
			}
		})
	}
}
