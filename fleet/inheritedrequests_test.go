package fleet_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// inheritWave requests maintenance of one of two VMs, one at a time, and starts the term of another controller before the request has an
// outcome. It returns the VMs, the one that was requested first.
func inheritWave(t *testing.T) (r *rig, requested, other string) {
	t.Helper()
	r = newRig(t)
	begin := func() {
		for _, id := range []string{"i-1", "i-2"} {
			r.register(id, "press")
			r.report(id, nil)
		}
	}
	begin()
	r.takeEffects()
	wave := directory.Wave{Name: "1", Number: 1, VMs: []string{"m-1", "m-2"}, TimeLimit: 30 * time.Second, MaxConcurrent: 1}
	r.handle(fleet.OperationArrived{Operation: wave})
	for range 20 {
		r.listVMs(backend.VMUp, backend.VMUp)
		if vms := r.maintained(); len(vms) > 0 {
			requested = vms[0]
			break
		}
	}
	assert.Assert(t, requested != "", "no maintenance was requested")
	other = "m-1"
	if requested == "m-1" {
		other = "m-2"
	}
	clear(r.openPolls)
	r.changeLeader("next")
	r.handle(fleet.OperationArrived{Operation: wave})
	begin()
	return r, requested, other
}

// Guards against more VMs in maintenance than a wave allows: the request of a leader that was killed is carried out seconds later, while the
// next leader has another VM of the wave in maintenance.
func TestWaveGoesOnWithRequestOfEarlierController(t *testing.T) {
	r, requested, other := inheritWave(t)
	began := r.now
	// Its run would keep the VM from being requested again.
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{
		Count: 1, MilliCores: 1000, DeclaredDurationMS: 60_000, Label: "r-i" + requested[1:],
	})})
	var repeatedAt time.Time
	for r.now.Before(began.Add(12 * time.Second)) {
		r.listVMs(backend.VMUp, backend.VMUp)
		for id := range r.openPolls {
			r.report(id, nil)
		}
		for _, vm := range r.maintained() {
			assert.Equal(t, vm, requested, "requested %s into the term", r.now.Sub(began))
			if repeatedAt.IsZero() {
				repeatedAt = r.now
			}
			r.handle(fleet.MaintenanceEnded{VM: vm, Wave: 1, Outcome: backend.OutcomeUnknown{Reason: "timeout"}})
		}
	}
	assert.Assert(t, !repeatedAt.IsZero(), "the request isn't repeated")
	assert.Assert(t, repeatedAt.Sub(began) >= 3*time.Second, "repeated %s into the term", repeatedAt.Sub(began))
	for range 60 {
		r.listVMs(backend.VMUp, backend.VMUp)
		switch vms := r.maintained(); {
		case slices.Contains(vms, requested):
			r.handle(fleet.MaintenanceEnded{VM: requested, Wave: 1, Outcome: backend.Accepted{}})
		case len(vms) > 0:
			assert.DeepEqual(t, vms, []string{other})
			return
		}
	}
	t.Fatal("the wave doesn't go on")
}

// Guards against runs that the late request of an earlier leader ends.
func TestVMOfRequestOfEarlierControllerGetsNoRuns(t *testing.T) {
	r, requested, _ := inheritWave(t)
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 8000, DeclaredDurationMS: 1000})})
	r.listVMs(backend.VMUp, backend.VMUp)
	starts := r.starts()
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Target.ID != "i"+requested[1:])
}

// Guards against a VM that stays out of service: its wave was removed while the request of an earlier leader had no outcome.
func TestVMReturnsOnceRequestOfEarlierControllerIsOver(t *testing.T) {
	r, requested, _ := inheritWave(t)
	r.handle(fleet.OperationArrived{Operation: directory.WaveCancelled{Name: "1"}})
	r.takeEffects()
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 2, MilliCores: 8000, DeclaredDurationMS: 60_000})})
	began := r.now
	for r.now.Before(began.Add(20 * time.Second)) {
		r.listVMs(backend.VMUp, backend.VMUp)
		for id := range r.openPolls {
			r.report(id, nil)
		}
		for _, s := range r.starts() {
			if s.Target.ID == "i"+requested[1:] {
				assert.Assert(t, r.now.Sub(began) > 10*time.Second, "started %s into the term", r.now.Sub(began))
				return
			}
		}
	}
	t.Fatal("the VM gets no runs")
}
