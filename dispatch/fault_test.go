package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/dispatch"
)

// newQuietSimulation returns a simulation without submissions or faults that has warmed up.
func newQuietSimulation() *simulation {
	sm := newSimulation(plan{seed: 1, entryVMs: 4, meanInterval: time.Hour}, mutation{})
	sm.pollPeriodically()
	sm.runUntil(sm.now().Add(warmUpDuration))
	return sm
}

// submitAsRed submits a request of team red to an entry VM. A timeout of 0 sets no deadline.
func (sm *simulation) submitAsRed(
	entryVM, id string, k dispatch.Kind, entry, payload string, timeout time.Duration,
) *submission {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = sm.now().Add(timeout)
	}
	q := dispatch.NewRequest(id, k, entry, "red", sm.checker.keys["red"][0], []byte(payload), deadline, 0, true)
	return sm.submitAt(sm.entryVMs[entryVM], q)
}

// runUntilStart runs the simulation until a request has been started count times, and returns the last start.
func (sm *simulation) runUntilStart(t *testing.T, id string, count int) taskStart {
	t.Helper()
	for end := sm.now().Add(settleTimeout); sm.now().Before(end); sm.runUntil(sm.now().Add(time.Millisecond)) {
		n := 0
		for _, s := range sm.checker.starts {
			if s.task.ID() != id {
				continue
			}
			if n++; n == count {
				return s
			}
		}
	}
	t.Fatalf("%s wasn't started %d times within %v", id, count, settleTimeout)
	return taskStart{}
}

// assertNoViolations ends the faults, runs until all requests have ended and fails if a requirement was violated.
func (sm *simulation) assertNoViolations(t *testing.T) {
	t.Helper()
	sm.stopFaults()
	for end := sm.now().Add(settleTimeout); sm.now().Before(end) && !sm.checker.isSettled(); {
		sm.runUntil(sm.now().Add(time.Second))
	}
	sm.checker.checkEnd()
	assert.Equal(t, len(sm.checker.violations), 0, "%v", sm.checker.violations)
}

// Guards against a second start of non-idempotent work after a restart of its backend server. The new server process
// has no record of the request: it would start the resent Run, and would answer a Close that the request never started.
func TestServerRestartDoesNotRepeatNonIdempotentWork(t *testing.T) {
	for _, k := range []dispatch.Kind{dispatch.KindCall, dispatch.KindJob} {
		sm := newQuietSimulation()
		sm.submitAsRed("entry-a-1", "once", k, "seats", `{"run-ms": 3000}`, 20*time.Second*time.Duration(2-k))
		s := sm.runUntilStart(t, "once", 1)
		sm.restartServer(s.server)
		sm.assertNoViolations(t)
	}
}

// Guards against a resent Run that starts a task although the configuration no longer allows it. The backend server
// restarts, and before it can be reached again its availability zone is taken out of service, the key of the request is
// revoked, or the server is leaving.
func TestResentRunStartsNothingAfterTakeOutOrRevocation(t *testing.T) {
	for _, k := range []operationKind{takeZoneOut, revokeKey, markServerLeaving} {
		sm := newQuietSimulation()
		s := sm.submitAsRed("entry-a-1", "late", dispatch.KindJob, "proofs", `{"run-ms": 3000}`, 0)
		first := sm.runUntilStart(t, "late", 1)
		sm.restartServer(first.server)
		for _, vm := range sm.running() {
			sm.cutLink(vm.id, first.server, 6*time.Second)
		}
		switch k {
		case takeZoneOut:
			sm.requestChange(sm.entryVMs[first.entryVM], dispatch.NewZoneChange(zoneOf(first.server), true, true), forcedAuthor)
		case revokeKey:
			sm.requestChange(sm.entryVMs[first.entryVM], dispatch.NewKeyRevocation(s.request.KeyID()), "operator")
		default:
			sm.checker.leavingAt[first.server] = sm.now()
			sm.platform.VMs.SetLeaving(first.server, true)
		}
		sm.runUntil(sm.now().Add(20 * time.Second))
		sm.assertNoViolations(t)
	}
}

// Guards against a team whose work never starts because its limit is below the number of entry VMs with work of the
// team. The limit divided by their number, rounded down, is 0, so that no entry VM would take a slot.
func TestLimitBelowNumberOfHoldersIsUsable(t *testing.T) {
	sm := newQuietSimulation()
	vm := sm.entryVMs["entry-a-1"]
	change := dispatch.NewCatalogueChange(testCatalogue(1, 1, false), vm.state.Configuration().Version())
	sm.requestChange(vm, change, "operator")
	sm.runUntil(sm.now().Add(time.Second))
	for i, id := range []string{"entry-a-1", "entry-a-2", "entry-b-1", "entry-b-2"} {
		sm.submitAsRed(id, fmt.Sprintf("job-%d", i), dispatch.KindJob, "proofs", `{"run-ms": 1000}`, 0)
	}
	sm.assertNoViolations(t)
}

// assertJobFinishes runs the simulation until a job has ended and fails if that takes longer than the time limit.
func (sm *simulation) assertJobFinishes(t *testing.T, id string, limit time.Duration) {
	t.Helper()
	for end := sm.now().Add(limit); sm.now().Before(end) && !sm.checker.hasRow(dispatch.DoneKey(id)); {
		sm.runUntil(sm.now().Add(100 * time.Millisecond))
	}
	assert.Assert(t, sm.checker.hasRow(dispatch.DoneKey(id)), "job %s has not ended within %v", id, limit)
}

// Guards against a non-idempotent job that never ends after its backend server was taken over by another entry VM. The
// holder can't ask the server about the attempt any more, and the new owner doesn't as long as the job has another
// holder.
func TestJobMovesToNewOwnerOfItsServer(t *testing.T) {
	sm := newQuietSimulation()
	sm.submitAsRed("entry-a-1", "once", dispatch.KindJob, "seats", `{"run-ms": 3000}`, 0)
	s := sm.runUntilStart(t, "once", 1)
	sm.cutLink(s.entryVM, s.server, time.Hour)
	sm.assertJobFinishes(t, "once", 60*time.Second)
	sm.assertNoViolations(t)
}

// Guards against take-outs and moves beyond an availability budget. A zone is taken out of service while the other is
// out: if the take-out is applied before the check, the VMs of the zone already count as absent and pass it. A VM that
// is out of service is moved to a pool whose budget doesn't allow another absence.
func TestBudgetsLimitTakeOutsAndMoves(t *testing.T) {
	sm := newQuietSimulation()
	vm := sm.entryVMs["entry-a-1"]
	for _, c := range []dispatch.Change{
		dispatch.NewZoneChange("a", true, false),
		dispatch.NewZoneChange("b", true, false),
		dispatch.NewVMChange("backend-a-1", false, "side", "", false),
	} {
		sm.requestChange(vm, c, "operator")
		sm.runUntil(sm.now().Add(5 * time.Second))
	}
	sm.assertNoViolations(t)
}

// Guards against a call that is refused while it could still run: the entry VM to which it was forwarded, as no slot was free here,
// gave no reply and never started it.
func TestCallThatWasLostBeforeItStartedRunsHere(t *testing.T) {
	sm := newQuietSimulation()
	for i := range 12 {
		sm.submitAsRed("entry-a-2", fmt.Sprintf("long-%d", i), dispatch.KindCall, "seats", `{"run-ms": 2000}`, 20*time.Second)
	}
	sm.runUntil(sm.now().Add(100 * time.Millisecond))
	sm.lostForwards = map[string]int{"lost": 1}
	s := sm.submitAsRed("entry-a-2", "lost", dispatch.KindCall, "seats", `{"run-ms": 20}`, 20*time.Second)
	sm.runUntil(sm.now().Add(15 * time.Second))
	assert.Equal(t, sm.lostForwards["lost"], 0, "the call wasn't forwarded")
	_, answered := s.outcome.(dispatch.Answered)
	assert.Assert(t, answered, "%#v", s.outcome)
	sm.assertNoViolations(t)
}
