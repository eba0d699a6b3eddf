package maintenance

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Step is an operation on one VM: WriteRow or Reboot.
type Step interface {
	// VM returns the id of the VM.
	VM() string
	step()
}

// WriteRow replaces the row config/vm/<id>. The write is conditional on the configuration version at which the fleet
// was read, so that only one of several entry VMs succeeds.
type WriteRow struct {
	vm    string
	state catalogue.VMState
}

// VM returns the id of the VM.
func (w WriteRow) VM() string { return w.vm }

// State returns the new content of the row.
func (w WriteRow) State() catalogue.VMState { return w.state }

// Reboot asks the platform to reboot a VM that has no tasks. It is repeated until the VM is absent or has restarted.
type Reboot struct{ vm string }

// VM returns the id of the VM.
func (r Reboot) VM() string { return r.vm }

func (WriteRow) step() {}
func (Reboot) step()   {}

// author is the author of the rows that this package writes.
const author = "maintenance"

// progressRow returns the step that stores the progress of a VM in its row.
func progressRow(v VM, p Progress, now time.Time) WriteRow {
	return WriteRow{vm: v.id, state: catalogue.NewVMState(v.pool, p.OutOfService(), p.Reason(), author, now)}
}
