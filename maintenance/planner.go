package maintenance

import (
	"cmp"
	"time"
)

// Planner plans one roll-out, in which the VMs of each pool are maintained in waves within the pool's availability
// budget. It keeps no state between calls.
type Planner struct {
	// Rollout is the name of the roll-out, which is stored in the rows. It must not contain spaces.
	Rollout string
	// DrainWindow is how long tasks may run before they are moved, DefaultDrainWindow if it is 0.
	DrainWindow time.Duration
	// RebootTime is the expected time from the reboot of a VM until it is present again, DefaultRebootTime if it is
	// 0.
	RebootTime time.Duration
	// Fleet is the current state of the VMs and pools.
	Fleet Fleet
	// Due reports whether the VM with an id is due for maintenance. If it is nil, all VMs are.
	Due func(vm string) bool
}

// Next returns what to do at now. Each VM goes from Pending to Announced, Draining, Rebooting and Completed by
// conditional writes of its row. An entry VM that continues after a crash of another therefore computes the same next
// step from the fleet.
func (p *Planner) Next(now time.Time) Plan {
	plan := Plan{fleet: p.Fleet, progress: make(map[string]Progress, len(p.Fleet.vms)), returning: make(map[string]int)}
	racks := make(map[string]int)
	zones := make(map[string]int)
	for _, v := range p.Fleet.vms {
		g := ProgressOf(p.Rollout, v.state)
		plan.progress[v.id] = g
		if p.due(v.id) && g.phase != Completed {
			plan.unmaintained++
		}
		if g.phase == Announced || g.phase.out() {
			racks[v.rack]++
			zones[v.zone]++
		}
		p.advanceOut(&plan, v, g, now)
	}
	for _, q := range p.Fleet.pools {
		pp := poolPlanner{planner: p, plan: &plan, pool: q, racks: racks, zones: zones, now: now}
		pp.run()
	}
	return plan
}

// advanceOut adds the steps and actions for a VM that the roll-out has taken out.
func (p *Planner) advanceOut(plan *Plan, v VM, g Progress, now time.Time) {
	if v.absent || !g.phase.out() {
		return
	}
	if g.phase == Draining {
		p.advanceDraining(plan, v, g, now)
		return
	}
	if v.started.After(v.state.ChangedAt()) {
		plan.returning[v.pool]++
		plan.steps = append(plan.steps, progressRow(v, NewProgress(p.Rollout, Completed, g.wave), now))
		return
	}
	plan.steps = append(plan.steps, Reboot{vm: v.id})
}

func (p *Planner) advanceDraining(plan *Plan, v VM, g Progress, now time.Time) {
	if len(v.tasks) == 0 {
		plan.steps = append(plan.steps, progressRow(v, NewProgress(p.Rollout, Rebooting, g.wave), now))
		return
	}
	drained := now.Sub(v.state.ChangedAt())
	for _, t := range v.tasks {
		plan.actions = append(plan.actions, TaskAction{vm: v.id, task: t.id, action: ActionFor(t, drained, p.drainWindow())})
	}
}

func (p *Planner) due(vm string) bool { return p.Due == nil || p.Due(vm) }

func (p *Planner) drainWindow() time.Duration { return cmp.Or(p.DrainWindow, DefaultDrainWindow) }

func (p *Planner) rebootTime() time.Duration { return cmp.Or(p.RebootTime, DefaultRebootTime) }
