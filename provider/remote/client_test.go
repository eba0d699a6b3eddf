package remote_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Guards against a request that may have taken effect but returns Unavailable, and against one that can't have taken
// effect but returns OutcomeUnknown (requirement R7 in docs/design.md).
func TestClientsDistinguishUnavailableFromUnknown(t *testing.T) {
	closed, stop := serve(t, newPlatform(start()))
	stop()
	for _, c := range []struct {
		name, address string
		want, read    string
		cancelled     bool
	}{
		{name: "connection refused", address: closed.Address, want: "unavailable", read: "unavailable"},
		{name: "broken connection", address: newUnresponsiveServer(t, true).address, want: "unknown", read: "unavailable"},
		{name: "timeout", address: newUnresponsiveServer(t, false).address, want: "unknown", read: "unavailable"},
		{
			name: "context cancelled before the request", address: newUnresponsiveServer(t, false).address,
			want: "unavailable", read: "unavailable", cancelled: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := &remote.Backend{Address: c.address}
			table := &remote.Table{Address: c.address}
			objects := &remote.Objects{Address: c.address}
			calls, _ := group.New(context.Background())
			call := func(want string, f func(context.Context) any) {
				calls.Go(func() error {
					// Long enough to connect on a busy machine. Only the case of the timeout waits that long.
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					if c.cancelled {
						cancel()
					}
					o := f(ctx)
					assert.Check(t, describe(o) == want, "%T %v", o, o)
					return nil
				})
			}
			call(c.want, func(ctx context.Context) any { return table.Commit(ctx, provider.Transaction{}) })
			call(c.want, func(ctx context.Context) any { return objects.Put(ctx, "o", nil) })
			call(c.want, func(ctx context.Context) any { return backend.Acquire(ctx, "e1", "a") })
			call(c.want, func(ctx context.Context) any { return backend.Release(ctx, 1) })
			call(c.want, func(ctx context.Context) any { return backend.Report(ctx, 1) })
			call(c.want, func(ctx context.Context) any { return backend.Run(ctx, 1, task("x", 1, "")) })
			call(c.want, func(ctx context.Context) any { return backend.Close(ctx, 1, "x", 1) })
			call(c.want, func(ctx context.Context) any { return backend.Signal(ctx, 1, "x", 1, provider.SignalStop) })
			call(c.read, func(ctx context.Context) any { return table.Scan(ctx, "", 0) })
			call(c.read, func(ctx context.Context) any { return objects.Get(ctx, "o") })
			call(c.read, func(ctx context.Context) any { return (&remote.VMs{Address: c.address}).List(ctx) })
			assert.NilError(t, calls.Wait())
		})
	}
}

// Guards against sending strings that JSON would change or bodies over the limit of the server, and against a client
// that doesn't work after it has rejected one.
func TestClientsRejectUnsendableRequests(t *testing.T) {
	ctx := context.Background()
	server, stop := serve(t, newPlatform(start()))
	defer stop()
	objects := &remote.Objects{Address: server.Address}

	assert.Equal(t, describe(objects.Put(ctx, "\xff", nil)), "unavailable")
	assert.Equal(t, describe(objects.Put(ctx, "large", make([]byte, remote.MaxBodyBytes))), "unavailable")
	data := bytes.Repeat([]byte{1}, 6_000_000)
	assert.Equal(t, describe(objects.Put(ctx, "o", data)), describe(provider.Stored{}))
	assert.Assert(t, bytes.Equal(objects.Get(ctx, "o").(provider.Object).Data(), data))
}

// Guards against a Run that waits for the answer after its context was cancelled, and against a task that ends with the
// context of its caller.
func TestRunEndsWithContext(t *testing.T) {
	manual := start()
	p := newPlatform(manual)
	_, stop := serve(t, p)
	defer stop()
	backend := &remote.Backend{Address: p.Backends["b1"].VM.Address()}
	epoch := backend.Acquire(context.Background(), "e1", "a").(provider.Granted).Epoch()

	ctx, cancel := context.WithCancel(context.Background())
	g, _ := group.New(context.Background())
	g.Go(func() error {
		o := backend.Run(ctx, epoch, task("x", 1, `{"run-ms": 1000}`))
		assert.Check(t, describe(o) == "unknown", "%v", o)
		return nil
	})
	waitUntil(t, func() bool { return p.Backends["b1"].Starts("x") == 1 })
	cancel()
	assert.NilError(t, g.Wait())

	manual.Advance(time.Second)
	a, ok := backend.Run(context.Background(), epoch, task("x", 1, "")).(provider.Answer)
	assert.Assert(t, ok && a.OK())
	assert.Equal(t, p.Counters.Starts("x"), 1)
}

// Guards against more connections to a backend server than the limit (requirement R18 in docs/design.md), and against
// runs that occupy the connections for lease renewals.
func TestBackendConnectionsAreBounded(t *testing.T) {
	d := newUnresponsiveServer(t, false)
	backend := &remote.Backend{Address: d.address}
	ctx, cancel := context.WithCancel(context.Background())
	g, _ := group.New(context.Background())
	var unavailable atomic.Int64
	for i := range 200 {
		g.Go(func() error {
			if i%2 == 0 {
				if describe(backend.Run(ctx, 1, task(fmt.Sprint(i), 1, ""))) == "unavailable" {
					unavailable.Add(1)
				}
				return nil
			}
			backend.Report(ctx, 1)
			return nil
		})
	}

	const connections = remote.MaxRunConnections + remote.MaxControlConnections
	assert.Equal(t, connections, 60)
	waitUntil(t, func() bool {
		return d.accepted.Load() == connections && unavailable.Load() == 100-remote.MaxRunConnections
	})
	cancel()
	assert.NilError(t, g.Wait())
}

// Guards against a scan that fails because it is larger than a body, and against pages of different versions.
func TestScanIsOneSnapshot(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(timer.System{})
	server, stop := serve(t, p)
	defer stop()
	table := &remote.Table{Address: server.Address}
	const rows = 7
	commit := func(b byte) {
		var writes []provider.Write
		for i := range rows {
			writes = append(writes, provider.NewPut(fmt.Sprintf("%02d", i), bytes.Repeat([]byte{b}, 1<<20)))
		}
		p.Table.Commit(ctx, provider.NewTransaction(nil, writes))
	}

	commit(0)
	writer, running := group.New(ctx)
	running, cancel := context.WithCancel(running)
	writer.Go(func() error {
		for b := byte(1); running.Err() == nil; b++ {
			commit(b)
		}
		return nil
	})
	for range 2 {
		o, ok := table.Scan(ctx, "", 0).(provider.Rows)
		assert.Assert(t, ok)
		assert.Equal(t, len(o.Rows()), rows)
		for _, r := range o.Rows() {
			assert.Equal(t, r.Version(), o.Version())
			assert.Equal(t, r.Value()[0], o.Rows()[0].Value()[0])
		}
	}
	cancel()
	assert.NilError(t, writer.Wait())
}

// Guards against a server that continues after its context has ended, also if that was before it started to serve.
func TestServerStopsWithContext(t *testing.T) {
	for range 50 {
		s := &remote.Server{Address: "127.0.0.1:0", Platform: newPlatform(start())}
		assert.NilError(t, s.Listen())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NilError(t, s.Run(ctx))
		assert.Equal(t, describe((&remote.Table{Address: s.Address}).Scan(context.Background(), "", 0)), "unavailable")
	}
}

// waitUntil checks done every millisecond, and fails the test if it doesn't return true within 10 s.
func waitUntil(t *testing.T, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	checked := make(chan struct{})
	s := timer.System{}.Every(time.Millisecond, func(time.Time) {
		select {
		case checked <- struct{}{}:
		case <-ctx.Done():
		}
	})
	defer s.Stop()
	for !done() {
		select {
		case <-checked:
		case <-ctx.Done():
			t.Fatal("the condition wasn't met within 10 s")
		}
	}
}
