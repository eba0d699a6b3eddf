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

const tickInterval = 100 * time.Millisecond

var start = time.Unix(1e6, 0)

func entryVM(id string, leaving bool) provider.VM {
	return provider.NewVM(id, provider.RoleEntryVM, "za", "", id+":1", provider.Shape{}, leaving)
}

// testState is the state of one entry VM with a single peer. The test decides to which heartbeats the peer replies.
type testState struct {
	state      membership.State
	now        time.Time
	heartbeats []time.Time
	effects    []string
}

func newTestState() *testState {
	v := &testState{state: membership.State{EntryVM: "e0", Zone: "za"}, now: start}
	v.handle(membership.NewVMsListed([]provider.VM{entryVM("e0", false), entryVM("e1", false)}))
	return v
}

func (v *testState) handle(e membership.Event) {
	for _, f := range v.state.Handle(e, v.now) {
		switch f := f.(type) {
		case membership.SendHeartbeat:
			v.heartbeats = append(v.heartbeats, v.now)
		case membership.PeerUp, membership.PeerDown, membership.WriteMemberRow, membership.DeleteMemberRow:
			v.effects = append(v.effects, fmt.Sprintf("%T%v", f, f))
		}
	}
}

// run advances the time by d. Each heartbeat gets a result after delay; answers returns whether it is ok.
func (v *testState) run(d, delay time.Duration, answers func() bool) {
	for end := v.now.Add(d); v.now.Before(end); {
		v.now = v.now.Add(tickInterval)
		n := len(v.heartbeats)
		v.handle(membership.NewTick())
		if len(v.heartbeats) > n {
			sent := v.now
			v.now = v.now.Add(delay)
			v.handle(membership.NewHeartbeatEnded("e1", answers(), sent))
		}
	}
}

func (v *testState) live() bool { return slices.Contains(v.state.LiveInZone("za"), "e1") }

func always() bool { return true }
func never() bool  { return false }

// Guards against a peer that goes down after a single lost heartbeat or a pause of this process, a peer that stays
// live after it crashed, and heartbeats sent less than half a second apart.
func TestPeerGoesDownAfterRepeatedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestState()
		delay := time.Duration(rapid.IntRange(0, 80).Draw(t, "delay")) * time.Millisecond
		lost := false
		v.run(20*time.Second, delay, func() bool {
			lost = !lost && rapid.Bool().Draw(t, "lost")
			return !lost
		})
		v.run(2*time.Second, delay, always)
		v.now = v.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Second)
		v.run(5*time.Second, delay, always)
		assert.DeepEqual(t, v.effects[:1], []string{"membership.PeerUp{e1}"})
		assert.Assert(t, !slices.Contains(v.effects, "membership.PeerDown{e1}"))
		for i := range v.heartbeats[1:] {
			assert.Assert(t, v.heartbeats[i+1].Sub(v.heartbeats[i]) >= time.Second/2)
		}

		v.run(5*time.Second, delay, never)
		assert.Assert(t, !v.live())
		one := true
		v.run(1500*time.Millisecond, delay, func() bool { one = !one; return !one })
		assert.Assert(t, !v.live(), "live after one reply to a heartbeat")
		v.run(4*time.Second, delay, always)
		assert.Assert(t, v.live())
		v.handle(membership.NewPeerDraining("e1"))
		assert.Assert(t, !v.live())
		assert.DeepEqual(t, v.state.Live(), []string{"e0", "e1"})
	})
}

// Guards against the deletion of the row of a member that exists. A deletion requires 10 s of listings without the
// member and 10 s without contact, even if listings are late or fail. It must also work for a member that was never
// listed.
func TestMemberRowDeletedAfterAbsence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newTestState()
		listed := rapid.Bool().Draw(t, "listed")
		if !listed {
			v = &testState{state: membership.State{EntryVM: "e0", Zone: "za"}, now: start}
		}
		v.handle(membership.NewMemberRows([]string{"e0", "e1"}))
		var absent time.Duration
		last, lastContact, deleted := v.now, v.now, false
		for range 60 {
			gap := time.Duration(rapid.SampledFrom([]int{500, 1000, 1000, 1000, 9000}).Draw(t, "gap")) * time.Millisecond
			v.now = v.now.Add(gap)
			vms := []provider.VM{entryVM("e0", false)}
			present := rapid.IntRange(0, 40).Draw(t, "present") == 0
			if present {
				vms = append(vms, entryVM("e1", false))
			}
			if rapid.IntRange(0, 40).Draw(t, "heard") == 0 {
				v.handle(membership.NewHeartbeatReceived("e1"))
				lastContact = v.now
			}
			absent += min(v.now.Sub(last), 2*time.Second)
			if last = v.now; present {
				absent = 0
			}
			v.effects = nil
			v.handle(membership.NewVMsListed(vms))
			deleted = slices.Contains(v.effects, "membership.DeleteMemberRow{e1}")
			assert.Assert(t, !deleted || (absent >= 10*time.Second && v.now.Sub(lastContact) >= 10*time.Second))
			if deleted {
				break
			}
		}
		assert.Assert(t, deleted || absent < 14*time.Second || v.now.Sub(lastContact) < 14*time.Second)
	})
}

// Guards against a reused address: heartbeats to a VM that has left must not reach the VM that has taken over its
// address.
func TestAddressReusedByAnotherVM(t *testing.T) {
	v := newTestState()
	other := provider.NewVM("e2", provider.RoleEntryVM, "za", "", "e1:1", provider.Shape{}, false)
	v.handle(membership.NewVMsListed([]provider.VM{entryVM("e0", true), other}))
	assert.Equal(t, v.state.Address("e1"), "")
	assert.Equal(t, v.state.Address("e2"), "e1:1")
	assert.DeepEqual(t, v.state.LiveInZone("za"), []string{"e1", "e2"}) // e0 is leaving
}

// Guards against a missing row of this entry VM, a row that is written again after a planned stop, and writes without
// a pause between them.
func TestOwnRowWrittenUntilDrained(t *testing.T) {
	v := newTestState()
	v.effects = nil
	write := "membership.WriteMemberRow{e0}"
	v.run(5500*time.Millisecond, 0, always)
	assert.DeepEqual(t, v.effects, []string{write, write})
	v.handle(membership.NewMemberRows([]string{"e0"}))
	v.run(10*time.Second, 0, always)
	v.handle(membership.NewDrainRequested())
	v.handle(membership.NewMemberRows(nil))
	v.run(10*time.Second, 0, always)
	assert.DeepEqual(t, v.effects, []string{write, write, "membership.DeleteMemberRow{e0}"})
}

// BenchmarkControlMembership measures one second of membership decisions with 7 peers and a VM list with n backend
// servers. The bytes are those of the ids in heartbeats; the digests that heartbeats carry aren't part of this
// package.
func BenchmarkControlMembership(b *testing.B) {
	for _, n := range []int{50, 200, 530} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			s := membership.State{EntryVM: "e0", Zone: "za"}
			var vms []provider.VM
			for i := range 8 {
				vms = append(vms, entryVM("e"+strconv.Itoa(i), false))
			}
			for i := range n {
				vms = append(vms, provider.NewVM(
					"w"+strconv.Itoa(i), provider.RoleBackendServer, "za", "", "", provider.Shape{}, false))
			}
			now, messages, bytes := start, 0, 0
			b.ReportAllocs()
			for b.Loop() {
				s.Handle(membership.NewVMsListed(vms), now)
				for range 10 {
					now = now.Add(tickInterval)
					for _, f := range s.Handle(membership.NewTick(), now) {
						if h, ok := f.(membership.SendHeartbeat); ok {
							messages++
							bytes += len(h.Peer()) + len(s.EntryVM)
							s.Handle(membership.NewHeartbeatEnded(h.Peer(), true, now), now)
							s.Handle(membership.NewHeartbeatReceived(h.Peer()), now)
						}
					}
				}
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/s")
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/s")
		})
	}
}
