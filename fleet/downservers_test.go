package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// downRig runs a task on a server of two, each on a VM of its own.
type downRig struct {
	*rig
	start  fleet.Start
	server string // runs the task
	other  string
	jobs   int
}

func newDownRig(t *testing.T) *downRig {
	d := &downRig{rig: newRig(t)}
	for _, id := range []string{"i-1", "i-2"} {
		d.register(id, "press")
		d.report(id, nil)
	}
	d.list(d.now, backend.VMUp)
	d.placeTask()
	return d
}

// placeTask submits a job of one task.
func (d *downRig) placeTask() {
	d.t.Helper()
	d.jobs++
	d.takeEffects()
	d.handle(fleet.JobArrived{Job: d.job(d.jobs, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	starts := d.starts()
	assert.Equal(d.t, len(starts), 1)
	d.start, d.server, d.other = starts[0], starts[0].Target.ID, "i-1"
	if d.server == "i-1" {
		d.other = "i-2"
	}
}

// restart starts a new incarnation of a server, which registers and reports.
func (d *downRig) restart(id string) {
	d.bootTimes[id] = d.now
	d.register(id, "press")
	d.handle(fleet.PollEnded{
		Server: id, Sequence: d.openPolls[id].Sequence, Outcome: backend.OutcomeUnknown{Reason: "connection closed"},
	})
	d.advance(time.Second)
	d.report(id, nil)
}

// list delivers a list of VMs in which the VM of the task's server has the given state.
func (d *downRig) list(requestedAt time.Time, state backend.VMState) {
	var vms []backend.VM
	for _, id := range []string{"i-1", "i-2"} {
		vm := backend.VM{Name: "m" + id[1:], Pool: "press", Server: id, State: backend.VMUp}
		if id == d.server {
			vm.State = state
		}
		vms = append(vms, vm)
	}
	d.handle(fleet.VMsListed{RequestedAt: requestedAt, VMs: vms})
}

// Guards against tasks of a crashed server that wait until its lease expires, and against servers that are taken for running
// until their polls fail.
func TestRunsOfDownVMStartElsewhereAtOnce(t *testing.T) {
	d := newDownRig(t)
	d.acceptStart(d.start)
	d.advance(200 * time.Millisecond)
	d.list(d.now, backend.VMDown)
	starts := d.starts()
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Target.ID, d.other)
	p, err := workload.DecodeProgress(d.rows[fleet.ProgressPrefix+d.start.Request.Run.Task.Job])
	assert.NilError(t, err)
	assert.Equal(t, p.Tasks["0.0.0"].CertainCrashes, 1)
}

// Guards against runs that are given up because of a list that is older than the server's last response.
func TestListOlderThanResponseEndsNoRuns(t *testing.T) {
	d := newDownRig(t)
	requestedAt := d.now
	d.advance(200 * time.Millisecond)
	d.acceptStart(d.start)
	d.list(requestedAt, backend.VMDown)
	assert.Equal(t, len(d.starts()), 0)
}

// Guards against a list that is older than its request: it shows the VM of a server that has started again as down or as on its
// way to another pool, and the runs of the new incarnation are given up and started elsewhere while they go on.
func TestListOlderThanIncarnationEndsNoRuns(t *testing.T) {
	for _, state := range []backend.VMState{backend.VMDown, backend.VMMoving, backend.VMMaintenance} {
		for age := time.Duration(0); age < 9*time.Second; age += 3 * time.Second {
			d := newDownRig(t)
			d.acceptStart(d.start)
			d.reportProgress(d.server, nil, 0, backend.RunEnd{Number: 1, Run: d.start.Request.Run, Kind: workload.EndDone})
			d.restart("i-1")
			d.restart("i-2")
			d.now = d.now.Add(age)
			d.placeTask()
			d.acceptStart(d.start)
			d.advance(300 * time.Millisecond)
			d.list(d.now, state)
			assert.Equal(t, len(d.starts()), 0, "%s, %s after the restart", state, age)
		}
	}
}

// Guards against a list that is older than a server with a new id, also if an earlier list has shown the server, and against tasks of
// such a server that wait for its lease although a list shows that it has ended.
func TestListEndsRunsOfNewServerOnlyIfNotOlder(t *testing.T) {
	for _, test := range []struct {
		listed bool
		age    time.Duration // of the server when the list is requested
	}{{}, {listed: true}, {true, 9 * time.Second}, {age: 11 * time.Second}, {true, 11 * time.Second}} {
		d := newDownRig(t)
		d.acceptStart(d.start)
		d.advance(6 * time.Second) // the servers of the beginning of a term may be known to earlier controllers
		d.handle(fleet.ServerUnregistered{ID: "i-1"}, fleet.ServerUnregistered{ID: "i-2"})
		d.registerOn("m-3", "i-3", "press")
		d.report("i-3", nil)
		d.now = d.now.Add(test.age)
		d.placeTask()
		assert.Equal(t, d.start.Target.ID, "i-3")
		d.acceptStart(d.start)
		d.registerOn("m-4", "i-4", "press")
		d.report("i-4", nil)
		vm := backend.VM{Name: "m-3", Pool: "press", State: backend.VMUp, Server: "i-3"}
		if test.listed {
			d.handle(fleet.VMsListed{RequestedAt: d.now, VMs: []backend.VM{vm}})
		}
		d.takeEffects()
		d.advance(100 * time.Millisecond)
		vm.State, vm.Server = backend.VMMoving, ""
		d.handle(fleet.VMsListed{RequestedAt: d.now, VMs: []backend.VM{vm}})
		assert.Equal(t, len(d.starts()) > 0, test.age > 10*time.Second, "%+v", test)
	}
}

// Guards against a run that is given up because a list shows the end of the incarnation before the one that started it.
func TestListEndsNoRunsOfNextIncarnation(t *testing.T) {
	d := newDownRig(t)
	d.handle(fleet.StartEnded{
		Server: d.server, Incarnation: d.start.Target.Incarnation, Run: d.start.Request.Run,
		Outcome: backend.Accepted{Clock: 100 * time.Millisecond},
	})
	d.advance(200 * time.Millisecond)
	d.list(d.now, backend.VMDown)
	assert.Equal(t, len(d.starts()), 0)
}

// Guards against runs of a partitioned server that are given up before its lease expires.
func TestRunsOfPartitionedServerOnListedVMGoOn(t *testing.T) {
	d := newDownRig(t)
	d.acceptStart(d.start)
	d.advance(200 * time.Millisecond)
	d.handle(fleet.PollEnded{
		Server: d.server, Sequence: d.openPolls[d.server].Sequence, Outcome: backend.OutcomeUnknown{Reason: "no response"},
	})
	d.list(d.now, backend.VMUp)
	assert.Equal(t, len(d.starts()), 0)
}

// Guards against a task that starts elsewhere although its late start request may still reach the server once it is back.
func TestRunWithoutResponseOutlastsDownVM(t *testing.T) {
	d := newDownRig(t)
	d.advance(200 * time.Millisecond)
	d.list(d.now, backend.VMDown)
	assert.Equal(t, len(d.starts()), 0)
}

// Guards against new runs on a server whose VM is down, as long as no poll has failed.
func TestDownServerGetsNoRuns(t *testing.T) {
	d := newDownRig(t)
	d.advance(200 * time.Millisecond)
	d.list(d.now, backend.VMDown)
	for n := range 4 {
		d.handle(fleet.JobArrived{Job: d.job(n+d.jobs+1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	}
	starts := d.starts()
	assert.Equal(t, len(starts), 4)
	for _, s := range starts {
		assert.Equal(t, s.Target.ID, d.other)
	}
}
