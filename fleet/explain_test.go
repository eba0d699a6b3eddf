package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/explanation"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (r *rig) explain(j *workload.Job) fleet.Explanation {
	r.t.Helper()
	r.takeEffects()
	r.handle(fleet.ExplanationRequested{Ticket: 7, Job: j})
	var explained []fleet.Explained
	for _, e := range r.effects {
		if x, ok := e.(fleet.Explained); ok {
			explained = append(explained, x)
		}
	}
	assert.Assert(r.t, len(explained) == 1 && explained[0].Ticket == 7)
	assert.Equal(r.t, len(r.starts()), 0)
	return explained[0].Explanation
}

// Guards against an explanation that differs from what happens to the same job when it arrives, over drawn servers, labels, limits,
// evacuated zones and earlier jobs, and against one that starts or stores something.
func TestExplanationsAgreeWithStarts(t *testing.T) {
	some, none := 0, 0
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t)
		r.configure(workload.NewResources(int64(random.IntN(3))*9000, int64(random.IntN(3))*9000, 0))
		servers := 1 + random.IntN(5)
		for n := range servers {
			id := fmt.Sprint("i-", n)
			r.register(id, []string{"press", "press", "proofs"}[random.IntN(3)])
			if random.IntN(5) > 0 {
				r.report(id, nil)
			}
		}
		if random.IntN(8) == 0 {
			r.handle(fleet.OperationArrived{Operation: directory.ZoneEvacuated{Zone: "z"}})
		}
		for n := range random.IntN(4) {
			r.handle(fleet.JobArrived{Job: r.job(1+n, workload.StepOptions{
				Count: 1 + random.IntN(6), MilliCores: 1000 + random.Int64N(3000), MemoryMB: 100, DeclaredDurationMS: 1000,
			})})
		}
		step := workload.StepOptions{
			Count: 1 + random.IntN(8), MilliCores: 500 + random.Int64N(9000), MemoryMB: 100, DeclaredDurationMS: 1000,
			Gang: random.IntN(4) == 0, MaxPerServer: random.IntN(3), Label: []string{"", "", "", "r-i-0"}[random.IntN(4)],
		}
		job := r.job(99, step, workload.StepOptions{Count: 1, MilliCores: 100, DeclaredDurationMS: 1000, After: []int{0}})
		e := r.explain(job)
		assert.Equal(t, fmt.Sprint(r.explain(job)), fmt.Sprint(e))
		r.handle(fleet.JobArrived{Job: job})
		starts := r.starts()
		assert.Assert(t, len(e.Steps) == 1 && e.Pool == "press", "%d: %+v", seed, e)
		if e.Ahead == 0 {
			assert.Equal(t, e.Steps[0].Startable, len(starts), "%d: %+v", seed, e)
		}
		assert.Equal(t, e.Confidence != explanation.ConfidenceNone, e.Steps[0].Startable > 0)
		var listed, mayStart []string
		for _, g := range e.Steps[0].Servers {
			listed = append(listed, g.Servers()...)
			if g.MayStart() {
				mayStart = g.Servers()
			}
		}
		assert.Equal(t, len(listed), servers)
		for _, s := range starts {
			assert.Assert(t, slices.Contains(mayStart, s.Target.ID), "%d: %+v", seed, e)
		}
		if len(starts) > 0 {
			some++
		} else {
			none++
		}
	}
	assert.Assert(t, some > 50 && none > 50, "%d jobs started, %d didn't", some, none)
}

// Guards against an explanation that misses what excludes a server: each case has servers that only the given reason excludes.
func TestExplanationNamesWhatExcludesServers(t *testing.T) {
	step := workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000}
	for want, change := range map[fleet.Exclusion]func(r *rig, step *workload.StepOptions){
		fleet.ExclusionNone:      func(*rig, *workload.StepOptions) {},
		fleet.ExclusionOtherPool: func(r *rig, _ *workload.StepOptions) { r.register("i-1", "proofs") },
		fleet.ExclusionLabel:     func(_ *rig, st *workload.StepOptions) { st.Label = "rack-9" },
		fleet.ExclusionTooSmall:  func(_ *rig, st *workload.StepOptions) { st.MilliCores = 8001 },
		fleet.ExclusionNotFree: func(r *rig, st *workload.StepOptions) {
			st.MilliCores = 5000
			r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 4000, DeclaredDurationMS: 1000})})
		},
		fleet.ExclusionZone: func(r *rig, _ *workload.StepOptions) {
			r.handle(fleet.OperationArrived{Operation: directory.ZoneEvacuated{Zone: "z"}})
		},
		fleet.ExclusionUnresponsive: func(r *rig, _ *workload.StepOptions) {
			r.advance(time.Second)
			r.failPoll("i-1")
		},
		fleet.ExclusionLimit: func(r *rig, _ *workload.StepOptions) { r.configure(workload.NewResources(500, 500, 0)) },
		fleet.ExclusionTicket: func(r *rig, _ *workload.StepOptions) {
			r.recommendation = &backend.Recommendation{}
			r.configure(workload.Resources{})
		},
	} {
		r := newRig(t)
		r.register("i-1", "press")
		r.report("i-1", nil)
		st := step
		change(r, &st)
		groups := r.explain(r.job(99, st)).Steps[0].Servers
		assert.Equal(t, len(groups), 1)
		assert.Equal(t, groups[0].Reason(), string(want))
		assert.DeepEqual(t, groups[0].Servers(), []string{"i-1"})
	}
}
