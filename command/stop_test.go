package command_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/command"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// shortDrainTimeout is the drain timeout in the settings of the fleet.
	shortDrainTimeout = 3 * time.Second
	// exitSlack is how long a process may take to exit after its drain timeout or a second signal, and the tolerance in
	// the check that it waited for the drain timeout.
	exitSlack = time.Second
)

// Guards against a planned stop that waits for a long call beyond the drain timeout, that drops it before, or that a
// second signal doesn't end at once.
func TestPlannedStopEndsAtDrainTimeoutOrSecondSignal(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, fleetPlan{zones: []string{"a"}, catalogue: firstCatalogue, settings: "drain-timeout: 3s\n"})
	secret, _ := f.grant("studio")
	tasks, _ := group.New(context.Background())
	defer func() { _ = tasks.Wait() }()

	f.step("the process exits at the drain timeout", func(t *testing.T) {
		m := f.entryVMs[0]
		startLongCall(t, f, m, secret, tasks)
		start := timer.System{}.Now()
		m.signal(t, syscall.SIGTERM)
		state := m.awaitEnd(t, shortDrainTimeout+exitSlack)
		assert.Equal(t, state.ExitCode(), command.ExitOK)
		assert.Check(t, since(start) >= shortDrainTimeout-exitSlack, "the call was dropped after %s", since(start))
	})
	f.step("a second signal ends the process", func(t *testing.T) {
		m := f.entryVMs[1]
		f.awaitServers(takeoverBound, serversPerZone, f.entryVMs[0])
		startLongCall(t, f, m, secret, tasks)
		m.signal(t, syscall.SIGTERM)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			resp, err := http.Get("http://" + m.address + "/healthz")
			if err != nil {
				return poll.Error(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable {
				return poll.Continue("status %d", resp.StatusCode)
			}
			return poll.Success()
		}, poll.WithTimeout(shortDrainTimeout), poll.WithDelay(10*time.Millisecond))
		m.signal(t, syscall.SIGTERM)
		state, ok := m.awaitEnd(t, exitSlack).Sys().(syscall.WaitStatus)
		assert.Assert(t, ok && state.Signaled() && state.Signal() == syscall.SIGTERM, "%+v", state)
	})
}

// startLongCall submits a call that runs longer than the test and returns once it has started.
func startLongCall(t *testing.T, f *testFleet, m *entryVM, secret string, tasks *group.Group) {
	t.Helper()
	before := f.startsIn("a")
	tasks.Go(func() error {
		c := api.Client{Addresses: []string{m.address}, Key: secret}
		_, err := c.Call(api.Work{Entry: "proof", Payload: []byte(`{"run-ms":600000}`), Deadline: 30 * time.Second})
		assert.Check(t, err != nil)
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.startsIn("a") == before {
			return poll.Continue("the call hasn't started")
		}
		return poll.Success()
	}, poll.WithTimeout(takeoverBound), poll.WithDelay(pollDelay))
}
