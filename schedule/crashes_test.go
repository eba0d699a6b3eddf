package schedule_test

import (
	"math"
	"math/rand/v2"
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
		"isolated, in a wave":        {crashes: schedule.Crashes{Confirmed: 2, Certain: 2, Isolated: 1, Expected: 0.1}, isolates: true},
		"isolated, each at any time": {crashes: schedule.Crashes{Confirmed: 2, Certain: 2, Isolated: 1, Expected: 1.2}},
		"three isolated, at a rate":  {crashes: schedule.Crashes{Confirmed: 3, Certain: 3, Isolated: 2, Expected: 0.05}, isolates: true, givenUp: true},
		"expected, on alert":         {crashes: schedule.Crashes{Confirmed: 1, Certain: 1, AtStart: true, Expected: 1}, alert: true},
		"three expected":             {crashes: schedule.Crashes{Confirmed: 3, Certain: 3, Expected: 2.5}, isolates: true},
		"five, all expected":         {crashes: schedule.Crashes{Confirmed: 5, Expected: 4.5}, isolates: true, givenUp: true},
	} {
		assert.Equal(t, schedule.NeedsIsolation(c.crashes, c.alert), c.isolates, name)
		assert.Equal(t, schedule.GivesUp(c.crashes), c.givenUp, name)
		assert.Equal(t, schedule.AwaitsCause(c.crashes), c.waits, name)
	}
}

// Guards against jobs that are given up by chance: of simulated tasks that crash no server, while servers crash at a given rate.
func TestCrashesByChanceAreNoEvidence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, rate := range []float64{0.001, 0.01, 0.1, 0.3, 1} { // crashes of a server a second
		const tasks = 200_000
		givenUp := 0
		for range tasks {
			c := schedule.Crashes{}
			for c.Confirmed < 4 {
				duration := 0.1 + 4*random.Float64()
				crash := random.ExpFloat64() / rate
				if crash > duration {
					break // the task is done
				}
				c.Confirmed++
				c.Certain++
				c.Isolated++
				c.Expected += 1 - math.Exp(-rate*crash)
				if schedule.GivesUp(c) {
					givenUp++
					break
				}
			}
		}
		t.Logf("%.3f crashes a second: %d of %d tasks given up", rate, givenUp, tasks)
		assert.Assert(t, givenUp <= tasks/1000, "%d of %d tasks at %v", givenUp, tasks, rate)
	}
}

// Guards against tasks that crash each server at their start and aren't given up within five of them, at any rate of other crashes.
func TestTaskThatCrashesServersIsFoundAmongOtherCrashes(t *testing.T) {
	for _, rate := range []float64{0, 0.001, 0.01, 0.1, 0.3, 1} {
		c := schedule.Crashes{AtStart: true}
		for !schedule.GivesUp(c) {
			if c.Confirmed >= 2 {
				c.Isolated++
			}
			c.Confirmed++
			c.Certain++
			c.Expected += 1 - math.Exp(-rate*0.5)
		}
		t.Logf("%.3f crashes a second: given up after %d servers", rate, c.Confirmed)
		assert.Assert(t, c.Confirmed <= 5)
	}
}
