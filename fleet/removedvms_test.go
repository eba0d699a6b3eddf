package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxRemovalDelay bounds the time from the loss of a VM until the tasks of its server start elsewhere: a failed poll and two lists.
const maxRemovalDelay = 3 * time.Second

// removedRig has a task on a server whose VM is then removed. Another server of the pool is free.
type removedRig struct {
	*heldStartRig
	removed string                     // the server
	states  map[string]backend.VMState // of the listed VMs, by server id
}

func newRemovedRig(t *testing.T, step workload.StepOptions) *removedRig {
	t.Helper()
	r := &removedRig{heldStartRig: newHeldStartRig(t, step)}
	r.removed = r.start.Target.ID
	r.states = map[string]backend.VMState{"i-1": backend.VMUp, "i-2": backend.VMUp}
	r.list()
	return r
}

// list delivers a list of the VMs as they are now. A VM that is down runs no server.
func (r *removedRig) list() {
	r.t.Helper()
	vms := make([]backend.VM, 0, len(r.states))
	for _, id := range []string{"i-1", "i-2"} {
		state, listed := r.states[id]
		if !listed {
			continue
		}
		vm := backend.VM{Name: "m" + id[1:], Pool: "press", State: state}
		if state == backend.VMUp {
			vm.Server = id
		}
		vms = append(vms, vm)
	}
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: vms})
}

// run lets some time pass in which the removed server doesn't respond, and returns after which time the task was started on another one,
// or 0. alive says that the server responds and has no runs.
func (r *removedRig) run(d time.Duration, alive bool) time.Duration {
	r.t.Helper()
	began := r.now
	for ticks := 0; r.now.Sub(began) < d; ticks++ {
		r.advance(100 * time.Millisecond)
		if ticks%4 == 0 {
			r.list()
		}
		for id, poll := range r.openPolls {
			if id != r.removed || alive {
				r.report(id, nil)
				continue
			}
			delete(r.openPolls, id)
			r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.OutcomeUnknown{Reason: "no response"}})
		}
		for _, s := range r.starts() {
			if s.Target.ID != r.removed {
				return r.now.Sub(began)
			}
			r.loseStartResponse(s)
		}
	}
	return 0
}

func (r *removedRig) assertStartedElsewhere(limit time.Duration) {
	r.t.Helper()
	after := r.run(40*time.Second, false)
	assert.Assert(r.t, after > 0, "the task wasn't started elsewhere")
	assert.Assert(r.t, after <= limit, "started elsewhere only %s after the loss of its server", after)
}

// takeOverWithoutServer starts a new term after the registration of the removed server has lapsed.
func (r *removedRig) takeOverWithoutServer() {
	r.t.Helper()
	r.restart(r.job)
	clear(r.openPolls)
	for id := range r.states {
		if id != r.removed {
			r.register(id, "press")
		}
	}
	r.takeEffects()
}

// Guards against jobs with nothing running: the VM of a server is removed before the server responds to a start request.
func TestUnansweredStartOnRemovedVMDoesNotHoldTask(t *testing.T) {
	for _, step := range []workload.StepOptions{{DeclaredDurationMS: 1000}, {LongRunning: true}} {
		r := newRemovedRig(t, step)
		delete(r.states, r.removed)
		r.loseStartResponse(r.start)
		r.assertStartedElsewhere(maxRemovalDelay)
	}
}

// Guards against the same if the server is known to be down, and the task already waits for the late start, when the list changes.
func TestLateStartEndsWithRemovedVM(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.states[r.removed] = backend.VMDown
	r.loseStartResponse(r.start)
	assert.Equal(t, r.run(8*time.Second, false), time.Duration(0), "started elsewhere while its server may return")
	delete(r.states, r.removed)
	r.assertStartedElsewhere(maxRemovalDelay)
}

// Guards against the same after a change of leaders: the next one knows the run by its record only.
func TestStartOnRemovedVMDoesNotHoldTaskAfterTakeover(t *testing.T) {
	for _, answered := range []bool{false, true} {
		r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
		if answered {
			r.acceptStart(r.start)
		}
		delete(r.states, r.removed)
		r.takeOverWithoutServer()
		r.assertStartedElsewhere(maxRemovalDelay)
	}
}

// Guards against the same after two changes of leaders, the second of which knows the late start only.
func TestLateStartOnRemovedVMDoesNotHoldTaskAfterTakeover(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.states[r.removed] = backend.VMDown
	r.takeOverWithoutServer()
	assert.Equal(t, r.run(10*time.Second, false), time.Duration(0), "started elsewhere while its server may return")
	delete(r.states, r.removed)
	r.takeOverWithoutServer()
	r.assertStartedElsewhere(maxRemovalDelay)
}

// Guards against a task that runs twice: one list lacks the VM of its server, which is cut off.
func TestVMThatOneListLacksIsNotRemoved(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.loseStartResponse(r.start)
	for range 4 {
		delete(r.states, r.removed)
		r.list()
		r.states[r.removed] = backend.VMUp
		after := r.run(3*time.Second, false)
		assert.Equal(t, after, time.Duration(0), "started elsewhere after one list without its VM")
	}
}

// Guards against a task that runs twice: the lists are older than the VM of its server, which is cut off.
func TestVMYoungerThanListsIsNotRemoved(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.handle(fleet.ServerUnregistered{ID: "i-1"}, fleet.ServerUnregistered{ID: "i-2"})
	clear(r.openPolls)
	r.rig = newRig(t)
	r.bootTimes["i-1"] = r.now
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.rig.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	r.register("i-2", "press")
	r.removed, r.states = "i-1", map[string]backend.VMState{"i-2": backend.VMUp}
	r.loseStartResponse(starts[0])
	after := r.run(40*time.Second, false)
	assert.Assert(t, after > 10*time.Second, "started elsewhere after %s, by lists from before its server's time", after)
}

// Guards against a task that runs twice: its server responds, although the lists lack its VM.
func TestRunOnUnlistedVMThatRespondsIsKept(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	delete(r.states, r.removed)
	r.loseStartResponse(r.start)
	after := r.run(14*time.Second, true)
	assert.Equal(t, after, time.Duration(0), "started elsewhere while its server responds")
}

// Guards against a task that runs twice after a change of leaders: the lists are older than the VM of a late start's server, which is
// cut off.
func TestRestoredLateStartOnVMYoungerThanListsIsKept(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	bornAt := r.now
	late := workload.LateStart{
		VM: "m-3", Server: "i-3", Incarnation: bornAt.UnixMilli(), Run: 1, UntilMS: bornAt.Add(maxRequestDelay).UnixMilli(),
	}
	p := workload.Progress{State: workload.JobRunning, Tasks: map[string]workload.TaskRecord{
		"0.0.0": {LastRun: 1, LateStarts: []workload.LateStart{late}},
	}}
	r.rows[fleet.ProgressPrefix+r.job.ID()] = p.Encode()
	r.restart(r.job)
	clear(r.openPolls)
	r.removed = "i-3"
	for id := range r.states {
		r.register(id, "press")
	}
	r.takeEffects()
	after := r.run(40*time.Second, false)
	assert.Assert(t, after > 10*time.Second, "started elsewhere %s after its VM began to exist", after)
	assert.Assert(t, after < 13*time.Second, "started elsewhere only %s after its VM was removed", after)
}

// Guards against a task that runs twice: its server has started again under its id on another VM, and is cut off.
func TestLateStartOutlastsRemovedVMOfServerOnAnotherVM(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.loseStartResponse(r.start)
	r.states[r.removed] = backend.VMDown
	assert.Equal(t, r.run(8*time.Second, false), time.Duration(0))
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: r.removed, VM: "m-3", Pool: "press", Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + r.removed,
		Incarnation: r.now.UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
	delete(r.states, r.removed)
	after := r.run(9*time.Second, false) // the lists may be older than its VM
	assert.Equal(t, after, time.Duration(0), "started elsewhere while its server may carry out the request")
}
