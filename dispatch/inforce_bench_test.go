package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// benchmarkedChange is a configuration change. Build returns it for the current configuration; applied reports whether
// a configuration contains it.
type benchmarkedChange struct {
	name    string
	build   func(*simulation, *catalogue.Configuration) dispatch.Change
	applied func(*simulation, *catalogue.Configuration) bool
}

var benchmarkedChanges = []benchmarkedChange{
	{
		"revocation",
		func(sm *simulation, _ *catalogue.Configuration) dispatch.Change {
			return dispatch.NewKeyRevocation(sm.checker.keys["red"][1])
		},
		func(sm *simulation, c *catalogue.Configuration) bool {
			k, ok := c.Key(sm.checker.keys["red"][1])
			return ok && k.Revoked()
		},
	},
	{
		"zone-out",
		func(*simulation, *catalogue.Configuration) dispatch.Change {
			return dispatch.NewZoneChange(cutZone, true, true)
		},
		func(_ *simulation, c *catalogue.Configuration) bool { return c.Zone(cutZone).OutOfService() },
	},
	{
		"catalogue",
		func(_ *simulation, c *catalogue.Configuration) dispatch.Change {
			return dispatch.NewCatalogueChange(testCatalogue(13, 13, true), c.Version())
		},
		func(_ *simulation, c *catalogue.Configuration) bool {
			t, ok := c.Catalogue().Team("red")
			return ok && t.Limit() == 13
		},
	},
}

// changeTimes are times since an operator requested a change, 0 if the event didn't happen.
type changeTimes struct {
	reportedInForce  time.Duration // the first reply that the change is in force
	applied          time.Duration // every entry VM has applied the change
	lastFreshWithout time.Duration // an entry VM last had a fresh configuration without the change
}

// measureChange requests a change from an entry VM of the zone that stays connected, 1 s after the start of a 30 s
// disturbance. Each seed shifts the disturbance by another 137 ms relative to the periodic reads and heartbeats.
func measureChange(seed uint64, c benchmarkedChange, scope string, configure func(*entryVM)) (changeTimes, *checker) {
	sm, l := newLoadedSimulation(seed, steadyLoad, configure)
	sm.runUntil(sm.now().Add(time.Duration(seed) * 137 * time.Millisecond))
	if scope != "connected" {
		sm.disturb(scope, 30*time.Second)
	}
	sm.runUntil(sm.now().Add(time.Second))
	var times changeTimes
	requestedAt, vm, version := sm.now(), sm.entryVMs["entry-a-1"], uint64(0)
	outcomeReceived := func(o dispatch.Outcome) {
		if d, ok := o.(dispatch.ChangeStatus); ok && d.InForce() && times.reportedInForce == 0 {
			sm.checker.reportedInForce(d.Version())
			times.reportedInForce = sm.now().Sub(requestedAt)
		}
	}
	var request func()
	request = func() {
		sm.post(vm, dispatch.NewChangeRequested(sm.newTicket(func(o dispatch.Outcome) {
			if _, rejected := o.(dispatch.Rejected); rejected {
				sm.after(time.Second, request)
			}
			outcomeReceived(o)
		}), c.build(sm, vm.state.Configuration()), forcedAuthor))
	}
	request()
	for i := 0; i < 6000 && times.reportedInForce*times.applied == 0; i++ {
		sm.runUntil(sm.now().Add(10 * time.Millisecond))
		if version == 0 && c.applied(sm, sm.checker.committed) {
			version = sm.checker.committed.Version()
		}
		if version != 0 && i%10 == 0 {
			sm.post(vm, dispatch.NewChangeQueried(sm.newTicket(outcomeReceived), version))
		}
		missing := false
		for _, other := range sm.running() {
			has := c.applied(sm, other.state.Configuration())
			missing = missing || !has
			if !has && other.state.Fresh(sm.now()) {
				times.lastFreshWithout = sm.now().Sub(requestedAt)
			}
		}
		if !missing && times.applied == 0 {
			times.applied = sm.now().Sub(requestedAt)
		}
	}
	l.stopAndSettle()
	return times, sm.checker
}

// BenchmarkPolicyInForce measures how long after an operator's request a change is reported as in force, and how long
// any entry VM, and any entry VM that may start work, hasn't applied it. R27 limits how long work may start without the
// change, which is the last of the three.
func BenchmarkPolicyInForce(b *testing.B) {
	for _, freshness := range []time.Duration{9 * time.Second, 3 * time.Second} {
		for _, c := range benchmarkedChanges {
			for _, scope := range []string{"connected", "all", "table"} {
				name := fmt.Sprintf("%s/%s", c.name, scope)
				if freshness != 9*time.Second {
					name += "/freshness-3s"
				}
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						var worst changeTimes
						for seed := uint64(1); seed <= 10; seed++ {
							t, checked := measureChange(seed, c, scope, func(vm *entryVM) {
								vm.state.FreshnessLease.Duration, vm.state.Propagation.LeaseDuration = freshness, freshness
							})
							worst.reportedInForce = max(worst.reportedInForce, t.reportedInForce)
							worst.applied = max(worst.applied, t.applied)
							worst.lastFreshWithout = max(worst.lastFreshWithout, t.lastFreshWithout)
							for _, requirement := range []string{"R3", "R5", "R7", "R8", "R11"} {
								if v, ok := checked.violations[requirement]; ok {
									b.Errorf("seed %d: %s", seed, v)
								}
							}
							if t.reportedInForce == 0 || t.applied == 0 {
								b.Errorf("seed %d: the change was not reported as in force, or not applied by every entry VM: %+v",
									seed, t)
							}
						}
						b.ReportMetric(worst.reportedInForce.Seconds(), "in-force-s")
						b.ReportMetric(worst.applied.Seconds(), "applied-s")
						b.ReportMetric(worst.lastFreshWithout.Seconds(), "fresh-without-s")
						b.ReportMetric(inForceBound.Seconds(), "bound-s")
					}
				})
			}
		}
	}
}

// takeoverLoad keeps about half of the slots of the pool side and most of those of the pool main in use, so that a
// backend server starts work soon after its takeover.
var takeoverLoad = []requestPattern{
	{"proofs", dispatch.KindCall, 1, 400 * time.Millisecond},
	{"seats", dispatch.KindCall, 3, 300 * time.Millisecond},
	{"plates", dispatch.KindJob, 10, 500 * time.Millisecond},
	{"batch", dispatch.KindJob, 10, 500 * time.Millisecond},
}

// measureTakeover stops an entry VM by a planned stop or kills it. For each of its backend servers it returns the time
// until the server starts work for another entry VM. It also returns the number of requests to the zone in the 20 s
// after the stop that were refused, and of those whose outcome is unknown.
func measureTakeover(b *testing.B, seed uint64, planned bool) (times []time.Duration, refused, unknown float64) {
	b.Helper()
	sm, l := newLoadedSimulation(seed, takeoverLoad, defaultSettings)
	sm.runUntil(sm.now().Add(3*time.Second + time.Duration(seed)*137*time.Millisecond))
	vm := sm.entryVMs[fmt.Sprintf("entry-%s-%d", cutZone, 1+seed%2)]
	if len(vm.state.Ownership.Owned()) == 0 {
		vm = sm.entryVMs[fmt.Sprintf("entry-%s-%d", cutZone, 2-seed%2)]
	}
	owned, stopped := slices.Clone(vm.state.Ownership.Owned()), sm.now()
	if planned {
		sm.drain(vm)
	} else {
		sm.kill(vm)
		sm.platform.VMs.Remove(vm.id)
	}
	sm.runUntil(stopped.Add(20 * time.Second))
	for _, server := range owned {
		i := slices.IndexFunc(sm.checker.starts, func(s taskStart) bool {
			return s.server == server && s.entryVM != vm.id && s.startedAt.After(stopped)
		})
		if i < 0 {
			b.Errorf("seed %d: %s started no task of another entry VM within 20 s after the stop of %s", seed, server, vm.id)
			continue
		}
		times = append(times, sm.checker.starts[i].startedAt.Sub(stopped))
	}
	l.stopAndSettle()
	counts := sm.checker.countOutcomes(cutZone, stopped, stopped.Add(20*time.Second))
	for _, requirement := range []string{"R4", "R6", "R7", "R8", "R10", "liveness"} {
		if v, ok := sm.checker.violations[requirement]; ok {
			b.Errorf("seed %d: %s", seed, v)
		}
	}
	return times, counts.refused, counts.unknown
}

// BenchmarkPolicyTakeover measures how long after an entry VM was killed, or began a planned stop, each of its backend
// servers starts work for another entry VM. The bounds of design.md, 5.2, are 5 s on average and 7 s at most.
func BenchmarkPolicyTakeover(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(map[bool]string{false: "kill", true: "planned"}[planned], func(b *testing.B) {
			for b.Loop() {
				var all []time.Duration
				var refused, unknown, sum float64
				for seed := uint64(1); seed <= 40; seed++ {
					times, f, u := measureTakeover(b, seed, planned)
					all, refused, unknown = append(all, times...), refused+f, unknown+u
				}
				for _, t := range all {
					sum += t.Seconds()
				}
				b.ReportMetric(sum/float64(len(all)), "mean-s")
				b.ReportMetric(slices.Max(all).Seconds(), "worst-s")
				b.ReportMetric(float64(len(all)), "servers")
				b.ReportMetric(refused, "refused")
				b.ReportMetric(unknown, "unknown")
			}
		})
	}
}

// BenchmarkPolicyWrites measures the rows and transactions that one entry VM commits per request, at the size of R18
// and R21. In each 20 s the load rises to 5 times its base for 3 s, and then falls to a twentieth of it for 5 s (R20).
// Transactions are counted before the group commit joins them. The variant "background" has no load.
func BenchmarkPolicyWrites(b *testing.B) {
	size := fleetSize{servers: 50, pools: 5, teams: 6, entryVMs: 8}
	for _, v := range []struct {
		name        string
		idempotent  bool
		calls, jobs int
	}{
		{"background", true, 0, 0},
		{"idempotent-call", true, 20, 0},
		{"claimed-call", false, 20, 0},
		{"job", true, 0, 5},
	} {
		b.Run(v.name, func(b *testing.B) {
			for b.Loop() {
				h := newControlHarness(size)
				if !v.idempotent {
					h.makeCallsNonIdempotent()
				}
				h.reset()
				const seconds = 120
				requests := 0
				for i := range seconds + 15 {
					calls, jobs := v.calls, v.jobs
					switch {
					case i >= seconds:
						calls, jobs = 0, 0
					case i%20 < 3:
						calls, jobs = 5*calls, 5*jobs
					case i%20 < 8:
						calls, jobs = (calls+19)/20, (jobs+19)/20
					}
					requests += calls + jobs
					h.runSecond(calls, jobs)
				}
				if requests == 0 {
					b.ReportMetric(h.counts["row"]/(seconds+15), "rows/s")
					b.ReportMetric(h.counts["commit"]/(seconds+15), "transactions/s")
					continue
				}
				b.ReportMetric(h.counts["row"]/float64(requests), "rows/request")
				b.ReportMetric(h.counts["commit"]/float64(requests), "transactions/request")
				b.ReportMetric(h.counts["refused"], "refused")
				b.ReportMetric(float64(requests), "requests")
			}
		})
	}
}

// makeCallsNonIdempotent changes all entries of the catalogue to non-idempotent ones, so that calls need claims.
func (h *controlHarness) makeCallsNonIdempotent() {
	config := h.state.Configuration()
	var entries []catalogue.Entry
	for _, e := range config.Catalogue().Entries() {
		entries = append(entries, e.WithIdempotent(false))
	}
	next, err := catalogue.New(entries, config.Catalogue().Teams(), config.Catalogue().Pools())
	if err != nil {
		panic(err)
	}
	h.handle(dispatch.NewChangeRequested(1<<40, dispatch.NewCatalogueChange(next, config.Version()), "operator"))
	h.runSecond(0, 0)
	if e, _ := h.state.Configuration().Catalogue().Entry("call-team-00"); e.Idempotent() {
		panic("the catalogue change was not applied")
	}
}

// Guards against an entry VM in a planned stop that refuses calls. The load balancer still sends it calls until it
// detects the stop; they have to be forwarded.
func TestStoppingEntryVMForwardsCalls(t *testing.T) {
	sm := newQuietSimulation()
	vm := sm.entryVMs["entry-b-1"]
	sm.drain(vm)
	for i := range 4 {
		for _, entry := range []string{"proofs", "seats"} {
			sm.submitAsRed(vm.id, fmt.Sprintf("%s-%d", entry, i), dispatch.KindCall, entry, `{"run-ms": 100}`, 5*time.Second)
		}
		sm.runUntil(sm.now().Add(loadInterval))
	}
	sm.assertNoViolations(t)
	for _, s := range sm.checker.submissions {
		_, ok := s.outcome.(dispatch.Answered)
		assert.Assert(t, ok, "%s was not answered: %T %+v", s.request.ID(), s.outcome, s.outcome)
	}
	assert.Assert(t, !vm.drainedAt.IsZero(), "%s never completed its planned stop", vm.id)
}
