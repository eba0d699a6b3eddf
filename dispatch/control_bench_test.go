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

// targetSize is the fleet size of R23 to R26, with 8 entry VMs.
var targetSize = fleetSize{servers: 530, pools: 36, teams: 95, entryVMs: 8}

// withLoad adds the load of an entry VM of a fleet in which each backend server starts about one task per second, at 10
// calls to 1 job.
func (s fleetSize) withLoad() fleetSize {
	s.callsPerSecond, s.jobsPerSecond = 60, 6
	return s
}

func (s fleetSize) String() string {
	return fmt.Sprintf("servers=%d/pools=%d/teams=%d", s.servers, s.pools, s.teams)
}

// BenchmarkControlIdle measures the cost of an entry VM's control state per second of fake time, without load and at
// several sizes of the fleet.
func BenchmarkControlIdle(b *testing.B) {
	for _, s := range []fleetSize{
		{servers: 50, pools: 6, teams: 6, entryVMs: 8}, {servers: 200, pools: 36, teams: 95, entryVMs: 8}, targetSize,
	} {
		b.Run(s.String(), func(b *testing.B) { benchmarkControl(b, s) })
	}
}

// BenchmarkControlBusy is like BenchmarkControlIdle, but with calls and jobs.
func BenchmarkControlBusy(b *testing.B) {
	withUnfinishedJobs := targetSize.withLoad()
	withUnfinishedJobs.unfinishedJobs = 10_000
	for _, s := range []fleetSize{
		fleetSize{servers: 50, pools: 6, teams: 6, entryVMs: 8}.withLoad(),
		fleetSize{servers: 200, pools: 36, teams: 95, entryVMs: 8}.withLoad(), targetSize.withLoad(), withUnfinishedJobs,
	} {
		b.Run(fmt.Sprintf("%v/backlog=%d", s, s.unfinishedJobs), func(b *testing.B) { benchmarkControl(b, s) })
	}
}

// benchmarkControl reports CPU time, effects, transferred bytes and allocations per second, and the live heap.
func benchmarkControl(b *testing.B, s fleetSize) {
	b.Helper()
	h := newControlHarness(s)
	for range 30 {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
	}
	h.reset()
	n := 0
	for b.Loop() {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
		n++
	}
	b.ReportMetric(float64(h.startupCPU.Microseconds())/1000, "start-ms")
	per := func(v float64) float64 { return v / float64(n) }
	b.ReportMetric(per(float64(h.cpuTime.Nanoseconds()))/1000, "control-µs/s")
	for _, kind := range slices.Sorted(maps.Keys(h.counts)) {
		b.ReportMetric(per(h.counts[kind]), kind+"/s")
	}
	sent, received := 0.0, 0.0
	for kind, v := range h.sentBytes {
		sent += v
		b.ReportMetric(per(v), kind+"-sent-B/s")
	}
	for kind, v := range h.receivedBytes {
		received += v
		b.ReportMetric(per(v), kind+"-received-B/s")
	}
	b.ReportMetric(per(sent), "sent-B/s")
	b.ReportMetric(per(received), "received-B/s")
	b.ReportMetric(stateHeapBytes(s)/1024, "heap-KiB")

	h.reset()
	h.countAllocs = true
	for range 3 {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
	}
	b.ReportMetric(float64(h.allocs)/3, "control-allocs/s")
}

// Guards against timers of finished calls that are kept until the call's deadline. Callers may set a deadline of a day;
// at 60 calls per second these are 5 million entries, which exceed the 32 MB of R28.
func TestStateKeepsNoMemoryOfFinishedCalls(t *testing.T) {
	h := newControlHarness(fleetSize{servers: 50, pools: 6, teams: 6, entryVMs: 3})
	h.deadline = h.clock.Now().Add(24 * time.Hour)
	for range 5 {
		h.runSecond(100, 0)
	}
	before := liveHeapBytes()
	const seconds = 120
	for range seconds {
		h.runSecond(100, 0)
	}
	grown := (liveHeapBytes() - before) / (seconds * 100)
	runtime.KeepAlive(h)
	assert.Assert(t, grown < 8, "the heap grew by %.1f bytes per finished call, less than 8 are allowed", grown)
}

// stateHeapBytes returns the live heap of a control state after load, in bytes and without the harness.
func stateHeapBytes(s fleetSize) float64 {
	h := newControlHarness(s)
	for range 15 {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
	}
	withState := liveHeapBytes()
	h.state = nil
	withoutState := liveHeapBytes()
	runtime.KeepAlive(h)
	return withState - withoutState
}

func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// controlCost is the use of resources by a control state: CPU time, bytes and messages per second, and the live heap.
type controlCost struct{ cpuMicroseconds, sentBytes, receivedBytes, messages, heapBytes float64 }

// measureCost returns the cost of 20 s under load, per second.
func measureCost(s fleetSize) controlCost {
	h := newControlHarness(s)
	for range 15 {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
	}
	h.reset()
	const seconds = 20
	for range seconds {
		h.runSecond(s.callsPerSecond, s.jobsPerSecond)
	}
	cost := controlCost{cpuMicroseconds: float64(h.cpuTime.Nanoseconds()) / 1000 / seconds, heapBytes: stateHeapBytes(s)}
	for _, kind := range slices.Sorted(maps.Keys(h.sentBytes)) {
		cost.sentBytes += h.sentBytes[kind] / seconds
		cost.receivedBytes += h.receivedBytes[kind] / seconds
		cost.messages += h.counts[kind] / seconds
	}
	return cost
}

// BenchmarkControlSlopes measures what one more server, pool, team, entry VM, call or job adds to the cost of control
// per second at the target size. The lowest, median and highest CPU time of 5 runs are reported, because it depends on
// the machine.
func BenchmarkControlSlopes(b *testing.B) {
	base := targetSize.withLoad()
	withChange := func(change func(*fleetSize)) fleetSize {
		s := base
		change(&s)
		return s
	}
	for _, v := range []struct {
		name   string
		less   fleetSize
		amount float64
	}{
		{"server", withChange(func(s *fleetSize) { s.servers = 200 }), 330},
		{"pool", withChange(func(s *fleetSize) { s.pools = 6 }), 30},
		{"team", withChange(func(s *fleetSize) { s.teams = 35 }), 60},
		{"entry-vm", withChange(func(s *fleetSize) { s.entryVMs = 6 }), 2},
		{"call", withChange(func(s *fleetSize) { s.callsPerSecond = 20 }), 40},
		{"job", withChange(func(s *fleetSize) { s.jobsPerSecond = 2 }), 4},
	} {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				var slopes []float64
				var more, less controlCost
				for range 5 {
					more, less = measureCost(base), measureCost(v.less)
					slopes = append(slopes, (more.cpuMicroseconds-less.cpuMicroseconds)/v.amount)
				}
				slices.Sort(slopes)
				b.ReportMetric(slopes[0], "µs-lowest")
				b.ReportMetric(slopes[len(slopes)/2], "µs-median")
				b.ReportMetric(slopes[len(slopes)-1], "µs-highest")
				b.ReportMetric((more.sentBytes-less.sentBytes)/v.amount, "sent-B")
				b.ReportMetric((more.receivedBytes-less.receivedBytes)/v.amount, "received-B")
				b.ReportMetric((more.messages-less.messages)/v.amount, "messages")
				b.ReportMetric((more.heapBytes-less.heapBytes)/v.amount, "heap-B")
			}
		})
	}
}
