package fleet_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// BenchmarkWaitingTask measures the memory of a task that waits.
func BenchmarkWaitingTask(b *testing.B) {
	var before, after runtime.MemStats
	s := &fleet.State{EntryVM: "entry", Token: 1, Term: fleet.Term{Holder: "entry", DurationMS: 2500}.WithVersion(1)}
	now := time.Unix(1_000_000, 0)
	s.Begin(now)
	runtime.GC()
	runtime.ReadMemStats(&before)
	const jobs, tasks = 200, 1000
	for n := range jobs {
		s.Handle(fleet.JobArrived{Job: waitingJob(b, n, tasks)}, now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(jobs*tasks), "B/task")
	runtime.KeepAlive(s)
}

func waitingJob(tb testing.TB, n, tasks int) *workload.Job {
	tb.Helper()
	j, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Specification: "s",
		Steps: []workload.StepOptions{{Count: tasks, MilliCores: 1000}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return j
}
