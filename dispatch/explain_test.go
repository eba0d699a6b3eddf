package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/explanation"
	"github.com/pistachiolead/pistachiolead/provider"
)

// explainAt returns the explanation of a request at an entry VM.
func (sm *simulation) explainAt(vm *entryVM, q dispatch.Request) dispatch.Explanation {
	var e dispatch.Explanation
	sm.handle(vm, dispatch.NewExplanationQueried(sm.newTicket(func(o dispatch.Outcome) { e = o.(dispatch.Explanation) }), q))
	return e
}

// outcomeOf returns the decision that the effects of a submission show.
func outcomeOf(effects []dispatch.Effect, q dispatch.Request, ticket uint64) (d dispatch.Decision, peer, code string) {
	d = dispatch.DecisionQueue
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Reply:
			if n, ok := f.Outcome().(dispatch.NotRun); ok && f.Ticket() == ticket {
				return dispatch.DecisionRefuse, "", n.Code()
			}
		case dispatch.Forward:
			if f.Request().ID() == q.ID() {
				return dispatch.DecisionForward, f.Peer(), ""
			}
		case dispatch.Run:
			if f.Task().ID() == q.ID() {
				d = dispatch.DecisionStart
			}
		}
	}
	return d, "", ""
}

// Guards against an explanation that differs from what the same submission meets at the same time, over drawn loads,
// limits, take-outs and deadlines, and against one that changes what happens.
func TestExplanationsAgreeWithSubmissions(t *testing.T) {
	seen := make(map[dispatch.Decision]int)
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(r, "seed")
		// Rapid prefers small numbers. A random generator with a drawn seed spreads the requests evenly.
		random := rand.New(rand.NewPCG(seed, 0))
		sm := newSimulation(plan{seed: seed, entryVMs: 2 + 2*random.IntN(2), meanInterval: time.Hour}, mutation{})
		sm.pollPeriodically()
		sm.runUntil(sm.now().Add(warmUpDuration))
		vm := sm.pickEntryVM(0)
		sm.requestChange(vm, dispatch.NewCatalogueChange(
			testCatalogue(4+random.IntN(20), 4+random.IntN(20), true), vm.state.Configuration().Version()), "operator")
		if random.IntN(4) == 0 {
			sm.requestChange(vm, dispatch.NewZoneChange("a", true, true), "operator")
		}
		sm.runUntil(sm.now().Add(2 * time.Second))
		for i := range 60 {
			sm.runUntil(sm.now().Add(time.Duration(random.IntN(300)) * time.Millisecond))
			vm := sm.pickEntryVM(random.IntN(60))
			team := []string{"red", "blue"}[random.IntN(2)]
			entry := []string{"proofs", "proofs", "proofs", "batch", "batch", "missing"}[random.IntN(6)]
			deadline := sm.now().Add(time.Duration(random.IntN(20)-1) * time.Second)
			q := dispatch.NewRequest(fmt.Sprint("call-", i), dispatch.KindCall, entry, team, sm.checker.keys[team][0],
				[]byte(`{"run-ms": 3000}`), deadline, 0, false)

			sm.handle(vm, dispatch.Tick{}) // what is due anyway is done before
			e := sm.explainAt(vm, q)
			again := sm.explainAt(vm, q)
			assert.DeepEqual(r, fmt.Sprintf("%+v", e), fmt.Sprintf("%+v", again))
			queued, ticket := vm.state.Queue.Len(), sm.newTicket(func(dispatch.Outcome) {})
			effects := slices.Clone(vm.state.Handle(dispatch.NewSubmitted(ticket, q), sm.now()))
			sm.carryOut(vm, effects)

			decision, peer, code := outcomeOf(effects, q, ticket)
			if decision == dispatch.DecisionQueue && vm.state.Queue.Len() == queued {
				decision = dispatch.DecisionAwaitOwner
			}
			if decision == dispatch.DecisionStart && e.Position().Ahead() > 0 {
				decision = e.Decision() // those ahead of it couldn't start
			}
			assert.Equal(r, e.Decision(), decision, "%+v", e)
			assert.Equal(r, e.Peer(), peer)
			assert.Equal(r, e.Refusal().Code(), code)
			checkExplanation(r, sm, e)
			seen[decision]++
		}
	})
	for _, d := range []dispatch.Decision{
		dispatch.DecisionStart, dispatch.DecisionQueue, dispatch.DecisionForward, dispatch.DecisionRefuse,
	} {
		assert.Check(t, seen[d] > 0, "%s never occurred: %v", d, seen)
	}
}

// checkExplanation checks that every listed backend server is in one group, and that a start is expected if and only if
// the decision allows one.
func checkExplanation(r *rapid.T, sm *simulation, e dispatch.Explanation) {
	if e.Pool() == "" {
		assert.Equal(r, e.Refusal().Code(), dispatch.CodeUnknownEntry)
		return
	}
	listed := sm.platform.VMs.List(r.Context()).(provider.VMs)
	var servers []string
	for _, g := range e.Servers() {
		servers = append(servers, g.Servers()...)
	}
	for _, v := range listed.VMs() {
		assert.Equal(r, slices.Contains(servers, v.ID()), v.Role() == provider.RoleBackendServer, v.ID())
	}
	assert.Equal(r, e.Decision() == dispatch.DecisionStart, e.Start().Confidence() == explanation.ConfidenceHigh)
	if e.Decision() == dispatch.DecisionStart {
		assert.Assert(r, e.Servers()[0].MayStart())
	}
}
