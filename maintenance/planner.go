package maintenance

import (
	"cmp"
	"time"
)

// Planner chooses the waves of one roll-out. It keeps nothing between calls.
type Planner struct {
	// Rollout names the roll-out in the rows. It contains no spaces.
	Rollout string
	// Window is the drain window, DefaultWindow if it is 0.
	Window time.Duration
	// Reboot is the expected time from the reboot of a VM to its return, DefaultReboot if it is 0.
	Reboot time.Duration
	// Fleet is the current state of the VMs and pools.
	Fleet Fleet
	// Needs reports whether a VM needs maintenance. All do if it is nil.
	Needs func(vm string) bool
}

// Next returns what to do now. Each VM goes from Pending to Announced, Draining, Rebooting and Back by conditional
// writes of its row, so that the fleet after a crash at any point leads to the same next step.
func (p *Planner) Next(now time.Time) Wave {
	w := Wave{fleet: p.Fleet, progress: make(map[string]Progress, len(p.Fleet.vms)), returned: make(map[string]int)}
	racks := make(map[string]int)
	zones := make(map[string]int)
	for _, v := range p.Fleet.vms {
		g := ProgressOf(p.Rollout, v.state)
		w.progress[v.id] = g
		if p.needs(v.id) && g.phase != Back {
			w.left++
		}
		if g.phase == Announced || g.phase.out() {
			racks[v.rack]++
			zones[v.zone]++
		}
		p.advance(&w, v, g, now)
	}
	for _, q := range p.Fleet.pools {
		n := poolPlan{planner: p, wave: &w, pool: q, racks: racks, zones: zones, now: now}
		n.plan()
	}
	return w
}

// advance adds the steps and actions of a VM that is out.
func (p *Planner) advance(w *Wave, v VM, g Progress, now time.Time) {
	if v.absent || !g.phase.out() {
		return
	}
	if g.phase == Draining {
		p.drain(w, v, g, now)
		return
	}
	if v.started.After(v.state.When()) {
		w.returned[v.pool]++
		w.steps = append(w.steps, writeProgress(v, NewProgress(p.Rollout, Back, g.wave), now))
		return
	}
	w.steps = append(w.steps, Reboot{vm: v.id})
}

func (p *Planner) drain(w *Wave, v VM, g Progress, now time.Time) {
	if len(v.tasks) == 0 {
		w.steps = append(w.steps, writeProgress(v, NewProgress(p.Rollout, Rebooting, g.wave), now))
		return
	}
	drained := now.Sub(v.state.When())
	for _, t := range v.tasks {
		w.actions = append(w.actions, TaskAction{vm: v.id, task: t.id, action: Decide(t, drained, p.window())})
	}
}

func (p *Planner) needs(vm string) bool { return p.Needs == nil || p.Needs(vm) }

func (p *Planner) window() time.Duration { return cmp.Or(p.Window, DefaultWindow) }

func (p *Planner) reboot() time.Duration { return cmp.Or(p.Reboot, DefaultReboot) }
