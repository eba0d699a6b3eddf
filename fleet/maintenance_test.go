package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
)

// maintain asks for the maintenance of every other VM.
func (w *world) maintain(within time.Duration, atOnce int) []string {
	var due []string
	for n := 0; n < len(w.vms); n += 2 {
		due = append(due, fmt.Sprintf("m-%d", n))
	}
	w.state.Handle(fleet.OperationArrived{Operation: directory.Wave{
		Name: "1", Number: 1, VMs: due, TimeLimit: within, MaxConcurrent: atOnce,
	}}, w.now)
	return due
}

// Guards against a controller that has lost the store and goes on emptying VMs for maintenance after its term, while
// the next one does so too: together they stop more tasks of a step than it may miss.
func TestTasksThatLastAreNotMovedAfterTheTerm(t *testing.T) {
	for name, lost := range map[string]bool{"in control": false, "after the term": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(40, 2)
			w.submitLasting(0, 0)
			w.pass(2 * time.Second)
			if lost {
				w.held = true
				w.pass(4 * time.Second)
			}
			w.maintain(30*time.Second, 10)
			w.pass(3 * time.Second)
			assert.Equal(t, w.stops == 0, lost)
		})
	}
}

// Load pattern: half of the VMs are due for maintenance while bursts go from pool to pool, and each pool has tasks that
// last, of which few may be away at once. Guards against waves that end late because these tasks are moved last, and
// against more of them away than may be.
func TestWaveIsInTimeBesideTasksThatLast(t *testing.T) {
	const within = 25 * time.Second
	w := newWorld(160, 4)
	for pool := range 4 {
		w.submitLasting(2*pool, pool)
		w.submitLasting(2*pool+1, pool)
	}
	w.pass(3 * time.Second)
	began := w.now
	due := w.maintain(within, 40)
	n := 0
	for second := range int(within / time.Second) {
		for range 80 {
			n++
			w.submit(n, second/5%4)
			w.pass(time.Second / 80)
		}
	}
	late := 0
	for _, vm := range due {
		if at, begun := w.maintained[vm]; !begun || at.Sub(began) > within {
			late++
			t.Logf("%s is late: begun %v after %v, server %s", vm, begun, at.Sub(began), w.vms[vm].server)
		}
	}
	t.Logf("%d of %d VMs late, %d tasks done, %d orders to stop", late, len(due), w.ended, w.stops)
	assert.Equal(t, late, 0)
	assert.Equal(t, w.killed, 0)
	for job, away := range w.away {
		assert.Assert(t, away <= 1, "job %x had %d tasks away", job, away)
	}
}
