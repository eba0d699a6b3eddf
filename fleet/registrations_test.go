package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a registration that another writer stored, and that changes what the controller believes of the servers of
// its pool: by its capacity arriving jobs would seem to be no work.
func TestServerWithoutReportDoesNotSetCapacityOfPool(t *testing.T) {
	r := newRig(t)
	vms := make([]backend.VM, 0, 8)
	for n := range 8 {
		id := string(rune('a' + n))
		r.register("i-"+id, "press")
		r.report("i-"+id, nil)
		vms = append(vms, backend.VM{
			Name: "m-" + id, Pool: "press", Server: "i-" + id, State: backend.VMUp, Zone: "z",
			Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: "i-odd", Pool: "press", Address: "10.0.0.9:9", Zone: "z", Incarnation: r.now.UnixMilli(),
		Capacity: workload.NewResources(1<<40, 1<<40, 0),
	}})
	for n := range 8 {
		r.handle(fleet.JobArrived{Job: r.job(n+1, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 60000})})
	}
	r.takeEffects()
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: vms})
	r.handle(fleet.JobArrived{Job: r.job(9, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 60000})})
	for n := range 8 {
		vms = append(vms, backend.VM{
			Name: "m-spare-" + string(rune('a'+n)), Pool: "spare", State: backend.VMUp, Zone: "z",
			Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: vms})
	r.advance(time.Second)
	moved := 0
	for _, e := range r.takeEffects() {
		if m, ok := e.(fleet.MoveVM); ok && m.Pool == "press" {
			moved++
		}
	}
	assert.Equal(t, moved, 7, "the burst of jobs needs all spare VMs, and the other pool one")
}
