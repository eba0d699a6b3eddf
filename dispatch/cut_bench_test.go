package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/dispatch"
)

const (
	// loadInterval is the time between two steps of a requestLoad.
	loadInterval = 100 * time.Millisecond
	// balancerDelay is how long the load balancer still sends requests to an entry VM after the start of its planned
	// stop.
	balancerDelay = 500 * time.Millisecond
	// cutZone is the availability zone whose entry VMs are cut off.
	cutZone = "b"
	// recoveryWindow is the length of the windows after a cut whose work is compared with the work before it.
	recoveryWindow = 5 * time.Second
	// recoveryShare is the share of the work before a cut at which an availability zone counts as recovered.
	recoveryShare = 0.95
	// observationAfterCut is how long a run goes on after a cut.
	observationAfterCut = 40 * time.Second
)

// policySeeds are the seeds of the benchmarks of network cuts.
var policySeeds = []uint64{1, 2, 3}

// requestPattern is a part of a load: requests of an entry that are submitted every everySteps steps to each
// availability zone.
type requestPattern struct {
	entry      string
	kind       dispatch.Kind
	everySteps int
	runTime    time.Duration
}

// steadyLoad keeps about half of the slots of both pools in use.
var steadyLoad = []requestPattern{
	{"proofs", dispatch.KindCall, 1, 100 * time.Millisecond},
	{"seats", dispatch.KindCall, 3, 100 * time.Millisecond},
	{"plates", dispatch.KindJob, 5, 500 * time.Millisecond},
	{"batch", dispatch.KindJob, 10, 500 * time.Millisecond},
}

// requestLoad submits requests of two teams to the entry VMs of each availability zone at fixed times.
type requestLoad struct {
	sim      *simulation
	patterns []requestPattern
	step     int
	stopped  bool
}

// newLoadedSimulation returns a simulation that has warmed up and is under load. Configure is called for each entry VM
// right after its start.
func newLoadedSimulation(seed uint64, patterns []requestPattern, configure func(*entryVM)) (*simulation, *requestLoad) {
	sm := newSimulation(plan{seed: seed, entryVMs: 4, meanInterval: time.Hour}, mutation{})
	for _, vm := range sm.running() {
		configure(vm)
	}
	sm.pollPeriodically()
	sm.runUntil(sm.now().Add(warmUpDuration))
	vm := sm.entryVMs["entry-a-1"]
	change := dispatch.NewCatalogueChange(testCatalogue(14, 14, true), vm.state.Configuration().Version())
	sm.requestChange(vm, change, "operator")
	sm.runUntil(sm.now().Add(2 * time.Second))
	l := &requestLoad{sim: sm, patterns: patterns}
	l.submit()
	sm.runUntil(sm.now().Add(5 * time.Second))
	return sm, l
}

// submit submits the requests of a step and schedules the next step.
func (l *requestLoad) submit() {
	if l.stopped {
		return
	}
	sm := l.sim
	for _, zone := range []string{"a", cutZone} {
		for _, p := range l.patterns {
			vm := l.nextEntryVM(zone)
			if vm == nil || l.step%p.everySteps != 0 {
				continue
			}
			team := []string{"red", "blue"}[l.step/p.everySteps%2]
			deadline := time.Time{}
			if p.kind == dispatch.KindCall {
				deadline = sm.now().Add(5 * time.Second)
			}
			sm.submitAt(vm, dispatch.NewRequest(
				fmt.Sprintf("%s-%s-%d", p.entry, zone, l.step), p.kind, p.entry, team, sm.checker.keys[team][0],
				fmt.Appendf(nil, `{"run-ms": %d}`, p.runTime.Milliseconds()), deadline, 0, true))
		}
	}
	l.step++
	sm.after(loadInterval, l.submit)
}

// nextEntryVM returns the entry VM of a zone to which the load balancer sends the requests of this step, nil if there
// is none. The load balancer uses the entry VMs in turn.
func (l *requestLoad) nextEntryVM(zone string) *entryVM {
	var entryVMs []*entryVM
	for _, vm := range l.sim.running() {
		if vm.zone == zone && (vm.drainStartedAt.IsZero() || l.sim.now().Sub(vm.drainStartedAt) < balancerDelay) {
			entryVMs = append(entryVMs, vm)
		}
	}
	if len(entryVMs) == 0 {
		return nil
	}
	return entryVMs[l.step%len(entryVMs)]
}

// stopAndSettle ends the load, runs until all requests have ended, at most settleTimeout, and checks the end of the
// run.
func (l *requestLoad) stopAndSettle() {
	l.stopped = true
	l.sim.faultsStopped = true
	for end := l.sim.now().Add(settleTimeout); l.sim.now().Before(end) && !l.sim.checker.isSettled(); {
		l.sim.runUntil(l.sim.now().Add(time.Second))
	}
	l.sim.checker.checkEnd()
}

// tasksEnded returns the number of tasks of an entry that end in a zone in the given time. An empty entry counts the
// tasks of all. No backend server stops or restarts in these runs, so a task ends when its run time has passed.
func (l *requestLoad) tasksEnded(zone, entry string, from, to time.Time) float64 {
	n := 0.0
	for _, s := range l.sim.checker.starts {
		i := slices.IndexFunc(l.patterns, func(p requestPattern) bool { return p.entry == s.task.Entry() })
		end := s.startedAt.Add(l.patterns[i].runTime)
		if zoneOf(s.server) == zone && (entry == "" || entry == s.task.Entry()) && !end.Before(from) && end.Before(to) {
			n++
		}
	}
	return n
}

// disturb starts a disturbance. The scopes "slow-table" and "table" make the table slow or unreachable for all entry
// VMs. The scope "platform" cuts the entry VMs of cutZone off from the platform, "all" also from those of the other
// zone.
func (sm *simulation) disturb(scope string, d time.Duration) {
	for _, vm := range sm.running() {
		switch {
		case scope == "slow-table":
			sm.slowTableUntil = sm.now().Add(d)
		case scope == "table":
			sm.cutLink(vm.id, tableEndpoint, d)
		case vm.zone != cutZone:
		default:
			for _, to := range []string{tableEndpoint, objectStoreEndpoint, vmListEndpoint} {
				sm.cutLink(vm.id, to, d)
			}
			for _, other := range sm.running() {
				if scope == "all" && other.zone != cutZone {
					sm.cutLink(vm.id, other.id, d)
				}
			}
		}
	}
}

// outcomeCounts counts requests by outcome. Lost requests have no outcome, ranTwice counts non-idempotent requests with
// more than one start, and retried idempotent ones.
type outcomeCounts struct{ refused, unknown, lost, ranTwice, retried float64 }

// countOutcomes counts the refused requests, and those with an unknown outcome, that were submitted to a zone in the
// given time. The other counts are for all requests of the run.
func (c *checker) countOutcomes(zone string, from, to time.Time) outcomeCounts {
	var counts outcomeCounts
	for _, s := range c.submissions {
		id := s.request.ID()
		if n := c.sim.platform.Counters.Starts(id); n > 1 && !s.idempotent {
			counts.ranTwice++
		} else if n > 1 {
			counts.retried++
		}
		o := s.outcome
		if _, ok := o.(dispatch.Accepted); ok {
			o = c.jobOutcome(id)
		}
		if o == nil && !s.disconnected {
			counts.lost++
		}
		if zoneOf(s.entryVM) != zone || s.submittedAt.Before(from) || !s.submittedAt.Before(to) {
			continue
		}
		switch o.(type) {
		case dispatch.NotRun:
			counts.refused++
		case dispatch.OutcomeUnknown:
			counts.unknown++
		}
	}
	return counts
}

// recovery returns how long after the end of a cut the zone has recovered, and how long it still refuses requests. Rate
// is the number of tasks per second that ended before the cut.
func (l *requestLoad) recovery(end time.Time, rate float64) (recovered, refusing time.Duration) {
	recovered = observationAfterCut
	for d := time.Duration(0); d < observationAfterCut-recoveryWindow; d += loadInterval {
		from := end.Add(d)
		if l.tasksEnded(cutZone, "", from, from.Add(recoveryWindow)) >= recoveryShare*rate*recoveryWindow.Seconds() {
			recovered = d
			break
		}
	}
	for _, s := range l.sim.checker.submissions {
		_, refused := s.outcome.(dispatch.NotRun)
		if refused && zoneOf(s.entryVM) == cutZone && !s.submittedAt.Before(end) {
			refusing = max(refusing, s.submittedAt.Sub(end))
		}
	}
	return recovered, refusing
}

// benchmarkCut reports the work during a disturbance, the time until recovery and the outcomes, over all policySeeds.
func benchmarkCut(b *testing.B, length time.Duration, scope string, configure func(*entryVM)) {
	b.Helper()
	for b.Loop() {
		var before, during [5]float64
		var counts outcomeCounts
		var recovered, refusing time.Duration
		for _, seed := range policySeeds {
			sm, l := newLoadedSimulation(seed, steadyLoad, configure)
			begin := sm.now()
			sm.runUntil(begin.Add(length))
			cut := sm.now()
			sm.disturb(scope, length)
			end := cut.Add(length)
			sm.runUntil(end.Add(observationAfterCut))
			l.stopAndSettle()
			for i, entry := range []string{"", "proofs", "seats", "plates", "batch"} {
				before[i] += l.tasksEnded(cutZone, entry, begin, cut)
				during[i] += l.tasksEnded(cutZone, entry, cut, end)
			}
			recoveredAfter, refusingFor := l.recovery(end, l.tasksEnded(cutZone, "", begin, cut)/length.Seconds())
			recovered, refusing = max(recovered, recoveredAfter), max(refusing, refusingFor)
			seedCounts := sm.checker.countOutcomes(cutZone, cut, end)
			counts.refused += seedCounts.refused
			counts.unknown += seedCounts.unknown
			counts.lost += seedCounts.lost
			counts.ranTwice += seedCounts.ranTwice
			counts.retried += seedCounts.retried
			for _, requirement := range []string{"R3", "R4", "R5", "R6", "R7", "R8", "R11", "liveness"} {
				if v, ok := sm.checker.violations[requirement]; ok {
					b.Errorf("seed %d: %s", seed, v)
				}
			}
		}
		if counts.lost > 0 || counts.ranTwice > 0 {
			b.Errorf("%v requests were lost and %v non-idempotent ones ran twice, allowed are 0", counts.lost, counts.ranTwice)
		}
		for i, unit := range []string{
			"work-%", "idempotent-calls-%", "claimed-calls-%", "claimed-jobs-%", "idempotent-jobs-%",
		} {
			b.ReportMetric(100*during[i]/before[i], unit)
		}
		b.ReportMetric(recovered.Seconds(), "recovery-s")
		b.ReportMetric(refusing.Seconds(), "refusing-s")
		b.ReportMetric(counts.refused, "refused")
		b.ReportMetric(counts.unknown, "unknown")
		b.ReportMetric(counts.lost, "lost")
		b.ReportMetric(counts.ranTwice, "ran-twice")
		b.ReportMetric(counts.retried, "retried")
	}
}

// defaultSettings leaves the settings of an entry VM as they are.
func defaultSettings(*entryVM) {}

// BenchmarkPolicyCut measures the work of an availability zone while it is cut off from the platform and the other zone
// or from the platform alone, and while the table is unreachable or slow for all entry VMs. The work is relative to
// that in the same time before.
func BenchmarkPolicyCut(b *testing.B) {
	for _, seconds := range []int{5, 30, 300} {
		for _, scope := range []string{"all", "platform", "table", "slow-table"} {
			b.Run(fmt.Sprintf("%d/%s", seconds, scope), func(b *testing.B) {
				benchmarkCut(b, time.Duration(seconds)*time.Second, scope, defaultSettings)
			})
		}
	}
}

// BenchmarkPolicyCutAlternatives is like BenchmarkPolicyCut, but with a freshness lease of 3 s, and without the
// baseline slots that an entry VM keeps for a team without work.
func BenchmarkPolicyCutAlternatives(b *testing.B) {
	for _, a := range []struct {
		name      string
		configure func(*entryVM)
	}{
		{"freshness-3s", func(vm *entryVM) {
			vm.state.FreshnessLease.Duration, vm.state.Propagation.LeaseDuration = 3*time.Second, 3*time.Second
		}},
		{"no-standing-slots", func(vm *entryVM) { vm.state.Ledger.Baseline = nil }},
	} {
		for _, seconds := range []int{5, 30} {
			for _, scope := range []string{"all", "platform", "table", "slow-table"} {
				b.Run(fmt.Sprintf("%s/%d/%s", a.name, seconds, scope), func(b *testing.B) {
					benchmarkCut(b, time.Duration(seconds)*time.Second, scope, a.configure)
				})
			}
		}
	}
}

// Guards against refusals at half of the load that a pool can run. They occur at an entry VM that owns no backend
// server of the pool, once it has forwarded as many calls as the last digests of the other entry VMs list free slots.
// It then refuses all calls of the pool until the next digest.
func TestCallsAreNotRefusedBelowCapacity(t *testing.T) {
	sm, l := newLoadedSimulation(1, takeoverLoad, defaultSettings)
	begin := sm.now()
	sm.runUntil(begin.Add(20 * time.Second))
	l.stopAndSettle()
	for _, zone := range []string{"a", cutZone} {
		counts := sm.checker.countOutcomes(zone, begin, sm.now())
		counts.retried = 0 // retries are allowed
		assert.Equal(t, counts, outcomeCounts{}, "zone %s", zone)
	}
}
