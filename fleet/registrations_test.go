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

// Guards against new runs on a server that shuts down: the store carries out an earlier heartbeat of it late, which says that it
// takes work.
func TestLateHeartbeatDoesNotEndDrain(t *testing.T) {
	for name, c := range map[string]struct {
		sequence, bootedLater int64
		starts                int
	}{
		"earlier heartbeat": {sequence: 5, starts: 0},
		"later heartbeat":   {sequence: 7, starts: 1},
		"next incarnation":  {sequence: 1, bootedLater: 100, starts: 1},
		"without a number":  {starts: 1},
	} {
		r := newRig(t)
		r.register("i-1", "press")
		r.report("i-1", nil)
		registration := backend.Registration{
			ID: "i-1", VM: "m-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-i-1",
			Incarnation: r.bootTimes["i-1"].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
		}
		draining := registration
		draining.Draining, draining.Sequence = true, 6
		r.handle(fleet.ServerRegistered{Registration: draining})
		registration.Sequence = c.sequence
		registration.Incarnation += c.bootedLater
		r.handle(fleet.ServerRegistered{Registration: registration})
		r.bootTimes["i-1"] = r.bootTimes["i-1"].Add(time.Duration(c.bootedLater) * time.Millisecond)
		for range 2 { // the first poll was sent to the earlier incarnation
			r.advance(600 * time.Millisecond)
			r.report("i-1", nil)
		}
		r.takeEffects()
		r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
		r.advance(300 * time.Millisecond)
		assert.Equal(t, len(r.starts()), c.starts, name)
	}
}
