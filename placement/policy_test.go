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
	tick        = 20 * time.Millisecond
	simTime     = 90 * time.Second
	teams       = 6
	serverCount = 50
	cores       = 32                           // per server
	reportLag   = 2 * time.Second              // run time after which the usage of a task is reported
	windowTicks = int(10 * time.Second / tick) // of the windows over which fairness is measured
)

var weights = [teams]float64{4, 3, 2, 1, 1, 1}

// policy is one way to order requests, size tasks and share capacity, with the parameters of the simulation.
type policy struct {
	name         string
	entryVMCount int           // number of entry VMs, each with its own queue and servers
	fcfs         bool          // first come, first served, without classes
	remote       float64       // Shares.RemoteWeight; the use of other entry VMs is exchanged once a second
	learned      bool          // sizes are learned from reports instead of declared
	preempt      bool          // urgent work preempts archive work
	mixed        bool          // 10% urgent, 20% interactive and 70% archive work instead of archive work only
	decayTime    time.Duration // Shares.DecayTime
}

// job is a request in the simulation, with the task that runs it.
type job struct {
	request          queue.Request
	team             int
	entry            int // number of the catalogue entry
	class            queue.Class
	server           string
	shape            provider.Shape
	remainingSeconds float64 // run time left at full speed
	totalSeconds     float64 // run time at full speed
	started          time.Time
}

// entryVM is one simulated entry VM with its own servers.
type entryVM struct {
	queue   queue.Queue
	placer  placement.Placer
	running []*job
}

// fleet simulates one pool of 50 servers with 8 slots each. Each of six teams in turn sends 5x its mean load for 3 s
// and then a twentieth of it for 3 s. Declared sizes are off by up to 10x. Tasks slow down on a server whose cores are
// overcommitted.
type fleet struct {
	policy
	random        *rand.Rand
	entryVMs      []*entryVM
	sizes         placement.Estimator
	now           time.Time
	jobs          map[string]*job
	serial        int
	startDelays   [3][]float64
	samples       [][teams]sample
	doneSeconds   float64 // seconds of work completed
	redoneSeconds float64 // seconds of work lost when tasks are stopped
}

// sample is the state of one team in one tick: its dominant share by actual sizes, and whether it had waiting work.
type sample struct {
	share      float64
	backlogged bool
}

func teamName(i int) string { return fmt.Sprint("t", i) }

func newFleet(p policy) *fleet {
	f := &fleet{policy: p, random: rand.New(rand.NewPCG(7, 7)), now: start, jobs: make(map[string]*job)}
	for range p.entryVMCount {
		n := &entryVM{queue: queue.Queue{Bound: 1000}}
		n.queue.Shares.DecayTime = p.decayTime
		for i, w := range weights {
			n.queue.Shares.SetTeam(teamName(i), w)
		}
		f.entryVMs = append(f.entryVMs, n)
	}
	for i := range serverCount {
		s := placement.NewServer(
			fmt.Sprint("s", i), "z", fmt.Sprint("r", i/4), "p", provider.NewShape(cores, 1, 0, 8), true,
		)
		f.entryVMs[i%p.entryVMCount].placer.SetServer(s)
	}
	for _, n := range f.entryVMs {
		n.queue.Shares.SetCapacity(n.placer.Capacity("p"))
		n.queue.Shares.RemoteWeight = p.remote
		n.queue.Shares.SetRemoteCapacity(
			provider.NewShape(cores*serverCount, 1, 0, 8*serverCount).Minus(n.placer.Capacity("p")),
		)
	}
	return f
}

func actualCores(entry int) int { return 1 + entry*5%7 }

func (f *fleet) requestedShape(entry int) provider.Shape {
	n := float64(actualCores(entry)) * math.Pow(10, float64(entry*7%9)/4-1) // a tenth to ten times the actual size
	if f.learned {
		n = f.sizes.Quantile(fmt.Sprint(entry), 0.5, n)
	}
	return provider.NewShape(min(max(int(math.Round(n)), 1), cores), 0, 0, 1)
}

func (f *fleet) submitArrivals() {
	second := int(f.now.Sub(start).Seconds())
	for team, w := range weights {
		rate := 420 * w / 12 // requests per second; somewhat more than the fleet completes
		switch (second/3 + 2*teams - team) % teams {
		case 0:
			rate *= 5
		case 1:
			rate /= 20
		}
		for n := rate * tick.Seconds(); n > f.random.Float64(); n-- {
			f.submit(team)
		}
	}
}

func (f *fleet) submit(team int) {
	f.serial++
	j := &job{
		team: team, entry: 4*team + f.random.IntN(4), class: queue.ClassArchive,
		remainingSeconds: 0.3 + 0.7*f.random.ExpFloat64(),
	}
	if k := f.random.IntN(10); f.mixed && k < 3 {
		j.class = queue.Class(min(k, 1))
	} else if f.mixed {
		j.remainingSeconds *= 5
	}
	j.totalSeconds = j.remainingSeconds
	class, name := j.class, teamName(team)
	if f.fcfs {
		class, name = queue.ClassArchive, "all"
	}
	r := queue.NewRequest(
		fmt.Sprint(f.serial), "p", fmt.Sprint(j.entry), name, class, f.requestedShape(j.entry), f.now, time.Time{},
	)
	j.request = r
	at := f.random.IntN(len(f.entryVMs))
	if _, ok := f.entryVMs[at].queue.Push(r, f.now).(queue.Queued); ok {
		f.jobs[r.ID()] = j
	}
}

func (f *fleet) startWaiting(n *entryVM) {
	var requeued []*job
	try := func(r queue.Request) bool {
		j, class := f.jobs[r.ID()], r.Class()
		shape := f.requestedShape(j.entry) // with what was learned since the request was queued
		if f.fcfs {
			class = queue.ClassUrgent // ignores the urgent reserve
		}
		server, outcome := n.placer.SelectServer("p", r.Entry(), shape, class, f.now)
		if _, ok := outcome.(placement.NoCapacity); ok && f.preempt && class == queue.ClassUrgent {
			if plan, ok := n.placer.PlanPreemption("p", shape, class); ok {
				requeued = append(requeued, f.preemptVictims(n, plan)...)
				server, outcome = n.placer.SelectServer("p", r.Entry(), shape, class, f.now)
			}
		}
		if _, ok := outcome.(placement.Selected); !ok {
			return false
		}
		j.shape = shape
		n.placer.Reserve(server, r.ID(), shape)
		n.placer.SetPreemptionInfo(server, r.ID(), placement.NewPreemptionInfo(j.class, true, j.entry%2 == 0, f.now))
		n.queue.Shares.TaskStarted(r.Team(), shape)
		if j.started.IsZero() {
			f.startDelays[j.class] = append(f.startDelays[j.class], f.now.Sub(r.Arrived()).Seconds())
		}
		j.server, j.started = server, f.now
		n.running = append(n.running, j)
		return true
	}
	for {
		_, ok := n.queue.Pick("p", f.now, try)
		for _, j := range requeued {
			n.queue.Requeue(j.request, f.now)
		}
		requeued = nil
		if !ok {
			return
		}
	}
}

func (f *fleet) preemptVictims(n *entryVM, plan placement.Preemption) []*job {
	var stopped []*job
	for _, v := range plan.Victims() {
		j := f.jobs[v.Key()]
		switch v.Signal() {
		case provider.SignalThrottle:
			n.placer.MarkThrottled(plan.Server(), v.Key())
			continue
		case provider.SignalStop:
			f.redoneSeconds += j.totalSeconds - j.remainingSeconds
			j.remainingSeconds = j.totalSeconds
		}
		f.end(n, j)
		stopped = append(stopped, j)
	}
	return stopped
}

func (f *fleet) end(n *entryVM, j *job) {
	n.placer.Release(j.server, j.request.ID())
	n.queue.Shares.TaskEnded(j.request.Team(), j.shape)
	n.running = slices.DeleteFunc(n.running, func(o *job) bool { return o == j })
}

func (f *fleet) advanceRunning(n *entryVM) {
	used := make(map[string]float64)
	for _, j := range n.running {
		used[j.server] += float64(actualCores(j.entry))
	}
	for _, j := range slices.Clone(n.running) {
		speed := min(1, cores/used[j.server])
		j.remainingSeconds -= speed * tick.Seconds()
		f.doneSeconds += speed * tick.Seconds()
		if age := f.now.Sub(j.started); age >= reportLag && age < reportLag+tick || j.remainingSeconds <= 0 {
			f.sizes.Observe(j.request.Entry(), float64(actualCores(j.entry)), f.now)
		}
		if j.remainingSeconds <= 0 {
			f.end(n, j)
			delete(f.jobs, j.request.ID())
		}
	}
}

func (f *fleet) recordSample() {
	var s [teams]sample
	var slots, cpu [teams]float64
	for _, n := range f.entryVMs {
		for _, j := range n.running {
			slots[j.team]++
			cpu[j.team] += float64(actualCores(j.entry))
		}
		for i := range s {
			s[i].backlogged = s[i].backlogged || n.queue.Backlog(teamName(i)) > 0
		}
	}
	for i := range s {
		s[i].share = max(slots[i]/(8*serverCount), cpu[i]/(cores*serverCount))
		if f.fcfs {
			s[i].backlogged = f.now.Sub(start) > 10*time.Second // from then on the common queue is never empty
		}
	}
	f.samples = append(f.samples, s)
}

func (f *fleet) run() {
	for f.now = start; f.now.Before(start.Add(simTime)); f.now = f.now.Add(tick) {
		f.submitArrivals()
		for _, n := range f.entryVMs {
			f.advanceRunning(n)
		}
		if f.remote >= 0 && f.now.Sub(start)%time.Second == 0 {
			f.exchangeUse()
		}
		for _, n := range f.entryVMs {
			f.startWaiting(n)
		}
		f.recordSample()
	}
}

// exchangeUse passes the running tasks of each entry VM to all others, as digests do.
func (f *fleet) exchangeUse() {
	for _, n := range f.entryVMs {
		var sums [teams]provider.Shape
		for _, o := range f.entryVMs {
			for _, j := range o.running {
				if o != n {
					sums[j.team] = sums[j.team].Plus(j.shape)
				}
			}
		}
		for i, s := range sums {
			n.queue.Shares.SetRemoteUse(teamName(i), s)
		}
	}
}

// fairness returns the largest and the mean shortfall of teams that had waiting work through a whole 10 s window,
// relative to their weighted max-min fair share of the capacity in use, and the lowest Jain's fairness index.
func (f *fleet) fairness() (largest, mean, jain float64) {
	jain = 1
	count := 0
	for first := windowTicks; first+windowTicks <= len(f.samples); first += windowTicks / 10 {
		var use [teams]float64
		backlogged := [teams]bool{true, true, true, true, true, true}
		for _, s := range f.samples[first : first+windowTicks] {
			for i := range s {
				use[i] += s[i].share / float64(windowTicks)
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

// fairLevel returns the max-min fair share for each unit of weight: the shares add up to the total use, and teams
// without waiting work get no more than they used.
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

// BenchmarkPolicyShare measures how fairly a full fleet is shared, with shares computed from actual sizes.
func BenchmarkPolicyShare(b *testing.B) {
	for _, p := range []policy{
		{name: "first-come-declared", entryVMCount: 8, fcfs: true},
		{name: "first-come", entryVMCount: 8, fcfs: true, learned: true},
		{name: "declared", entryVMCount: 8},
		{name: "local", entryVMCount: 8, learned: true, remote: -1, decayTime: -1},
		{name: "remote-in-full", entryVMCount: 8, learned: true, remote: 7, decayTime: -1},
		{name: "without-past-use", entryVMCount: 8, learned: true, decayTime: -1},
		{name: "current", entryVMCount: 8, learned: true},
		{name: "current-one-entry-vm", entryVMCount: 1, learned: true},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(p)
				f.run()
				largest, mean, jain := f.fairness()
				b.ReportMetric(100*largest, "largest-shortfall-%")
				b.ReportMetric(100*mean, "mean-shortfall-%")
				b.ReportMetric(jain, "lowest-jain")
				b.ReportMetric(100*f.doneSeconds/(simTime.Seconds()*8*serverCount), "slots-busy-%")
			}
		})
	}
}

// BenchmarkPolicyStart measures how long urgent and interactive work waits before it starts in a full fleet.
func BenchmarkPolicyStart(b *testing.B) {
	for _, p := range []policy{
		{name: "first-come", entryVMCount: 8, fcfs: true, mixed: true},
		{name: "reserve", entryVMCount: 8, learned: true, mixed: true},
		{name: "reserve-and-preempt", entryVMCount: 8, learned: true, mixed: true, preempt: true},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				f := newFleet(p)
				f.run()
				for _, c := range []queue.Class{queue.ClassUrgent, queue.ClassInteractive} {
					slices.Sort(f.startDelays[c])
					for _, q := range []int{50, 99} {
						b.ReportMetric(
							1000*f.startDelays[c][len(f.startDelays[c])*q/100], fmt.Sprintf("%s-p%d-ms", c, q),
						)
					}
				}
				b.ReportMetric(100*f.redoneSeconds/f.doneSeconds, "work-redone-%")
				b.ReportMetric(100*f.doneSeconds/(simTime.Seconds()*8*serverCount), "slots-busy-%")
			}
		})
	}
}
