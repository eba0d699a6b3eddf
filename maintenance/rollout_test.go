package maintenance_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// byOrder is the baseline: one VM at a time in each pool in order of ids, whose tasks are moved at once.
func (w *world) byOrder(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	var pools []string
	var steps []maintenance.Step
	for _, q := range f.Pools() {
		pools = append(pools, q.Name())
	}
	var actions []maintenance.TaskAction
	for _, q := range pools {
		for _, v := range f.PoolVMs(q) {
			if maintenance.ProgressOf(rollout, v.State()).Phase() == maintenance.Back {
				continue
			}
			one := maintenance.NewFleet(f.Pools(), []maintenance.VM{v})
			p := maintenance.Planner{Rollout: rollout, Fleet: one, Window: time.Nanosecond}
			x := p.Next(now)
			steps, actions = append(steps, x.Steps()...), append(actions, x.Actions()...)
			break
		}
	}
	return steps, actions
}

// BenchmarkPolicyRollout measures R13. Runs differ only by the policy.
func BenchmarkPolicyRollout(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		for _, baseline := range []bool{true, false} {
			name := "current"
			if baseline {
				name = "baseline"
			}
			b.Run(d+"/"+name, func(b *testing.B) {
				for range b.N {
					quiet, with := rollOut(b, d, baseline, false), rollOut(b, d, baseline, true)
					b.ReportMetric(quiet.ratio, "ratio-to-bound")
					b.ReportMetric(with.ratio, "ratio-with-rack-loss")
					b.ReportMetric(float64(quiet.moves)/float64(max(quiet.bound, 1)), "moves-per-bound")
					b.ReportMetric(float64(quiet.over+with.over), "over-budget")
					b.ReportMetric(float64(quiet.twice+with.twice), "moved-twice")
				}
			})
		}
	}
}

// rolledOut is a finished roll-out. The ratio is that of the pool that took longest relative to its own bound.
type rolledOut struct {
	*world
	ratio float64
}

// rollOut maintains a whole deployment at 60% load after 20 min of work. VMs fail or restart as on an ordinary day
// (R29), and a rack is lost for 10 min if that is asked for.
func rollOut(tb testing.TB, name string, baseline, rackLoss bool) rolledOut {
	pools, vms := deployment(name)
	w := newWorld(7, 0.6, pools, vms)
	for range 1200 {
		w.step(w.idle, 0)
	}
	w.failures = 209.0 / 530 / (24 * time.Hour).Seconds()
	w.baseline = baseline
	next := w.current
	if baseline {
		next = w.byOrder
	}
	bound, ok := maintenance.Shortest(w.fleet(), window+reboot)
	assert.Assert(tb, ok)
	began := w.now
	for w.left() > 0 {
		if rackLoss && w.now.Sub(began) == bound/3 {
			for _, n := range w.nodes {
				if n.Rack() == w.nodes[0].Rack() {
					w.fail(n, 10*time.Minute)
				}
			}
		}
		w.step(next, 0)
		assert.Assert(tb, w.now.Sub(began) < 24*time.Hour, "not finished")
	}
	if !baseline {
		assert.Equal(tb, len(w.faults), 0, "%v", w.faults)
	}
	ratio := 0.0
	for _, q := range pools {
		f := maintenance.NewFleet([]catalogue.Pool{q}, w.fleet().PoolVMs(q.Name()))
		own, _ := maintenance.Shortest(f, window+reboot)
		ended := slices.MaxFunc(f.VMs(), func(a, b maintenance.VM) int { return a.State().When().Compare(b.State().When()) })
		ratio = max(ratio, float64(ended.State().When().Sub(began))/float64(own))
	}
	return rolledOut{world: w, ratio: ratio}
}
