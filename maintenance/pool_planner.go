package maintenance

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// poolPlanner chooses the VMs of one pool that are announced or taken out.
type poolPlanner struct {
	planner      *Planner
	plan         *Plan
	pool         catalogue.Pool
	racks, zones map[string]int // number of VMs that are out or announced, by rack and by zone
	now          time.Time

	pending      []VM // VMs that are due and not announced
	announced    []VM // VMs whose rows say that they are announced
	lastWave     int  // highest wave number of the pool's VMs
	lastWaveSize int  // number of VMs in lastWave
}

func (pp *poolPlanner) run() {
	pp.classify()
	if len(pp.pending)+len(pp.announced) == 0 {
		return
	}
	if pp.pool.Budget() == 0 {
		pp.plan.unmaintainable = append(pp.plan.unmaintainable, pp.pool.Name())
		return
	}
	absent, unplanned := pp.planner.Fleet.Absent(pp.pool.Name())
	free := pp.pool.Budget() - absent + pp.plan.returning[pp.pool.Name()]
	if free <= 0 && unplanned > 0 {
		pp.plan.paused = append(pp.plan.paused, pp.pool.Name())
	}
	pp.takeOut(free)
	pp.announce()
}

// classify sets pending and announced, and counts the VMs of the last wave.
func (pp *poolPlanner) classify() {
	for _, v := range pp.planner.Fleet.PoolVMs(pp.pool.Name()) {
		g := pp.plan.progress[v.id]
		if g.phase == Pending {
			if pp.planner.due(v.id) {
				pp.pending = append(pp.pending, v)
			}
			continue
		}
		pp.countVM(g.wave)
		if g.phase == Announced {
			pp.announced = append(pp.announced, v)
		}
	}
}

// countVM counts a VM that belongs to wave.
func (pp *poolPlanner) countVM(wave int) {
	if wave > pp.lastWave {
		pp.lastWave, pp.lastWaveSize = wave, 0
	}
	if wave == pp.lastWave {
		pp.lastWaveSize++
	}
}

// followingWaveComplete reports whether the wave after the given one has all its VMs. Only then may VMs of the given
// one be taken out, because tasks of draining VMs must not move to VMs of the next wave.
func (pp *poolPlanner) followingWaveComplete(wave int) bool {
	return len(pp.pending) == 0 || pp.lastWave > wave+1 || pp.lastWave == wave+1 && pp.lastWaveSize >= pp.pool.Budget()
}

// takeOut starts the drain of up to free announced VMs: in order of their waves, and within a wave those first that
// are expected to drain soonest.
func (pp *poolPlanner) takeOut(free int) {
	slices.SortStableFunc(pp.announced, pp.compareDrain)
	for ; free > 0; free-- {
		i := slices.IndexFunc(pp.announced, present)
		if i < 0 {
			return
		}
		v := pp.announced[i]
		wave := pp.plan.progress[v.id].wave
		if !pp.followingWaveComplete(wave) {
			return
		}
		pp.announced = slices.Delete(pp.announced, i, i+1)
		pp.setProgress(v, NewProgress(pp.planner.Rollout, Draining, wave))
	}
}

// announce assigns VMs to waves until the wave that is taken out next and the one after it are complete. Absent VMs
// are assigned when no others are left, so that no task moves to one that becomes present in the meantime.
func (pp *poolPlanner) announce() {
	for len(pp.pending) > 0 && !pp.followingWaveComplete(pp.currentWave()) {
		v := slices.MinFunc(pp.pending, pp.compareAnnounce)
		pp.pending = slices.DeleteFunc(pp.pending, func(o VM) bool { return o.id == v.id })
		pp.racks[v.rack]++
		pp.zones[v.zone]++
		wave := pp.lastWave
		if pp.lastWaveSize >= pp.pool.Budget() {
			wave++
		}
		pp.countVM(wave)
		pp.setProgress(v, NewProgress(pp.planner.Rollout, Announced, wave))
	}
}

// currentWave returns the number of the wave that is taken out next.
func (pp *poolPlanner) currentWave() int {
	if i := slices.IndexFunc(pp.announced, present); i >= 0 {
		return pp.plan.progress[pp.announced[i].id].wave
	}
	return pp.lastWave
}

func present(v VM) bool { return !v.Absent() }

// setProgress adds the step that writes the progress of a VM.
func (pp *poolPlanner) setProgress(v VM, g Progress) {
	pp.plan.steps = append(pp.plan.steps, progressRow(v, g, pp.now))
	pp.plan.progress[v.id] = g
}

// compareDrain orders VMs by wave, then by the expected drain time, then by the number of tasks to move.
func (pp *poolPlanner) compareDrain(a, b VM) int {
	if c := cmp.Compare(pp.plan.progress[a.id].wave, pp.plan.progress[b.id].wave); c != 0 {
		return c
	}
	longA, movesA := a.drainEstimate(pp.planner.drainWindow())
	longB, movesB := b.drainEstimate(pp.planner.drainWindow())
	return cmp.Or(cmp.Compare(longA, longB), cmp.Compare(movesA, movesB), cmp.Compare(a.id, b.id))
}

// compareAnnounce orders VMs for their assignment to waves. VMs that are absent come last, and before them those with
// a task that can't be moved and outlasts the drain window. Racks and availability zones that already have VMs out or
// announced come first: a failure of such a rack or zone then makes fewer further VMs absent.
func (pp *poolPlanner) compareAnnounce(a, b VM) int {
	return cmp.Or(
		compareBool(a.Absent(), b.Absent()), compareBool(pp.outlastsWindow(a), pp.outlastsWindow(b)),
		pp.compareFirstWave(a, b),
		cmp.Compare(pp.racks[b.rack], pp.racks[a.rack]),
		cmp.Compare(pp.zones[b.zone], pp.zones[a.zone]),
		cmp.Compare(a.zone, b.zone), cmp.Compare(a.rack, b.rack), cmp.Compare(a.id, b.id),
	)
}

// outlastsWindow reports whether a VM is expected to drain for longer than the drain window.
func (pp *poolPlanner) outlastsWindow(v VM) bool {
	longest, _ := v.drainEstimate(pp.planner.drainWindow())
	return longest > pp.planner.drainWindow()
}

// compareFirstWave orders the VMs of the first wave by the number of their tasks that can't be restarted. In later
// waves it treats all VMs as equal, because a VM admits no such tasks while it is announced.
func (pp *poolPlanner) compareFirstWave(a, b VM) int {
	if pp.lastWave > 0 || pp.lastWaveSize >= pp.pool.Budget() {
		return 0
	}
	return cmp.Compare(a.nonRestartable(), b.nonRestartable())
}
