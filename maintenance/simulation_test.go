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
	tick        = time.Second
	drainWindow = maintenance.DefaultDrainWindow
	rebootTime  = maintenance.DefaultRebootTime
	slotsPerVM  = 8
	rollout     = "test"
)

var start = time.Date(2026, 1, 5, 9, 0, 0, 0, time.UTC)

// taskKinds are the catalogue entries of each pool: mean run time, fraction of the slots at mean load, and whether
// tasks are idempotent and can be checkpointed.
var taskKinds = []struct {
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
	id, entry          string
	kind               int
	started            time.Time
	remaining, runTime time.Duration
	declared           time.Duration
	movedFrom          string       // id of the VM that the job last moved from
	movedInWave        int          // wave of that move, -1 if the job never moved
	movedInWaves       map[int]bool // waves in which the job moved
}

// simVM is a VM of the simulation with its running jobs.
type simVM struct {
	maintenance.VM
	tasks        []*job
	absentUntil  time.Time
	started      time.Time
	reboots      int
	absentByPlan bool
}

func (n *simVM) absent(now time.Time) bool { return now.Before(n.absentUntil) }

// simulation runs a fleet in simulated time. Jobs arrive in bursts (R20), and VMs fail. A job becomes a task when it
// starts on a VM.
type simulation struct {
	pools              []catalogue.Pool
	vms                []*simVM
	byID               map[string]*simVM
	poolVMs            map[string][]*simVM
	random             *rand.Rand
	now                time.Time
	meanLoad           float64
	estimator          placement.Estimator
	finishedByEntry    map[string]int // number of finished jobs
	jobKind            map[string]int
	queues             map[string][]*job
	jobCount           int
	hideAbsences       bool    // the planner isn't shown unplanned absences
	failureProbability float64 // probability per VM and tick of an unplanned restart
	plan               maintenance.Plan
	baseline           bool

	finished                                                       map[string]int // times that each job ended
	moveCount, minMoves, movedTwice, lost, overBudget, archiveJobs int
	redoneTime                                                     time.Duration // run time repeated because of restarts
	violations                                                     []string
}

func newSimulation(seed uint64, load float64, pools []catalogue.Pool, vms []maintenance.VM) *simulation {
	s := &simulation{
		pools: pools, random: rand.New(rand.NewPCG(seed, seed)), now: start, meanLoad: load, byID: make(map[string]*simVM),
		poolVMs: make(map[string][]*simVM), finishedByEntry: make(map[string]int),
		jobKind: make(map[string]int), finished: make(map[string]int), queues: make(map[string][]*job),
	}
	for _, v := range vms {
		n := &simVM{VM: v.WithState(catalogue.NewVMState(v.Pool(), false, "", "", start)), started: start}
		s.vms = append(s.vms, n)
		s.byID[v.ID()] = n
		s.poolVMs[v.Pool()] = append(s.poolVMs[v.Pool()], n)
	}
	return s
}

// loadDeployment returns the pools and VMs of an example deployment, or of the target fleet (R23, R24, R26).
func loadDeployment(name string) ([]catalogue.Pool, []maintenance.VM) {
	if name == "target" {
		return targetDeployment()
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
		if pool := p.InitialPool(v.ID()); pool != "" {
			vms = append(vms, maintenance.NewVM(v.ID(), v.Zone(), v.Rack(), pool))
		}
	}
	return c.Pools(), vms
}

// targetDeployment has 530 VMs, 36 pools with budgets of an eighth of their VMs, and 5 availability zones with racks
// of four VMs.
func targetDeployment() ([]catalogue.Pool, []maintenance.VM) {
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

// fleet returns the fleet as it is shown to the planner.
func (s *simulation) fleet() maintenance.Fleet {
	vms := make([]maintenance.VM, len(s.vms))
	for i, n := range s.vms {
		var tasks []maintenance.Task
		for _, j := range n.tasks {
			k := taskKinds[j.kind]
			ran := s.now.Sub(j.started)
			t := maintenance.NewTask(j.id, max(j.declared-ran, 0), k.idempotent, k.checkpoint)
			if s.finishedByEntry[j.entry] >= 3 {
				t = t.WithEstimate(s.estimator.Remaining(j.entry, ran, 0.5, j.declared))
			}
			tasks = append(tasks, t)
		}
		vms[i] = n.WithTasks(tasks...).WithStarted(n.started).
			WithAbsent(n.absent(s.now) && (!s.hideAbsences || n.absentByPlan))
	}
	return maintenance.NewFleet(s.pools, vms)
}

// addArrivals adds the jobs of one tick. Each pool in turn has 5x its mean load for 3 s and a twentieth of it for the
// next 3 s.
func (s *simulation) addArrivals() {
	for i, q := range s.pools {
		size := slotsPerVM * len(s.poolVMs[q.Name()])
		burst := 1.0
		switch (int(s.now.Sub(start)/tick)/3 + i) % (len(s.pools) + 2) {
		case 0:
			burst = 5
		case 1:
			burst = 0.05
		}
		for kind, k := range taskKinds {
			if q.Spare() && kind != 1 {
				continue // spare VMs run archive work only
			}
			for rate := s.meanLoad * burst * float64(size) * k.part / k.mean.Seconds(); rate > s.random.Float64(); rate-- {
				s.enqueue(q.Name(), kind, s.random.ExpFloat64())
			}
		}
	}
}

// enqueue adds a job to the queue of a pool. Size is its run time divided by the mean of its kind.
func (s *simulation) enqueue(pool string, kind int, size float64) {
	s.jobCount++
	entry := fmt.Sprint(pool, "/", kind)
	full := time.Duration(min(size, 5) * float64(taskKinds[kind].mean))
	off := math.Pow(10, float64(s.jobCount%9)/4-1) // declared run times are wrong by a factor of 0.1 to 10
	j := &job{
		id: fmt.Sprint("job-", s.jobCount), entry: entry, kind: kind, remaining: full, runTime: full, movedInWave: -1,
		declared: time.Duration(off * float64(full)), movedInWaves: make(map[int]bool),
	}
	if len(s.queues[pool]) < 2000 {
		s.jobKind[j.id] = kind
		if kind == 1 {
			s.archiveJobs++
		}
		s.queues[pool] = append(s.queues[pool], j)
	}
}

// startQueued starts the queued jobs for which a VM has a free slot. Moved jobs start only on VMs that the planner
// allows.
func (s *simulation) startQueued() {
	for _, q := range s.pools {
		rest := s.queues[q.Name()][:0]
		full := false
		for _, j := range s.queues[q.Name()] {
			if n := s.chooseVM(q.Name(), j, full); n != nil {
				j.started = s.now
				n.tasks = append(n.tasks, j)
				g := maintenance.ProgressOf(rollout, n.State())
				if !s.baseline && j.movedInWave >= 0 && g.Phase() != maintenance.Pending &&
					(g.Wave() == j.movedInWave || g.Wave() == j.movedInWave+1) {
					s.violation("%s, moved in wave %d, starts on %s, which is %s in wave %d",
						j.id, j.movedInWave, n.ID(), g.Phase(), g.Wave())
				}
				continue
			}
			full = full || j.movedInWave < 0
			rest = append(rest, j)
		}
		s.queues[q.Name()] = rest
	}
}

// chooseVM returns the VM of a pool with the lowest placement cost for a job, nil if there is none. Full says that a
// job that never moved found no VM before.
func (s *simulation) chooseVM(pool string, j *job, full bool) *simVM {
	var best *simVM
	if full && j.movedInWave < 0 {
		return nil
	}
	for _, n := range s.poolVMs[pool] {
		if n.State().OutOfService() || n.absent(s.now) || len(n.tasks) >= slotsPerVM {
			continue
		}
		if !s.baseline && j.movedInWave >= 0 && !s.plan.MayReceive(j.movedFrom, n.ID()) {
			continue
		}
		if t := maintenance.NewTask(j.id, j.declared, taskKinds[j.kind].idempotent, false); !s.plan.Admits(n.ID(), t) {
			continue
		}
		if best == nil || s.placementCost(n, j) < s.placementCost(best, j) {
			best = n
		}
	}
	return best
}

// placementCost prefers VMs with few tasks. Under the current policy it also prefers VMs that aren't out or announced
// for long jobs, and maintained VMs for moved jobs.
func (s *simulation) placementCost(n *simVM, j *job) int {
	cost := len(n.tasks)
	if s.baseline {
		return cost
	}
	if j.kind > 0 && s.plan.OutOfServiceOrAnnounced(n.ID()) {
		cost += 100
	}
	if j.movedInWave >= 0 && !s.plan.Maintained(n.ID()) {
		cost += 20
	}
	return cost
}

// advanceTasks ends tasks, makes rebooted VMs present and lets VMs fail at random.
func (s *simulation) advanceTasks() {
	for _, n := range s.vms {
		if n.absentByPlan && !n.absent(s.now) {
			n.absentByPlan = false
		}
		kept := n.tasks[:0]
		for _, j := range n.tasks {
			if j.remaining -= tick; j.remaining > 0 {
				kept = append(kept, j)
				continue
			}
			s.finishedByEntry[j.entry]++
			s.finished[j.id]++
			s.estimator.Observe(j.entry, j.runTime.Seconds(), s.now)
		}
		n.tasks = kept
		if s.random.Float64() < s.failureProbability {
			s.fail(n, rebootTime)
		}
	}
}

// fail makes a VM absent unplanned for d. Its idempotent tasks run again on other VMs. A VM that restarts by itself
// in the phase Rebooting needs no further reboot.
func (s *simulation) fail(n *simVM, d time.Duration) {
	if maintenance.ProgressOf(rollout, n.State()).Phase() == maintenance.Rebooting {
		n.reboots = max(n.reboots, 1)
	}
	n.absentUntil = s.now.Add(d)
	n.started, n.absentByPlan = n.absentUntil, false
	for _, j := range n.tasks {
		if !taskKinds[j.kind].idempotent {
			s.lost++
			continue
		}
		j.remaining = j.runTime
		s.queues[n.Pool()] = append(s.queues[n.Pool()], j)
	}
	n.tasks = nil
}

// absentCount returns the number of absent VMs of a pool, planned and unplanned.
func (s *simulation) absentCount(pool string) int {
	count := 0
	for _, n := range s.poolVMs[pool] {
		if n.absent(s.now) || n.State().OutOfService() {
			count++
		}
	}
	return count
}

func (s *simulation) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// apply carries out a step and records violations of the budget, of the rules on waves, and of one reboot per VM.
func (s *simulation) apply(step maintenance.Step) {
	n := s.byID[step.VM()]
	switch step := step.(type) {
	case maintenance.WriteRow:
		before := maintenance.ProgressOf(rollout, n.State())
		n.VM = n.WithState(step.State())
		g := maintenance.ProgressOf(rollout, n.State())
		if g.Phase() != maintenance.Draining {
			return
		}
		if before.Phase() == maintenance.Completed {
			s.violation("%s is maintained twice", n.ID())
		}
		s.checkBudget(n.Pool())
		for _, j := range n.tasks {
			if j.remaining > drainWindow && taskKinds[j.kind].idempotent {
				s.minMoves++
			}
			if j.movedInWave >= 0 && g.Wave() <= j.movedInWave+1 && !s.baseline {
				s.violation("%s, moved in wave %d, runs on %s, which drains in wave %d", j.id, j.movedInWave, n.ID(), g.Wave())
			}
		}
	case maintenance.Reboot:
		if len(n.tasks) > 0 {
			s.violation("%s is rebooted while it runs tasks", n.ID())
		}
		n.reboots++
		n.absentByPlan, n.absentUntil = true, s.now.Add(rebootTime)
		n.started = n.absentUntil
	}
}

func (s *simulation) checkBudget(pool string) {
	i := slices.IndexFunc(s.pools, func(q catalogue.Pool) bool { return q.Name() == pool })
	if a := s.absentCount(pool); a > s.pools[i].Budget() {
		s.overBudget++
		s.violation("pool %s has %d VMs absent and a budget of %d", pool, a, s.pools[i].Budget())
	}
}

// applyAction carries out the action for a task.
func (s *simulation) applyAction(a maintenance.TaskAction) {
	n := s.byID[a.VM()]
	i := slices.IndexFunc(n.tasks, func(j *job) bool { return j.id == a.Task() })
	if i < 0 {
		return
	}
	j := n.tasks[i]
	switch a.Action().(type) {
	case maintenance.Restart:
		s.redoneTime += j.runTime - j.remaining
		j.remaining = j.runTime
	case maintenance.Checkpoint:
	default:
		return
	}
	g := maintenance.ProgressOf(rollout, n.State())
	if j.movedInWaves[g.Wave()] {
		s.movedTwice++
	}
	j.movedInWaves[g.Wave()] = true
	j.movedFrom, j.movedInWave = n.ID(), g.Wave()
	s.moveCount++
	n.tasks = slices.Delete(n.tasks, i, i+1)
	s.queues[n.Pool()] = slices.Insert(s.queues[n.Pool()], 0, j)
}

// step advances the time by one tick and carries out the steps that the policy next returns. If crash is n > 0 and
// there are at least n steps, only the first n-1 steps and no actions are carried out.
func (s *simulation) step(
	next func(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction), crash int,
) {
	s.now = s.now.Add(tick)
	s.advanceTasks()
	s.addArrivals()
	steps, actions := next(s.fleet(), s.now)
	if crash > 0 && crash <= len(steps) {
		steps, actions = steps[:crash-1], nil
	}
	for _, x := range steps {
		s.apply(x)
	}
	for _, a := range actions {
		s.applyAction(a)
	}
	s.startQueued()
}

// currentPolicy is the policy of the package maintenance.
func (s *simulation) currentPolicy(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	p := maintenance.Planner{Rollout: rollout, Fleet: f}
	s.plan = p.Next(now)
	return s.plan.Steps(), s.plan.Actions()
}

// noMaintenance returns no steps and no actions.
func (s *simulation) noMaintenance(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	return nil, nil
}

// unmaintained returns the number of VMs that haven't been maintained.
func (s *simulation) unmaintained() int {
	return len(s.vms) - len(slices.DeleteFunc(slices.Clone(s.vms), func(n *simVM) bool {
		return cmp.Compare(maintenance.ProgressOf(rollout, n.State()).Phase(), maintenance.Completed) != 0
	}))
}
