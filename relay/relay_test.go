package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/relay"
	_ "github.com/pistachiolead/pistachiolead/seed"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// sender records the requests that reach backend servers.
type sender struct {
	outcome backend.Outcome // of polls
	block   chan struct{}   // requests wait until it is closed, if it isn't nil

	mu       sync.Mutex
	requests []any
}

func (s *sender) record(request any) {
	s.mu.Lock()
	s.requests = append(s.requests, request)
	s.mu.Unlock()
	if s.block != nil {
		<-s.block
	}
}

func (s *sender) recorded() []any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]any(nil), s.requests...)
}

func (s *sender) Poll(_ backend.Target, r backend.PollRequest) backend.Outcome {
	s.record(r)
	return s.outcome
}

func (s *sender) Start(_ backend.Target, r backend.StartRequest) backend.Outcome {
	s.record(r)
	return backend.Accepted{Clock: time.Second}
}

func (s *sender) Stop(_ backend.Target, run backend.Run, _ uint64) backend.Outcome {
	s.record(run)
	return backend.Refused{Reason: backend.RefusedStaleToken}
}

func (s *sender) Pace(_ backend.Target, _ backend.Run, percent int, _ uint64) backend.Outcome {
	s.record(percent)
	panic("a malformed response")
}

// network is a leader with relays.
type network struct {
	t          *testing.T
	pool       *relay.Pool
	ctx        context.Context
	goroutines *group.Group

	mu     sync.Mutex
	events []fleet.Event
	direct []fleet.Effect
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n := &network{t: t}
	n.goroutines, n.ctx = group.New(ctx)
	n.pool = &relay.Pool{
		Leader: "leader", Processors: 0.1, Clock: timer.System{},
		Post: func(events []fleet.Event) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.events = append(n.events, events...)
		},
		SendDirectly: func(e fleet.Effect) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.direct = append(n.direct, e)
		},
	}
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, n.goroutines.Wait())
	})
	return n
}

// startRelay starts a relay and returns its address, and a function that ends it.
func (n *network) startRelay(s relay.Sender, clock timer.Clock) (address string, end func()) {
	n.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(n.t, err)
	ctx, cancel := context.WithCancel(n.ctx)
	n.goroutines.Go(func() error { return (&relay.Server{Listener: l, Sender: s, Clock: clock}).Run(ctx) })
	return l.Addr().String(), cancel
}

// connect connects the leader to the relays at the addresses.
func (n *network) connect(addresses ...string) {
	n.t.Helper()
	var members []relay.Member
	for i, a := range addresses {
		members = append(members, relay.NewMember(fmt.Sprint("entry-", i), a, 0.1))
	}
	n.pool.SetMembers(members)
	n.eventually("the leader is connected", func() bool {
		n.pool.Resize(n.ctx, n.goroutines, 100)
		return n.pool.Connections() == len(addresses)
	})
}

func (n *network) eventually(what string, check func() bool) {
	n.t.Helper()
	clock := timer.System{}
	for deadline := clock.Now().Add(10 * time.Second); !check(); timer.Wait(n.ctx, clock, 5*time.Millisecond) {
		if clock.Now().After(deadline) {
			n.t.Fatalf("condition not met: %s", what)
		}
	}
}

func (n *network) send(effects ...fleet.Effect) {
	n.t.Helper()
	for _, e := range effects {
		assert.Assert(n.t, n.pool.Send(e))
	}
	n.pool.Flush()
}

func (n *network) awaitEvents(count int) []fleet.Event {
	n.t.Helper()
	var events []fleet.Event
	n.eventually("the outcomes arrive", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		events = append([]fleet.Event(nil), n.events...)
		return len(events) >= count
	})
	return events
}

func testRun(number int) backend.Run {
	return backend.Run{Task: workload.TaskID{Job: "0123456789abcdef", Occurrence: 1, Step: 2, Index: 3}, Number: number}
}

func testStart(validFor time.Duration) fleet.Start {
	return fleet.Start{
		Target: backend.Target{ID: "i-1", Address: "a", Incarnation: 7},
		Request: backend.StartRequest{
			Run: testRun(4), Specification: "s", LeaseExpiry: 3 * time.Second, Token: 9, Checkpoint: "c", Ticket: "t",
		},
		ValidUntil: timer.System{}.Now().Add(validFor),
	}
}

// Guards against requests and outcomes that change on their way through a relay.
func TestRelayCarriesRequestsAndOutcomes(t *testing.T) {
	n := newNetwork(t)
	report := backend.Report{
		Incarnation: 7, Clock: 5 * time.Second,
		Running: []backend.ActiveRun{{Run: testRun(4), Checkpoint: "c", Percent: 40, Measurement: 250}},
		Ends:    []backend.RunEnd{{Number: 3, Run: testRun(2), Kind: workload.EndFailed, Checkpoint: "d"}},
	}
	s := &sender{outcome: backend.Reported{Report: report}}
	address, _ := n.startRelay(s, timer.System{})
	n.connect(address)
	poll := fleet.Poll{
		Target:   backend.Target{ID: "i-1", Address: "a", Incarnation: 7},
		Request:  backend.PollRequest{LeaseExpiry: time.Second, Token: 9, AcknowledgedEnd: 2, MaxWait: 50 * time.Millisecond},
		Sequence: 12,
	}
	start := testStart(time.Minute)
	n.send(poll)
	assert.DeepEqual(t, n.awaitEvents(1)[0], fleet.PollEnded{
		Server: "i-1", Incarnation: 7, Sequence: 12, Outcome: backend.Reported{Report: report},
	})
	n.send(start)
	assert.DeepEqual(t, n.awaitEvents(2)[1], fleet.StartEnded{
		Server: "i-1", Incarnation: 7, Run: testRun(4), Outcome: backend.Accepted{Clock: time.Second},
	})
	n.send(fleet.Stop{Target: start.Target, Run: testRun(4), Token: 9})
	assert.DeepEqual(t, n.awaitEvents(3)[2], fleet.StopEnded{
		Server: "i-1", Incarnation: 7, Run: testRun(4), Outcome: backend.Refused{Reason: backend.RefusedStaleToken},
	})
	assert.DeepEqual(t, s.recorded(), []any{poll.Request, start.Request, testRun(4)})
}

// Guards against an unexpected error that ends a relay with all of its requests.
func TestPanicCostsOneRelayedRequest(t *testing.T) {
	n := newNetwork(t)
	address, _ := n.startRelay(&sender{outcome: backend.Refused{Reason: backend.RefusedBusy}}, timer.System{})
	n.connect(address)
	target := backend.Target{ID: "i-1", Address: "a"}
	n.send(fleet.Pace{Target: target, Run: testRun(1), Percent: 50, Token: 9})
	assert.DeepEqual(t, n.awaitEvents(1)[0], fleet.PaceEnded{
		Server: "i-1", Run: testRun(1), Percent: 50, Outcome: backend.OutcomeUnknown{Reason: "panic at the relay"},
	})
	n.send(fleet.Poll{Target: target, Sequence: 1})
	n.awaitEvents(2)
}

// Guards against a relay that was suspended and starts a run after the leader's term: its clock has advanced past the time
// that the request is valid.
func TestRelayDoesNotStartRunsAfterTerm(t *testing.T) {
	n := newNetwork(t)
	s := &sender{}
	address, _ := n.startRelay(s, timer.System{})
	n.connect(address)
	n.send(testStart(-time.Millisecond))
	assert.DeepEqual(t, n.awaitEvents(1)[0], fleet.StartEnded{
		Server: "i-1", Incarnation: 7, Run: testRun(4), Outcome: backend.Refused{Reason: backend.RefusedExpired},
	})
	assert.Equal(t, len(s.recorded()), 0)
}

// Guards against start requests whose validity depends on how far the clocks of two entry VMs differ.
func TestStartValidityIgnoresClockDifference(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		n := newNetwork(t)
		s := &sender{}
		address, _ := n.startRelay(s, shiftedClock{ahead: ahead})
		n.connect(address)
		n.send(testStart(5 * time.Second))
		n.awaitEvents(1)
		n.send(testStart(-time.Second))
		n.awaitEvents(2)
		assert.Equal(t, len(s.recorded()), 1)
	}
}

// shiftedClock is a clock that is ahead of the system's.
type shiftedClock struct {
	timer.System
	ahead time.Duration
}

func (c shiftedClock) Now() time.Time { return c.System.Now().Add(c.ahead) }

// Guards against requests that never get an outcome, and against runs that are sent twice, when a relay is lost.
func TestLostRelay(t *testing.T) {
	n := newNetwork(t)
	s := &sender{block: make(chan struct{})}
	address, end := n.startRelay(s, timer.System{})
	n.connect(address)
	poll := fleet.Poll{Target: backend.Target{ID: "i-1", Address: "a"}, Sequence: 3}
	n.send(poll, testStart(time.Minute))
	n.eventually("the relay has both requests", func() bool { return len(s.recorded()) == 2 })
	close(s.block)
	end()
	// Either the outcomes arrived before the relay ended, or the poll is repeated and the start has an unknown outcome.
	n.eventually("both requests have an outcome", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.events)+len(n.direct) == 2
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.direct {
		assert.DeepEqual(t, e, fleet.Effect(poll))
	}
}

// Guards against a leader that waits for a relay that was frozen or partitioned while leases expire.
func TestSilentRelayIsLost(t *testing.T) {
	n := newNetwork(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	n.goroutines.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return nil
		}
		// An empty frame: an array of the clock and two empty lists.
		if _, err := conn.Write([]byte{0, 0, 0, 4, 0x83, 0x01, 0x80, 0x80}); err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, conn) // until the leader closes the connection
		return conn.Close()
	})
	n.connect(l.Addr().String())
	poll := fleet.Poll{Target: backend.Target{ID: "i-1", Address: "a"}, Sequence: 3}
	n.send(poll)
	n.eventually("the poll is sent directly", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.direct) == 1
	})
	assert.Equal(t, n.pool.Connections(), 0)
}

// Guards against a server that counts as lost because its relay gets no response from it, although others reach it.
func TestServerThatDoesNotRespondToRelayIsReachedAnotherWay(t *testing.T) {
	n := newNetwork(t)
	s := &sender{outcome: backend.OutcomeUnknown{Reason: "no response"}}
	address, _ := n.startRelay(s, timer.System{})
	n.connect(address)
	target := backend.Target{ID: "i-1", Address: "a"}
	n.send(fleet.Poll{Target: target, Sequence: 1})
	n.awaitEvents(1)
	assert.Assert(t, !n.pool.Send(fleet.Poll{Target: target, Sequence: 2}), "sent through the same relay")
	n.send(fleet.Poll{Target: backend.Target{ID: "i-2", Address: "b"}, Sequence: 3})
	n.awaitEvents(2)
}

// Guards against malformed frames that end an entry VM instead of one connection.
func TestRelaySurvivesMalformedFrames(t *testing.T) {
	n := newNetwork(t)
	address, _ := n.startRelay(&sender{outcome: backend.Accepted{}}, timer.System{})
	rapid.Check(t, func(t *rapid.T) {
		conn, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		defer conn.Close()
		_, err = conn.Write(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "bytes"))
		assert.NilError(t, err)
	})
	n.connect(address)
	n.send(fleet.Poll{Target: backend.Target{ID: "i-1", Address: "a"}, Sequence: 1})
	n.awaitEvents(1)
}

// Guards against one entry VM that sends the requests of a fleet that is too large for it, and against relays that a small
// fleet doesn't need.
func TestSelectRelaysByProcessorTime(t *testing.T) {
	members := []relay.Member{
		relay.NewMember("small", "a:1", 0.2), relay.NewMember("leader", "b:1", 0.8),
		relay.NewMember("large-1", "c:1", 0.8), relay.NewMember("large-2", "d:1", 0.8),
	}
	for servers, want := range map[int]int{10: 0, 200: 0, 201: 2, 400: 2, 401: 3, 5000: 3} {
		selected := relay.SelectRelays(members, "leader", 0.8, servers)
		assert.Equal(t, len(selected), want, "%d servers", servers)
		for _, m := range selected {
			assert.Assert(t, m.Name() != "leader")
		}
	}
}

// Guards against a relay that is lost because the requests or outcomes of a burst don't fit into one frame.
func TestBurstLargerThanAFrame(t *testing.T) {
	n := newNetwork(t)
	report := backend.Report{Incarnation: 7, Clock: time.Second}
	for i := range 200 {
		report.Running = append(report.Running, backend.ActiveRun{Run: testRun(i), Checkpoint: strings.Repeat("c", 300)})
	}
	s := &sender{outcome: backend.Reported{Report: report}, block: make(chan struct{})}
	address, _ := n.startRelay(s, timer.System{})
	n.connect(address)
	start := testStart(time.Minute)
	start.Request.Specification = strings.Repeat("s", 4000)
	taken := 0
	for i := range 1500 { // 6 MB, and more in outcomes
		start.Request.Run = testRun(i)
		for _, e := range []fleet.Effect{start, fleet.Poll{Target: backend.Target{ID: "i-1", Address: "a"}, Sequence: uint64(i)}} {
			if n.pool.Send(e) {
				taken++
			}
		}
	}
	assert.Assert(t, taken > 0)
	n.pool.Flush()
	n.eventually("the relay has all requests", func() bool { return len(s.recorded()) == taken })
	close(s.block)
	for _, e := range n.awaitEvents(taken) {
		switch e := e.(type) {
		case fleet.StartEnded:
			assert.DeepEqual(t, e.Outcome, backend.Accepted{Clock: time.Second})
		case fleet.PollEnded:
			_, reported := e.Outcome.(backend.Reported)
			assert.Assert(t, reported, "%#v", e.Outcome)
		}
	}
	assert.Equal(t, n.pool.Connections(), 1)
}
