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
		Name: "1", Number: 1, VMs: due, Within: within, AtOnce: atOnce,
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
