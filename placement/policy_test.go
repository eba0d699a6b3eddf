package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

const (
	tick       = 20 * time.Millisecond
	simTime    = 90 * time.Second
	teams      = 6
	serverN    = 50
	cores      = 32
	reportLag  = 2 * time.Second
	windowTick = int(10 * time.Second / tick)
)

var weights = [teams]float64{4, 3, 2, 1, 1, 1}

// policy is one way to order and size work.
type policy struct {
	name    string
	nodes   int           // entry VMs, each with its own queue and servers
	fcfs    bool          // first come first served, without classes
	remote  float64       // Shares.RemoteWeight: weight of what other entry VMs run, from digests once a second
	learned bool          // sizes learned from reports instead of declared ones
	victims bool          // urgent work interrupts archive work
	mixed   bool          // 10% urgent, 20% interactive and 70% archive work instead of one class
	memory  time.Duration // Shares.Memory
}

type job struct {
	request queue.Request
	team    int
	entry   int
	class   queue.Class
	server  string
	shape   provider.Shape
	left    float64 // seconds of work at full speed
	whole   float64
	began   time.Time
}

type node struct {
	queue   queue.Queue
	chooser placement.Chooser
	running []*job
}

// fleet simulates one pool of 50 servers with 8 slots each. Each of six teams in turn sends 5x its mean load for 3 s and
// then a twentieth for 3 s. Declared sizes are off by up to 10x. A server with more work than cores slows down.
type fleet struct {
	policy
	random  *rand.Rand
	members []*node
	sizes   placement.Estimator
	now     time.Time
	jobs    map[string]*job
	serial  int
	delays  [3][]float64
	samples [][teams]sample
	done    float64 // seconds of work
	redone  float64 // seconds of work lost by stops
}

// sample is the use of one team in one tick: its dominant share by real sizes, and whether it had waiting work.
type sample struct {
	share      float64
	backlogged bool
}

func teamName(i int) string { return fmt.Sprint("t", i) }

func newFleet(p policy) *fleet {
	f := &fleet{policy: p, random: rand.New(rand.NewPCG(7, 7)), now: start, jobs: make(map[string]*job)}
	for range p.nodes {
		n := &node{queue: queue.Queue{Bound: 1000}}
		n.queue.Shares.Memory = p.memory
		for i, w := range weights {
			n.queue.Shares.SetTeam(teamName(i), w)
		}
		f.members = append(f.members, n)
	}
	for i := range serverN {
		s := placement.NewServer(fmt.Sprint("s", i), "z", fmt.Sprint("r", i/4), "p", provider.NewShape(cores, 1, 0, 8), true)
		f.members[i%p.nodes].chooser.SetServer(s)
	}
	for _, n := range f.members {
		n.queue.Shares.SetCapacity(n.chooser.Capacity("p"))
		n.queue.Shares.RemoteWeight = p.remote
		n.queue.Shares.SetRemoteCapacity(provider.NewShape(cores*serverN, 1, 0, 8*serverN).Minus(n.chooser.Capacity("p")))
	}
	return f
}

func realCores(entry int) int { return 1 + entry*5%7 }

func (f *fleet) size(entry int) provider.Shape {
	n := float64(realCores(entry)) * math.Pow(10, float64(entry*7%9)/4-1) // a tenth to ten times
	if f.learned {
		n = f.sizes.Quantile(fmt.Sprint(entry), 0.5, n)
	}
	return provider.NewShape(min(max(int(math.Round(n)), 1), cores), 0, 0, 1)
}

func (f *fleet) arrive() {
	second := int(f.now.Sub(start).Seconds())
	for team, w := range weights {
		rate := 420 * w / 12 // starts a second; somewhat more than the fleet completes
		switch (second/3 + 2*teams - team) % teams {
		case 0:
			rate *= 5
		case 1:
			rate /= 20
		}
		for n := rate * tick.Seconds(); n > f.random.Float64(); n-- {
			f.push(team)
		}
	}
}

func (f *fleet) push(team int) {
	f.serial++
	j := &job{team: team, entry: 4*team + f.random.IntN(4), class: queue.Archive, left: 0.3 + 0.7*f.random.ExpFloat64()}
	if k := f.random.IntN(10); f.mixed && k < 3 {
		j.class = queue.Class(min(k, 1))
	} else if f.mixed {
		j.left *= 5
	}
	j.whole = j.left
	class, name := j.class, teamName(team)
	if f.fcfs {
		class, name = queue.Archive, "all"
	}
	r := queue.NewRequest(fmt.Sprint(f.serial), "p", fmt.Sprint(j.entry), name, class, f.size(j.entry), f.now, time.Time{})
	j.request = r
	at := f.random.IntN(len(f.members))
	if _, ok := f.members[at].queue.Push(r, f.now).(queue.Queued); ok {
		f.jobs[r.ID()] = j
	}
}

func (f *fleet) start(n *node) {
	var again []*job
	try := func(r queue.Request) bool {
		j, class := f.jobs[r.ID()], r.Class()
		shape := f.size(j.entry) // as learned by now
		if f.fcfs {
			class = queue.Urgent // no reserve
		}
		server, outcome := n.chooser.Choose("p", r.Entry(), shape, class, f.now)
		if _, ok := outcome.(placement.NoRoom); ok && f.victims && class == queue.Urgent {
			if plan, ok := n.chooser.Victims("p", shape, class); ok {
				again = append(again, f.interrupt(n, plan)...)
				server, outcome = n.chooser.Choose("p", r.Entry(), shape, class, f.now)
			}
		}
		if _, ok := outcome.(placement.Chosen); !ok {
			return false
		}
		j.shape = shape
		n.chooser.Reserve(server, r.ID(), shape)
		n.chooser.Describe(server, r.ID(), placement.NewTraits(j.class, true, j.entry%2 == 0, f.now))
		n.queue.Shares.Started(r.Team(), shape)
		if j.began.IsZero() {
			f.delays[j.class] = append(f.delays[j.class], f.now.Sub(r.Arrived()).Seconds())
		}
		j.server, j.began = server, f.now
		n.running = append(n.running, j)
		return true
	}
	for {
		_, ok := n.queue.Pick("p", f.now, try)
		for _, j := range again {
			n.queue.Readmit(j.request, f.now)
		}
		again = nil
		if !ok {
			return
		}
	}
}

func (f *fleet) interrupt(n *node, plan placement.Interruption) []*job {
	var stopped []*job
	for _, v := range plan.Victims() {
		j := f.jobs[v.Key()]
		switch v.Signal() {
		case provider.SignalThrottle:
			n.chooser.Throttled(plan.Server(), v.Key())
			continue
		case provider.SignalStop:
			f.redone += j.whole - j.left
			j.left = j.whole
		}
		f.end(n, j)
		stopped = append(stopped, j)
	}
	return stopped
}

func (f *fleet) end(n *node, j *job) {
	n.chooser.Free(j.server, j.request.ID())
	n.queue.Shares.Ended(j.request.Team(), j.shape)
	n.running = slices.DeleteFunc(n.running, func(o *job) bool { return o == j })
}

func (f *fleet) work(n *node) {
	used := make(map[string]float64)
	for _, j := range n.running {
		used[j.server] += float64(realCores(j.entry))
	}
	for _, j := range slices.Clone(n.running) {
		speed := min(1, cores/used[j.server])
		j.left -= speed * tick.Seconds()
		f.done += speed * tick.Seconds()
		if age := f.now.Sub(j.began); age >= reportLag && age < reportLag+tick || j.left <= 0 {
			f.sizes.Observe(j.request.Entry(), float64(realCores(j.entry)), f.now)
		}
		if j.left <= 0 {
			f.end(n, j)
			delete(f.jobs, j.request.ID())
		}
	}
}

func (f *fleet) record() {
	var s [teams]sample
	var slots, cpu [teams]float64
	for _, n := range f.members {
		for _, j := range n.running {
			slots[j.team]++
			cpu[j.team] += float64(realCores(j.entry))
		}
		for i := range s {
			s[i].backlogged = s[i].backlogged || n.queue.Backlog(teamName(i)) > 0
		}
	}
	for i := range s {
		s[i].share = max(slots[i]/(8*serverN), cpu[i]/(cores*serverN))
		if f.fcfs {
			s[i].backlogged = f.now.Sub(start) > 10*time.Second // the one queue is never empty by then
		}
	}
	f.samples = append(f.samples, s)
}

func (f *fleet) run() {
	for f.now = start; f.now.Before(start.Add(simTime)); f.now = f.now.Add(tick) {
		f.arrive()
		for _, n := range f.members {
			f.work(n)
		}
		if f.remote >= 0 && f.now.Sub(start)%time.Second == 0 {
			f.exchange()
		}
		for _, n := range f.members {
			f.start(n)
		}
		f.record()
	}
}

// exchange sets what the other entry VMs run.
func (f *fleet) exchange() {
	for _, n := range f.members {
		var sums [teams]provider.Shape
		for _, o := range f.members {
			for _, j := range o.running {
				if o != n {
					sums[j.team] = sums[j.team].Plus(j.shape)
				}
			}
		}
		for i, s := range sums {
			n.queue.Shares.Remote(teamName(i), s)
		}
	}
}

// nearness returns the largest and the mean shortfall of teams that had waiting work through a whole 10 s window,
// relative to their weighted max-min share of what was running, and the lowest Jain's index.
func (f *fleet) nearness() (largest, mean, jain float64) {
	jain = 1
	count := 0
	for first := windowTick; first+windowTick <= len(f.samples); first += windowTick / 10 {
		var use [teams]float64
		backlogged := [teams]bool{true, true, true, true, true, true}
		for _, s := range f.samples[first : first+windowTick] {
			for i := range s {
				use[i] += s[i].share / float64(windowTick)
				backlogged[i] = backlogged[i] && s[i].backlogged
			}
		}
		level := fairLevel(use, backlogged)
		sum, squares, n := 0.0, 0.0, 0.0
		for i := range use {
			if !backlogged[i] {
				continue
			}
			x := use[i] / (level * weights[i])
			largest, mean = max(largest, 1-x), mean+max(1-x, 0)
			sum, squares, n = sum+x, squares+x*x, n+1
		}
		if n > 1 {
			jain = min(jain, sum*sum/(n*squares))
		}
		count += int(n)
	}
	return largest, mean / float64(max(count, 1)), jain
}

// fairLevel returns the share for each unit of weight that uses up the same total when teams without waiting work take no
// more than they used.
func fairLevel(use [teams]float64, backlogged [teams]bool) float64 {
	low, high := 0.0, 10.0
	for range 60 {
		level, total := (low+high)/2, 0.0
		for i := range use {
			demand := level * weights[i]
			if !backlogged[i] {
				demand = min(demand, use[i])
			}
			total += demand - use[i]
		}
		if total > 0 {
			high = level
		} else {
			low = level
		}
	}
	return high
}

// BenchmarkPolicyShare measures nearness to share at a full fleet, with shares by real sizes.
func BenchmarkPolicyShare(b *testing.B) {
	for _, p := range []policy{
		{name: "first-come-declared", nodes: 8, fcfs: true},
		{name: "first-come", nodes: 8, fcfs: true, learned: true},
		{name: "declared", nodes: 8},
		{name: "local", nodes: 8, learned: true, remote: -1, memory: -1},
		{name: "remote-in-full", nodes: 8, learned: true, remote: 7, memory: -1},
		{name: "without-memory", nodes: 8, learned: true, memory: -1},
		{name: "current", nodes: 8, learned: true},
		{name: "current-one-entry-vm", nodes: 1, learned: true},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(p)
				f.run()
				largest, mean, jain := f.nearness()
				b.ReportMetric(100*largest, "largest-shortfall-%")
				b.ReportMetric(100*mean, "mean-shortfall-%")
				b.ReportMetric(jain, "lowest-jain")
				b.ReportMetric(100*f.done/(simTime.Seconds()*8*serverN), "slots-busy-%")
			}
		})
	}
}

// BenchmarkPolicyStart measures how long urgent and interactive work waits for its start at a full fleet.
func BenchmarkPolicyStart(b *testing.B) {
	for _, p := range []policy{
		{name: "first-come", nodes: 8, fcfs: true, mixed: true},
		{name: "reserve", nodes: 8, learned: true, mixed: true},
		{name: "reserve-and-interrupt", nodes: 8, learned: true, mixed: true, victims: true},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(p)
				f.run()
				for _, c := range []queue.Class{queue.Urgent, queue.Interactive} {
					slices.Sort(f.delays[c])
					for _, q := range []int{50, 99} {
						b.ReportMetric(1000*f.delays[c][len(f.delays[c])*q/100], fmt.Sprintf("%s-p%d-ms", c, q))
					}
				}
				b.ReportMetric(100*f.redone/f.done, "work-redone-%")
				b.ReportMetric(100*f.done/(simTime.Seconds()*8*serverN), "slots-busy-%")
			}
		})
	}
}
