package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a task that runs twice: one list lacks the VM of its server, which had reported the run and is cut off.
func TestReportedRunOnVMThatOneListLacksIsKept(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptStart(r.start)
	r.advance(100 * time.Millisecond)
	for id := range r.openPolls {
		if id == r.removed {
			r.report(id, []backend.Run{r.start.Request.Run})
		}
	}
	after := r.run(time.Second, false) // polls fail
	assert.Equal(t, after, time.Duration(0))
	delete(r.states, r.removed)
	r.list()
	r.states[r.removed] = backend.VMUp
	after = r.run(time.Second, false)
	assert.Equal(t, after, time.Duration(0), "started elsewhere after one list without its VM")
}

// Guards against two concurrent runs of a task whose server is cut off, while a list of VMs lacks its VM because others were removed
// between two of its pages.
func TestRunsAreSafeWhileListLacksVM(t *testing.T) { checkLosses(t, false, true) }
