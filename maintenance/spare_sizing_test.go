package maintenance_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// BenchmarkPolicyBuffer measures the number of spare VMs (R12) at 9 failures a day in 530 VMs (R29) and a replacement
// time of 30 min. It is divided by the least number that covers 99.9% of 200,000 simulated losses: a random rack of
// the largest size, and the single failures within the replacement time. The baseline computes the number for each
// pool separately.
func BenchmarkPolicyBuffer(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		pools, vms := loadDeployment(d)
		f := maintenance.NewFleet(pools, vms)
		s := maintenance.SpareSizing{FailuresPerDay: 9.0 * float64(len(vms)) / 530, ReplacementTime: 30 * time.Minute}
		least := minSpareVMs(vms, s)
		apart := 0
		for _, q := range pools {
			own := s
			own.FailuresPerDay *= float64(len(f.PoolVMs(q.Name()))) / float64(len(vms))
			if !q.Spare() {
				apart += own.VMs(maintenance.NewFleet(pools, f.PoolVMs(q.Name())))
			}
		}
		for _, p := range []struct {
			name string
			size int
		}{{"baseline", apart}, {"current", s.VMs(f)}} {
			b.Run(d+"/"+p.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(float64(p.size)/float64(least), "buffer-ratio")
					b.ReportMetric(float64(p.size), "spare-VMs")
				}
			})
		}
	}
}

// minSpareVMs returns the 99.9% quantile of the VMs lost in the simulated losses.
func minSpareVMs(vms []maintenance.VM, s maintenance.SpareSizing) int {
	random := rand.New(rand.NewPCG(7, 7))
	racks := make(map[string]int)
	largest := 0
	for _, v := range vms {
		racks[v.Rack()]++
		largest = max(largest, racks[v.Rack()])
	}
	const draws = 200_000
	lost := make([]int, draws)
	for i := range lost {
		rack := vms[random.IntN(len(vms))].Rack()
		for racks[rack] < largest {
			rack = vms[random.IntN(len(vms))].Rack()
		}
		lost[i] = largest
		rate := s.FailuresPerDay / 24
		for t := random.ExpFloat64() / rate; t < s.ReplacementTime.Hours(); t += random.ExpFloat64() / rate {
			if vms[random.IntN(len(vms))].Rack() != rack {
				lost[i]++
			}
		}
	}
	slices.Sort(lost)
	return lost[draws*999/1000]
}

// Guards against moves that leave fewer spare VMs than MinSpares, use a spare VM twice or exceed a pool's
// requirement, and against pools served before a pool with urgent work or one with a smaller fraction of its
// requirement.
func TestReplenishmentServesUrgentPoolsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		pools = append(pools, catalogue.NewPool("spare", true, 1))
		spares := rapid.IntRange(0, 6).Draw(t, "spares")
		for i := range spares {
			vms = append(vms, maintenance.NewVM(string(rune('a'+i)), "z", "r", "spare"))
		}
		r := maintenance.Replenishment{MinSpares: rapid.IntRange(0, 3).Draw(t, "floor")}
		have := make(map[string]int)
		for i, v := range vms {
			if v.Pool() != "spare" && rapid.Bool().Draw(t, "failed") {
				vms[i] = v.WithAbsent(true)
				continue
			}
			have[v.Pool()]++
		}
		need := make(map[string]int)
		for i, q := range pools[:len(pools)-1] {
			need[q.Name()] = rapid.IntRange(1, 8).Draw(t, "need")
			r.Requirements = append(r.Requirements, maintenance.NewPoolRequirement(q.Name(), need[q.Name()], i == 0))
		}
		used := make(map[string]bool)
		for _, m := range r.Next(maintenance.NewFleet(pools, vms)) {
			assert.Assert(t, !used[m.VM()] && have[m.To()] < need[m.To()])
			used[m.VM()] = true
			for _, q := range pools[:len(pools)-1] {
				short := have[q.Name()] < need[q.Name()]
				assert.Assert(t, m.To() == "pool-0" || q.Name() != "pool-0" || !short, "a pool is served before the urgent pool")
				assert.Assert(t, m.To() == "pool-0" || !short || have[m.To()]*need[q.Name()] <= have[q.Name()]*need[m.To()])
			}
			have[m.To()]++
		}
		assert.Assert(t, len(used) <= max(spares-r.MinSpares, 0))
		for _, q := range pools[:len(pools)-1] {
			assert.Assert(t, have[q.Name()] >= need[q.Name()] || len(used) == max(spares-r.MinSpares, 0),
				"a pool has too few VMs although spare VMs are left")
		}
	})
}

// Guards against moves that change the pool of a VM with tasks, exceed the old pool's budget, don't complete after a
// crash, or drop that the VM was maintained.
func TestMoveDrainsVMBeforePoolChange(t *testing.T) {
	pools := []catalogue.Pool{catalogue.NewPool("a", false, 1), catalogue.NewPool("b", false, 1)}
	back := maintenance.NewProgress(rollout, maintenance.Completed, 3).Reason()
	v := maintenance.NewVM("vm-1", "z", "r", "a").WithState(catalogue.NewVMState("a", false, back, "", start)).
		WithTasks(maintenance.NewTask("t", time.Hour, true, true))
	other := maintenance.NewVM("vm-2", "z", "r", "a").WithAbsent(true)
	m := maintenance.NewMove("vm-1", "b")
	next := func(vms ...maintenance.VM) maintenance.MoveOutcome {
		return m.Next(maintenance.NewFleet(pools, vms), drainWindow, start.Add(drainWindow))
	}
	_, over := next(v, other).(maintenance.MoveOverBudget)
	assert.Assert(t, over)
	write := func() {
		s, ok := next(v).(maintenance.MoveStep)
		assert.Assert(t, ok)
		state := s.Write().State()
		v = maintenance.NewVM("vm-1", "z", "r", state.Pool()).WithState(state).WithTasks(v.Tasks()...)
	}
	write()
	assert.Assert(t, v.Pool() == "a" && v.State().OutOfService())
	_, waits := next(v).(maintenance.MoveWaiting)
	assert.Assert(t, waits)
	v = v.WithTasks()
	write()
	assert.Assert(t, v.Pool() == "b" && v.State().OutOfService())
	write()
	_, moved := next(v).(maintenance.Moved)
	assert.Assert(t, moved && !v.State().OutOfService())
	assert.Equal(t, maintenance.ProgressOf(rollout, v.State()).Phase(), maintenance.Completed)
}
