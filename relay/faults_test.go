package relay_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/soak"
	"github.com/pistachiolead/pistachiolead/timer"
)

var faultSeeds = flag.Uint64("relay.seeds", 4, "number of seeds of the relays' faults")

const (
	faultRounds = 12
	// endLimit is the stated time in which a request through a relay has an outcome or an end: the time for an outcome, and
	// half a second for a poll that waits for the end of a run.
	endLimit = 3 * time.Second
)

// faultyNetwork is a leader with relays behind proxies.
type faultyNetwork struct {
	*network
	random  *rand.Rand
	sender  *sender
	proxies []*soak.Proxy
	sent    map[string]bool // taken by the pool, by request
	last    int
}

// Guards against requests without an outcome or an end, and against requests that are carried out twice, while the connections to
// relays are silenced, delayed and reset with large frames on them. The fleet of the soak needs no relays.
func TestRequestsEndWhileConnectionsToRelaysFail(t *testing.T) {
	for seed := range *faultSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			f := &faultyNetwork{
				network: newNetwork(t), random: rand.New(rand.NewPCG(seed, 1)), sent: make(map[string]bool),
				sender: &sender{outcome: backend.Reported{Report: largeReport()}},
			}
			f.run()
		})
	}
}

func largeReport() backend.Report {
	report := backend.Report{Incarnation: 7, Clock: time.Second}
	for i := range 50 {
		report.Running = append(report.Running, backend.ActiveRun{Run: testRun(i), Checkpoint: strings.Repeat("c", 200)})
	}
	return report
}

func (f *faultyNetwork) run() {
	var addresses []string
	for range 2 {
		target, _ := f.startRelay(f.sender, timer.System{})
		p := &soak.Proxy{Target: target, Clock: timer.System{}}
		assert.NilError(f.t, p.Listen())
		f.goroutines.Go(func() error { return p.Run(f.ctx) })
		f.proxies = append(f.proxies, p)
		addresses = append(addresses, p.Address())
	}
	f.connect(addresses...)
	modes := []soak.Mode{
		soak.Pass, soak.Pass, soak.Delay, soak.DiscardAll, soak.DiscardResponses, soak.Reset, soak.Stall, soak.Stall, soak.StallResponses,
	}
	for range faultRounds {
		proxy, mode := f.proxies[f.random.IntN(len(f.proxies))], modes[f.random.IntN(len(modes))]
		f.sendBurst()
		proxy.SetMode(mode) // large frames are being sent
		for range 1 + f.random.IntN(20) {
			f.sendBurst()
			timer.Wait(f.ctx, timer.System{}, 30*time.Millisecond)
		}
		f.pool.Resize(f.ctx, f.goroutines, 100)
	}
	f.checkEnds()
	for _, p := range f.proxies {
		p.SetMode(soak.Pass)
	}
	f.eventually("the leader is connected again", func() bool {
		f.pool.Resize(f.ctx, f.goroutines, 100)
		return f.pool.Connections() == len(f.proxies)
	})
	before := len(f.sent)
	f.sendBurst()
	assert.Assert(f.t, len(f.sent) > before)
	f.checkEnds()
}

// sendBurst sends some requests, many of them large. The leader sends what the pool doesn't take.
func (f *faultyNetwork) sendBurst() {
	for range f.random.IntN(400) {
		f.last++
		target := backend.Target{ID: fmt.Sprint("i-", f.random.IntN(100)), Address: "a"}
		if f.random.IntN(2) == 0 {
			poll := fleet.Poll{Target: target, Sequence: uint64(f.last)}
			if f.pool.Send(poll) {
				f.sent[fmt.Sprint("poll ", f.last)] = true
			}
			continue
		}
		start := testStart(time.Minute)
		start.Target, start.Request.Run = target, testRun(f.last)
		start.Request.Specification = strings.Repeat("s", 16000*f.random.IntN(2))
		if f.pool.Send(start) {
			f.sent[fmt.Sprint("start ", f.last)] = true
		}
	}
	f.pool.Flush()
}

// checkEnds checks that all requests have one outcome or are sent directly within endLimit, and what the servers received.
func (f *faultyNetwork) checkEnds() {
	f.t.Helper()
	clock := timer.System{}
	missing := func() []string {
		ends := f.ends()
		var missing []string
		for request := range f.sent {
			if ends[request] == 0 {
				missing = append(missing, request)
			}
		}
		return missing
	}
	for deadline := clock.Now().Add(endLimit); len(missing()) > 0 && clock.Now().Before(deadline); {
		timer.Wait(f.ctx, clock, 10*time.Millisecond)
	}
	left := missing()
	assert.Assert(f.t, len(left) == 0, "%d requests have no end: %.10q", len(left), left)
	for request, count := range f.ends() {
		assert.Assert(f.t, f.sent[request] && count == 1, "%s has %d ends", request, count)
	}
	started := make(map[backend.Run]int)
	for _, r := range f.sender.recorded() {
		if start, ok := r.(backend.StartRequest); ok {
			started[start.Run]++
			assert.Equal(f.t, started[start.Run], 1, "%v was started twice", start.Run)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		ended, ok := e.(fleet.StartEnded)
		if !ok {
			continue
		}
		if _, accepted := ended.Outcome.(backend.Accepted); accepted {
			assert.Equal(f.t, started[ended.Run], 1, "%v wasn't started", ended.Run)
		}
	}
}

// ends returns how many outcomes or ends each request has.
func (f *faultyNetwork) ends() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := make(map[string]int)
	for _, e := range f.events {
		switch e := e.(type) {
		case fleet.PollEnded:
			ends[fmt.Sprint("poll ", e.Sequence)]++
		case fleet.StartEnded:
			ends[fmt.Sprint("start ", e.Run.Number)]++
		}
	}
	for _, e := range f.direct {
		if poll, ok := e.(fleet.Poll); ok {
			ends[fmt.Sprint("poll ", poll.Sequence)]++
		}
	}
	return ends
}
