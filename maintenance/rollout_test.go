package maintenance_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// baselinePolicy maintains one VM at a time in each pool, in order of ids, and moves its tasks at once.
func (s *simulation) baselinePolicy(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	var pools []string
	var steps []maintenance.Step
	for _, q := range f.Pools() {
		pools = append(pools, q.Name())
	}
	var actions []maintenance.TaskAction
	for _, q := range pools {
		for _, v := range f.PoolVMs(q) {
			if maintenance.ProgressOf(rollout, v.State()).Phase() == maintenance.Completed {
				continue
			}
			one := maintenance.NewFleet(f.Pools(), []maintenance.VM{v})
			p := maintenance.Planner{Rollout: rollout, Fleet: one, DrainWindow: time.Nanosecond}
			x := p.Next(now)
			steps, actions = append(steps, x.Steps()...), append(actions, x.Actions()...)
			break
		}
	}
	return steps, actions
}

// BenchmarkPolicyRollout measures the duration of a roll-out (R13). The runs differ only in the policy.
func BenchmarkPolicyRollout(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		for _, baseline := range []bool{true, false} {
			name := "current"
			if baseline {
				name = "baseline"
			}
			b.Run(d+"/"+name, func(b *testing.B) {
				for range b.N {
					withoutLoss, withLoss := runRollout(b, d, baseline, false), runRollout(b, d, baseline, true)
					b.ReportMetric(withoutLoss.ratio, "ratio-to-bound")
					b.ReportMetric(withLoss.ratio, "ratio-with-rack-loss")
					b.ReportMetric(float64(withoutLoss.moveCount)/float64(max(withoutLoss.minMoves, 1)), "moves-per-bound")
					b.ReportMetric(float64(withoutLoss.overBudget+withLoss.overBudget), "over-budget")
					b.ReportMetric(float64(withoutLoss.movedTwice+withLoss.movedTwice), "moved-twice")
				}
			})
		}
	}
}

// rolloutResult is a completed roll-out. The ratio is the duration of a pool's roll-out divided by its lower bound,
// for the pool where it is largest.
type rolloutResult struct {
	*simulation
	ratio float64
}

// runRollout maintains a whole deployment at 60% load after 20 min of work. VMs fail or restart at the rate of an
// ordinary day (R29). With rackLoss, a rack is lost for 10 min after a third of the lower bound.
func runRollout(tb testing.TB, name string, baseline, rackLoss bool) rolloutResult {
	pools, vms := loadDeployment(name)
	s := newSimulation(7, 0.6, pools, vms)
	for range 1200 {
		s.step(s.noMaintenance, 0)
	}
	s.failureProbability = 209.0 / 530 / (24 * time.Hour).Seconds()
	s.baseline = baseline
	next := s.currentPolicy
	if baseline {
		next = s.baselinePolicy
	}
	bound, ok := maintenance.MinRolloutDuration(s.fleet(), drainWindow+rebootTime)
	assert.Assert(tb, ok)
	began := s.now
	for s.unmaintained() > 0 {
		if rackLoss && s.now.Sub(began) == bound/3 {
			for _, n := range s.vms {
				if n.Rack() == s.vms[0].Rack() {
					s.fail(n, 10*time.Minute)
				}
			}
		}
		s.step(next, 0)
		assert.Assert(tb, s.now.Sub(began) < 24*time.Hour, "the roll-out takes longer than 24 h")
	}
	if !baseline {
		assert.Equal(tb, len(s.violations), 0, "%v", s.violations)
	}
	ratio := 0.0
	for _, q := range pools {
		f := maintenance.NewFleet([]catalogue.Pool{q}, s.fleet().PoolVMs(q.Name()))
		own, _ := maintenance.MinRolloutDuration(f, drainWindow+rebootTime)
		ended := slices.MaxFunc(f.VMs(), func(a, b maintenance.VM) int { return a.State().ChangedAt().Compare(b.State().ChangedAt()) })
		ratio = max(ratio, float64(ended.State().ChangedAt().Sub(began))/float64(own))
	}
	return rolloutResult{simulation: s, ratio: ratio}
}
