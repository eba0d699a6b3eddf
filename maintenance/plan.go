package maintenance

// Plan is the next part of a roll-out: steps, actions for the tasks of draining VMs, and rules for the placement of
// tasks.
type Plan struct {
	steps          []Step
	actions        []TaskAction
	fleet          Fleet
	progress       map[string]Progress
	paused         []string
	unmaintainable []string
	unmaintained   int
	returning      map[string]int // number of VMs that the steps bring back in service, by pool
}

// Steps returns the steps. They are carried out in order, or their rows are written in one transaction, because VMs
// that return to service free the budget for those taken out after them. After a failed step the rest is skipped; the
// next plan contains it again.
func (p Plan) Steps() []Step { return p.steps }

// Actions returns the actions for the tasks of draining VMs.
func (p Plan) Actions() []TaskAction { return p.actions }

// Paused returns the names of the pools whose roll-out is paused, because unplanned absences use up the budget.
func (p Plan) Paused() []string { return p.paused }

// Unmaintainable returns the names of the pools that can't be maintained because their budget is 0.
func (p Plan) Unmaintainable() []string { return p.unmaintainable }

// Unmaintained returns the number of VMs that are due and haven't been maintained.
func (p Plan) Unmaintained() int { return p.unmaintained }

// MayReceive reports whether a task of a draining VM may move from source to target. The target must be in service,
// must not be announced, and must not have been maintained in the source's wave or the one after it. A task is thus
// moved at most once per wave.
func (p Plan) MayReceive(source, target string) bool {
	v, ok := p.fleet.VM(target)
	if !ok || v.Absent() {
		return false
	}
	t := p.progress[target]
	switch t.phase {
	case Pending:
		return true
	case Completed:
		s := p.progress[source]
		return t.wave != s.wave && t.wave != s.wave+1
	default:
		return false
	}
}

// Maintained reports whether a VM was maintained. Tasks that move there aren't moved again by this roll-out.
func (p Plan) Maintained(vm string) bool { return p.progress[vm].phase == Completed }

// OutOfServiceOrAnnounced reports whether a VM is out of service or announced. Long tasks should start on another VM if
// one has capacity.
func (p Plan) OutOfServiceOrAnnounced(vm string) bool {
	phase := p.progress[vm].phase
	return phase == Announced || phase.out()
}

// Admits reports whether a task may start on a VM. A VM that is announced admits only tasks that can be stopped at
// the end of the drain window; other tasks would lengthen the time during which the VM uses its pool's budget.
func (p Plan) Admits(vm string, t Task) bool {
	phase := p.progress[vm].phase
	return !phase.out() && (phase != Announced || t.Restartable())
}
