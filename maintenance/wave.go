package maintenance

// Wave is the next part of a roll-out: steps, actions for the tasks of draining VMs, and where tasks may go.
type Wave struct {
	steps      []Step
	actions    []TaskAction
	fleet      Fleet
	progress   map[string]Progress
	paused     []string
	impossible []string
	left       int
	returned   map[string]int // VMs of a pool that the steps bring back
}

// Steps returns the steps. They are carried out in order, or the rows written in one transaction, because VMs that return
// make room in the budget for those taken out after them. After a failure the rest is left out: the next wave has it again.
func (w Wave) Steps() []Step { return w.steps }

// Actions returns the actions for the tasks of draining VMs.
func (w Wave) Actions() []TaskAction { return w.actions }

// Paused returns the pools whose budget is used up by unplanned absence, so that their roll-out waits.
func (w Wave) Paused() []string { return w.paused }

// Impossible returns the pools that can't be maintained because their budget is 0.
func (w Wave) Impossible() []string { return w.impossible }

// Left returns how many VMs aren't maintained yet.
func (w Wave) Left() int { return w.left }

// MayReceive reports whether a task of a draining VM may move to another VM: one that isn't absent, isn't of the next
// wave, and wasn't of the source's wave or the one after. A task is thus moved at most once in a wave.
func (w Wave) MayReceive(source, target string) bool {
	v, ok := w.fleet.VM(target)
	if !ok || v.Absent() {
		return false
	}
	t := w.progress[target]
	switch t.phase {
	case Pending:
		return true
	case Back:
		s := w.progress[source]
		return t.wave != s.wave && t.wave != s.wave+1
	default:
		return false
	}
}

// Maintained reports whether a VM was maintained. Tasks that move there aren't moved again by this roll-out.
func (w Wave) Maintained(vm string) bool { return w.progress[vm].phase == Back }

// Leaving reports whether a VM is out or of the next wave. Long work should start elsewhere if there is room.
func (w Wave) Leaving(vm string) bool {
	p := w.progress[vm].phase
	return p == Announced || p.out()
}

// Admits reports whether a task may start on a VM: a VM that is of the next wave takes only work that can be stopped at the
// end of the drain window. Other work would extend the time that the VM uses its pool's budget.
func (w Wave) Admits(vm string, t Task) bool {
	p := w.progress[vm].phase
	return !p.out() && (p != Announced || t.Restartable())
}
