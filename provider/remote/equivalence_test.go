package remote_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/provider/standin"
)

// Guards against an outcome that changes when it is sent over HTTP: a field that is lost, a lost reply that is reported
// as a failure, or a refusal that is reported as a lost reply. Every action runs directly on one platform and through
// the clients on another.
func TestRemoteEqualsInProcess(t *testing.T) {
	ctx := context.Background()
	// Stopping a server takes 100 ms, so all servers are stopped at the end, concurrently.
	servers, running := group.New(ctx)
	running, stop := context.WithCancel(running)
	defer func() {
		stop()
		assert.NilError(t, servers.Wait())
	}()

	rapid.Check(t, func(rt *rapid.T) {
		manual := start()
		direct, served := newPlatform(manual), newPlatform(manual)
		server := &remote.Server{Address: "127.0.0.1:0", Platform: served}
		assert.NilError(rt, server.Listen())
		servers.Go(func() error { return server.Run(running) })
		table := &remote.Table{Address: server.Address}
		objects := &remote.Objects{Address: server.Address}
		vms := &remote.VMs{Address: server.Address}
		directBackend, servedBackend := direct.Backends["b1"], served.Backends["b1"]
		backend := &remote.Backend{Address: servedBackend.VM.Address()}
		// The addresses of the backend servers differ, because each server chooses free ports.
		direct.VMs.Replace(served.VMs.Actual())

		var epoch uint64
		equal := func(t *rapid.T, a, b any) { assert.Equal(t, describe(a), describe(b)) }
		drawKey := func(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b/<&>", "b/ü"}).Draw(t, "key") }
		drawBytes := func(t *rapid.T) []byte { return rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "bytes") }
		drawEpoch := func(t *rapid.T) uint64 {
			return epoch + uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "stale"))
		}
		drawAttempt := func(t *rapid.T) (string, int) {
			return rapid.SampledFrom([]string{"x", "y"}).Draw(t, "id"), rapid.IntRange(1, 2).Draw(t, "attempt")
		}

		rt.Repeat(map[string]func(*rapid.T){
			"faults": func(t *rapid.T) {
				trigger := rapid.SampledFrom([]standin.Trigger{
					standin.Never{}, standin.NewNext(1), standin.NewRandom(0.5, 1),
				}).Draw(t, "trigger")
				down := rapid.Bool().Draw(t, "down")
				for _, p := range []*standin.Platform{direct, served} {
					for _, f := range []*standin.Faults{
						&p.Table.Faults, &p.Objects.Faults, &p.VMs.Faults, &p.Backends["b1"].Faults,
					} {
						if down {
							f.SetDown(trigger)
							continue
						}
						f.SetLoseReplies(trigger)
					}
				}
			},
			"answer faults": func(t *rapid.T) {
				fault := rapid.IntRange(0, 3).Draw(t, "fault")
				for _, f := range []*standin.TaskFaults{&directBackend.TaskFaults, &servedBackend.TaskFaults} {
					set := []func(standin.Trigger){f.SetFail, f.SetMisroute, f.SetTruncate, f.SetDuplicate}[fault]
					set(standin.NewNext(1))
				}
			},
			"commit": func(t *rapid.T) {
				version := rapid.Uint64Range(0, direct.Table.Version()).Draw(t, "version")
				x := provider.NewTransaction(
					[]provider.Condition{provider.NewCondition(drawKey(t), version)},
					[]provider.Write{provider.NewDelete(drawKey(t)), provider.NewPut(drawKey(t), drawBytes(t))},
				)
				equal(t, direct.Table.Commit(ctx, x), table.Commit(ctx, x))
			},
			"scan": func(t *rapid.T) {
				since := rapid.Uint64Range(0, direct.Table.Version()).Draw(t, "since")
				prefix := rapid.SampledFrom([]string{"", "b/"}).Draw(t, "prefix")
				equal(t, direct.Table.Scan(ctx, prefix, since), table.Scan(ctx, prefix, since))
			},
			"put": func(t *rapid.T) {
				name, data := drawKey(t), drawBytes(t)
				equal(t, direct.Objects.Put(ctx, name, data), objects.Put(ctx, name, data))
			},
			"get": func(t *rapid.T) {
				name := drawKey(t)
				equal(t, direct.Objects.Get(ctx, name), objects.Get(ctx, name))
			},
			"list": func(t *rapid.T) { equal(t, direct.VMs.List(ctx), vms.List(ctx)) },
			"acquire": func(t *rapid.T) {
				holder := rapid.SampledFrom([]string{"e1", "e1", "e2"}).Draw(t, "holder")
				zone := rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "zone")
				o := directBackend.Acquire(ctx, holder, zone)
				equal(t, o, backend.Acquire(ctx, holder, zone))
				if g, ok := o.(provider.Granted); ok {
					epoch = g.Epoch()
				}
			},
			"release": func(t *rapid.T) {
				e := drawEpoch(t)
				equal(t, directBackend.Release(ctx, e), backend.Release(ctx, e))
			},
			"report": func(t *rapid.T) {
				e := drawEpoch(t)
				equal(t, directBackend.Report(ctx, e), backend.Report(ctx, e))
			},
			"start": func(t *rapid.T) {
				id, n := drawAttempt(t)
				// The client would wait for the answer, so the task is started directly on both platforms.
				x := task(id, n, `{"run-ms": 3000}`)
				equal(t, directBackend.Run(sendOnlyContext{ctx}, epoch, x), servedBackend.Run(sendOnlyContext{ctx}, epoch, x))
			},
			"run": func(t *rapid.T) {
				id, n := drawAttempt(t)
				if len(directBackend.Running()) > 0 {
					t.Skip("the client would wait for the answer")
				}
				x := task(id, n, string(drawBytes(t)))
				e := drawEpoch(t)
				equal(t, directBackend.Run(ctx, e, x), backend.Run(ctx, e, x))
			},
			"close": func(t *rapid.T) {
				id, n := drawAttempt(t)
				e := drawEpoch(t)
				equal(t, directBackend.Close(ctx, e, id, n), backend.Close(ctx, e, id, n))
			},
			"signal": func(t *rapid.T) {
				id, n := drawAttempt(t)
				e := drawEpoch(t)
				s := provider.Signal(rapid.IntRange(1, 3).Draw(t, "signal"))
				equal(t, directBackend.Signal(ctx, e, id, n, s), backend.Signal(ctx, e, id, n, s))
			},
			"stop": func(t *rapid.T) {
				id, n := drawAttempt(t)
				x := task(id, n, `{"run-ms": 3000}`)
				equal(t, directBackend.Run(sendOnlyContext{ctx}, epoch, x), servedBackend.Run(sendOnlyContext{ctx}, epoch, x))
				equal(t, directBackend.Signal(ctx, epoch, id, n, provider.SignalStop),
					backend.Signal(ctx, epoch, id, n, provider.SignalStop))
				equal(t, directBackend.Close(ctx, epoch, id, n), backend.Close(ctx, epoch, id, n))
			},
			"restart": func(*rapid.T) {
				directBackend.Restart()
				servedBackend.Restart()
			},
			"advance": func(t *rapid.T) {
				manual.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				assert.Equal(t, direct.Table.Version(), served.Table.Version())
				assert.Equal(t, direct.Counters.Running("team"), served.Counters.Running("team"))
			},
		})
	})
}
