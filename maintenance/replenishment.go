package maintenance

import (
	"cmp"
	"slices"
)

// PoolRequirement is the number of VMs that must be present in a pool.
type PoolRequirement struct {
	pool   string
	vms    int
	urgent bool
}

// NewPoolRequirement returns the requirement of a pool. Urgent says that the pool runs work of the class urgent.
func NewPoolRequirement(pool string, vms int, urgent bool) PoolRequirement {
	return PoolRequirement{pool: pool, vms: vms, urgent: urgent}
}

// Replenishment moves spare VMs to pools that have too few VMs after failures.
type Replenishment struct {
	// MinSpares is the number of VMs that stay in the spare pool.
	MinSpares int
	// Requirements has the requirement of each pool that may receive spare VMs.
	Requirements []PoolRequirement
	// Moves has the moves in progress. Their VMs count for the destination pool.
	Moves []Move
}

// Next returns the further moves to start, in order: pools with urgent work first, then the pool with the smallest
// fraction of its requirement. Spare VMs are taken in order of their number of tasks, idle ones first. Requirements
// of 0 VMs are ignored.
func (r Replenishment) Next(f Fleet) []Move {
	present := make(map[string]int)
	moving := make(map[string]bool)
	for _, m := range r.Moves {
		moving[m.vm] = true
		present[m.to]++
	}
	var spares []VM
	for _, v := range f.vms {
		switch {
		case moving[v.id]:
		case f.isSparePool(v.pool):
			if !v.Absent() {
				spares = append(spares, v)
			}
		case !v.absent || v.state.OutOfService(): // VMs that are out of service by plan return without a replacement
			present[v.pool]++
		}
	}
	slices.SortStableFunc(spares, func(a, b VM) int {
		return cmp.Or(cmp.Compare(len(a.tasks), len(b.tasks)), cmp.Compare(a.id, b.id))
	})
	var moves []Move
	for len(spares) > r.MinSpares {
		n, ok := r.nextShortfall(present)
		if !ok {
			break
		}
		moves = append(moves, NewMove(spares[0].id, n.pool))
		present[n.pool]++
		spares = spares[1:]
	}
	return moves
}

// nextShortfall returns the requirement to serve next, and false if all are met.
func (r Replenishment) nextShortfall(present map[string]int) (PoolRequirement, bool) {
	var short []PoolRequirement
	for _, n := range r.Requirements {
		if present[n.pool] < n.vms {
			short = append(short, n)
		}
	}
	if len(short) == 0 {
		return PoolRequirement{}, false
	}
	return slices.MinFunc(short, func(a, b PoolRequirement) int {
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

// LendableVMs returns the ids, sorted, of the spare VMs that may run archive work: all present ones except a reserve
// that stays idle, so that a replenishment needn't wait for checkpoints. VMs that already run tasks are lent first.
func LendableVMs(f Fleet, reserve int) []string {
	var spares []VM
	for _, v := range f.vms {
		if f.isSparePool(v.pool) && !v.Absent() {
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

// MayRunOnLentVM reports whether a task of archive work may run on a lent VM: it must be possible to move it at any
// time.
func MayRunOnLentVM(t Task) bool { return t.Movable() }

// isSparePool reports whether a pool, given by name, is the spare pool.
func (f Fleet) isSparePool(pool string) bool {
	for _, q := range f.pools {
		if q.Name() == pool {
			return q.Spare()
		}
	}
	return false
}
