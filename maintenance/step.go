package maintenance

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Step is something to do for a VM: WriteRow or Reboot.
type Step interface {
	// VM returns the id of the VM.
	VM() string
	step()
}

// WriteRow says that the row config/vm/<id> changes. The write is conditional on the configuration version that the
// fleet was read at, so that of two entry VMs only one does it.
type WriteRow struct {
	vm    string
	state catalogue.VMState
}

// VM returns the id of the VM.
func (w WriteRow) VM() string { return w.vm }

// State returns the new row.
func (w WriteRow) State() catalogue.VMState { return w.state }

// Reboot says that the platform is asked to reboot an empty VM. It is repeated until the VM is absent or has started
// again.
type Reboot struct{ vm string }

// VM returns the id of the VM.
func (r Reboot) VM() string { return r.vm }

func (WriteRow) step() {}
func (Reboot) step()   {}

// author is recorded in the rows that the planner writes.
const author = "maintenance"

func writeProgress(v VM, p Progress, now time.Time) WriteRow {
	return WriteRow{vm: v.id, state: catalogue.NewVMState(v.pool, p.Out(), p.Reason(), author, now)}
}
