package maintenance

import (
	"cmp"
	"slices"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Fleet is an immutable snapshot of the backend server VMs and the pools.
type Fleet struct {
	vms   []VM
	pools []catalogue.Pool
	byVM  map[string]int
	byPool
}

type byPool map[string][]int

// NewFleet returns a fleet. Each VM must be in one of the pools.
func NewFleet(pools []catalogue.Pool, vms []VM) Fleet {
	f := Fleet{
		vms: slices.Clone(vms), pools: slices.Clone(pools),
		byVM: make(map[string]int, len(vms)), byPool: make(byPool, len(pools)),
	}
	slices.SortFunc(f.vms, func(a, b VM) int { return cmp.Compare(a.id, b.id) })
	slices.SortFunc(f.pools, func(a, b catalogue.Pool) int { return cmp.Compare(a.Name(), b.Name()) })
	for i, v := range f.vms {
		f.byVM[v.id] = i
		f.byPool[v.pool] = append(f.byPool[v.pool], i)
	}
	return f
}

// VMs returns the VMs sorted by id. Callers must not modify the slice.
func (f Fleet) VMs() []VM { return f.vms }

// VM returns the VM with an id, and false if there is none.
func (f Fleet) VM(id string) (VM, bool) {
	i, ok := f.byVM[id]
	if !ok {
		return VM{}, false
	}
	return f.vms[i], true
}

// Pools returns the pools sorted by name. Callers must not modify the slice.
func (f Fleet) Pools() []catalogue.Pool { return f.pools }

// PoolVMs returns the VMs of a pool sorted by id.
func (f Fleet) PoolVMs(pool string) []VM {
	vms := make([]VM, 0, len(f.byPool[pool]))
	for _, i := range f.byPool[pool] {
		vms = append(vms, f.vms[i])
	}
	return vms
}

// Absent returns how many VMs of a pool are absent, and how many of them are absent unplanned.
func (f Fleet) Absent(pool string) (all, unplanned int) {
	for _, i := range f.byPool[pool] {
		if f.vms[i].Absent() {
			all++
		}
		if f.vms[i].AbsentUnplanned() {
			unplanned++
		}
	}
	return all, unplanned
}
