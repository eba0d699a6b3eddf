package maintenance

import (
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// VM is a backend server VM with its row and its tasks. Its With methods return a changed copy.
type VM struct {
	id      string
	zone    string
	rack    string
	pool    string
	absent  bool
	started time.Time
	state   catalogue.VMState
	tasks   []Task
}

// NewVM returns a VM that is present and has no tasks. Pool is the pool of the VM's row, or its initial pool if it
// has no row.
func NewVM(id, zone, rack, pool string) VM { return VM{id: id, zone: zone, rack: rack, pool: pool} }

// WithAbsent sets whether the VM is absent for another reason than its own row: it has failed, is being removed,
// isn't listed, or is in an availability zone that is out.
func (v VM) WithAbsent(absent bool) VM { v.absent = absent; return v }

// WithStarted sets the start time of the backend server process, which is part of its epochs.
func (v VM) WithStarted(t time.Time) VM { v.started = t; return v }

// WithState sets the row of the VM.
func (v VM) WithState(s catalogue.VMState) VM { v.state = s; return v }

// WithTasks sets the tasks that run on the VM.
func (v VM) WithTasks(tasks ...Task) VM { v.tasks = slices.Clone(tasks); return v }

// ID returns the id of the VM.
func (v VM) ID() string { return v.id }

// Zone returns the availability zone.
func (v VM) Zone() string { return v.zone }

// Rack returns the rack.
func (v VM) Rack() string { return v.rack }

// Pool returns the name of the pool.
func (v VM) Pool() string { return v.pool }

// State returns the row of the VM.
func (v VM) State() catalogue.VMState { return v.state }

// Tasks returns the tasks that run on the VM. Callers must not modify the slice.
func (v VM) Tasks() []Task { return v.tasks }

// Absent reports whether the VM counts against the availability budget, by plan or not.
func (v VM) Absent() bool { return v.absent || v.state.OutOfService() }

// AbsentUnplanned reports whether the VM is absent although its row says that it is in service. This excludes a VM
// that is rebooting by plan.
func (v VM) AbsentUnplanned() bool { return v.absent && !v.state.OutOfService() }

// drainEstimate returns the expected drain time of the VM and the number of its tasks that will have to be moved.
func (v VM) drainEstimate(window time.Duration) (longest time.Duration, moves int) {
	for _, t := range v.tasks {
		r := t.Remaining()
		if r > window && t.Restartable() {
			r = window
			moves++
		}
		longest = max(longest, r)
	}
	return longest, moves
}

// nonRestartable returns the number of tasks that have to run to their end.
func (v VM) nonRestartable() int {
	n := 0
	for _, t := range v.tasks {
		if !t.Restartable() {
			n++
		}
	}
	return n
}
