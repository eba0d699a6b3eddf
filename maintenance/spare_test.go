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

// BenchmarkPolicyBuffer measures R12 with 9 failures a day in 530 VMs (R29) and a refill time of 30 min. The least size is
// that which covers 99.9% of 200,000 losses of a random largest rack with the single failures of the refill time. The
// baseline sizes each pool by itself.
func BenchmarkPolicyBuffer(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		pools, vms := deployment(d)
		f := maintenance.NewFleet(pools, vms)
		s := maintenance.Spare{FailuresPerDay: 9.0 * float64(len(vms)) / 530, Refill: 30 * time.Minute}
		least := leastSpare(vms, s)
		apart := 0
		for _, q := range pools {
			own := s
			own.FailuresPerDay *= float64(len(f.PoolVMs(q.Name()))) / float64(len(vms))
			if !q.Spare() {
				apart += own.Size(maintenance.NewFleet(pools, f.PoolVMs(q.Name())))
			}
		}
		for _, p := range []struct {
			name string
			size int
		}{{"baseline", apart}, {"current", s.Size(f)}} {
			b.Run(d+"/"+p.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(float64(p.size)/float64(least), "buffer-ratio")
					b.ReportMetric(float64(p.size), "spare-VMs")
				}
			})
		}
	}
}

func leastSpare(vms []maintenance.VM, s maintenance.Spare) int {
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
		for t := random.ExpFloat64() / rate; t < s.Refill.Hours(); t += random.ExpFloat64() / rate {
			if vms[random.IntN(len(vms))].Rack() != rack {
				lost[i]++
			}
		}
	}
	slices.Sort(lost)
	return lost[draws*999/1000]
}

// Guards against refills that go below the floor, use a spare VM twice, fill a pool beyond its need, or serve a pool
// before an urgent or a more starved one.
func TestRefill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, vms := drawFleet(t)
		pools = append(pools, catalogue.NewPool("spare", true, 1))
		spares := rapid.IntRange(0, 6).Draw(t, "spares")
		for i := range spares {
			vms = append(vms, maintenance.NewVM(string(rune('a'+i)), "z", "r", "spare"))
		}
		r := maintenance.Refill{Floor: rapid.IntRange(0, 3).Draw(t, "floor")}
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
			r.Needs = append(r.Needs, maintenance.NewNeed(q.Name(), need[q.Name()], i == 0))
		}
		used := make(map[string]bool)
		for _, m := range r.Next(maintenance.NewFleet(pools, vms)) {
			assert.Assert(t, !used[m.VM()] && have[m.To()] < need[m.To()])
			used[m.VM()] = true
			for _, q := range pools[:len(pools)-1] {
				short := have[q.Name()] < need[q.Name()]
				assert.Assert(t, m.To() == "pool-0" || q.Name() != "pool-0" || !short, "urgent pool waits")
				assert.Assert(t, m.To() == "pool-0" || !short || have[m.To()]*need[q.Name()] <= have[q.Name()]*need[m.To()])
			}
			have[m.To()]++
		}
		assert.Assert(t, len(used) <= max(spares-r.Floor, 0))
		for _, q := range pools[:len(pools)-1] {
			assert.Assert(t, have[q.Name()] >= need[q.Name()] || len(used) == max(spares-r.Floor, 0), "spare VMs are left")
		}
	})
}

// Guards against moves that change the pool of a VM with tasks, exceed the old pool's budget, get stuck after a crash, or
// lose that the VM was maintained.
func TestMove(t *testing.T) {
	pools := []catalogue.Pool{catalogue.NewPool("a", false, 1), catalogue.NewPool("b", false, 1)}
	back := maintenance.NewProgress(rollout, maintenance.Back, 3).Reason()
	v := maintenance.NewVM("vm-1", "z", "r", "a").WithState(catalogue.NewVMState("a", false, back, "", start)).
		WithTasks(maintenance.NewTask("t", time.Hour, true, true))
	other := maintenance.NewVM("vm-2", "z", "r", "a").WithAbsent(true)
	m := maintenance.NewMove("vm-1", "b")
	next := func(vms ...maintenance.VM) maintenance.MoveOutcome {
		return m.Next(maintenance.NewFleet(pools, vms), window, start.Add(window))
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
	assert.Assert(t, v.Pool() == "a" && v.State().Out())
	_, waits := next(v).(maintenance.MoveWaits)
	assert.Assert(t, waits)
	v = v.WithTasks()
	write()
	assert.Assert(t, v.Pool() == "b" && v.State().Out())
	write()
	_, moved := next(v).(maintenance.Moved)
	assert.Assert(t, moved && !v.State().Out())
	assert.Equal(t, maintenance.ProgressOf(rollout, v.State()).Phase(), maintenance.Back)
}
