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

// drawFleet draws up to 3 pools of up to 8 VMs each with budgets of 1 to 3, in racks of 1 to 4 VMs and up to 3 zones.
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

// Guards against waves that exceed a budget together with unplanned absences, tasks that move to a VM of the same or
// the next wave or twice in a wave, reboots of VMs with tasks, and VMs that are skipped or maintained again when an
// entry VM crashes between any two steps and another one continues.
func TestRolloutMaintainsEveryVMOnceWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.9).Draw(t, "load"), pools, vms)
		s.failureProbability = rapid.SampledFrom([]float64{0, 0.0005, 0.002}).Draw(t, "failures")
		withoutFailures := s.failureProbability == 0
		crashes := rapid.Bool().Draw(t, "crashes")
		paused := 0
		for i := 0; s.unmaintained() > 0; i++ {
			if i > 20_000 {
				t.Fatalf("%d VMs aren't maintained after 20,000 ticks", s.unmaintained())
			}
			if i > 10_000 {
				s.failureProbability = 0 // the roll-out can complete only once the failures end
			}
			crash := 0
			if crashes {
				crash = s.random.IntN(4)
			}
			s.step(s.currentPolicy, crash)
			paused += len(s.plan.Paused())
		}
		if len(s.violations) > 0 || s.movedTwice > 0 {
			t.Fatalf("violations %v, %d tasks moved twice in a wave", s.violations, s.movedTwice)
		}
		if withoutFailures && paused > 0 {
			t.Fatal("the roll-out paused although no VM failed")
		}
		for _, n := range s.vms {
			if n.reboots != 1 {
				t.Fatalf("%s was rebooted %d times", n.ID(), n.reboots)
			}
		}
	})
}

// Guards against a budget check that passes whatever the planner does: it must fail if the planner isn't shown the
// unplanned absences.
func TestBudgetCheckDetectsHiddenAbsences(t *testing.T) {
	pools, vms := targetDeployment()
	for _, hidden := range []bool{false, true} {
		s := newSimulation(1, 0.1, pools, vms)
		s.failureProbability, s.hideAbsences = 0.0005, hidden
		for range 600 {
			s.step(s.currentPolicy, 0)
		}
		assert.Equal(t, s.overBudget > 0, hidden, "%v", s.violations)
	}
}

// Guards against a roll-out that continues after the loss of a rack, or that doesn't resume when the rack is present
// again.
func TestRolloutPausesWhileRackIsLost(t *testing.T) {
	pools := []catalogue.Pool{catalogue.NewPool("p", false, 2)}
	var vms []maintenance.VM
	for i := range 8 {
		vms = append(vms, maintenance.NewVM(fmt.Sprint("vm-", i), "z", fmt.Sprint("rack-", i/2), "p"))
	}
	s := newSimulation(1, 0, pools, vms)
	s.step(s.currentPolicy, 0)
	s.fail(s.vms[6], time.Hour)
	s.fail(s.vms[7], time.Hour)
	for range 600 {
		s.step(s.currentPolicy, 0)
	}
	assert.DeepEqual(t, s.plan.Paused(), []string{"p"})
	assert.Equal(t, s.unmaintained(), 8)
	for range 4000 {
		s.step(s.currentPolicy, 0)
	}
	assert.Equal(t, s.unmaintained(), 0)
	assert.Equal(t, len(s.plan.Paused()), 0)
}

// Guards against previews that miss VMs, exceed budgets, or take longer than the upper bound on a fleet without new
// tasks.
func TestPreviewCoversEveryVMWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		for i, v := range vms {
			left := time.Duration(rapid.IntRange(0, 60).Draw(t, "left")) * time.Second
			vms[i] = v.WithStarted(start).WithTasks(maintenance.NewTask(v.ID(), left, true, rapid.Bool().Draw(t, "checkpoint")))
		}
		f := maintenance.NewFleet(pools, vms)
		p := maintenance.Planner{Rollout: rollout, Fleet: f}
		waves, duration, unmaintainable := p.Preview(start)
		seen := 0
		for _, x := range waves {
			used, budget := x.Used()
			seen += used
			assert.Assert(t, used <= budget && x.End() > x.Begin() && x.End() <= duration)
		}
		assert.Equal(t, seen, len(vms))
		assert.Equal(t, unmaintainable, 0)
		// Each of the five steps of a VM takes effect at the next multiple of 5 s.
		bound, _ := maintenance.MinRolloutDuration(f, drainWindow+rebootTime+5*5*time.Second)
		assert.Assert(t, duration <= bound, "%s exceeds the bound of %s", duration, bound)
	})
}

// Guards against VMs that are due twice or never in a period, and against a target fleet (R24) that can't be
// maintained within 5 weeks.
func TestScheduleSpreadsVMsOverPeriod(t *testing.T) {
	pools, vms := targetDeployment()
	f := maintenance.NewFleet(pools, vms)
	s := maintenance.Schedule{Start: start}
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
		assert.Assert(t, n >= before && n-before <= 24, "%d VMs became due on day %d", n-before, day)
		before = n
	}
	assert.Equal(t, before, 530)
	assert.Equal(t, s.Rollout(start.AddDate(0, 0, 35)), "period-1")
	duration, ok := maintenance.MinRolloutDuration(f, drainWindow+rebootTime)
	assert.Assert(t, ok && duration < maintenance.DefaultRolloutPeriod/5)
}
