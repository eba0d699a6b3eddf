package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// A call waits for a slot of its team while its entry is moved to another pool. It started in the pool that the entry had
// when the call was submitted (R2).
func TestWaitingCallFollowsItsEntryToAnotherPool(t *testing.T) {
	r := calm()
	for i := range 3 {
		id := fmt.Sprintf("long-%d", i)
		r.send("entry-a-1", id, dispatch.KindJob, "plates", `{"run-ms": 20000}`, 0)
		r.untilStart(t, id, 1)
	}
	r.send("entry-a-1", "moved", dispatch.KindCall, "proofs", `{"run-ms": 10}`, time.Minute)

	c := testCatalogue(3, 2, false)
	var entries []catalogue.Entry
	for _, e := range c.Entries() {
		if e.Name() == "proofs" {
			e = catalogue.NewEntry("proofs", "red", catalogue.ClassInteractive, "side", e.Shape()).WithIdempotent(true).WithOpen(true)
		}
		entries = append(entries, e)
	}
	next, err := catalogue.New(entries, c.Teams(), c.Pools())
	assert.NilError(t, err)
	n := r.nodes["entry-a-1"]
	r.ask(n, dispatch.NewCatalogueChange(next, n.state.Configuration().Version()), "operator")

	s := r.untilStart(t, "moved", 1)
	assert.Equal(t, poolOf(s.server), "side")
}
