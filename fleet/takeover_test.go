package fleet_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maintained returns the VMs for which maintenance was requested since the last call.
func (r *rig) maintained() []string {
	var vms []string
	for _, e := range r.takeEffects() {
		if m, ok := e.(fleet.MaintainVM); ok {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// listVMs lists the VMs of the first servers of i-1 and i-2.
func (r *rig) listVMs(states ...backend.VMState) {
	list := make([]backend.VM, 0, len(states))
	for i, state := range states {
		id := []string{"i-1", "i-2"}[i]
		vm := backend.VM{Name: "m" + id[1:], Pool: "press", State: state, Capacity: workload.NewResources(8000, 8000, 0)}
		if state == backend.VMUp {
			vm.Server = id
		}
		list = append(list, vm)
	}
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: list})
	r.advance(100 * time.Millisecond)
}

// takeOverWave requests maintenance of two VMs, one at a time. The first is busy, so that the second is requested. Then it starts
// a new term of the given entry VM in which both are idle. It returns the requested VM.
func takeOverWave(t *testing.T, next string) (*rig, string) {
	t.Helper()
	r := newRig(t)
	begin := func() {
		for _, id := range []string{"i-1", "i-2"} {
			r.register(id, "press")
			r.report(id, nil)
		}
	}
	begin()
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	wave := directory.Wave{Name: "1", Number: 1, VMs: []string{"m-1", "m-2"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}
	if starts[0].Target.ID == "i-2" {
		wave.VMs = []string{"m-2", "m-1"}
	}
	r.handle(fleet.OperationArrived{Operation: wave})
	r.listVMs(backend.VMUp, backend.VMUp)
	requested := r.maintained()
	assert.DeepEqual(t, requested, wave.VMs[1:])
	r.now = r.now.Add(time.Second)
	r.changeLeader(next)
	begin()
	r.handle(fleet.OperationArrived{Operation: wave})
	r.takeEffects()
	return r, requested[0]
}

// Guards against more VMs in maintenance than a wave allows: the previous controller requested the maintenance of one just
// before it was killed, and the list of VMs doesn't show it yet.
func TestMaintenanceRequestedByPreviousControllerCounts(t *testing.T) {
	for _, next := range []string{"entry", "other"} {
		r, requested := takeOverWave(t, next)
		for range 28 {
			r.listVMs(backend.VMUp, backend.VMUp)
			for _, vm := range r.maintained() {
				assert.Equal(t, vm, requested)
			}
		}
		requests := 0
		for range 10 {
			r.listVMs(backend.VMUp, backend.VMUp)
			requests += len(r.maintained())
		}
		assert.Assert(t, requests > 0, "the wave doesn't go on")
	}
}

// Guards against more VMs in maintenance than a wave allows: one is in maintenance by a request that isn't stored.
func TestVMInMaintenanceCounts(t *testing.T) {
	r, requested := takeOverWave(t, "entry")
	states := []backend.VMState{backend.VMUp, backend.VMMaintenance}
	if requested == "m-1" {
		states = []backend.VMState{backend.VMMaintenance, backend.VMUp}
	}
	for range 50 {
		r.listVMs(states...)
		assert.Equal(t, len(r.maintained()), 0)
	}
}

// Guards against a wave that is complete although a VM of it wasn't maintained: another wave has the VM as well, and its request
// was accepted.
func TestOutcomeOfOneWaveDoesNotCountForAnother(t *testing.T) {
	r := newRig(t)
	r.register("i-1", "press")
	r.report("i-1", nil)
	for number := range int64(2) {
		r.handle(fleet.OperationArrived{Operation: directory.Wave{
			Name: strconv.FormatInt(number+1, 10), Number: number + 1, VMs: []string{"m-1"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1,
		}})
	}
	r.takeEffects()
	r.listVMs(backend.VMUp)
	var requests []fleet.MaintainVM
	for _, e := range r.takeEffects() {
		if m, ok := e.(fleet.MaintainVM); ok {
			requests = append(requests, m)
		}
	}
	assert.Equal(t, len(requests), 1, "one wave waits for the other")
	r.handle(fleet.MaintenanceEnded{VM: "m-1", Wave: requests[0].Wave, Outcome: backend.Accepted{}})
	r.listVMs(backend.VMMaintenance)
	r.advance(3 * time.Second)
	for number := range int64(2) {
		name := strconv.FormatInt(number+1, 10)
		complete := strings.Contains(string(r.rows[fleet.WavesPrefix+name]), `"complete":true`)
		assert.Equal(t, complete, number+1 == requests[0].Wave, "wave %s", name)
	}
}
