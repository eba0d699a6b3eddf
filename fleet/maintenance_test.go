package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maintain requests the maintenance of every other VM.
func (sm *simulation) maintain(timeLimit time.Duration, maxDown int) []string {
	var due []string
	for n := 0; n < len(sm.vms); n += 2 {
		due = append(due, fmt.Sprintf("m-%d", n))
	}
	sm.state.Handle(fleet.OperationArrived{Operation: directory.Wave{
		Name: "1", Number: 1, VMs: due, TimeLimit: timeLimit, MaxConcurrent: maxDown,
	}}, sm.now)
	return due
}

// Guards against a controller that lost the store and keeps draining VMs after its term, while the next controller does
// so too: together they would stop more tasks of a step than may be unavailable.
func TestLongRunningTasksAreNotMigratedAfterTerm(t *testing.T) {
	for name, lost := range map[string]bool{"during the term": false, "after the term": true} {
		t.Run(name, func(t *testing.T) {
			sm := newSimulation(40, 2)
			sm.submitLongRunning(0, 0)
			sm.advance(2 * time.Second)
			if lost {
				sm.holdCommits = true
				sm.advance(4 * time.Second)
			}
			sm.maintain(30*time.Second, 10)
			sm.advance(3 * time.Second)
			assert.Equal(t, sm.stops == 0, lost)
		})
	}
}

// Guards against two controllers that together stop more tasks of a step than may be unavailable: the previous one
// requested a stop just before it resigned, and the server still reports the run as at work while it stops.
func TestStopOfPreviousControllerCountsAsUnavailable(t *testing.T) {
	r := newRig(t)
	job := r.job(1, workload.StepOptions{
		Count: 2, MilliCores: 1000, MaxPerServer: 1, LongRunning: true, MaxUnavailable: 1,
	})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.handle(fleet.JobArrived{Job: job})
	runs := make(map[string][]backend.Run)
	for _, s := range r.starts() {
		r.acceptStart(s)
		runs[s.Target.ID] = []backend.Run{s.Request.Run}
	}
	assert.Equal(t, len(runs), 2)

	r.restart(job)
	r.state.StopTime = 900 * time.Millisecond
	var vms []backend.VM
	var due []string
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		r.register(id, "press")
		r.report(id, runs[id])
		vms = append(vms, backend.VM{
			Name: "m-" + id, Pool: "press", State: backend.VMUp, Server: id, Capacity: workload.NewResources(8000, 8000, 0),
		})
		if runs[id] != nil {
			due = append(due, "m-"+id)
		}
	}
	r.handle(fleet.VMsListed{VMs: vms, RequestedAt: r.now})
	r.handle(fleet.OperationArrived{Operation: directory.Wave{
		Name: "1", Number: 1, VMs: due, TimeLimit: 20 * time.Second, MaxConcurrent: 1,
	}})
	stops := func() (n int) {
		for _, e := range r.takeEffects() {
			if _, ok := e.(fleet.Stop); ok {
				n++
			}
		}
		return n
	}
	r.advance(800 * time.Millisecond)
	assert.Equal(t, stops(), 0, "a task was stopped while a stop of the previous controller may still be in progress")
	r.advance(2 * time.Second)
	assert.Equal(t, stops(), 1)
}

// Load pattern: half of the VMs are due for maintenance while bursts move from pool to pool, and each pool has
// long-running tasks, of which few may be unavailable at once. Guards against waves that end late because these tasks
// are migrated last, and against more unavailable tasks than allowed.
func TestWaveMeetsDeadlineWithLongRunningTasks(t *testing.T) {
	const timeLimit = 25 * time.Second
	sm := newSimulation(160, 4)
	for pool := range 4 {
		sm.submitLongRunning(2*pool, pool)
		sm.submitLongRunning(2*pool+1, pool)
	}
	sm.advance(3 * time.Second)
	began := sm.now
	due := sm.maintain(timeLimit, 40)
	n := 0
	for second := range int(timeLimit / time.Second) {
		for range 80 {
			n++
			sm.submit(n, second/5%4)
			sm.advance(time.Second / 80)
		}
	}
	late := 0
	for _, vm := range due {
		if at, begun := sm.maintainedAt[vm]; !begun || at.Sub(began) > timeLimit {
			late++
			t.Logf("%s is late: begun: %v, after %v, server %s", vm, begun, at.Sub(began), sm.vms[vm].server)
		}
	}
	t.Logf("%d of %d VMs late, %d tasks done, %d stop requests", late, len(due), sm.tasksDone, sm.stops)
	assert.Equal(t, late, 0)
	assert.Equal(t, sm.runsLost, 0)
	for job, unavailable := range sm.maxUnavailable {
		assert.Assert(t, unavailable <= 1, "job %x had %d tasks unavailable", job, unavailable)
	}
}
