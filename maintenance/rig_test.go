package maintenance_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/settings"
)

const (
	tick    = time.Second
	window  = maintenance.DefaultWindow
	reboot  = maintenance.DefaultReboot
	slots   = 8
	rollout = "test"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// kinds are the entries of each pool: mean run time, part of the slots at mean load, and how tasks may be interrupted.
var kinds = []struct {
	mean                   time.Duration
	part                   float64
	idempotent, checkpoint bool
}{
	{4 * time.Second, 0.25, true, false},
	{10 * time.Minute, 0.45, true, true},
	{20 * time.Second, 0.15, false, false},
	{time.Minute, 0.15, true, false},
}

type job struct {
	id, entry  string
	kind       int
	began      time.Time
	left, full time.Duration
	declared   time.Duration
	origin     string // VM that the job last moved from
	wave       int    // wave of that move, -1 if there was none
	moved      map[int]bool
}

type node struct {
	maintenance.VM
	tasks    []*job
	until    time.Time // absent until then
	started  time.Time
	reboots  int
	rebooted bool // absent by plan
}

func (n *node) down(now time.Time) bool { return now.Before(n.until) }

// world is a fleet under fake time with tasks that arrive in bursts (R20) and VMs that fail.
type world struct {
	pools    []catalogue.Pool
	nodes    []*node
	byID     map[string]*node
	members  map[string][]*node // by pool
	random   *rand.Rand
	now      time.Time
	load     float64
	sizes    placement.Estimator
	seen     map[string]int
	kindOf   map[string]int
	queues   map[string][]*job
	serial   int
	blind    bool    // unplanned absences are hidden from the planner
	failures float64 // probability that a VM restarts unplanned in a tick
	last     maintenance.Wave
	baseline bool

	finished                                 map[string]int // times that each job ended
	moves, bound, twice, lost, over, archive int
	redone                                   time.Duration // progress lost by restarts
	faults                                   []string
}

func newWorld(seed uint64, load float64, pools []catalogue.Pool, vms []maintenance.VM) *world {
	w := &world{
		pools: pools, random: rand.New(rand.NewPCG(seed, seed)), now: start, load: load, byID: make(map[string]*node),
		members: make(map[string][]*node), seen: make(map[string]int), kindOf: make(map[string]int), finished: make(map[string]int), queues: make(map[string][]*job),
	}
	for _, v := range vms {
		n := &node{VM: v.WithState(catalogue.NewVMState(v.Pool(), false, "", "", start)), started: start}
		w.nodes = append(w.nodes, n)
		w.byID[v.ID()] = n
		w.members[v.Pool()] = append(w.members[v.Pool()], n)
	}
	return w
}

// deployment returns the pools and VMs of an example, or of the target of letter 1 (R23, R24, R26).
func deployment(name string) ([]catalogue.Pool, []maintenance.VM) {
	if name == "target" {
		return target()
	}
	dir := filepath.Join("..", "examples", name)
	data, err := os.ReadFile(filepath.Join(dir, "catalogue.yaml"))
	must(err)
	c, err := catalogue.Parse(data, name)
	must(err)
	p, err := settings.LoadStandIn(filepath.Join(dir, "platform.yaml"))
	must(err)
	var vms []maintenance.VM
	for _, v := range p.VMs() {
		if pool := p.Pool(v.ID()); pool != "" {
			vms = append(vms, maintenance.NewVM(v.ID(), v.Zone(), v.Rack(), pool))
		}
	}
	return c.Pools(), vms
}

// target has 530 VMs, 36 pools with budgets of an eighth, and 5 availability zones with racks of four.
func target() ([]catalogue.Pool, []maintenance.VM) {
	sizes := make([]int, 36)
	var vms []maintenance.VM
	for i := range 530 {
		sizes[i%36]++
		zone := fmt.Sprint("zone-", i*5/530)
		vms = append(vms, maintenance.NewVM(
			fmt.Sprintf("vm-%03d", i), zone, fmt.Sprintf("rack-%03d", i/4), fmt.Sprintf("pool-%02d", i%36)))
	}
	var pools []catalogue.Pool
	for i, n := range sizes {
		pools = append(pools, catalogue.NewPool(fmt.Sprintf("pool-%02d", i), i == 35, max(n/8, 1)))
	}
	return pools, vms
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// fleet returns what the planner sees.
func (w *world) fleet() maintenance.Fleet {
	vms := make([]maintenance.VM, len(w.nodes))
	for i, n := range w.nodes {
		var tasks []maintenance.Task
		for _, j := range n.tasks {
			k := kinds[j.kind]
			ran := w.now.Sub(j.began)
			t := maintenance.NewTask(j.id, max(j.declared-ran, 0), k.idempotent, k.checkpoint)
			if w.seen[j.entry] >= 3 {
				t = t.WithLearned(w.sizes.Remaining(j.entry, ran, 0.5, j.declared))
			}
			tasks = append(tasks, t)
		}
		vms[i] = n.WithTasks(tasks...).WithStarted(n.started).WithAbsent(n.down(w.now) && (!w.blind || n.rebooted))
	}
	return maintenance.NewFleet(w.pools, vms)
}

// arrive adds the tasks of one tick. Each pool in turn has 5x its mean load for 3 s and a twentieth for the next 3 s.
func (w *world) arrive() {
	for i, q := range w.pools {
		size := slots * len(w.members[q.Name()])
		burst := 1.0
		switch (int(w.now.Sub(start)/tick)/3 + i) % (len(w.pools) + 2) {
		case 0:
			burst = 5
		case 1:
			burst = 0.05
		}
		for kind, k := range kinds {
			if q.Spare() && kind != 1 {
				continue // spare VMs are lent to archive work only
			}
			for rate := w.load * burst * float64(size) * k.part / k.mean.Seconds(); rate > w.random.Float64(); rate-- {
				w.push(q.Name(), kind, w.random.ExpFloat64())
			}
		}
	}
}

func (w *world) push(pool string, kind int, size float64) {
	w.serial++
	entry := fmt.Sprint(pool, "/", kind)
	full := time.Duration(min(size, 5) * float64(kinds[kind].mean))
	off := math.Pow(10, float64(w.serial%9)/4-1) // a tenth to ten times
	j := &job{
		id: fmt.Sprint("job-", w.serial), entry: entry, kind: kind, left: full, full: full, wave: -1,
		declared: time.Duration(off * float64(full)), moved: make(map[int]bool),
	}
	if len(w.queues[pool]) < 2000 {
		w.kindOf[j.id] = kind
		if kind == 1 {
			w.archive++
		}
		w.queues[pool] = append(w.queues[pool], j)
	}
}

// place starts the waiting jobs that have room. Moved jobs keep off VMs that the planner excludes.
func (w *world) place() {
	for _, q := range w.pools {
		rest := w.queues[q.Name()][:0]
		full := false
		for _, j := range w.queues[q.Name()] {
			if n := w.room(q.Name(), j, full); n != nil {
				j.began = w.now
				n.tasks = append(n.tasks, j)
				g := maintenance.ProgressOf(rollout, n.State())
				if !w.baseline && j.wave >= 0 && g.Phase() != maintenance.Pending && (g.Wave() == j.wave || g.Wave() == j.wave+1) {
					w.fault("%s moved in wave %d to %s, which is %s in wave %d", j.id, j.wave, n.ID(), g.Phase(), g.Wave())
				}
				continue
			}
			full = full || j.wave < 0
			rest = append(rest, j)
		}
		w.queues[q.Name()] = rest
	}
}

func (w *world) room(pool string, j *job, full bool) *node {
	var best *node
	if full && j.wave < 0 {
		return nil
	}
	for _, n := range w.members[pool] {
		if n.State().Out() || n.down(w.now) || len(n.tasks) >= slots {
			continue
		}
		if !w.baseline && j.wave >= 0 && !w.last.MayReceive(j.origin, n.ID()) {
			continue
		}
		if t := maintenance.NewTask(j.id, j.declared, kinds[j.kind].idempotent, false); !w.last.Admits(n.ID(), t) {
			continue
		}
		if best == nil || w.score(n, j) < w.score(best, j) {
			best = n
		}
	}
	return best
}

func (w *world) score(n *node, j *job) int {
	s := len(n.tasks)
	if w.baseline {
		return s
	}
	if j.kind > 0 && w.last.Leaving(n.ID()) {
		s += 100
	}
	if j.wave >= 0 && !w.last.Maintained(n.ID()) {
		s += 20
	}
	return s
}

// run ends tasks, fails VMs and brings them back.
func (w *world) run() {
	for _, n := range w.nodes {
		if n.rebooted && !n.down(w.now) {
			n.rebooted = false
		}
		kept := n.tasks[:0]
		for _, j := range n.tasks {
			if j.left -= tick; j.left > 0 {
				kept = append(kept, j)
				continue
			}
			w.seen[j.entry]++
			w.finished[j.id]++
			w.sizes.Observe(j.entry, j.full.Seconds(), w.now)
		}
		n.tasks = kept
		if w.random.Float64() < w.failures {
			w.fail(n, reboot)
		}
	}
}

// fail makes a VM absent unplanned. Idempotent tasks run again elsewhere. A VM that restarts by itself after its row says
// Rebooting needn't be rebooted.
func (w *world) fail(n *node, d time.Duration) {
	if maintenance.ProgressOf(rollout, n.State()).Phase() == maintenance.Rebooting {
		n.reboots = max(n.reboots, 1)
	}
	n.until = w.now.Add(d)
	n.started, n.rebooted = n.until, false
	for _, j := range n.tasks {
		if !kinds[j.kind].idempotent {
			w.lost++
			continue
		}
		j.left = j.full
		w.queues[n.Pool()] = append(w.queues[n.Pool()], j)
	}
	n.tasks = nil
}

// absent counts the absent VMs of a pool, planned and unplanned.
func (w *world) absent(pool string) int {
	count := 0
	for _, n := range w.members[pool] {
		if n.down(w.now) || n.State().Out() {
			count++
		}
	}
	return count
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// apply carries out a step and checks that it keeps the budget, the waves, and one reboot for each VM.
func (w *world) apply(s maintenance.Step) {
	n := w.byID[s.VM()]
	switch s := s.(type) {
	case maintenance.WriteRow:
		before := maintenance.ProgressOf(rollout, n.State())
		n.VM = n.WithState(s.State())
		g := maintenance.ProgressOf(rollout, n.State())
		if g.Phase() != maintenance.Draining {
			return
		}
		if before.Phase() == maintenance.Back {
			w.fault("%s is maintained twice", n.ID())
		}
		w.checkBudget(n.Pool())
		for _, j := range n.tasks {
			if j.left > window && kinds[j.kind].idempotent {
				w.bound++
			}
			if j.wave >= 0 && g.Wave() <= j.wave+1 && !w.baseline {
				w.fault("%s moved in wave %d to %s of wave %d", j.id, j.wave, n.ID(), g.Wave())
			}
		}
	case maintenance.Reboot:
		if len(n.tasks) > 0 {
			w.fault("%s is rebooted with tasks", n.ID())
		}
		n.reboots++
		n.rebooted, n.until = true, w.now.Add(reboot)
		n.started = n.until
	}
}

func (w *world) checkBudget(pool string) {
	i := slices.IndexFunc(w.pools, func(q catalogue.Pool) bool { return q.Name() == pool })
	if a := w.absent(pool); a > w.pools[i].Budget() {
		w.over++
		w.fault("pool %s has %d VMs absent and a budget of %d", pool, a, w.pools[i].Budget())
	}
}

// act carries out the action for a task.
func (w *world) act(a maintenance.TaskAction) {
	n := w.byID[a.VM()]
	i := slices.IndexFunc(n.tasks, func(j *job) bool { return j.id == a.Task() })
	if i < 0 {
		return
	}
	j := n.tasks[i]
	switch a.Action().(type) {
	case maintenance.Restart:
		w.redone += j.full - j.left
		j.left = j.full
	case maintenance.Checkpoint:
	default:
		return
	}
	g := maintenance.ProgressOf(rollout, n.State())
	if j.moved[g.Wave()] {
		w.twice++
	}
	j.moved[g.Wave()] = true
	j.origin, j.wave = n.ID(), g.Wave()
	w.moves++
	n.tasks = slices.Delete(n.tasks, i, i+1)
	w.queues[n.Pool()] = slices.Insert(w.queues[n.Pool()], 0, j)
}

// step passes one tick and carries out the first steps of the planner's wave, all if crash is 0 or less.
func (w *world) step(next func(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction), crash int) {
	w.now = w.now.Add(tick)
	w.run()
	w.arrive()
	steps, actions := next(w.fleet(), w.now)
	if crash > 0 && crash <= len(steps) {
		steps, actions = steps[:crash-1], nil
	}
	for _, s := range steps {
		w.apply(s)
	}
	for _, a := range actions {
		w.act(a)
	}
	w.place()
}

// current is the policy of the package.
func (w *world) current(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	p := maintenance.Planner{Rollout: rollout, Fleet: f}
	w.last = p.Next(now)
	return w.last.Steps(), w.last.Actions()
}

// idle lets the fleet work without maintenance.
func (w *world) idle(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	return nil, nil
}

// left counts the VMs that aren't back.
func (w *world) left() int {
	return len(w.nodes) - len(slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool {
		return cmp.Compare(maintenance.ProgressOf(rollout, n.State()).Phase(), maintenance.Back) != 0
	}))
}
