package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// movedTo returns the VMs that are moved to the pool of the rig while a job waits for servers of the kind "b". Its pool has three idle
// servers of the kind "a"; the VMs that are switched off have the given kinds.
func movedTo(t *testing.T, step workload.StepOptions, kinds ...string) []string {
	t.Helper()
	r := newRig(t)
	var vms []backend.VM
	for n := range 3 {
		id := fmt.Sprintf("i-%d", n)
		r.registerKind(id, "a", 8000)
		vms = append(vms, backend.VM{
			Name: "m" + id[1:], Pool: "press", Server: id, State: backend.VMUp, Zone: "z", Kind: "a", Rack: "r-" + id,
			Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	for n, kind := range kinds {
		vms = append(vms, backend.VM{
			Name: fmt.Sprintf("m-spare-%d", n), Pool: "spare", State: backend.VMUp, Zone: "z", Kind: kind,
			Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.advance(time.Second)
	step.MilliCores, step.Label = 2500, "b"
	for n := range 3 {
		r.handle(fleet.JobArrived{Job: r.job(1+n, step)})
	}
	r.takeEffects()
	for range 20 {
		r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: vms})
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
	}
	var moved []string
	for _, e := range r.takeEffects() {
		if m, ok := e.(fleet.MoveVM); ok && m.Pool == "press" {
			moved = append(moved, m.VM)
		}
	}
	return moved
}

// Guards against a job that waits for good for servers with a label whose VMs are switched off, as its pool has enough others.
func TestPoolGetsVMsWithLabelThatItLacks(t *testing.T) {
	assert.DeepEqual(t, movedTo(t, workload.StepOptions{Count: 1, DeclaredDurationMS: 1000}, "a", "a", "b", "a"), []string{"m-spare-2"})
	assert.DeepEqual(t, movedTo(t, workload.StepOptions{Count: 1, LongRunning: true}, "a", "a", "b", "a"), []string{"m-spare-2"})
}

// Guards against a pool that takes all VMs for long-running tasks that none of them may run: those with their label are lost.
func TestPoolDoesNotGrowForTasksThatNoVMMayRun(t *testing.T) {
	assert.Equal(t, len(movedTo(t, workload.StepOptions{Count: 4, LongRunning: true}, "a", "a", "a", "a", "a")), 0)
}

// Guards against servers that are kept free for isolated runs that none of them may run: the only server with their label is lost, after it
// crashed under them.
func TestNoServersAreReservedForIsolatedRunsThatTheyMayNotRun(t *testing.T) {
	r := newRig(t)
	r.registerKind("i-b", "b", 8000)
	others := []string{"i-0", "i-1", "i-2", "i-3"}
	for _, id := range others {
		r.registerKind(id, "a", 8000)
	}
	r.advance(20 * time.Second)
	r.takeEffects()
	for n := range 4 {
		r.handle(fleet.JobArrived{Job: r.job(1+n, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000, Label: "b"})})
	}
	for range 3 {
		var running []backend.Run
		for range 30 {
			for _, start := range r.starts() {
				r.acceptStart(start)
				running = append(running, start.Request.Run)
			}
			r.advance(100 * time.Millisecond)
			for id := range r.openPolls {
				if id == "i-b" {
					r.report(id, running)
					continue
				}
				r.report(id, nil)
			}
		}
		r.bootTimes["i-b"] = r.now
		r.registerAs("i-b", "b", 8000)
		r.failPoll("i-b")
	}
	r.comeBack("i-b") // as one of another kind
	for range 20 {
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			r.report(id, nil)
		}
	}
	r.takeEffects()
	for n := range 5 {
		r.handle(fleet.JobArrived{Job: r.job(11+n, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 60_000})})
	}
	assert.Equal(t, len(r.starts()), 5)
}
