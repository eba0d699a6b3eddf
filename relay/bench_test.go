package relay_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/relay"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// reporter answers polls with a report of a busy server, and accepts starts.
type reporter struct {
	sender
	report backend.Reported
}

func (r *reporter) Poll(backend.Target, backend.PollRequest) backend.Outcome {
	timer.Wait(context.Background(), timer.System{}, time.Duration(5+rand.IntN(100))*time.Millisecond)
	return r.report
}

func (r *reporter) Start(backend.Target, backend.StartRequest) backend.Outcome {
	timer.Wait(context.Background(), timer.System{}, time.Duration(2+rand.IntN(3))*time.Millisecond)
	return backend.Accepted{Clock: time.Second}
}

func benchmarkRun(n int) backend.Run {
	return backend.Run{Task: workload.TaskID{Job: fmt.Sprintf("%016x", n), Step: n % 2, Index: n % 8}, Number: 1}
}

// BenchmarkRelayedRequests sends a second of requests of a large fleet at the peak of a burst, 8,500 polls and 4,900 starts,
// through five relays in the same process. It reports the processor time of both sides together.
func BenchmarkRelayedRequests(b *testing.B) {
	const polls, starts, step = 8500, 4900, 1500 * time.Microsecond
	report := backend.Report{Incarnation: 1, Clock: time.Second}
	for n := range 6 {
		report.Running = append(report.Running, backend.ActiveRun{Run: benchmarkRun(n), Percent: 40})
	}
	report.Ends = []backend.RunEnd{{Number: 7, Run: benchmarkRun(7), Kind: workload.EndDone}}
	ctx, cancel := context.WithCancel(context.Background())
	goroutines, ctx := group.New(ctx)
	outcomes := make(chan int, 1<<20)
	pool := &relay.Pool{
		Leader: "leader", Processors: 0.8, Clock: timer.System{},
		Post:         func(events []fleet.Event) { outcomes <- len(events) },
		SendDirectly: func(fleet.Effect) { outcomes <- 1 },
	}
	var members []relay.Member
	for i := range 5 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &relay.Server{Listener: l, Sender: &reporter{report: backend.Reported{Report: report}}, Clock: timer.System{}}
		goroutines.Go(func() error { return s.Run(ctx) })
		members = append(members, relay.NewMember(fmt.Sprint("entry-", i), l.Addr().String(), 0.8))
	}
	pool.SetMembers(members)
	for pool.Connections() < len(members) {
		pool.Resize(ctx, goroutines, 1100)
		timer.Wait(ctx, timer.System{}, 5*time.Millisecond)
	}
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		sent, received := 0, 0
		clock := timer.System{}
		begun := clock.Now()
		for sent < polls+starts {
			due := int(float64(polls+starts) * clock.Now().Sub(begun).Seconds())
			for ; sent < min(due, polls+starts); sent++ {
				target := backend.Target{ID: fmt.Sprint("i-", sent%1100), Address: "10.0.0.1:80"}
				var e fleet.Effect = fleet.Poll{Target: target, Request: backend.PollRequest{Token: 7, MaxWait: time.Second}}
				if sent%(polls+starts) >= polls {
					e = fleet.Start{Target: target, ValidUntil: clock.Now().Add(time.Minute), Request: backend.StartRequest{
						Run: benchmarkRun(sent), Specification: "render the sleeve of 4711", Token: 7,
					}}
				}
				if !pool.Send(e) {
					b.Fatal("no relay")
				}
			}
			pool.Flush()
			timer.Wait(ctx, clock, step)
		}
		for received < sent {
			received += <-outcomes
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := time.Duration(after.Utime.Nano() - before.Utime.Nano() + after.Stime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(used.Milliseconds())/float64(b.N), "cpu-ms/op")
	cancel()
	_ = goroutines.Wait() // the sessions end with an error
}
