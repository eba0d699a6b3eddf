package schedule_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/schedule"
)

// Guards against tasks that are isolated or given up too early, and against such that go on crashing servers.
func TestCrashesDecideOnIsolationAndFailure(t *testing.T) {
	for name, c := range map[string]struct {
		crashes           schedule.Crashes
		alert             bool
		isolates, givenUp bool
		waits             schedule.CauseWait
	}{
		"none":                        {},
		"one, at the start":           {crashes: schedule.Crashes{Confirmed: 1, Certain: 1, AtStart: true}},
		"one, at the start, on alert": {crashes: schedule.Crashes{Confirmed: 1, Certain: 1, AtStart: true}, alert: true, isolates: true},
		"one, later, on alert":        {crashes: schedule.Crashes{Confirmed: 1, Certain: 1}, alert: true},
		"partitioned, on alert":       {crashes: schedule.Crashes{Unresolved: 1, AtStart: true}, alert: true},
		"two":                         {crashes: schedule.Crashes{Confirmed: 2, Certain: 2}, isolates: true},
		"isolated":                    {crashes: schedule.Crashes{Confirmed: 2, Certain: 2, Isolated: 1}, isolates: true, givenUp: true},
		"isolated, the first unsure":  {crashes: schedule.Crashes{Confirmed: 2, Certain: 1, Isolated: 1}, isolates: true},
		"three unresolved":            {crashes: schedule.Crashes{Confirmed: 1, Unresolved: 2}, isolates: true, waits: schedule.BoundedWait},
		"five, one unresolved":        {crashes: schedule.Crashes{Confirmed: 4, Unresolved: 1}, isolates: true, waits: schedule.UnboundedWait},
		"five, never isolated":        {crashes: schedule.Crashes{Confirmed: 5}, isolates: true, givenUp: true},
		"long-running, isolated once": {
			crashes: schedule.Crashes{LongRunning: true, Confirmed: 4, Certain: 4, Isolated: 1}, isolates: true,
		},
		"long-running, isolated": {
			crashes: schedule.Crashes{LongRunning: true, Confirmed: 4, Certain: 3, Isolated: 2}, isolates: true, givenUp: true,
		},
		"long-running, isolated, the others unsure": {
			crashes: schedule.Crashes{LongRunning: true, Confirmed: 4, Certain: 2, Isolated: 2}, isolates: true,
		},
	} {
		assert.Equal(t, schedule.NeedsIsolation(c.crashes, c.alert), c.isolates, name)
		assert.Equal(t, schedule.GivesUp(c.crashes), c.givenUp, name)
		assert.Equal(t, schedule.AwaitsCause(c.crashes), c.waits, name)
	}
}
