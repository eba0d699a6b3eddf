package remote_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/timer"
)

// sendOnlyContext is the context of a caller that sends a request and doesn't wait for the result.
type sendOnlyContext struct{ context.Context }

func (sendOnlyContext) Done() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (sendOnlyContext) Err() error { return nil }

// newPlatform returns a platform with the backend server b1 of 4 slots and the entry VM e1, both in zone a.
func newPlatform(t timer.Clock) *standin.Platform {
	shape := provider.NewShape(8, 1024, 2, 4)
	return standin.NewPlatform([]provider.VM{
		provider.NewVM("b1", provider.RoleBackendServer, "a", "r1", "127.0.0.1:0", shape, false),
		provider.NewVM("e1", provider.RoleEntryVM, "a", "r1", "127.0.0.1:1", provider.Shape{}, true),
	}, t)
}

// serve serves a platform on free ports until the returned function is called.
func serve(t *testing.T, p *standin.Platform) (*remote.Server, func()) {
	t.Helper()
	s := &remote.Server{Address: "127.0.0.1:0", Platform: p}
	assert.NilError(t, s.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := group.New(ctx)
	g.Go(func() error { return s.Run(ctx) })
	return s, func() {
		cancel()
		assert.NilError(t, g.Wait())
	}
}

// unresponsiveServer accepts connections and reads requests, but never replies. If closeEarly is set, it closes each
// connection after the first bytes of a request.
type unresponsiveServer struct {
	address  string
	accepted atomic.Int64
}

func newUnresponsiveServer(t *testing.T, closeEarly bool) *unresponsiveServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &unresponsiveServer{address: l.Addr().String()}
	g, _ := group.New(context.Background())
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			d.accepted.Add(1)
			g.Go(func() error {
				buffer := make([]byte, 1<<16)
				for {
					if _, err := c.Read(buffer); err != nil || closeEarly {
						return c.Close()
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		assert.NilError(t, l.Close())
	})
	return d
}

// describe returns a text that is equal for equal outcomes. It leaves out the reasons of Unavailable and
// OutcomeUnknown.
func describe(outcome any) string {
	switch o := outcome.(type) {
	case provider.Unavailable:
		return "unavailable"
	case provider.OutcomeUnknown:
		return "unknown"
	default:
		return fmt.Sprintf("%T %+v", o, o)
	}
}

func task(id string, attempt int, payload string) provider.Task {
	return provider.NewTask(id, attempt, "entry", "team", provider.NewShape(1, 1, 0, 1), []byte(payload))
}

// start returns a manual clock at 1,000 s after the Unix epoch.
func start() *timer.Manual { return timer.NewManual(time.UnixMilli(1_000_000)) }
