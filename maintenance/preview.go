package maintenance

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// previewStep is the resolution of a preview.
const previewStep = 5 * time.Second

// PoolWave is a wave of one pool in a preview.
type PoolWave struct {
	pool   string
	number int
	vms    []string
	budget int
	begin  time.Duration
	end    time.Duration
}

// Pool returns the name of the pool.
func (w PoolWave) Pool() string { return w.pool }

// Number returns the number of the wave within the pool, from 0.
func (w PoolWave) Number() int { return w.number }

// VMs returns the VMs in the order that they are taken out.
func (w PoolWave) VMs() []string { return w.vms }

// Used returns the part of the availability budget that the wave uses, and the budget.
func (w PoolWave) Used() (used, budget int) { return len(w.vms), w.budget }

// Begin returns when the first VM is taken out, from now.
func (w PoolWave) Begin() time.Duration { return w.begin }

// End returns when the last VM is back, from now.
func (w PoolWave) End() time.Duration { return w.end }

// Preview returns the waves ahead in order of their begin, the estimated time until the last VM is back, and the number
// of VMs that can't be maintained while what is absent now stays absent.
func (p *Planner) Preview(now time.Time) (waves []PoolWave, takes time.Duration, stuck int) {
	r := rehearsal{planner: *p, vms: slices.Clone(p.Fleet.vms), back: make(map[string]time.Time), began: now}
	for t := now; ; t = t.Add(previewStep) {
		r.pass(t)
		r.planner.Fleet = NewFleet(p.Fleet.pools, r.vms)
		w := r.planner.Next(t)
		if len(w.steps)+len(w.actions)+len(r.back) == 0 {
			return r.waves, r.takes, w.left
		}
		for _, s := range w.steps {
			r.apply(s, t)
		}
	}
}

// rehearsal carries out the steps of a planner in memory.
type rehearsal struct {
	planner Planner
	vms     []VM
	back    map[string]time.Time // when rebooting VMs return
	waves   []PoolWave
	began   time.Time
	takes   time.Duration
}

// pass ends the tasks that are over and brings rebooted VMs back.
func (r *rehearsal) pass(now time.Time) {
	for i, v := range r.vms {
		if t, ok := r.back[v.id]; ok && !now.Before(t) {
			delete(r.back, v.id)
			r.vms[i] = v.WithAbsent(false).WithStarted(t)
			continue
		}
		if ProgressOf(r.planner.Rollout, v.state).phase != Draining {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(v.tasks), func(t Task) bool { return r.over(v, t, now) })
		r.vms[i] = v.WithTasks(left...)
	}
}

func (r *rehearsal) over(v VM, t Task, now time.Time) bool {
	drained := now.Sub(v.state.When())
	if now.Sub(r.began) >= t.Remaining() {
		return true
	}
	switch Decide(t, drained, r.planner.window()).(type) {
	case Checkpoint, Restart:
		return true
	default:
		return false
	}
}

func (r *rehearsal) apply(s Step, now time.Time) {
	i := r.planner.Fleet.byVM[s.VM()]
	switch s := s.(type) {
	case WriteRow:
		r.vms[i] = r.vms[i].WithState(s.state)
		r.record(r.vms[i], s.state, now.Sub(r.began))
	case Reboot:
		r.vms[i] = r.vms[i].WithAbsent(true)
		r.back[s.vm] = now.Add(r.planner.reboot())
	}
}

func (r *rehearsal) record(v VM, s catalogue.VMState, at time.Duration) {
	g := ProgressOf(r.planner.Rollout, s)
	same := func(w PoolWave) bool { return w.pool == v.pool && w.number == g.wave }
	i := slices.IndexFunc(r.waves, same)
	switch g.phase {
	case Draining:
		if i < 0 {
			q := r.planner.Fleet.pools[slices.IndexFunc(r.planner.Fleet.pools, func(q catalogue.Pool) bool { return q.Name() == v.pool })]
			r.waves = append(r.waves, PoolWave{pool: v.pool, number: g.wave, budget: q.Budget(), begin: at})
			i = len(r.waves) - 1
		}
		r.waves[i].vms = append(r.waves[i].vms, v.id)
	case Back:
		r.takes = at
		if i >= 0 {
			r.waves[i].end = at
		}
	default:
	}
}
