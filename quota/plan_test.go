package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/quota"
)

var start = time.Unix(1000, 0)

// onlyChange returns the change of a plan that must have exactly one.
func onlyChange(t *testing.T, l *quota.Ledger, backlog int, now time.Time) quota.Change {
	t.Helper()
	changes := l.Plan(map[string]int{team: backlog}, now)
	assert.Equal(t, len(changes), 1)
	return changes[0]
}

// Guards against the late outcome of a superseded change clearing the pending one. A holder then started tasks in slots
// that it was returning.
func TestLateOutcomeDoesNotClearPendingChange(t *testing.T) {
	l := quota.Ledger{Holder: "a"}
	l.SetLimit(team, 10)
	first := onlyChange(t, &l, 2, start)
	l.SetSlices(team, quota.Slices{}.WithSlots("a", 8), 5) // a newer row is read before the reply to first
	assert.Equal(t, len(l.Plan(nil, start)), 0)
	second := onlyChange(t, &l, 0, start.Add(3*time.Second))
	assert.Equal(t, second.Slices().SlotsOf("a"), 1)

	l.ChangeFailed(first)
	l.ChangeApplied(first, 6)
	assert.Equal(t, l.AllowedStarts(team), 1)
	l.ChangeFailed(second)
	assert.Equal(t, l.AllowedStarts(team), 8)
}

// Guards against holders that keep slots they don't need, and against the return of slots that are in use.
func TestUnusedSlotsAreReturned(t *testing.T) {
	for _, c := range []struct {
		name                        string
		limit, running, idleSeconds int
		backlog                     int
		othersShort                 bool
		wantSlots                   int
	}{
		{"unused for less than 3 s", 40, 8, 2, 0, false, 20},
		{"unused for 3 s, a quarter of the running tasks is kept", 40, 8, 3, 0, false, 10},
		{"at least one slot is kept", 40, 0, 3, 0, false, 1},
		{"slots for waiting requests are kept", 40, 8, 3, 6, false, 16},
		{"other holders are short", 40, 8, 0, 0, true, 8},
		{"limit lowered", 12, 8, 0, 0, false, 12},
		{"limit lowered below the running tasks", 5, 8, 0, 9, false, 8},
	} {
		l := quota.Ledger{Holder: "a", OthersShort: func(string) bool { return c.othersShort }}
		l.SetLimit(team, 40)
		l.SetSlices(team, quota.Slices{}.WithSlots("a", 20), 1)
		for range c.running {
			assert.Assert(t, l.TryStart(team), c.name)
		}
		l.SetLimit(team, c.limit)
		slices := quota.Slices{}.WithSlots("a", 20)
		for s := range c.idleSeconds + 1 {
			for _, p := range l.Plan(map[string]int{team: c.backlog}, start.Add(time.Duration(s)*time.Second)) {
				slices = p.Slices()
				l.ChangeFailed(p)
			}
		}
		assert.Equal(t, slices.SlotsOf("a"), c.wantSlots, c.name)
		assert.Equal(t, l.AllowedStarts(team), max(min(20, c.limit)-c.running, 0), c.name)
	}
}

// Guards against the first holder to request slots keeping all of them while others are short of slots. During a burst
// this left 21% of the slots unused in the simulation of BenchmarkPolicyStranded.
func TestShortHoldersDivideLimitByDemand(t *testing.T) {
	for _, c := range []struct {
		name                   string
		running, demand        int // of this holder
		others                 int // demand of each of the two other holders
		wantSlots, wantAllowed int
	}{
		{"all holders short", 20, 40, 40, 20, 0},
		{"all holders short, some tasks ended", 4, 40, 40, 10, 6},
		{"others need less than an even share", 4, 40, 5, 20, 16},
		{"enough slots for all", 4, 12, 6, 14, 16},
		{"many more slots than this holder needs", 4, 4, 9, 6, 16},
	} {
		l := quota.Ledger{Holder: "a", OthersShort: func(string) bool { return true }}
		l.Demand = func(string) map[string]int { return map[string]int{"b": c.others, "c": c.others} }
		l.SetLimit(team, 30)
		l.SetSlices(team, quota.Slices{}.WithSlots("a", 20), 1)
		for range c.running {
			assert.Assert(t, l.TryStart(team), c.name)
		}
		got := 20
		for _, p := range l.Plan(map[string]int{team: c.demand - c.running}, start) {
			got = p.Slices().SlotsOf("a")
			l.ChangeFailed(p)
		}
		assert.Equal(t, got, c.wantSlots, c.name)
		assert.Equal(t, l.AllowedStarts(team), c.wantAllowed, c.name)
	}
}

// Guards against slots or moves that are lost when rows are encoded and decoded, and against invalid rows that are
// accepted.
func TestSlicesRoundTripAndRejectInvalidRows(t *testing.T) {
	s := quota.Slices{}.WithSlots("a", 3).WithSlots("b", 4).Move("a", "b", 2).Move("b", "c", 9)
	got, err := quota.DecodeSlices(s.Encode())
	assert.NilError(t, err)
	assert.Assert(t, got.Equal(s))
	assert.Equal(t, string(s.Encode()), `{"slots":{"a":1,"c":6},"moved":{"a":{"b":2},"b":{"c":6}}}`)
	assert.Equal(t, s.WithoutHolder("a").TotalSlots(), 6)
	for _, bad := range []string{"{", `{"slots":{"a":-1}}`, `{"slots":["a"]}`} {
		_, err := quota.DecodeSlices([]byte(bad))
		assert.ErrorContains(t, err, "decode slices")
	}
}

// Guards against planned and unplanned absences that exceed a pool's budget together, and against an operator
// overwriting the absence recorded by another.
func TestBudgetLimitsPlannedAndUnplannedAbsences(t *testing.T) {
	b := quota.Budget{}
	for _, c := range []struct {
		vm        string
		unplanned int
		want      quota.TakeOutOutcome
	}{
		{"vm-2", 2, quota.OverBudget{}},
		{"vm-2", 1, quota.TakenOut{}},
		{"vm-2", 0, quota.AlreadyOut{}},
		{"vm-1", 1, quota.OverBudget{}},
		{"vm-1", 0, quota.TakenOut{}},
		{"vm-3", 0, quota.OverBudget{}},
	} {
		next, outcome := b.TakeOut(c.vm, "ana", c.unplanned, 2, start)
		var err error
		b, err = quota.DecodeBudget(next.Encode())
		assert.NilError(t, err)
		switch o := outcome.(type) {
		case quota.OverBudget:
			assert.Assert(t, o.Planned()+o.Unplanned()+1 > o.Limit())
		case quota.AlreadyOut:
			assert.Equal(t, o.Absence().Author(), "ana")
			assert.Assert(t, o.Absence().Since().Equal(start))
		}
		assert.Equal(t, outcomeName(outcome), outcomeName(c.want), c.vm)
	}
	b, _ = b.ForceTakeOut("vm-3", "ben", start)
	b = b.EndAbsence("vm-2").EndAbsence("vm-9")
	assert.Equal(t, len(b.Absences()), 2)
	assert.Equal(t, b.Absences()[1].VM(), "vm-3")
}

func outcomeName(o quota.TakeOutOutcome) string {
	switch o.(type) {
	case quota.TakenOut:
		return "taken out"
	case quota.AlreadyOut:
		return "already out"
	default:
		return "over budget"
	}
}
