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
	shortDrain = 3 * time.Second
	// exitSlack is the time that a process has for its end once it stops waiting.
	exitSlack = time.Second
)

// Guards against a planned stop that waits for a long task beyond the drain timeout, and against one that a second
// signal can't end.
func TestStopIsBounded(t *testing.T) {
	t.Parallel()
	r := startRig(t, fleetPlan{zones: []string{"a"}, catalogue: firstCatalogue, settings: "drain-timeout: 3s\n"})
	secret, _ := r.grant("studio")
	tasks, _ := group.New(context.Background())
	defer func() { _ = tasks.Wait() }()

	r.step("the drain timeout is kept", func(t *testing.T) {
		m := r.members[0]
		holdLongCall(t, r, m, secret, tasks)
		start := timer.System{}.Now()
		m.signal(t, syscall.SIGTERM)
		state := m.awaitEnd(t, shortDrain+exitSlack)
		assert.Equal(t, state.ExitCode(), command.ExitOK)
		assert.Check(t, since(start) >= shortDrain-exitSlack, "the call was dropped after %s", since(start))
	})
	r.step("a second signal ends the process", func(t *testing.T) {
		m := r.members[1]
		r.awaitServers(takeOverBound, serversPerZone, r.members[0])
		holdLongCall(t, r, m, secret, tasks)
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
		}, poll.WithTimeout(shortDrain), poll.WithDelay(10*time.Millisecond))
		m.signal(t, syscall.SIGTERM)
		state, ok := m.awaitEnd(t, exitSlack).Sys().(syscall.WaitStatus)
		assert.Assert(t, ok && state.Signaled() && state.Signal() == syscall.SIGTERM, "%+v", state)
	})
}

// holdLongCall submits a call that runs longer than the test and returns once it has started.
func holdLongCall(t *testing.T, r *rig, m *member, secret string, tasks *group.Group) {
	t.Helper()
	before := r.startsIn("a")
	tasks.Go(func() error {
		c := api.Client{Addresses: []string{m.address}, Key: secret}
		_, err := c.Call(api.Work{Entry: "proof", Payload: []byte(`{"run-ms":600000}`), Deadline: 30 * time.Second})
		assert.Check(t, err != nil)
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.startsIn("a") == before {
			return poll.Continue("the call hasn't started")
		}
		return poll.Success()
	}, poll.WithTimeout(takeOverBound), poll.WithDelay(pollDelay))
}
