package membership_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/provider"
)

const step = 100 * time.Millisecond

var start = time.Unix(1e6, 0)

func entryVM(id string, leaving bool) provider.VM {
	return provider.NewVM(id, provider.RoleEntry, "za", "", id+":1", provider.Shape{}, leaving)
}

// view is one entry VM with a single peer, whose heartbeats are answered as the test says.
type view struct {
	state membership.State
	now   time.Time
	sent  []time.Time
	seen  []string
}

func newView() *view {
	v := &view{state: membership.State{Self: "e0", Zone: "za"}, now: start}
	v.handle(membership.NewListed([]provider.VM{entryVM("e0", false), entryVM("e1", false)}))
	return v
}

func (v *view) handle(e membership.Event) {
	for _, f := range v.state.Handle(e, v.now) {
		switch f := f.(type) {
		case membership.SendHeartbeat:
			v.sent = append(v.sent, v.now)
		case membership.PeerUp, membership.PeerDown, membership.WriteMemberRow, membership.DeleteMemberRow:
			v.seen = append(v.seen, fmt.Sprintf("%T%v", f, f))
		}
	}
}

// run answers each heartbeat after delay if answers says so, and with ok false otherwise.
func (v *view) run(d, delay time.Duration, answers func() bool) {
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(step)
		n := len(v.sent)
		v.handle(membership.NewTick())
		if len(v.sent) > n {
			sent := v.now
			v.now = v.now.Add(delay)
			v.handle(membership.NewHeartbeatEnded("e1", answers(), sent))
		}
	}
}

func (v *view) live() bool { return slices.Contains(v.state.LiveInZone("za"), "e1") }

func always() bool { return true }
func never() bool  { return false }

// Guards against a peer that goes down after a single lost heartbeat or a pause of this process, one that stays live
// after it died, and heartbeats that bunch.
func TestPeerDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		delay := time.Duration(rapid.IntRange(0, 80).Draw(t, "delay")) * time.Millisecond
		lost := false
		v.run(20*time.Second, delay, func() bool {
			lost = !lost && rapid.Bool().Draw(t, "lost")
			return !lost
		})
		v.run(2*time.Second, delay, always)
		v.now = v.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Second)
		v.run(5*time.Second, delay, always)
		assert.DeepEqual(t, v.seen[:1], []string{"membership.PeerUp{e1}"})
		assert.Assert(t, !slices.Contains(v.seen, "membership.PeerDown{e1}"))
		for i := range v.sent[1:] {
			assert.Assert(t, v.sent[i+1].Sub(v.sent[i]) >= time.Second/2)
		}

		v.run(5*time.Second, delay, never)
		assert.Assert(t, !v.live())
		one := true
		v.run(1500*time.Millisecond, delay, func() bool { one = !one; return !one })
		assert.Assert(t, !v.live(), "up after one answer")
		v.run(4*time.Second, delay, always)
		assert.Assert(t, v.live())
		v.handle(membership.NewPeerLeaving("e1"))
		assert.Assert(t, !v.live())
		assert.DeepEqual(t, v.state.Live(), []string{"e0", "e1"})
	})
}

// Guards against the deletion of the row of a member that exists: it needs 10 s of listings without the member and
// without a sign of life, however the list lags or fails, and doesn't depend on earlier listings.
func TestDeleteMemberRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		listed := rapid.Bool().Draw(t, "listed")
		if !listed {
			v = &view{state: membership.State{Self: "e0", Zone: "za"}, now: start}
		}
		v.handle(membership.NewMemberRows([]string{"e0", "e1"}))
		var absent time.Duration
		last, good, deleted := v.now, v.now, false
		for range 60 {
			gap := time.Duration(rapid.SampledFrom([]int{500, 1000, 1000, 1000, 9000}).Draw(t, "gap")) * time.Millisecond
			v.now = v.now.Add(gap)
			vms := []provider.VM{entryVM("e0", false)}
			present := rapid.IntRange(0, 40).Draw(t, "present") == 0
			if present {
				vms = append(vms, entryVM("e1", false))
			}
			if rapid.IntRange(0, 40).Draw(t, "heard") == 0 {
				v.handle(membership.NewHeard("e1"))
				good = v.now
			}
			absent += min(v.now.Sub(last), 2*time.Second)
			if last = v.now; present {
				absent = 0
			}
			v.seen = nil
			v.handle(membership.NewListed(vms))
			deleted = slices.Contains(v.seen, "membership.DeleteMemberRow{e1}")
			assert.Assert(t, !deleted || (absent >= 10*time.Second && v.now.Sub(good) >= 10*time.Second))
			if deleted {
				break
			}
		}
		assert.Assert(t, deleted || absent < 14*time.Second || v.now.Sub(good) < 14*time.Second)
	})
}

// Guards against a reused address: heartbeats to a VM that left mustn't reach the VM that took its address over.
func TestReusedAddress(t *testing.T) {
	v := newView()
	other := provider.NewVM("e2", provider.RoleEntry, "za", "", "e1:1", provider.Shape{}, false)
	v.handle(membership.NewListed([]provider.VM{entryVM("e0", true), other}))
	assert.Equal(t, v.state.Address("e1"), "")
	assert.Equal(t, v.state.Address("e2"), "e1:1")
	assert.DeepEqual(t, v.state.LiveInZone("za"), []string{"e1", "e2"}) // e0 is leaving
}

// Guards against a missing own row, one written again after a planned stop, and a flood of writes.
func TestOwnRow(t *testing.T) {
	v := newView()
	v.seen = nil
	write := "membership.WriteMemberRow{e0}"
	v.run(5500*time.Millisecond, 0, always)
	assert.DeepEqual(t, v.seen, []string{write, write})
	v.handle(membership.NewMemberRows([]string{"e0"}))
	v.run(10*time.Second, 0, always)
	v.handle(membership.NewDrained())
	v.handle(membership.NewMemberRows(nil))
	v.run(10*time.Second, 0, always)
	assert.DeepEqual(t, v.seen, []string{write, write, "membership.DeleteMemberRow{e0}"})
}

// BenchmarkControlMembership measures one second of control time with 7 peers and a VM list with n backend servers.
// Bytes are those of the heartbeats' ids; the digest they carry isn't part of this package.
func BenchmarkControlMembership(b *testing.B) {
	for _, n := range []int{50, 200, 530} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := membership.State{Self: "e0", Zone: "za"}
			var vms []provider.VM
			for i := range 8 {
				vms = append(vms, entryVM("e"+strconv.Itoa(i), false))
			}
			for i := range n {
				vms = append(vms, provider.NewVM("w"+strconv.Itoa(i), provider.RoleBackend, "za", "", "", provider.Shape{}, false))
			}
			now, messages, bytes := start, 0, 0
			b.ReportAllocs()
			for b.Loop() {
				s.Handle(membership.NewListed(vms), now)
				for range 10 {
					now = now.Add(step)
					for _, f := range s.Handle(membership.NewTick(), now) {
						if h, ok := f.(membership.SendHeartbeat); ok {
							messages++
							bytes += len(h.Peer()) + len(s.Self)
							s.Handle(membership.NewHeartbeatEnded(h.Peer(), true, now), now)
							s.Handle(membership.NewHeard(h.Peer()), now)
						}
					}
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
		})
	}
}
