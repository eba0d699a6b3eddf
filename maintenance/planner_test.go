package maintenance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// drawFleet draws up to 3 pools of up to 8 VMs with budgets of 1 to 3, in racks of 1 to 4 and up to 3 zones.
func drawFleet(t *rapid.T) ([]catalogue.Pool, []maintenance.VM) {
	var pools []catalogue.Pool
	var vms []maintenance.VM
	rack := rapid.IntRange(1, 4).Draw(t, "rack")
	for p := range rapid.IntRange(1, 3).Draw(t, "pools") {
		pool := fmt.Sprint("pool-", p)
		pools = append(pools, catalogue.NewPool(pool, false, rapid.IntRange(1, 3).Draw(t, "budget")))
		for range rapid.IntRange(1, 8).Draw(t, "VMs") {
			i := len(vms)
			vms = append(vms, maintenance.NewVM(
				fmt.Sprintf("vm-%02d", i), fmt.Sprint("zone-", i/rack%3), fmt.Sprint("rack-", i/rack), pool))
		}
	}
	return pools, vms
}

// Guards against waves that exceed a budget together with unplanned absences, tasks that move to a VM of the same or the
// next wave or twice in a wave, reboots of VMs with tasks, and VMs that are skipped or repeated when an entry VM crashes
// between any two steps and another one goes on.
func TestRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.9).Draw(t, "load"), pools, vms)
		w.failures = rapid.SampledFrom([]float64{0, 0.0005, 0.002}).Draw(t, "failures")
		quiet := w.failures == 0
		crashes := rapid.Bool().Draw(t, "crashes")
		paused := 0
		for i := 0; w.left() > 0; i++ {
			if i > 20_000 {
				t.Fatalf("%d VMs are left", w.left())
			}
			if i > 10_000 {
				w.failures = 0 // the rest can be finished only if the failures end
			}
			crash := 0
			if crashes {
				crash = w.random.IntN(4)
			}
			w.step(w.current, crash)
			paused += len(w.last.Paused())
		}
		if len(w.faults) > 0 || w.twice > 0 {
			t.Fatalf("faults %v, %d moved twice", w.faults, w.twice)
		}
		if quiet && paused > 0 {
			t.Fatal("paused without a failure")
		}
		for _, n := range w.nodes {
			if n.reboots != 1 {
				t.Fatalf("%s was rebooted %d times", n.ID(), n.reboots)
			}
		}
	})
}

// Guards against a budget check that would pass whatever the planner did: hiding unplanned absences must be found.
func TestCheckFindsIgnoredAbsence(t *testing.T) {
	pools, vms := target()
	for _, blind := range []bool{false, true} {
		w := newWorld(1, 0.1, pools, vms)
		w.failures, w.blind = 0.0005, blind
		for range 600 {
			w.step(w.current, 0)
		}
		assert.Equal(t, w.over > 0, blind, "%v", w.faults)
	}
}

// Guards against a roll-out that goes on after a rack was lost, or that doesn't resume by itself.
func TestPause(t *testing.T) {
	pools := []catalogue.Pool{catalogue.NewPool("p", false, 2)}
	var vms []maintenance.VM
	for i := range 8 {
		vms = append(vms, maintenance.NewVM(fmt.Sprint("vm-", i), "z", fmt.Sprint("rack-", i/2), "p"))
	}
	w := newWorld(1, 0, pools, vms)
	w.step(w.current, 0)
	w.fail(w.nodes[6], time.Hour)
	w.fail(w.nodes[7], time.Hour)
	for range 600 {
		w.step(w.current, 0)
	}
	assert.DeepEqual(t, w.last.Paused(), []string{"p"})
	assert.Equal(t, w.left(), 8)
	for range 4000 {
		w.step(w.current, 0)
	}
	assert.Equal(t, w.left(), 0)
	assert.Equal(t, len(w.last.Paused()), 0)
}

// Guards against previews that miss VMs, exceed budgets, or take longer than the bound on an idle fleet.
func TestPreview(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		for i, v := range vms {
			left := time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Second
			vms[i] = v.WithStarted(start).WithTasks(maintenance.NewTask(v.ID(), left, true, rapid.Bool().Draw(t, "checkpoint")))
		}
		f := maintenance.NewFleet(pools, vms)
		p := maintenance.Planner{Rollout: rollout, Fleet: f}
		waves, takes, stuck := p.Preview(start)
		seen := 0
		for _, x := range waves {
			used, budget := x.Used()
			seen += used
			assert.Assert(t, used <= budget && x.End() > x.Begin() && x.End() <= takes)
		}
		assert.Equal(t, seen, len(vms))
		assert.Equal(t, stuck, 0)
		// Each of the five steps of a VM takes effect at the next multiple of 5 s.
		bound, _ := maintenance.Shortest(f, window+reboot+5*5*time.Second)
		assert.Assert(t, takes <= bound, "%s of %s", takes, bound)
	})
}

// Guards against VMs that are due twice or never in a period, and against a target (R24) that doesn't fit into 5 weeks.
func TestSchedule(t *testing.T) {
	pools, vms := target()
	f := maintenance.NewFleet(pools, vms)
	s := maintenance.Schedule{Began: start}
	before := 0
	for day := range 35 {
		now := start.AddDate(0, 0, day)
		assert.Equal(t, s.Rollout(now), "period-0")
		due := s.Due(f, now)
		n := 0
		for _, v := range vms {
			if due(v.ID()) {
				n++
			}
		}
		assert.Assert(t, n >= before && n-before <= 24, "%d VMs due on day %d", n-before, day)
		before = n
	}
	assert.Equal(t, before, 530)
	assert.Equal(t, s.Rollout(start.AddDate(0, 0, 35)), "period-1")
	takes, ok := maintenance.Shortest(f, window+reboot)
	assert.Assert(t, ok && takes < maintenance.DefaultPeriod/5)
}
