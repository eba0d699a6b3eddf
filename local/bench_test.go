package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/timer"
)

// BenchmarkCall measures calls of 1 ms through a fleet in one process: the first call at each entry VM, single calls that
// go round the entry VMs, and 32 callers at once.
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

func report(b *testing.B, h *hdrhistogram.Histogram) {
	b.Helper()
	for _, q := range []float64{50, 99, 100} {
		b.ReportMetric(float64(h.ValueAtQuantile(q))/1000, fmt.Sprintf("p%g-ms", q))
	}
}
