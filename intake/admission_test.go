package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against refusals of jobs that could still be in time, or that no forecast holds for. The job has a path of 2 s, an
// objective of 4 s and a hard deadline of 12 s: it may start after 10 s. It is taken for 0.5 s older than the forecast.
func TestEndsTooLate(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(onTime, late [][3]int64) fleet.Wait { return fleet.Wait{OnTime: onTime, Late: late} }
	long := [][3]int64{{0, 0, 60_000}}
	step := func(latestStartMS, work, waitMS int64) [][3]int64 { return [][3]int64{{latestStartMS, work, waitMS}} }
	options := workload.JobOptions{
		Pool: "press", Stretch: 2, Priority: 1, Steps: []workload.StepOptions{{Count: 4, MilliCores: 500, MemoryMB: 250, DeclaredDurationMS: 2000}},
	}
	longRunning, labelled, scheduled, urgent, aimless := options, options, options, options, options
	labelled.Steps = []workload.StepOptions{{Count: 4, MilliCores: 500, MemoryMB: 250, DeclaredDurationMS: 2000, Label: "b"}}
	longRunning.Steps = []workload.StepOptions{{Count: 4, MilliCores: 500, DeclaredDurationMS: 2000, LongRunning: true}}
	scheduled.Repetitions, scheduled.FirstRunMS = 1, 1
	urgent.Priority = 0
	aimless.Stretch = 0
	for name, c := range map[string]struct {
		options workload.JobOptions
		wait    fleet.Wait
		age     time.Duration
		by      time.Duration // how much too late; 0 if it isn't
	}{
		"too late":                  {options, wait(long, step(0, 0, 12_000)), 0, 1500 * time.Millisecond},
		"fits":                      {options, wait(long, step(0, 0, 10_400)), 0, 0},
		"fits by now":               {options, wait(long, step(0, 0, 12_000)), 2 * time.Second, 0},
		"meets its objective":       {options, wait(step(0, 0, 2000), long), 0, 0},
		"jobs ahead start later":    {options, wait(long, step(11_000, 0, 60_000)), 0, 0},
		"jobs ahead are larger":     {options, wait(long, step(0, 4001, 60_000)), 0, 0},
		"is as large":               {options, wait(long, step(0, 4000, 60_000)), 0, 49500 * time.Millisecond},
		"memory, jobs ahead larger": {options, fleet.Wait{Memory: true, OnTime: long, Late: step(0, 2001, 60_000)}, 0, 0},
		"memory":                    {options, fleet.Wait{Memory: true, OnTime: long, Late: step(0, 2000, 60_000)}, 0, 49500 * time.Millisecond},
		"more urgent than the jobs": {urgent, fleet.Wait{Priority: 1, OnTime: long, Late: long}, 0, 0},
		"as urgent as the jobs":     {options, fleet.Wait{Priority: 1, OnTime: long, Late: long}, 0, 49500 * time.Millisecond},
		"long-running":              {longRunning, wait(long, long), 0, 0},
		"requires a label":          {labelled, wait(long, long), 0, 0},
		"scheduled":                 {scheduled, wait(long, long), 0, 0},
		"without an objective":      {aimless, wait(long, long), 0, 0},
		"old forecast":              {options, wait(long, long), 2600 * time.Millisecond, 0},
	} {
		job, err := workload.NewJob(c.options)
		assert.NilError(t, err)
		f := intake.Forecast{Waits: map[string]fleet.Wait{"press": c.wait}, Since: now.Add(-c.age)}
		lateness, late := intake.EndsTooLate(job, f, now)
		assert.Equal(t, late, c.by > 0, name)
		if late {
			assert.Equal(t, lateness.By(), c.by, name)
		}
	}
}
