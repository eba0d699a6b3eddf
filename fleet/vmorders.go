package fleet

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// VMOrdersKey is the key of the row with the VMs that were ordered to move or to be maintained lately. An order is sent
// only after its VM is in the row, so that the next controller knows which VMs it must leave alone for a while.
const VMOrdersKey = "control/vm-orders"

// clockSlack is by how much the clocks of two entry VMs differ at most in usual operation.
const clockSlack = 500 * time.Millisecond

// vmOrder is an order about a VM that waits for its intent to be stored.
type vmOrder struct {
	vm     string
	effect Effect
}

// vmOrdersWrite returns the write that stores the waiting orders, if there are any.
func (s *State) vmOrdersWrite(c *commit, now time.Time) []provider.Write {
	if len(s.vmOrders) == 0 {
		return nil
	}
	c.vmOrders, s.vmOrders = s.vmOrders, nil
	for vm, at := range s.ordered {
		if now.Sub(at) > s.DutyPause+LongTerm {
			delete(s.ordered, vm)
		}
	}
	for _, o := range c.vmOrders {
		s.ordered[o.vm] = now
	}
	stored := make(map[string]int64, len(s.ordered))
	for vm, at := range s.ordered {
		stored[vm] = at.UnixMilli()
	}
	data, err := json.Marshal(stored)
	if err != nil {
		panic(err) // strings and numbers
	}
	return []provider.Write{provider.NewPut(VMOrdersKey, data)}
}

// RestoreVMOrders takes in the row with the VMs that the controller before ordered lately. It isn't needed after a
// controller that gave up its term or has ended, as that one gives no more orders.
func (s *State) RestoreVMOrders(row provider.Row) {
	var stored map[string]int64
	if err := json.Unmarshal(row.Value(), &stored); err != nil {
		klog.ErrorS(err, "Stored orders about VMs can't be read")
	}
	for vm, at := range stored {
		// The clocks of two entry VMs may differ by more than the slack, but the pause never lasts longer than whole.
		free := time.UnixMilli(at).Add(s.DutyPause + clockSlack)
		s.pausedUntil[vm] = earlier(free, s.began.Add(s.DutyPause))
	}
}

// mayOrderVM reports whether an order about a VM may be sent: not shortly after one of the controller before.
func (s *State) mayOrderVM(vm string, now time.Time) bool {
	return s.mayStart(now) && !now.Before(s.pausedUntil[vm])
}
