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
	loadStep = 100 * time.Millisecond
	// balancerDelay is how long the load balancer still sends requests to an entry VM that stops.
	balancerDelay = 500 * time.Millisecond
	cutZone       = "b"
	// backWindow is the time over which work after a cut is compared with work before it.
	backWindow = 5 * time.Second
	// backShare is the part of the work before a cut at which an availability zone serves as before.
	backShare = 0.95
	afterCut  = 40 * time.Second
)

// policySeeds are the seeds of all figures of cuts and changes.
var policySeeds = []uint64{1, 2, 3}

// source is one kind of request of the steady load: which entry, how often in each availability zone, how long it runs.
type source struct {
	entry string
	kind  dispatch.Kind
	every int // steps
	run   time.Duration
}

// steadyLoad uses about half of the slots of both pools.
var steadyLoad = []source{
	{"proofs", dispatch.KindCall, 1, 100 * time.Millisecond},
	{"seats", dispatch.KindCall, 3, 100 * time.Millisecond},
	{"plates", dispatch.KindJob, 5, 500 * time.Millisecond},
	{"batch", dispatch.KindJob, 10, 500 * time.Millisecond},
}

// load submits requests of two teams to the entry VMs of each availability zone at fixed times.
type load struct {
	rig     *rig
	sources []source
	step    int
	stopped bool
}

// loadedRig returns a rig under load that has warmed up. Tune changes the entry VMs before they have done anything.
func loadedRig(seed uint64, sources []source, tune func(*node)) (*rig, *load) {
	r := newRig(plan{seed: seed, nodes: 4, load: time.Hour}, broken{})
	for _, n := range r.running() {
		tune(n)
	}
	r.poll()
	r.run(r.now().Add(warmUp))
	n := r.nodes["entry-a-1"]
	r.ask(n, dispatch.NewCatalogueChange(testCatalogue(14, 14, true), n.state.Configuration().Version()), "operator")
	r.run(r.now().Add(2 * time.Second))
	l := &load{rig: r, sources: sources}
	l.submit()
	r.run(r.now().Add(5 * time.Second))
	return r, l
}

func (l *load) submit() {
	if l.stopped {
		return
	}
	r := l.rig
	for _, zone := range []string{"a", cutZone} {
		for _, s := range l.sources {
			n := l.entryVM(zone)
			if n == nil || l.step%s.every != 0 {
				continue
			}
			team := []string{"red", "blue"}[l.step/s.every%2]
			deadline := time.Time{}
			if s.kind == dispatch.KindCall {
				deadline = r.now().Add(5 * time.Second)
			}
			r.submitAt(n, dispatch.NewRequest(
				fmt.Sprintf("%s-%s-%d", s.entry, zone, l.step), s.kind, s.entry, team, r.record.keys[team][0],
				fmt.Appendf(nil, `{"run-ms": %d}`, s.run.Milliseconds()), deadline, 0, true))
		}
	}
	l.step++
	r.after(loadStep, l.submit)
}

// entryVM returns the entry VM of a zone that the load balancer chooses, in turn.
func (l *load) entryVM(zone string) *node {
	var nodes []*node
	for _, n := range l.rig.running() {
		if n.zone == zone && (n.draining.IsZero() || l.rig.now().Sub(n.draining) < balancerDelay) {
			nodes = append(nodes, n)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	return nodes[l.step%len(nodes)]
}

// settle ends the load and runs until everything open has ended.
func (l *load) settle() {
	l.stopped = true
	l.rig.quiet = true
	for end := l.rig.now().Add(settleTime); l.rig.now().Before(end) && !l.rig.record.settled(); {
		l.rig.run(l.rig.now().Add(time.Second))
	}
	l.rig.record.finish()
}

// finished counts the tasks of the given entry, or of all if it is empty, that end in a zone within a time. No backend
// server stops or restarts in these runs, so a task ends its run time after its start.
func (l *load) finished(zone, entry string, from, to time.Time) float64 {
	n := 0.0
	for _, s := range l.rig.record.starts {
		i := slices.IndexFunc(l.sources, func(x source) bool { return x.entry == s.task.Entry() })
		end := s.at.Add(l.sources[i].run)
		if zoneOf(s.server) == zone && (entry == "" || entry == s.task.Entry()) && !end.Before(from) && end.Before(to) {
			n++
		}
	}
	return n
}

// cutOff begins a disturbance of a scope.
func (r *rig) cutOff(scope string, d time.Duration) {
	for _, n := range r.running() {
		switch {
		case scope == "slow-table":
			r.slowTable = r.now().Add(d)
		case scope == "table":
			r.cutPair(n.id, tableName, d)
		case n.zone != cutZone:
		default:
			for _, to := range []string{tableName, objectsName, listName} {
				r.cutPair(n.id, to, d)
			}
			for _, m := range r.running() {
				if scope == "all" && m.zone != cutZone {
					r.cutPair(n.id, m.id, d)
				}
			}
		}
	}
}

// fates counts what became of requests.
type fates struct{ refused, unknown, lost, twice, again float64 }

func (c *record) fates(zone string, from, to time.Time) fates {
	var f fates
	for _, s := range c.submissions {
		id := s.request.ID()
		if n := c.rig.platform.Counters.Starts(id); n > 1 && !s.idempotent {
			f.twice++
		} else if n > 1 {
			f.again++
		}
		o := s.outcome
		if _, ok := o.(dispatch.Accepted); ok {
			o = c.jobOutcome(id)
		}
		if o == nil && !s.closed {
			f.lost++
		}
		if zoneOf(s.node) != zone || s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		switch o.(type) {
		case dispatch.NotRun:
			f.refused++
		case dispatch.Unresolved:
			f.unknown++
		}
	}
	return f
}

// backAfter returns how long after a cut the zone does as much work as before, and how long it still refuses.
func (l *load) backAfter(end time.Time, rate float64) (back, refusing time.Duration) {
	back = afterCut
	for d := time.Duration(0); d < afterCut-backWindow; d += loadStep {
		from := end.Add(d)
		if l.finished(cutZone, "", from, from.Add(backWindow)) >= backShare*rate*backWindow.Seconds() {
			back = d
			break
		}
	}
	for _, s := range l.rig.record.submissions {
		_, refused := s.outcome.(dispatch.NotRun)
		if refused && zoneOf(s.node) == cutZone && !s.at.Before(end) {
			refusing = max(refusing, s.at.Sub(end))
		}
	}
	return back, refusing
}

func benchmarkCut(b *testing.B, length time.Duration, scope string, tune func(*node)) {
	b.Helper()
	for b.Loop() {
		var before, during [5]float64
		var f fates
		var back, refusing time.Duration
		for _, seed := range policySeeds {
			r, l := loadedRig(seed, steadyLoad, tune)
			begin := r.now()
			r.run(begin.Add(length))
			cut := r.now()
			r.cutOff(scope, length)
			end := cut.Add(length)
			r.run(end.Add(afterCut))
			l.settle()
			for i, entry := range []string{"", "proofs", "seats", "plates", "batch"} {
				before[i] += l.finished(cutZone, entry, begin, cut)
				during[i] += l.finished(cutZone, entry, cut, end)
			}
			s, t := l.backAfter(end, l.finished(cutZone, "", begin, cut)/length.Seconds())
			back, refusing = max(back, s), max(refusing, t)
			g := r.record.fates(cutZone, cut, end)
			f.refused += g.refused
			f.unknown += g.unknown
			f.lost += g.lost
			f.twice += g.twice
			f.again += g.again
			for _, row := range []string{"R3", "R4", "R5", "R6", "R7", "R8", "R11", "liveness"} {
				if v, ok := r.record.violations[row]; ok {
					b.Errorf("seed %d: %s", seed, v)
				}
			}
		}
		if f.lost > 0 || f.twice > 0 {
			b.Errorf("%v requests were lost and %v ran twice", f.lost, f.twice)
		}
		for i, unit := range []string{"work-%", "idempotent-calls-%", "claimed-calls-%", "claimed-jobs-%", "idempotent-jobs-%"} {
			b.ReportMetric(100*during[i]/before[i], unit)
		}
		b.ReportMetric(back.Seconds(), "back-s")
		b.ReportMetric(refusing.Seconds(), "refusing-s")
		b.ReportMetric(f.refused, "refused")
		b.ReportMetric(f.unknown, "unknown")
		b.ReportMetric(f.lost, "lost")
		b.ReportMetric(f.twice, "twice")
		b.ReportMetric(f.again, "again")
	}
}

func asDesigned(*node) {}

// BenchmarkPolicyCut measures the work of an availability zone while it is cut off from everything or from the platform,
// and while the table is down or slow for all, relative to the same time before.
func BenchmarkPolicyCut(b *testing.B) {
	for _, seconds := range []int{5, 30, 300} {
		for _, scope := range []string{"all", "platform", "table", "slow-table"} {
			b.Run(fmt.Sprintf("%d/%s", seconds, scope), func(b *testing.B) {
				benchmarkCut(b, time.Duration(seconds)*time.Second, scope, asDesigned)
			})
		}
	}
}

// BenchmarkPolicyCutAlternatives is BenchmarkPolicyCut with a freshness of 3 s, and without standing slots.
func BenchmarkPolicyCutAlternatives(b *testing.B) {
	for _, a := range []struct {
		name string
		tune func(*node)
	}{
		{"freshness-3s", func(n *node) {
			n.state.FreshnessLease.Duration, n.state.Propagation.LeaseDuration = 3*time.Second, 3*time.Second
		}},
		{"no-standing-slots", func(n *node) { n.state.Ledger.Baseline = nil }},
	} {
		for _, seconds := range []int{5, 30} {
			for _, scope := range []string{"all", "platform", "table", "slow-table"} {
				b.Run(fmt.Sprintf("%s/%d/%s", a.name, seconds, scope), func(b *testing.B) {
					benchmarkCut(b, time.Duration(seconds)*time.Second, scope, a.tune)
				})
			}
		}
	}
}

// An entry VM owned no backend server of a pool and had handed on as many calls as the last digests told of free slots.
// It refused all calls until the next digest, at half of the load that the pool can take.
func TestNoRefusalBelowCapacity(t *testing.T) {
	r, l := loadedRig(1, takeoverLoad, asDesigned)
	begin := r.now()
	r.run(begin.Add(20 * time.Second))
	l.settle()
	for _, zone := range []string{"a", cutZone} {
		assert.Equal(t, r.record.fates(zone, begin, r.now()), fates{again: r.record.fates(zone, begin, r.now()).again})
	}
}
