package maintenance

import (
	"cmp"
	"slices"
)

// Need is how many VMs a pool needs present.
type Need struct {
	pool   string
	vms    int
	urgent bool
}

// NewNeed returns the need of a pool, and whether the pool runs urgent work.
func NewNeed(pool string, vms int, urgent bool) Need {
	return Need{pool: pool, vms: vms, urgent: urgent}
}

// Refill moves spare VMs to pools that lack VMs after failures.
type Refill struct {
	// Floor is the number of VMs that the spare keeps.
	Floor int
	// Needs has the need of each pool that is refilled.
	Needs []Need
	// Moving has the moves that were begun. Their VMs count for the new pool.
	Moving []Move
}

// Next returns the further moves to begin, in order: pools with urgent work first, then the one with the least part of
// its need. Idle spare VMs go first, then those that are soon empty. Needs with 0 VMs are ignored.
func (r Refill) Next(f Fleet) []Move {
	present := make(map[string]int)
	moving := make(map[string]bool)
	for _, m := range r.Moving {
		moving[m.vm] = true
		present[m.to]++
	}
	var spares []VM
	for _, v := range f.vms {
		switch {
		case moving[v.id]:
		case f.isSpare(v.pool):
			if !v.Absent() {
				spares = append(spares, v)
			}
		case !v.absent || v.state.Out(): // what is out by plan returns by itself
			present[v.pool]++
		}
	}
	slices.SortStableFunc(spares, func(a, b VM) int {
		return cmp.Or(cmp.Compare(len(a.tasks), len(b.tasks)), cmp.Compare(a.id, b.id))
	})
	var moves []Move
	for len(spares) > r.Floor {
		n, ok := r.neediest(present)
		if !ok {
			break
		}
		moves = append(moves, NewMove(spares[0].id, n.pool))
		present[n.pool]++
		spares = spares[1:]
	}
	return moves
}

func (r Refill) neediest(present map[string]int) (Need, bool) {
	var short []Need
	for _, n := range r.Needs {
		if present[n.pool] < n.vms {
			short = append(short, n)
		}
	}
	if len(short) == 0 {
		return Need{}, false
	}
	return slices.MinFunc(short, func(a, b Need) int {
		return cmp.Or(
			-compareBool(a.urgent, b.urgent),
			cmp.Compare(present[a.pool]*b.vms, present[b.pool]*a.vms),
			cmp.Compare(a.pool, b.pool),
		)
	}), true
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

// Lend returns the spare VMs that may run archive work meanwhile: all present ones but the reserve, which stays idle so
// that a refill needn't wait for checkpoints. VMs that have tasks are lent on first.
func Lend(f Fleet, reserve int) []string {
	var spares []VM
	for _, v := range f.vms {
		if f.isSpare(v.pool) && !v.Absent() {
			spares = append(spares, v)
		}
	}
	slices.SortStableFunc(spares, func(a, b VM) int {
		return cmp.Or(cmp.Compare(len(b.tasks), len(a.tasks)), cmp.Compare(a.id, b.id))
	})
	var lent []string
	for _, v := range spares[:max(len(spares)-reserve, 0)] {
		lent = append(lent, v.id)
	}
	slices.Sort(lent)
	return lent
}

// Lendable reports whether a task of archive work may run on a lent VM: it must be able to leave at once.
func Lendable(t Task) bool { return t.Movable() }

func (f Fleet) isSpare(pool string) bool {
	for _, q := range f.pools {
		if q.Name() == pool {
			return q.Spare()
		}
	}
	return false
}
