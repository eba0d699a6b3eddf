package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against servers that are reserved for isolated runs of which most may not run there: several tasks wait for the one server with
// their label, and one for any server.
func TestOneServerIsReservedForEachIsolatedRunThatMayUseIt(t *testing.T) {
	r := newRig(t)
	servers := []string{"i-b"}
	r.registerKind("i-b", "b", 8000)
	for n := range 8 {
		servers = append(servers, fmt.Sprintf("i-%d", n))
		r.registerKind(servers[n+1], "a", 8000)
	}
	running := make(map[string][]backend.Run)
	report := func() {
		for _, s := range r.starts() {
			r.acceptStart(s)
			running[s.Target.ID] = append(running[s.Target.ID], s.Request.Run)
		}
		r.advance(200 * time.Millisecond)
		for _, id := range servers {
			if _, open := r.openPolls[id]; open {
				r.report(id, running[id])
			}
		}
	}
	report()
	long := workload.StepOptions{Count: 8, MilliCores: 1000, DeclaredDurationMS: 600_000, MaxPerServer: 1, Label: "a"}
	jobs := []*workload.Job{r.job(1, long)}
	long.Count, long.MilliCores, long.Label = 1, 8000, "b"
	jobs = append(jobs, r.job(2, long))
	for _, j := range jobs {
		r.handle(fleet.JobArrived{Job: j})
	}
	for range 10 {
		report()
	}
	assert.Equal(t, len(running), 9)

	for n, label := range []string{"b", "b", "b", "b", "b", ""} {
		j := r.job(11+n, workload.StepOptions{Count: 1, MilliCores: 8000, DeclaredDurationMS: 1000, Label: label})
		jobs = append(jobs, j)
		r.rows[fleet.ProgressPrefix+j.ID()] = workload.Progress{
			State: workload.JobRunning, Tasks: map[string]workload.TaskRecord{
				"0.0.0": {LastRun: 2, EndedRun: 2, Crashes: 2, CertainCrashes: 2, CrashedAtStart: true},
			},
		}.Encode()
	}
	r.now = r.now.Add(time.Second)
	r.restart(jobs...)
	r.registerAs("i-b", "b", 8000)
	for _, id := range servers[1:] {
		r.registerAs(id, "a", 8000)
	}
	for range 10 {
		report()
	}
	r.takeEffects()
	for n := range 8 {
		r.handle(fleet.JobArrived{Job: r.job(21+n, workload.StepOptions{Count: 1, MilliCores: 7000, DeclaredDurationMS: 60_000})})
	}
	assert.Equal(t, len(r.starts()), 7, "one of eight servers is kept for the run that needs any")
}
