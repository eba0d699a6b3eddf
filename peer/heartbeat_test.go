package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

func drawDigest(t *rapid.T, member string, incarnation uint64) peer.Digest {
	names := rapid.SampledFrom([]string{"p", "q", "r", "s"})
	counts := rapid.MapOf(names, rapid.IntRange(-1, 2))
	shapes, waits := map[string]provider.Shape{}, map[string]time.Duration{}
	for k, n := range counts.Draw(t, "running and waits") {
		shapes[k] = provider.NewShape(n, 1024*n, 0, n)
		waits[k] = time.Duration(n) * 1500 * time.Microsecond
	}
	d := peer.NewDigest(member, incarnation, rapid.Uint64().Draw(t, "version"), rapid.Bool().Draw(t, "reachable")).
		WithFreeSlots(counts.Draw(t, "free")).WithSlotDemand(counts.Draw(t, "slot demand")).
		WithRunning(shapes).WithLongestWait(waits)
	if rapid.IntRange(0, 3).Draw(t, "without load") == 0 {
		return d.WithoutLoad()
	}
	return d
}

// Guards against digests that differ from those sent after messages were lost, delayed or reordered and either side
// restarted, and against a heartbeat that still fails once the fault is over.
func TestHeartbeatDeliversFullDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPeers()
		incarnation := uint64(1)
		for range rapid.IntRange(1, 25).Draw(t, "exchanges") {
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0, 1:
				// A new client, of the same process or a new one, numbers its digests from 1 again.
				incarnation += rapid.Uint64Range(0, 1).Draw(t, "restart")
				p.newClient()
			case 2:
				p.network.server = &peer.Server{Handler: p.handler, Table: p.table, Clock: p.clock}
			case 3:
				p.network.deliver()
			case 4:
				p.clock.Advance(peer.FullDigestInterval)
			}
			sent := drawDigest(t, "a", incarnation)
			p.handler.own = drawDigest(t, "b", rapid.Uint64Range(1, 2).Draw(t, "incarnation"))
			p.handler.received = peer.Digest{}
			p.network.fault = fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
			o := p.client.Heartbeat(t.Context(), sent)

			switch p.network.fault {
			case noFault:
				assert.DeepEqual(t, o, peer.NewHeartbeatReply(p.handler.own), compareUnexported)
				assert.DeepEqual(t, p.handler.received, sent, compareUnexported)
			case dialFault:
				assert.Equal(t, fmt.Sprintf("%T", o), typeName(peer.Unreachable{}))
			default:
				assert.Equal(t, fmt.Sprintf("%T", o), typeName(peer.OutcomeUnknown{}))
			}
		}
	})
}

// Guards against a delta that is applied to the wrong base. A server that had lost its state answered delayed requests,
// and so reached the sequence number that the client had decoded before. The property test above fails for it in only 1
// of 1000 runs.
func TestHeartbeatRejectsDeltaOfAnotherStream(t *testing.T) {
	p := newTestPeers()
	for i, f := range []fault{noFault, requestDelayed, requestDelayed, noFault, noFault} {
		if i == 4 {
			p.network.server = &peer.Server{Handler: p.handler, Clock: p.clock}
			p.handler.own = sizedDigest("b", 2, 2, 9, false)
			p.network.deliver()
			p.network.deliver()
		}
		p.network.fault = f
		p.handler.own = sizedDigest("b", 1, 1, i, false)
		o := p.client.Heartbeat(t.Context(), peer.NewDigest("a", 1, 1, true))
		want := peer.HeartbeatOutcome(peer.NewHeartbeatReply(p.handler.own))
		assert.Assert(t, f != noFault || cmp.Equal(o, want, compareUnexported), "round %d: %v", i, o)
	}
}

// Guards against a memory leak: the server kept the digests of every member that ever sent a heartbeat.
func TestServerEvictsOldestMembers(t *testing.T) {
	p := newTestPeers()
	for i := range 200 {
		p.newClient()
		p.clock.Advance(time.Second)
		_, ok := p.client.Heartbeat(t.Context(), peer.NewDigest(fmt.Sprint("m", i), 1, 1, true)).(peer.HeartbeatReply)
		assert.Assert(t, ok)
	}
	assert.Assert(t, p.network.server.TrackedMembers() <= 64)
}

// countingConn counts the bytes read and written on a client's connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// sizedDigest returns a digest with the given numbers of pools and teams for a round of heartbeats. All its values
// change from one round to the next, or a quarter of them if quarterChanged is set.
func sizedDigest(member string, pools, teams, round int, quarterChanged bool) peer.Digest {
	free, running, slotDemand := map[string]int{}, map[string]provider.Shape{}, map[string]int{}
	valueAt := func(i int) int {
		if quarterChanged && i%4 != round%4 {
			return 20 + i
		}
		return 20 + i + round%7
	}
	for i := range pools {
		free[fmt.Sprintf("pool-%02d", i)] = valueAt(i)
	}
	for i := range teams {
		n := valueAt(i)
		running[fmt.Sprintf("team-%02d", i)] = provider.NewShape(4*n, 16384*n, n, n)
		slotDemand[fmt.Sprintf("team-%02d", i)] = n / 2
	}
	wait := time.Duration(round) * time.Millisecond
	waits := map[string]time.Duration{"urgent": wait, "interactive": 100 * wait, "archive": 10_000 * wait}
	return peer.NewDigest(member, 1_770_000_000_000, 1000, true).WithFreeSlots(free).WithRunning(running).
		WithSlotDemand(slotDemand).WithLongestWait(waits)
}

// BenchmarkControlDigest measures the bytes that one heartbeat sends and receives over a TCP connection, with HTTP
// headers but without TCP and IP headers. Digests are full with all values changed, or deltas (changed=true) with a
// quarter of the values changed (R28).
func BenchmarkControlDigest(b *testing.B) {
	for _, size := range []struct{ pools, teams int }{{6, 6}, {18, 48}, {36, 95}} {
		for _, changed := range []bool{false, true} {
			b.Run(fmt.Sprintf("pools=%d/teams=%d/changed=%t", size.pools, size.teams, changed), func(b *testing.B) {
				clock := timer.NewManual(time.Unix(1000, 0))
				h := &handler{}
				server := httptest.NewServer((&peer.Server{Handler: h, Clock: clock}).HTTPHandler())
				defer server.Close()
				var sent, received atomic.Int64
				c := &peer.Client{
					Address: server.Listener.Addr().String(), Clock: clock,
					HTTP: &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
						conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
						return countingConn{Conn: conn, sent: &sent, received: &received}, err
					}}},
				}
				var own, theirs [28]peer.Digest
				for i := range own {
					own[i] = sizedDigest("entry-a-1", size.pools, size.teams, i, changed)
					theirs[i] = sizedDigest("entry-b-1", size.pools, size.teams, i, changed)
				}
				heartbeat := func(round int) {
					h.own = theirs[round%len(theirs)]
					o := c.Heartbeat(b.Context(), own[round%len(own)])
					if _, ok := o.(peer.HeartbeatReply); !ok {
						b.Fatal(o)
					}
				}
				for i := range 3 {
					heartbeat(i)
				}
				sent.Store(0)
				received.Store(0)
				b.ResetTimer()
				for i := range b.N {
					if !changed {
						clock.Advance(peer.FullDigestInterval)
					}
					heartbeat(i + 3)
				}
				b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/op")
				b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/op")
			})
		}
	}
}
