package dispatch_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Guards against a stopped job that is recorded as answered with a failure. The non-idempotent job is stopped on its
// backend server, and its entry VM is killed before it receives the result. The next owner of the backend server finds
// a finished task without an answer and has to record the job as unknown.
func TestStoppedJobOfKilledEntryVMIsUnknown(t *testing.T) {
	sm := newQuietSimulation()
	sm.submitAsRed("entry-a-1", "stopped", dispatch.KindJob, "plates", `{"run-ms": 3000}`, 0)
	s := sm.runUntilStart(t, "stopped", 1)
	vm := sm.entryVMs[s.entryVM]
	epoch, held := vm.state.Ownership.Epoch(s.server)
	assert.Assert(t, held, "%s doesn't hold the lease of %s", vm.id, s.server)
	o := sm.platform.Backends[s.server].Signal(
		context.Background(), epoch, "stopped", s.task.Attempt(), provider.SignalStop)
	assert.Equal(t, o, provider.SignalOutcome(provider.Signalled{}))
	sm.kill(vm)
	sm.platform.VMs.Remove(vm.id)

	sm.assertNoViolations(t)
	outcome, ok := sm.checker.jobOutcome("stopped").(dispatch.OutcomeUnknown)
	assert.Assert(t, ok, "the outcome is %v, it must be unresolved", sm.checker.jobOutcome("stopped"))
	assert.Equal(t, outcome.Code(), dispatch.CodeStopped)
}
