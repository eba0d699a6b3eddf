package dispatch_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/pistachiolead/pistachiolead/seed" // fixes the seed of the property tests
)

// TestMain sets the number of plans per property to 6, for CI. The flag -rapid.checks overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	checksGiven := false
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == "rapid.checks" })
	if !checksGiven {
		if err := flag.Set("rapid.checks", "6"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checkProperty runs plans of a profile and fails if one violates the requirement.
func checkProperty(t *testing.T, requirement string, f profile) {
	t.Helper()
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := runPlan(drawPlan(t, f), mutation{})
		t.Logf("%d submissions, %d starts, %d configuration versions",
			len(c.submissions), len(c.starts), c.committed.Version())
		if v, ok := c.violations[requirement]; ok {
			t.Fatalf("%s\n%s", v, strings.Join(c.trace, "\n"))
		}
	})
}

// Guards against starts beyond a team's limit while limits, slices and the owners of backend servers change.
func TestPropertyR4TeamLimit(t *testing.T) {
	checkProperty(t, "R4", profile{frequent: []operationKind{
		changeLimits, submitBurst, killEntryVM, pauseEntryVM, cutZones, restartServer, drainEntryVM,
	}})
}

// Guards against a second start of a request that isn't idempotent.
func TestPropertyR8AtMostOnce(t *testing.T) {
	checkProperty(t, "R8", profile{frequent: []operationKind{
		resubmit, restartServer, killEntryVM, tableOutage, cutServer, crossAnswers,
	}})
}

// Guards against a start of a request that was reported as not run.
func TestPropertyR7NotRunNeverStarts(t *testing.T) {
	checkProperty(t, "R7", profile{frequent: []operationKind{
		revokeKey, killEntryVM, cancelMany, cutServer, cutEntryVMs, resubmit, slowTable,
	}})
}

// Guards against starts in an availability zone after its take-out was reported as in force.
func TestPropertyR5ZoneOutOfService(t *testing.T) {
	checkProperty(t, "R5", profile{frequent: []operationKind{
		takeZoneOut, takeZoneOut, returnZone, cutServer, isolateEntryVM, pauseEntryVM, tableOutage,
	}})
}

// Guards against starts for a team that an entry doesn't admit, or under a key whose revocation is in force.
func TestPropertyR3KeysAndTeams(t *testing.T) {
	checkProperty(t, "R3", profile{frequent: []operationKind{
		revokeKey, revokeKey, grantKey, cutServer, isolateEntryVM, pauseEntryVM, changeLimits,
	}})
}

// Guards against an entry VM that returns to an earlier configuration version, and against a version that is reported
// as in force too early.
func TestPropertyR11InForce(t *testing.T) {
	checkProperty(t, "R11", profile{frequent: []operationKind{
		changeLimits, takeVMOut, returnVM, addEntryVM, killEntryVM, cutZones, isolateEntryVM, pauseEntryVM,
	}})
}

// Guards against planned take-outs beyond a pool's availability budget when operators request changes at the same time.
func TestPropertyR1Budgets(t *testing.T) {
	checkProperty(t, "R1", profile{frequent: []operationKind{
		takeZoneOut, takeZoneOut, returnZone, takeVMOut, takeVMOut, returnVM, moveVM, moveVM, cutTable, cutZones,
	}})
}

// Guards against VMs without a pool and against starts on a VM of another pool than the entry's.
func TestPropertyR2OnePool(t *testing.T) {
	checkProperty(t, "R2", profile{frequent: []operationKind{
		moveVM, moveVM, takeVMOut, returnVM, changeLimits, restartServer, submitBurst,
	}})
}

// Guards against callers that receive the answer to another request, an incomplete answer or a second reply.
func TestPropertyR6OwnAnswer(t *testing.T) {
	checkProperty(t, "R6", profile{frequent: []operationKind{
		crossAnswers, truncateAnswers, duplicateAnswers, resubmit, cutEntryVMs, restartServer,
	}})
}

// Guards against starts on a backend server that is leaving. The time limit of R9 applies to entry VMs that can read
// the VM list, so messages aren't lost and entry VMs aren't paused here.
func TestPropertyR9LeavingServers(t *testing.T) {
	checkProperty(t, "R9", profile{
		frequent: []operationKind{
			markServerLeaving, markServerLeaving, markServerLeaving, submitBurst, restartServer, cutServer,
		},
		excluded:        []operationKind{pauseEntryVM},
		reliableNetwork: true,
	})
}

// Guards against planned stops that take too long, leave requests without a reply or lose jobs.
func TestPropertyR10Drain(t *testing.T) {
	checkProperty(t, "R10", profile{frequent: []operationKind{
		drainEntryVM, drainEntryVM, drainEntryVM, submitBurst, resubmit,
	}, reliableNetwork: true})
}

// Guards against calls that are never answered and accepted jobs that never end, once the faults have stopped.
func TestPropertyLiveness(t *testing.T) {
	checkProperty(t, "liveness", profile{frequent: []operationKind{
		killEntryVM, drainEntryVM, cancelMany, tableOutage, resubmit, cutServer,
	}})
}

// Guards against the return of faults that random plans found. Each of these plans violated a requirement for the given
// reason.
func TestPlansThatViolatedARequirement(t *testing.T) {
	r4 := []operationKind{changeLimits, submitBurst, killEntryVM, pauseEntryVM, cutZones, restartServer, drainEntryVM}
	r8 := []operationKind{resubmit, restartServer, killEntryVM, tableOutage, cutServer, crossAnswers}
	r5 := []operationKind{takeZoneOut, takeZoneOut, returnZone, cutServer, cutEntryVMs, pauseEntryVM, tableOutage}
	for _, c := range []struct {
		reason   string
		frequent []operationKind
		seed     int
	}{
		{"the outcome of a slice change remains unknown", r4, 141},
		{"a cancelled job stays in the queue", r8, 128},
		{"an entry VM keeps slots for queued work that it can't start", r5, 166},
		{
			"the answer to a Close comes from another server process than it was sent to",
			[]operationKind{moveVM, moveVM, takeVMOut, returnVM, changeLimits, restartServer, submitBurst},
			153,
		},
		{"work is queued again during a planned stop", []operationKind{
			drainEntryVM, drainEntryVM, killEntryVM, restartServer,
		}, 128},
		{"an attempt is counted as ended while its work item still observes it", []operationKind{
			drainEntryVM, drainEntryVM, killEntryVM, restartServer,
		}, 147},
	} {
		t.Run(c.reason, func(t *testing.T) {
			t.Parallel()
			f := profile{frequent: c.frequent}
			g := rapid.Custom(func(t *rapid.T) plan { return drawPlan(t, f) })
			r := runPlan(g.Example(c.seed), mutation{})
			assert.Equal(t, len(r.violations), 0, "%v\n%s", r.violations, strings.Join(r.trace, "\n"))
		})
	}
}
