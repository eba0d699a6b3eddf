package ownership_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/provider"
)

// BenchmarkControlOwnership measures the cost of one second of ownership decisions at one of 8 entry VMs of an
// availability zone. The bytes are the JSON of the requests without HTTP headers.
func BenchmarkControlOwnership(b *testing.B) {
	for _, n := range []int{50, 200, 530} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newBenchmarkFleet(n)
			for range 120 {
				f.second()
			}
			f.messages, f.bytes = 0, 0
			b.ReportAllocs()
			for b.Loop() {
				f.second()
			}
			b.ReportMetric(float64(f.messages)/float64(b.N), "messages/s")
			b.ReportMetric(float64(f.bytes)/float64(b.N), "bytes/s")
		})
	}
}

// benchmarkFleet is one entry VM whose requests are answered at once. Servers for which it isn't the preferred owner
// are held by other entry VMs.
type benchmarkFleet struct {
	own      ownership.State
	now      time.Time
	held     map[string]bool
	messages int
	bytes    int
}

func newBenchmarkFleet(servers int) *benchmarkFleet {
	f := &benchmarkFleet{own: ownership.State{EntryVM: "e0", Zone: zone}, now: time.Unix(1e6, 0), held: map[string]bool{}}
	var members []string
	var vms []provider.VM
	for i := range 8 {
		members = append(members, "e"+strconv.Itoa(i))
	}
	for i := range servers {
		vms = append(vms, provider.NewVM(
			fmt.Sprintf("worker-%04d", i), provider.RoleBackendServer, zone, "", "", provider.Shape{}, false))
	}
	f.handle(ownership.NewMembersChanged(members))
	f.handle(ownership.NewServersListed(vms))
	for range 20 { // the preferred owner acquires at once, other entry VMs after a lease
		f.now = f.now.Add(ownership.TickInterval)
		f.handle(ownership.NewTick())
	}
	for _, id := range f.own.Owned() {
		f.held[id] = true
	}
	return f
}

func (f *benchmarkFleet) second() {
	for range int(time.Second / ownership.TickInterval) {
		f.now = f.now.Add(ownership.TickInterval)
		f.handle(ownership.NewTick())
	}
}

func (f *benchmarkFleet) handle(e ownership.Event) {
	for _, x := range f.own.Handle(e, f.now) {
		switch x := x.(type) {
		case ownership.Acquire:
			f.count(x.Server(), 0)
			f.handle(ownership.NewAcquireEnded(x.Server(), f.now, f.acquire(x.Server())))
		case ownership.Report:
			f.count(x.Server(), x.Epoch())
			f.handle(ownership.NewReportEnded(x.Server(), x.Epoch(), f.now, provider.NewReport(provider.Shape{}, nil)))
		}
	}
}

func (f *benchmarkFleet) acquire(server string) provider.AcquireOutcome {
	if f.held[server] || len(f.held) == 0 {
		return provider.NewGranted(uint64(f.now.UnixMilli())<<20, lease, nil)
	}
	return provider.NewHeld("e1", lease-time.Second)
}

func (f *benchmarkFleet) count(server string, epoch uint64) {
	data, err := json.Marshal(map[string]any{"server": server, "holder": "e0", "zone": zone, "epoch": epoch})
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(data)
}

// measureTakeover returns, for each server of a stopped entry VM, how long no other entry VM may start work on it.
func measureTakeover(seed uint64, stop func(*entryVM)) []time.Duration {
	s := newSimulation(8, 50, options{checksOff: true}, seed)
	s.run(8*time.Second + time.Duration(rand.New(rand.NewPCG(seed, 1)).Int64N(int64(4*time.Second))))
	p := s.entryVMs[0]
	before := p.ownership.Owned()
	stop(p)
	var waits []time.Duration
	start := s.now()
	for s.now() < start+20*time.Second && len(before) > 0 {
		s.run(s.now() + 10*time.Millisecond)
		before = slices.DeleteFunc(before, func(id string) bool {
			i := slices.IndexFunc(s.entryVMs, func(q *entryVM) bool {
				_, ok := q.ownership.MayStart(id, q.clock())
				return ok && q != p
			})
			if i >= 0 {
				waits = append(waits, s.now()-s.releaseTime(id, start))
			}
			return i >= 0
		})
	}
	for range before {
		waits = append(waits, 20*time.Second)
	}
	return waits
}

// releaseTime returns when the stopped entry VM released the server, or start if it was killed.
func (s *simulation) releaseTime(id string, start time.Duration) time.Duration {
	if at, ok := s.entryVMs[0].releases[id]; ok {
		return at
	}
	return start
}

var stopKinds = map[string]struct {
	stop        func(*entryVM)
	mean, worst time.Duration
}{
	"kill":            {func(p *entryVM) { p.stopped = true }, 5 * time.Second, 7 * time.Second},
	"planned release": {func(p *entryVM) { p.drain(2 * time.Second) }, time.Second, 2 * time.Second},
}

func summarizeTakeovers(seeds uint64, stop func(*entryVM)) (mean, median, worst time.Duration) {
	var waits []time.Duration
	var sum time.Duration
	for seed := range seeds {
		waits = append(waits, measureTakeover(seed, stop)...)
	}
	for _, d := range waits {
		sum += d
	}
	slices.Sort(waits)
	return sum / time.Duration(len(waits)), waits[len(waits)/2], waits[len(waits)-1]
}

// Guards against a takeover that takes longer than the 7 s of design 5.2, a mean above its 5 s, and a planned stop
// after which the next owner doesn't acquire the servers at once.
func TestTakeoverTime(t *testing.T) {
	for name, c := range stopKinds {
		t.Run(name, func(t *testing.T) {
			mean, _, worst := summarizeTakeovers(20, c.stop)
			assert.Assert(t, mean < c.mean, "mean takeover time is %v", mean)
			assert.Assert(t, worst < c.worst, "longest takeover time is %v", worst)
		})
	}
}

// BenchmarkTakeOver measures the time without an owner after a kill and after a planned release, over 200 seeds.
func BenchmarkTakeOver(b *testing.B) {
	for name, c := range stopKinds {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				mean, median, worst := summarizeTakeovers(200, c.stop)
				b.ReportMetric(mean.Seconds(), "mean-s")
				b.ReportMetric(median.Seconds(), "median-s")
				b.ReportMetric(worst.Seconds(), "worst-s")
			}
		})
	}
}
