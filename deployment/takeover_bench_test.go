package deployment_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// BenchmarkTakeover measures how a new leader loads the control state from a store with ended and with live jobs: the time and
// the reads until it decides on the live jobs, and the time until it knows the jobs that wait.
func BenchmarkTakeover(b *testing.B) {
	for _, c := range []struct{ ended, live int }{
		{0, 20},
		{10_000, 20},
		{100_000, 20},
		{1_000_000, 20},
		{100_000, 200},
		{100_000, 1000},
		{100_000, 3000},
	} {
		b.Run(fmt.Sprintf("ended=%d/live=%d", c.ended, c.live), func(b *testing.B) {
			for range b.N {
				measureTakeover(b, c.ended, c.live)
			}
		})
	}
}

func measureTakeover(b *testing.B, ended, live int) {
	b.Helper()
	b.StopTimer()
	r := newRig(b, 0, time.Second)
	r.addEndedJobs(ended)
	copies := r.addJobs(1<<40, live, workload.Progress{State: workload.JobRunning}, workload.StepOptions{Count: 1, MilliCores: 1000})
	keys := make([]string, 0, live)
	for id := range copies {
		keys = append(keys, id)
	}
	r.store.Load("specs", "control", keys, func(key string) []byte { return copies[key] })
	r.observer.ExpectSpecification("s")
	var reads atomic.Int64
	count := func(path string) emulator.Fault {
		if path == "/api/rows-get" {
			reads.Add(1)
		}
		return emulator.FaultNone
	}
	r.fault.Store(&count)
	b.StartTimer()
	vm := r.startVM("entry-0")
	load, readsToLoad := r.awaitTimer(vm, "control.load", &reads)
	waiting, allReads := r.awaitTimer(vm, "control.read-waiting-jobs", &reads)
	b.ReportMetric(float64(load.Microseconds())/1000, "ms-to-lead")
	b.ReportMetric(float64(readsToLoad), "reads-to-lead")
	b.ReportMetric(float64(waiting.Microseconds())/1000, "ms-to-waiting-jobs")
	b.ReportMetric(float64(allReads), "reads-to-waiting-jobs")
}

// awaitTimer waits until a timer of an entry VM has a value. It returns the value, and the number of reads by then.
func (r *rig) awaitTimer(v *entryVM, name string, reads *atomic.Int64) (time.Duration, int64) {
	for {
		for _, t := range v.scope.Snapshot().Timers() {
			if t.Name() == name && len(t.Values()) > 0 {
				return t.Values()[0], reads.Load()
			}
		}
		timer.Wait(r.ctx, timer.System{}, 100*time.Microsecond)
	}
}
