package deployment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/timer"
)

// BenchmarkRemoval measures how long a leader takes to remove the rows of jobs that have ended, and with how many transactions.
func BenchmarkRemoval(b *testing.B) {
	for _, ended := range []int{2_000, 20_000} {
		b.Run(fmt.Sprintf("ended=%d", ended), func(b *testing.B) {
			for range b.N {
				measureRemoval(b, ended)
			}
		})
	}
}

func measureRemoval(b *testing.B, ended int) {
	b.Helper()
	b.StopTimer()
	r := newRig(b, 0, time.Second)
	r.statusTime = 0.5
	r.addEndedJobs(ended)
	b.StartTimer()
	vm := r.startVM("entry-0")
	for r.store.Count("progress") == ended {
		timer.Wait(r.ctx, timer.System{}, time.Millisecond)
	}
	began, transactions := timer.System{}.Now(), r.store.RequestCounts()["/api/rows-tx"]
	for r.store.Count("progress") > 0 {
		timer.Wait(r.ctx, timer.System{}, 50*time.Millisecond)
	}
	took := timer.System{}.Now().Sub(began)
	b.ReportMetric(float64(ended)/took.Seconds(), "jobs/s")
	b.ReportMetric(float64(r.store.RequestCounts()["/api/rows-tx"]-transactions)/float64(ended), "transactions/job")
	vm.kill()
}
