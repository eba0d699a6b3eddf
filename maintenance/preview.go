package maintenance

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// previewResolution is the time between two simulated steps of a preview.
const previewResolution = 5 * time.Second

// PoolWave is a wave of one pool in a preview. Its times are relative to the start of the preview.
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

// VMs returns the ids of the VMs in the order in which they are taken out.
func (w PoolWave) VMs() []string { return w.vms }

// Used returns how much of the pool's availability budget the wave uses, and the budget, both in VMs.
func (w PoolWave) Used() (used, budget int) { return len(w.vms), w.budget }

// Begin returns the time until the first VM is taken out.
func (w PoolWave) Begin() time.Duration { return w.begin }

// End returns the time until the last VM is in service again.
func (w PoolWave) End() time.Duration { return w.end }

// Preview simulates the rest of the roll-out from now. It returns the waves sorted by their begin, the estimated
// time until the last VM is in service again, and the number of VMs that can't be maintained as long as the VMs that
// are absent now stay absent.
func (p *Planner) Preview(now time.Time) (waves []PoolWave, duration time.Duration, unmaintainable int) {
	r := rolloutSimulation{planner: *p, vms: slices.Clone(p.Fleet.vms), returnAt: make(map[string]time.Time), start: now}
	for t := now; ; t = t.Add(previewResolution) {
		r.advance(t)
		r.planner.Fleet = NewFleet(p.Fleet.pools, r.vms)
		plan := r.planner.Next(t)
		if len(plan.steps)+len(plan.actions)+len(r.returnAt) == 0 {
			return r.waves, r.duration, plan.unmaintained
		}
		for _, s := range plan.steps {
			r.apply(s, t)
		}
	}
}

// rolloutSimulation applies the steps of a planner to a copy of the fleet.
type rolloutSimulation struct {
	planner  Planner
	vms      []VM
	returnAt map[string]time.Time // when VMs that are rebooting become present
	waves    []PoolWave
	start    time.Time
	duration time.Duration
}

// advance removes the tasks that have ended by now and makes rebooted VMs present.
func (r *rolloutSimulation) advance(now time.Time) {
	for i, v := range r.vms {
		if t, ok := r.returnAt[v.id]; ok && !now.Before(t) {
			delete(r.returnAt, v.id)
			r.vms[i] = v.WithAbsent(false).WithStarted(t)
			continue
		}
		if ProgressOf(r.planner.Rollout, v.state).phase != Draining {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(v.tasks), func(t Task) bool { return r.taskEnds(v, t, now) })
		r.vms[i] = v.WithTasks(left...)
	}
}

// taskEnds reports whether a task of a draining VM has ended or been moved by now.
func (r *rolloutSimulation) taskEnds(v VM, t Task, now time.Time) bool {
	drained := now.Sub(v.state.ChangedAt())
	if now.Sub(r.start) >= t.Remaining() {
		return true
	}
	switch ActionFor(t, drained, r.planner.drainWindow()).(type) {
	case Checkpoint, Restart:
		return true
	default:
		return false
	}
}

func (r *rolloutSimulation) apply(s Step, now time.Time) {
	i := r.planner.Fleet.byVM[s.VM()]
	switch s := s.(type) {
	case WriteRow:
		r.vms[i] = r.vms[i].WithState(s.state)
		r.record(r.vms[i], s.state, now.Sub(r.start))
	case Reboot:
		r.vms[i] = r.vms[i].WithAbsent(true)
		r.returnAt[s.vm] = now.Add(r.planner.rebootTime())
	}
}

// record enters a new row of a VM into the waves.
func (r *rolloutSimulation) record(v VM, s catalogue.VMState, at time.Duration) {
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
	case Completed:
		r.duration = at
		if i >= 0 {
			r.waves[i].end = at
		}
	default:
	}
}
