package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// Guards against a queued call that starts in the wrong pool (R2). The call waits for a slot of its team while its
// entry is moved to another pool, and must not start in the pool that the entry had when the call was submitted.
func TestWaitingCallFollowsItsEntryToAnotherPool(t *testing.T) {
	sm := newQuietSimulation()
	for i := range 3 {
		id := fmt.Sprintf("long-%d", i)
		sm.submitAsRed("entry-a-1", id, dispatch.KindJob, "plates", `{"run-ms": 20000}`, 0)
		sm.runUntilStart(t, id, 1)
	}
	sm.submitAsRed("entry-a-1", "moved", dispatch.KindCall, "proofs", `{"run-ms": 10}`, time.Minute)

	c := testCatalogue(3, 2, false)
	var entries []catalogue.Entry
	for _, e := range c.Entries() {
		if e.Name() == "proofs" {
			e = catalogue.NewEntry("proofs", "red", catalogue.ClassInteractive, "side", e.Shape()).
				WithIdempotent(true).WithOpen(true)
		}
		entries = append(entries, e)
	}
	next, err := catalogue.New(entries, c.Teams(), c.Pools())
	assert.NilError(t, err)
	vm := sm.entryVMs["entry-a-1"]
	sm.requestChange(vm, dispatch.NewCatalogueChange(next, vm.state.Configuration().Version()), "operator")

	s := sm.runUntilStart(t, "moved", 1)
	assert.Equal(t, initialPoolOf(s.server), "side")
}
