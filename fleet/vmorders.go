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
		if now.Sub(at) > s.DutyPause+TermDuration {
			delete(s.ordered, vm)
		}
	}
	for _, o := range c.vmOrders {
		s.ordered[o.vm] = now
	}
	vms := make([]string, 0, len(s.ordered))
	for vm := range s.ordered {
		vms = append(vms, vm)
	}
	data, err := json.Marshal(vms)
	if err != nil {
		panic(err) // strings
	}
	return []provider.Write{provider.NewPut(VMOrdersKey, data)}
}

// RestoreVMOrders takes in the row with the VMs that the controller before ordered lately.
func (s *State) RestoreVMOrders(row provider.Row) {
	var vms []string
	if err := json.Unmarshal(row.Value(), &vms); err != nil {
		klog.ErrorS(err, "Stored orders about VMs can't be read")
	}
	for _, vm := range vms {
		s.orderedBefore[vm] = true
	}
}

// mayOrderVM reports whether an order about a VM may be sent: not shortly after one of the controller before.
func (s *State) mayOrderVM(vm string, now time.Time) bool {
	return s.mayStart(now) && (!s.orderedBefore[vm] || now.Sub(s.began) >= s.DutyPause)
}
