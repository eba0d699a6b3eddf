package maintenance

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// poolPlan chooses the VMs of one pool that are taken out and announced.
type poolPlan struct {
	planner      *Planner
	wave         *Wave
	pool         catalogue.Pool
	racks, zones map[string]int // VMs that are out or announced
	now          time.Time

	pending   []VM // those that are present first
	announced []VM // according to their rows
	last      int  // the highest wave that VMs have
	size      int  // VMs of that wave
}

func (n *poolPlan) plan() {
	n.sort()
	if len(n.pending)+len(n.announced) == 0 {
		return
	}
	if n.pool.Budget() == 0 {
		n.wave.impossible = append(n.wave.impossible, n.pool.Name())
		return
	}
	absent, unplanned := n.planner.Fleet.Absent(n.pool.Name())
	free := n.pool.Budget() - absent + n.wave.returned[n.pool.Name()]
	if free <= 0 && unplanned > 0 {
		n.wave.paused = append(n.wave.paused, n.pool.Name())
	}
	n.takeOut(free)
	n.announce()
}

func (n *poolPlan) sort() {
	for _, v := range n.planner.Fleet.PoolVMs(n.pool.Name()) {
		g := n.wave.progress[v.id]
		if g.phase == Pending {
			if n.planner.needs(v.id) {
				n.pending = append(n.pending, v)
			}
			continue
		}
		n.count(g.wave)
		if g.phase == Announced {
			n.announced = append(n.announced, v)
		}
	}
}

func (n *poolPlan) count(wave int) {
	if wave > n.last {
		n.last, n.size = wave, 0
	}
	if wave == n.last {
		n.size++
	}
}

// complete reports whether the wave after the given one is complete, so that VMs of the given one may be taken out.
func (n *poolPlan) complete(wave int) bool {
	return len(n.pending) == 0 || n.last > wave+1 || n.last == wave+1 && n.size >= n.pool.Budget()
}

// takeOut begins the drain of announced VMs within the budget: in order of their waves, and in a wave those that are
// soon empty first.
func (n *poolPlan) takeOut(free int) {
	slices.SortStableFunc(n.announced, n.compareDrain)
	for ; free > 0; free-- {
		i := slices.IndexFunc(n.announced, present)
		if i < 0 {
			return
		}
		v := n.announced[i]
		wave := n.wave.progress[v.id].wave
		if !n.complete(wave) {
			return
		}
		n.announced = slices.Delete(n.announced, i, i+1)
		n.write(v, NewProgress(n.planner.Rollout, Draining, wave))
	}
}

// announce marks VMs until the wave that is taken out next and the one after it are complete. Absent VMs are marked
// too when no others are left, so that no task moves to one that returns in the meantime.
func (n *poolPlan) announce() {
	for len(n.pending) > 0 && !n.complete(n.current()) {
		v := slices.MinFunc(n.pending, n.compareOrder)
		n.pending = slices.DeleteFunc(n.pending, func(o VM) bool { return o.id == v.id })
		n.racks[v.rack]++
		n.zones[v.zone]++
		wave := n.last
		if n.size >= n.pool.Budget() {
			wave++
		}
		n.count(wave)
		n.write(v, NewProgress(n.planner.Rollout, Announced, wave))
	}
}

// current returns the wave that is taken out next.
func (n *poolPlan) current() int {
	if i := slices.IndexFunc(n.announced, present); i >= 0 {
		return n.wave.progress[n.announced[i].id].wave
	}
	return n.last
}

func present(v VM) bool { return !v.Absent() }

func (n *poolPlan) write(v VM, g Progress) {
	n.wave.steps = append(n.wave.steps, writeProgress(v, g, n.now))
	n.wave.progress[v.id] = g
}

func (n *poolPlan) compareDrain(a, b VM) int {
	if c := cmp.Compare(n.wave.progress[a.id].wave, n.wave.progress[b.id].wave); c != 0 {
		return c
	}
	longA, movesA := a.drain(n.planner.window())
	longB, movesB := b.drain(n.planner.window())
	return cmp.Or(cmp.Compare(longA, longB), cmp.Compare(movesA, movesB), cmp.Compare(a.id, b.id))
}

// compareOrder orders VMs by rack and availability zone, those last that are absent or have a task that can't be moved and
// outlasts the window. Racks and zones with VMs that are out or announced come first:
// a failure there then takes fewer further VMs.
func (n *poolPlan) compareOrder(a, b VM) int {
	return cmp.Or(
		compareBool(a.Absent(), b.Absent()), compareBool(n.late(a), n.late(b)),
		n.compareFirst(a, b),
		cmp.Compare(n.racks[b.rack], n.racks[a.rack]),
		cmp.Compare(n.zones[b.zone], n.zones[a.zone]),
		cmp.Compare(a.zone, b.zone), cmp.Compare(a.rack, b.rack), cmp.Compare(a.id, b.id),
	)
}

func (n *poolPlan) late(v VM) bool {
	longest, _ := v.drain(n.planner.window())
	return longest > n.planner.window()
}

// compareFirst orders the VMs of the first wave by their tasks that can't be stopped. Those of later waves lose such tasks
// while they are announced.
func (n *poolPlan) compareFirst(a, b VM) int {
	if n.last > 0 || n.size >= n.pool.Budget() {
		return 0
	}
	return cmp.Compare(a.unstoppable(), b.unstoppable())
}
