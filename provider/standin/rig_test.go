package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/timer"
)

// sendOnlyContext is the context of a caller that sends a request and doesn't wait for the result. Done is closed, but
// Err returns nil, so that the request is sent first. Calls that would wait return immediately, without a goroutine.
type sendOnlyContext struct{ context.Context }

func (sendOnlyContext) Done() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (sendOnlyContext) Err() error { return nil }

// rig is a backend server of 2 slots in zone a, with a manual clock.
type rig struct {
	clock    *timer.Manual
	backend  *standin.Backend
	platform *standin.Platform
	ctx      context.Context
	sendOnly context.Context
}

// newRig returns a rig whose manual time is 1,000 s after the Unix epoch.
func newRig() *rig {
	m := timer.NewManual(time.UnixMilli(1_000_000))
	vm := provider.NewVM("b1", provider.RoleBackendServer, "a", "r1", "", provider.NewShape(8, 1024, 0, 2), false)
	p := standin.NewPlatform([]provider.VM{vm}, m)
	ctx := context.Background()
	return &rig{clock: m, backend: p.Backends["b1"], platform: p, ctx: ctx, sendOnly: sendOnlyContext{ctx}}
}

// acquire gets the lease for the holder e1 and returns its epoch.
func (r *rig) acquire(t *testing.T) uint64 {
	t.Helper()
	g, ok := r.backend.Acquire(r.ctx, "e1", "a").(provider.Granted)
	assert.Assert(t, ok)
	return g.Epoch()
}

// advanceWithReports advances the time in steps of 100 ms, with a report after each, so that no lease expires.
func (r *rig) advanceWithReports(t *testing.T, epoch uint64, d time.Duration) {
	t.Helper()
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		r.clock.Advance(min(d, step))
		_, ok := r.backend.Report(r.ctx, epoch).(provider.Report)
		assert.Assert(t, ok)
	}
}

func task(id string, attempt int, payload string) provider.Task {
	return provider.NewTask(id, attempt, "entry", "team", provider.NewShape(1, 1, 0, 1), []byte(payload))
}

// intact reports whether the answer belongs to the attempt and matches its length and checksum.
func intact(a provider.Answer, id string, attempt int) bool {
	return a.ID() == id && a.Attempt() == attempt && a.Length() == len(a.Output()) &&
		a.Checksum() == xxhash.Sum64(a.Output())
}
