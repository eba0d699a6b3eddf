package dispatch_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/provider"
)

// A job that isn't idempotent is stopped on its backend server, and its entry VM is killed before it hears of that. The
// next owner of the backend server recorded the job as answered and failed, although it has no answer.
func TestStoppedJobOfKilledEntryVMIsUnknown(t *testing.T) {
	r := calm()
	r.send("entry-a-1", "stopped", dispatch.KindJob, "plates", `{"run-ms": 3000}`, 0)
	s := r.untilStart(t, "stopped", 1)
	n := r.nodes[s.node]
	epoch, held := n.state.Ownership.Epoch(s.server)
	assert.Assert(t, held)
	o := r.platform.Backends[s.server].Signal(context.Background(), epoch, "stopped", s.task.Attempt(), provider.SignalStop)
	assert.Equal(t, o, provider.SignalOutcome(provider.Signalled{}))
	r.kill(n)
	r.platform.VMs.Remove(n.id)

	r.none(t)
	outcome, ok := r.record.jobOutcome("stopped").(dispatch.Unresolved)
	assert.Assert(t, ok, "%v", r.record.jobOutcome("stopped"))
	assert.Equal(t, outcome.Code(), dispatch.CodeStopped)
}
