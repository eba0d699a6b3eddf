package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/dispatch"
)

// calm returns a rig without traffic or faults that has warmed up.
func calm() *rig {
	r := newRig(plan{seed: 1, nodes: 4, load: time.Hour}, broken{})
	r.poll()
	r.run(r.now().Add(warmUp))
	return r
}

// send submits a request of team red to a node.
func (r *rig) send(node, id string, k dispatch.Kind, entry, payload string, wait time.Duration) *submission {
	deadline := time.Time{}
	if wait > 0 {
		deadline = r.now().Add(wait)
	}
	q := dispatch.NewRequest(id, k, entry, "red", r.record.keys["red"][0], []byte(payload), deadline, 0, true)
	return r.submitAt(r.nodes[node], q)
}

// untilStart runs the rig until a request was started the given number of times, and returns the last start.
func (r *rig) untilStart(t *testing.T, id string, count int) start {
	t.Helper()
	for end := r.now().Add(settleTime); r.now().Before(end); r.run(r.now().Add(time.Millisecond)) {
		n := 0
		for _, s := range r.record.starts {
			if s.task.ID() != id {
				continue
			}
			if n++; n == count {
				return s
			}
		}
	}
	t.Fatalf("%s wasn't started %d times", id, count)
	return start{}
}

// none fails if any requirement was violated by the end of the run.
func (r *rig) none(t *testing.T) {
	t.Helper()
	r.stopFaults()
	for end := r.now().Add(settleTime); r.now().Before(end) && !r.record.settled(); r.run(r.now().Add(time.Second)) {
	}
	r.record.finish()
	assert.Equal(t, len(r.record.violations), 0, "%v", r.record.violations)
}

// A backend server restarts while it runs a request that isn't idempotent. Under its new epoch the repeated Run started
// the request again, and a Close answered that it had never started.
func TestRestartedServerRunsNothingTwice(t *testing.T) {
	for _, k := range []dispatch.Kind{dispatch.KindCall, dispatch.KindJob} {
		r := calm()
		r.send("entry-a-1", "once", k, "seats", `{"run-ms": 3000}`, 20*time.Second*time.Duration(2-k))
		s := r.untilStart(t, "once", 1)
		r.restart(s.server)
		r.none(t)
	}
}

// A backend server restarts, and before it can be reached again its availability zone is taken out, the key of the
// request is revoked or the server is leaving. The repeated Run started the request all the same.
func TestRepeatedRunStartsNothingForbidden(t *testing.T) {
	for _, k := range []kind{zoneOut, revokeKey, leaveServer} {
		r := calm()
		s := r.send("entry-a-1", "late", dispatch.KindJob, "proofs", `{"run-ms": 3000}`, 0)
		first := r.untilStart(t, "late", 1)
		r.restart(first.server)
		for _, n := range r.running() {
			r.cutPair(n.id, first.server, 6*time.Second)
		}
		switch k {
		case zoneOut:
			r.ask(r.nodes[first.node], dispatch.NewZoneChange(zoneOf(first.server), true, true), forced)
		case revokeKey:
			r.ask(r.nodes[first.node], dispatch.NewKeyRevocation(s.request.Key()), "operator")
		default:
			r.record.leavingAt[first.server] = r.now()
			r.platform.VMs.SetLeaving(first.server, true)
		}
		r.run(r.now().Add(20 * time.Second))
		r.none(t)
	}
}

// The limit of a team is below the number of entry VMs with work of the team. Each took the limit divided by their
// number, rounded down to none, as its part, so that nothing of the team ever started.
func TestLimitBelowHoldersIsUsed(t *testing.T) {
	r := calm()
	n := r.nodes["entry-a-1"]
	r.ask(n, dispatch.NewCatalogueChange(testCatalogue(1, 1, false), n.state.Configuration().Version()), "operator")
	r.run(r.now().Add(time.Second))
	for i, id := range []string{"entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2"} {
		r.send(id, fmt.Sprintf("job-%d", i), dispatch.KindJob, "proofs", `{"run-ms": 1000}`, 0)
	}
	r.none(t)
}

// finished fails unless a job ends within a time.
func (r *rig) finished(t *testing.T, id string, within time.Duration) {
	t.Helper()
	for end := r.now().Add(within); r.now().Before(end) && !r.record.hasRow(dispatch.DoneKey(id)); {
		r.run(r.now().Add(100 * time.Millisecond))
	}
	assert.Assert(t, r.record.hasRow(dispatch.DoneKey(id)), "%s has not ended", id)
}

// The holder of a job that isn't idempotent loses its backend server to another entry VM. It stayed the holder and could
// not ask the server, and the new owner left the job to it.
func TestJobGoesToTheOwnerOfItsServer(t *testing.T) {
	r := calm()
	r.send("entry-a-1", "once", dispatch.KindJob, "seats", `{"run-ms": 3000}`, 0)
	s := r.untilStart(t, "once", 1)
	r.cutPair(s.node, s.server, time.Hour)
	r.finished(t, "once", 60*time.Second)
	r.none(t)
}

// An availability zone is taken out while the other is out. The take-out was applied before its budget was checked, so
// that the zone's VMs counted as absent already. A VM that is out was moved to a pool without room in its budget.
func TestBudgetsBoundTakeOuts(t *testing.T) {
	r := calm()
	n := r.nodes["entry-a-1"]
	for _, c := range []dispatch.Change{
		dispatch.NewZoneChange("a", true, false),
		dispatch.NewZoneChange("b", true, false),
		dispatch.NewVMChange("backend-a-1", false, "side", "", false),
	} {
		r.ask(n, c, "operator")
		r.run(r.now().Add(5 * time.Second))
	}
	r.none(t)
}
