package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// listVM lists the VM m-1 with a server.
func (r *rig) listVM(server string, requestedAt time.Time) {
	r.handle(fleet.VMsListed{RequestedAt: requestedAt, VMs: []backend.VM{{
		Name: "m-1", Pool: "press", State: backend.VMUp, Server: server, Capacity: workload.NewResources(8000, 8000, 0),
	}}})
}

// registerOn registers a server on a VM.
func (r *rig) registerOn(vm, id, pool string) {
	r.bootTimes[id] = r.now
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, VM: vm, Pool: pool, Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + id,
		Incarnation: r.now.UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
}

func (r *rig) maintenanceRequests() int {
	n := 0
	for _, e := range r.takeEffects() {
		if _, ok := e.(fleet.MaintainVM); ok {
			n++
		}
	}
	return n
}

func (r *rig) addWave(vms ...string) {
	r.handle(fleet.OperationArrived{Operation: directory.Wave{
		Name: "1", Number: 1, VMs: vms, TimeLimit: 20 * time.Second, MaxConcurrent: 1,
	}})
}

// Guards against the maintenance of a VM whose listed server has ended: another server may run tasks on the VM.
func TestVMWithEndedServerIsNotMaintained(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.listVM("i-1", r.now)
	r.handle(fleet.ServerUnregistered{ID: "i-1"})
	r.register("i-2", "press") // on the same VM, which the list doesn't show yet
	r.report("i-2", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true})})
	r.takeEffects()
	r.addWave("m-1")
	r.advance(time.Second)
	assert.Equal(t, r.maintenanceRequests(), 0)
}

// Guards against runs that the maintenance or move of their VM ends: the list is older than the VM's server, and shows the idle one
// before it, which is still registered.
func TestVMWithNewerServerThanListedIsNotTakenForIdle(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(time.Second)
	r.registerOn("m-1", "i-2", "press")
	r.report("i-2", nil)
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{ // the first one gets no tasks
		ID: "i-1", VM: "m-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-i-1", Draining: true,
		Incarnation: r.bootTimes["i-1"].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, "i-2")
	r.acceptStart(starts[0])
	r.listVM("i-1", r.now)
	r.addWave("m-1")
	r.advance(time.Second)
	for _, e := range r.takeEffects() {
		switch e.(type) {
		case fleet.MaintainVM, fleet.MoveVM:
			t.Errorf("requested %#v", e)
		}
	}
}

// Guards against tasks that are placed on a server whose VM has been moved or maintained: the list is older than that, and still
// shows the server.
func TestListOlderThanMaintenanceReturnsNoServer(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.listVM("i-1", r.now)
	r.addWave("m-1")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.maintenanceRequests(), 1)
	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.Accepted{}})
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	r.failPoll("i-1")
	for range 4 {
		r.advance(400 * time.Millisecond)
		r.listVM("i-1", r.now)
		assert.Equal(t, len(r.starts()), 0)
		r.failPoll("i-1")
	}
}

// Guards against a list that can't be read and makes the one before it count as current: the maintenance of a VM is requested by
// the earlier list, which shows a server that has ended, while the VM's new server runs tasks.
func TestListThatCannotBeReadIsNotCurrent(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.listVM("i-1", r.now)
	r.handle(fleet.ServerUnregistered{ID: "i-1"})
	r.takeEffects()
	r.addWave("m-1")
	for range 5 {
		r.advance(500 * time.Millisecond)
		r.handle(fleet.VMsListed{RequestedAt: r.now.Add(-time.Millisecond)})
	}
	lists := 0
	for _, e := range r.effects {
		switch e.(type) {
		case fleet.ListVMs:
			lists++
		case fleet.MaintainVM:
			t.Error("requested the maintenance of a VM that no list has shown since its server ended")
		}
	}
	assert.Equal(t, lists, 5, "lists of VMs that were requested within 2.5 s")
}

// Guards against runs of a new server that are taken for ended: the first request for the maintenance of its VM was carried
// out without a response, and the second one is accepted because the maintenance is over.
func TestRepeatedMaintenanceRequestKeepsRunsOfNewServer(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.listVM("i-1", r.now)
	r.addWave("m-1")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.maintenanceRequests(), 1)
	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.OutcomeUnknown{Reason: "no response"}})
	r.handle(fleet.ServerUnregistered{ID: "i-1"})

	r.register("i-2", "press")
	r.report("i-2", nil)
	r.listVM("i-2", r.now)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{
		Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000,
	})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, "i-2")
	r.acceptStart(starts[0])
	r.advance(time.Second)
	assert.Equal(t, r.maintenanceRequests(), 0, "repeated while the VM's new server has a run")
	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.Accepted{}})
	r.report("i-2", []backend.Run{starts[0].Request.Run})
	r.register("i-3", "press")
	r.report("i-3", nil)
	r.advance(3 * time.Second)
	assert.Equal(t, len(r.starts()), 0, "the run was started again although it goes on")
}

// Guards against runs that are started twice: an earlier controller had a VM maintained, this one requests it again before the VM's
// new server has registered, and the request is accepted because the maintenance is over.
func TestMaintenanceThatWasDoneBeforeEndsNoRuns(t *testing.T) {
	r := newRig(t)
	r.listVM("i-1", r.now)
	r.addWave("m-1")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.maintenanceRequests(), 1)
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000})})
	assert.Equal(t, len(r.starts()), 0, "a run was started while the maintenance may begin")

	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.Accepted{}})
	r.advance(100 * time.Millisecond)
	r.listVM("i-1", r.now)
	r.advance(100 * time.Millisecond)
	r.report("i-1", nil)
	r.advance(100 * time.Millisecond)
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.acceptStart(starts[0])
	r.register("i-2", "press")
	r.report("i-2", nil)
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 0)
}

// Guards against runs that are given up, and started again elsewhere, when a request for their server's VM is accepted.
func TestAcceptedRequestForVMDoesNotEndRuns(t *testing.T) {
	r := newRig(t)
	r.listVM("i-1", r.now)
	r.addWave("m-1")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, r.maintenanceRequests(), 1)
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{ // without its VM
		ID: "i-1", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Incarnation: 1, Capacity: workload.NewResources(8000, 8000, 0),
	}})
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.acceptStart(starts[0])
	r.register("i-2", "press")
	r.report("i-2", nil)
	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.Accepted{}})
	r.advance(time.Second)
	assert.Equal(t, len(r.starts()), 0, "the run was started again although it goes on")
}

// Guards against a server that gets no tasks any more: the request for the maintenance that its VM had before was repeated, as the
// first one had no response, and was accepted because the maintenance was over.
func TestServerGetsTasksAfterRepeatedMaintenanceRequest(t *testing.T) {
	for _, hasRun := range []bool{false, true} {
		r := newRig(t)
		r.register("i-1", "press")
		r.report("i-1", nil)
		r.listVM("i-1", r.now)
		r.addWave("m-1")
		r.advance(200 * time.Millisecond)
		assert.Equal(t, r.maintenanceRequests(), 1)
		r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.OutcomeUnknown{Reason: "no response"}})
		r.handle(fleet.ServerUnregistered{ID: "i-1"})
		r.registerOn("m-1", "i-2", "press")
		r.report("i-2", nil)
		r.listVM("i-2", r.now)
		r.advance(time.Second)
		assert.Equal(t, r.maintenanceRequests(), 1, "repeated")
		if hasRun {
			r.report("i-2", []backend.Run{})
			r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true})})
		}
		r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: 1, Outcome: backend.Accepted{}})
		r.advance(200 * time.Millisecond)
		r.listVM("i-2", r.now)
		r.reportProgress("i-2", nil, 0)
		r.advance(200 * time.Millisecond)
		r.reportProgress("i-2", nil, 0)
		r.handle(fleet.JobArrived{Job: r.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, LongRunning: true})})
		starts := r.starts()
		assert.Assert(t, len(starts) > 0)
		assert.Equal(t, starts[0].Target.ID, "i-2")
	}
}
