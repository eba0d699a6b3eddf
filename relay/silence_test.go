package relay_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/relay"
	"github.com/pistachiolead/pistachiolead/timer"
)

// emptyFrame is an array of the clock and two empty lists.
var emptyFrame = []byte{0, 0, 0, 4, 0x83, 0x01, 0x80, 0x80}

// startUnreadRelay starts a relay that reads nothing, sends an empty frame at first, and another one each interval if it isn't 0.
func (n *network) startUnreadRelay(interval time.Duration) (address string) {
	n.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(n.t, err)
	n.t.Cleanup(func() { _ = l.Close() })
	n.goroutines.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return nil
		}
		defer conn.Close()
		for err == nil && n.ctx.Err() == nil {
			_, err = conn.Write(emptyFrame)
			if interval == 0 {
				<-n.ctx.Done()
			}
			timer.Wait(n.ctx, timer.System{}, interval)
		}
		return nil
	})
	return l.Addr().String()
}

// sendLarge sends start requests with specifications of 4 KB, until so many are sent or the pool takes no more. It returns how
// many it took.
func (n *network) sendLarge(count int) (taken int) {
	start := testStart(time.Minute)
	start.Request.Specification = strings.Repeat("s", 4000)
	for taken < count {
		start.Request.Run = testRun(taken)
		if !n.pool.Send(start) {
			break
		}
		taken++
		if taken%50 == 0 {
			n.pool.Flush()
			timer.Wait(context.Background(), timer.System{}, 5*time.Millisecond)
		}
	}
	n.pool.Flush()
	return taken
}

// awaitUnknown waits until so many requests have an outcome, and checks that each has one, which is unknown.
func (n *network) awaitUnknown(count int) {
	n.t.Helper()
	seen := make(map[int]bool)
	for _, e := range n.awaitEvents(count) {
		ended, ok := e.(fleet.StartEnded)
		assert.Assert(n.t, ok, "%#v", e)
		_, unknown := ended.Outcome.(backend.OutcomeUnknown)
		assert.Assert(n.t, unknown, "%#v", e)
		assert.Assert(n.t, !seen[ended.Run.Number], "two outcomes of run %d", ended.Run.Number)
		seen[ended.Run.Number] = true
	}
	assert.Equal(n.t, len(seen), count)
}

// Guards against a leader that never learns of the loss of a relay, because it waits in a write to it: the requests have neither
// an outcome nor an end then.
func TestRelayThatFallsSilentInALargeFrameIsLost(t *testing.T) {
	n := newNetwork(t)
	n.connect(n.startUnreadRelay(0))
	taken := n.sendLarge(4000)
	assert.Assert(t, taken > 0)
	n.awaitUnknown(taken)
	assert.Equal(t, n.pool.Connections(), 0)
	assert.Assert(t, !n.pool.Send(testStart(time.Minute)), "sent through a relay that is lost")
}

// Guards against requests without an end at a relay that reads nothing any more but goes on sending, so that it isn't silent.
func TestRelayThatOnlySendsIsLost(t *testing.T) {
	n := newNetwork(t)
	n.connect(n.startUnreadRelay(50 * time.Millisecond))
	taken := n.sendLarge(4000)
	assert.Assert(t, taken > 0)
	n.awaitUnknown(taken)
}

// Guards against requests without an end that a relay has received and never answers.
func TestRequestWithoutAnOutcomeEnds(t *testing.T) {
	n := newNetwork(t)
	s := &sender{block: make(chan struct{})}
	t.Cleanup(func() { close(s.block) })
	address, _ := n.startRelay(s, timer.System{})
	n.connect(address)
	poll := fleet.Poll{Target: backend.Target{ID: "i-2", Address: "b", Incarnation: 5}, Sequence: 3}
	n.send(testStart(time.Minute), poll)
	events := n.awaitEvents(2)
	assert.Equal(t, len(events), 2)
	for _, e := range events {
		switch e := e.(type) {
		case fleet.StartEnded:
			assert.Equal(t, e.Run, testRun(4))
			assert.DeepEqual(t, e.Outcome, backend.OutcomeUnknown{Reason: "no outcome from the relay in time"})
		case fleet.PollEnded:
			assert.Equal(t, e.Sequence, poll.Sequence)
			assert.DeepEqual(t, e.Outcome, backend.OutcomeUnknown{Reason: "no outcome from the relay in time"})
		default:
			t.Fatalf("unexpected event %#v", e)
		}
	}
	assert.Assert(t, !n.pool.Send(poll), "sent through the relay that gave no outcome")
	assert.Equal(t, n.pool.Connections(), 1)
}

// Guards against a queue of requests to a slow relay that grows without a bound, while the leader could send them itself.
func TestRequestsDoNotQueueUpForASlowRelay(t *testing.T) {
	n := newNetwork(t)
	n.connect(n.startUnreadRelay(50 * time.Millisecond))
	start := testStart(time.Minute)
	start.Request.Specification = strings.Repeat("s", 4000)
	taken := 0
	for taken < 4000 && n.pool.Send(start) {
		taken++
	}
	assert.Assert(t, taken < 1000, "%d requests are queued", taken)
	n.awaitEvents(taken)
}

// Guards against a relay that is gone for good, stays first in the selection, and displaces the one that took its place again
// and again.
func TestLostRelayDoesNotDisplaceItsReplacement(t *testing.T) {
	n := newNetwork(t)
	replacement, _ := n.startRelay(&sender{outcome: backend.Accepted{}}, timer.System{})
	n.pool.SetMembers([]relay.Member{
		relay.NewMember("lost", n.startUnreadRelay(0), 0.4), relay.NewMember("replacement", replacement, 0.4),
	})
	resize := func() { n.pool.Resize(n.ctx, n.goroutines, 100) }
	n.eventually("the leader is connected", func() bool {
		resize()
		return n.pool.Connections() == 1
	})
	poll := fleet.Poll{Target: backend.Target{ID: "i-1", Address: "a"}, Sequence: 1}
	n.eventually("a poll has an outcome", func() bool {
		resize()
		if !n.pool.Send(poll) {
			return false
		}
		n.pool.Flush()
		timer.Wait(n.ctx, timer.System{}, 20*time.Millisecond)
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.events) > 0
	})
	clock := timer.System{}
	for until := clock.Now().Add(4 * time.Second); clock.Now().Before(until); timer.Wait(n.ctx, clock, 20*time.Millisecond) {
		resize()
		poll.Sequence++
		assert.Assert(t, n.pool.Send(poll), "no relay is used")
		n.pool.Flush()
	}
}
