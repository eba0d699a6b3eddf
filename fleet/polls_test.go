package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// polls returns how often a server was polled since the last call of takeEffects.
func (r *rig) polls(id string) int {
	n := 0
	for _, e := range r.takeEffects() {
		if p, ok := e.(fleet.Poll); ok && p.Target.ID == id {
			n++
		}
	}
	return n
}

// Load pattern: thousands of VMs move between pools in a day, and the registrations of their former servers remain for
// seconds. Guards against polls of servers that the platform has ended.
func TestMovedServerIsNotPolled(t *testing.T) {
	r := newRig(t)
	var vms []backend.VM
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		r.register(id, "press")
		r.report(id, nil)
		vms = append(vms, backend.VM{
			Name: "m-" + id, Pool: "press", State: backend.VMUp, Server: id, Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.advance(2 * time.Second)
	r.handle(fleet.VMsListed{VMs: vms, RequestedAt: r.now})
	r.advance(500 * time.Millisecond)
	var moved fleet.MoveVM
	for _, e := range r.effects {
		if m, ok := e.(fleet.MoveVM); ok {
			moved = m
		}
	}
	assert.Assert(t, moved.VM != "", "no idle VM moves to the spare pool")
	id := moved.VM[len("m-"):]
	r.failPoll(id)
	r.handle(fleet.VMMoveEnded{VM: moved.VM, Outcome: backend.Accepted{}})
	r.takeEffects()
	r.advance(3 * time.Second)
	assert.Equal(t, r.polls(id), 0)

	r.bootTimes[id] = r.now // the platform may start a server under an id again
	r.register(id, "press")
	assert.Assert(t, r.polls(id) > 0)
}

// Guards against frequent polls of a server that has been gone for long, and against leases that expire because a server
// with runs is polled rarely.
func TestUnresponsiveServerIsPolledLessOften(t *testing.T) {
	for name, withRun := range map[string]bool{"idle": false, "with a run": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.register("i-1", "press")
			r.report("i-1", nil)
			if withRun {
				r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{
					Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000,
				})})
				r.acceptStart(r.starts()[0])
			}
			r.advance(time.Second)
			polls := 0
			for range 30 {
				r.failPoll("i-1")
				polls += r.polls("i-1")
				r.advance(100 * time.Millisecond)
			}
			if withRun {
				assert.Assert(t, polls >= 6, "%d polls in 3 s", polls)
			} else {
				assert.Assert(t, polls <= 5, "%d polls in 3 s", polls)
			}
		})
	}
}
