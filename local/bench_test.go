package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/local"
	"github.com/pistachiolead/pistachiolead/timer"
)

// BenchmarkCall measures the latency of calls that run for 1 ms in a fleet in one process: the first call at each entry
// VM, sequential calls at each entry VM in turn, and calls of 32 concurrent callers.
func BenchmarkCall(b *testing.B) {
	f := startFleet(b)
	admin := &api.Client{Key: f.AdminKey()}
	for _, m := range f.Members() {
		admin.Addresses = append(admin.Addresses, m.Address())
	}
	grant, err := admin.GrantKey("studio", "submitter", 0)
	assert.NilError(b, err)
	var clients []*api.Client
	for _, m := range f.Members() {
		clients = append(clients, &api.Client{Addresses: []string{m.Address()}, Key: grant.Secret()})
	}
	clock := timer.System{}
	call := func(c *api.Client) time.Duration {
		start := clock.Now()
		_, err := c.Call(api.Work{Entry: "proofs", Payload: []byte(`{"run-ms": 1}`)})
		assert.Check(b, err)
		return clock.Now().Sub(start)
	}

	b.Run("first", func(b *testing.B) {
		var worst time.Duration
		for _, c := range clients {
			worst = max(worst, call(c))
		}
		b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	})
	b.Run("single", func(b *testing.B) {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		for i := range 200 {
			assert.NilError(b, h.RecordValue(call(clients[i%len(clients)]).Microseconds()))
		}
		report(b, h)
	})
	b.Run("32-callers", func(b *testing.B) {
		h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		results := make(chan time.Duration, 32*50)
		callers, _ := group.New(context.Background())
		for i := range 32 {
			callers.Go(func() error {
				for range 50 {
					results <- call(clients[i%len(clients)])
				}
				return nil
			})
		}
		assert.NilError(b, callers.Wait())
		close(results)
		for d := range results {
			assert.NilError(b, h.RecordValue(d.Microseconds()))
		}
		report(b, h)
	})
}

// urgentCalls is the number of concurrent urgent calls, below the 32 slots of the pool.
const urgentCalls = 24

// BenchmarkUrgent measures the time that urgent calls take in addition to their run time of 500 ms, while archive jobs
// that can be preempted run or are queued for every slot of the pool.
func BenchmarkUrgent(b *testing.B) {
	f := startFleet(b)
	clock := timer.System{}
	admin := &api.Client{Key: f.AdminKey()}
	for _, m := range f.Members() {
		admin.Addresses = append(admin.Addresses, m.Address())
	}
	archive := newTeamClient(b, admin, "press")
	for i := range 64 {
		_, err := archive.SubmitJob(api.Work{
			Entry: "renders", RequestID: fmt.Sprintf("render-%d", i), Payload: []byte(`{"run-ms": 600000, "checkpointable": true}`),
		})
		assert.NilError(b, err)
	}
	waitRunning(b, f, "press", 24)

	urgent := newTeamClient(b, admin, "studio")
	h := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	results := make(chan time.Duration, urgentCalls)
	callers, _ := group.New(context.Background())
	for i := range urgentCalls {
		callers.Go(func() error {
			c := &api.Client{Addresses: admin.Addresses[i%len(admin.Addresses):], Key: urgent.Key}
			start := clock.Now()
			_, err := c.Call(api.Work{Entry: "stops", Payload: []byte(`{"run-ms": 500}`)})
			results <- clock.Now().Sub(start) - 500*time.Millisecond
			return err
		})
	}
	assert.NilError(b, callers.Wait())
	close(results)
	for d := range results {
		assert.NilError(b, h.RecordValue(d.Microseconds()))
	}
	report(b, h)
}

// newTeamClient returns a client with a new submitter key of a team.
func newTeamClient(b *testing.B, admin *api.Client, team string) *api.Client {
	b.Helper()
	grant, err := admin.GrantKey(team, "submitter", 0)
	assert.NilError(b, err)
	return &api.Client{Addresses: admin.Addresses, Key: grant.Secret(), Timeout: time.Minute}
}

// waitRunning waits until the backend servers run at least n tasks of a team.
func waitRunning(b *testing.B, f *local.Fleet, team string, n int) {
	b.Helper()
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		running := 0
		for _, s := range f.Platform().Backends {
			for _, t := range s.Running() {
				if t.Team() == team {
					running++
				}
			}
		}
		if running >= n {
			return poll.Success()
		}
		return poll.Continue("%d running", running)
	}, poll.WithTimeout(20*time.Second))
}

// report reports the median, the 99th percentile and the maximum of latencies in microseconds as milliseconds.
func report(b *testing.B, h *hdrhistogram.Histogram) {
	b.Helper()
	for _, q := range []float64{50, 99, 100} {
		b.ReportMetric(float64(h.ValueAtQuantile(q))/1000, fmt.Sprintf("p%g-ms", q))
	}
}
