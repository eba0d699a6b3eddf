package freshness_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/freshness"
)

type faultKind int

const (
	faultCommit faultKind = iota // three kinds for the same step, so that it is drawn more often
	faultCommit2
	faultCommit3
	faultPause
	faultCutPeer
	faultIsolate
	faultCutTable
	faultTableDown
	faultKill
	faultJoin
	faultRemoveLive
	faultKinds
)

// fault is a fault or a commit that is injected during a run. a and b select the entry VMs that it affects.
type fault struct {
	kind       faultKind
	a, b       int
	at, length time.Duration
}

var faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	return fault{
		kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
		a:      rapid.IntRange(0, 7).Draw(t, "a"),
		b:      rapid.IntRange(0, 7).Draw(t, "b"),
		at:     time.Duration(rapid.IntRange(500, 40_000).Draw(t, "at")) * time.Millisecond,
		length: time.Duration(rapid.IntRange(0, 30_000).Draw(t, "length")) * time.Millisecond,
	}
}), 0, 24)

func (s *simulation) inject(f fault) {
	v, q := s.vms[f.a%len(s.vms)], s.vms[f.b%len(s.vms)]
	until := s.clock.Now().Add(f.length)
	switch f.kind {
	case faultCommit, faultCommit2, faultCommit3:
		v.runOrQueue(v.commit)
	case faultPause:
		v.pausedUntil = until
		s.after(f.length, v.resume)
	case faultCutPeer:
		s.cuts[link(v.id, q.id)] = until
	case faultIsolate:
		for _, q := range s.vms {
			s.cuts[link(v.id, q.id)] = until
		}
	case faultCutTable:
		s.cuts[link(v.id, "table")] = until
	case faultTableDown:
		s.tableDownUntil = until
	case faultKill:
		v.stopped = true
		s.after(10*time.Second, func() { s.remove(v) })
	case faultJoin:
		s.join()
	case faultRemoveLive:
		if v.id != "e0" { // one entry VM that all others know stays a member
			s.remove(v)
		}
	}
}

// remove deletes the row of an entry VM, as soon as the table is available.
func (s *simulation) remove(v *entryVM) {
	if s.clock.Now().Before(s.tableDownUntil) {
		s.after(time.Second, func() { s.remove(v) })
		return
	}
	v.removed = true
	delete(s.rows, v.id)
}

// runScenario returns the simulation after the faults and a time without faults in which every version must come into
// force.
func runScenario(o options, seed uint64, fs []fault) *simulation {
	s := newSimulation(4, o, seed)
	end := 45 * time.Second
	for _, f := range fs {
		s.after(f.at, func() { s.inject(f) })
		end = max(end, f.at+f.length)
	}
	for s.violation == "" && s.clock.Now().Sub(s.start) < end+15*time.Second {
		s.clock.Advance(time.Second)
	}
	return s
}

func faultAt(kind faultKind, a, at, length int) fault {
	return fault{
		kind: kind, a: a,
		at: time.Duration(at) * time.Millisecond, length: time.Duration(length) * time.Millisecond,
	}
}

// scenario is a sequence of faults that violates the guarantee if set has switched a guard off.
type scenario struct {
	name   string
	set    func(*options)
	faults []fault
}

var isolated = []fault{
	faultAt(faultIsolate, 3, 14_900, 40_000), faultAt(faultCutTable, 3, 14_900, 40_000),
	faultAt(faultCommit, 0, 15_000, 0),
}

var scenarios = []scenario{
	{"lease longer than the propagation bound", func(o *options) { o.extraLease = 5 * time.Second }, isolated},
	{"drift beyond the guard", func(o *options) { o.drift = 0.5 }, isolated},
	{
		"heartbeat reply with a higher version", func(o *options) { o.ignoreHeartbeatVersion = true },
		[]fault{faultAt(faultCutTable, 3, 10_000, 40_000), faultAt(faultCommit, 0, 15_000, 0)},
	},
	{
		"answers to non-members", func(o *options) { o.answerNonMembers = true },
		[]fault{
			faultAt(faultCutTable, 1, 5_000, 50_000), faultAt(faultRemoveLive, 1, 10_000, 0), faultAt(faultCommit, 0, 25_000, 0),
		},
	},
	{
		"publisher not recognized by members", func(o *options) { o.publishUnrecognized = true },
		[]fault{
			faultAt(faultJoin, 0, 15_000, 0), faultAt(faultCutTable, 0, 15_400, 1000), faultAt(faultCutTable, 1, 15_400, 1000),
			faultAt(faultCutTable, 2, 15_400, 1000), faultAt(faultCutTable, 3, 15_400, 1000), faultAt(faultCommit, 4, 15_980, 0),
			faultAt(faultTableDown, 0, 16_000, 40_000),
		},
	},
	{
		"commit without the publisher's row", func(o *options) { o.unconditionalCommit = true },
		[]fault{
			faultAt(faultCutTable, 1, 5_000, 14_000), faultAt(faultRemoveLive, 1, 10_000, 0),
			faultAt(faultIsolate, 1, 18_000, 40_000),
			faultAt(faultCommit, 1, 19_010, 0), faultAt(faultTableDown, 0, 19_020, 40_000),
		},
	},
	{
		"member set older than version", func(o *options) { o.staleMembers = true },
		[]fault{
			faultAt(faultCutTable, 1, 15_000, 40_000), faultAt(faultJoin, 0, 15_100, 0),
			faultAt(faultCutTable, 4, 16_900, 40_000),
			{kind: faultCutPeer, a: 0, b: 4, at: 15_200 * time.Millisecond, length: 40 * time.Second},
			faultAt(faultCommit, 0, 17_000, 0),
		},
	},
}

var allGuards = options{lossy: true, drift: 0.04}

// Guards against a version that is reported as in force while a fresh entry VM has a lower one, and against versions
// and reports that are revoked.
func TestNoFreshEntryVMBelowVersionInForce(t *testing.T) {
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		o := allGuards
		o.lossy = rapid.Bool().Draw(t, "lossy")
		fs := faults.Draw(t, "faults")
		if n := rapid.IntRange(0, 2*len(scenarios)).Draw(t, "scenario"); n < len(scenarios) {
			fs = append(fs, scenarios[n].faults...)
		}
		s := runScenario(o, rapid.Uint64().Draw(t, "seed"), fs)
		assert.Equal(t, s.violation, "")
		answers += s.inForceReports
	})
	assert.Assert(t, answers > 0)
}

// Guards against a checker that misses violations: each scenario must violate the guarantee without its guard, and
// must not with it.
func TestCheckerDetectsMissingGuards(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			o := allGuards
			o.lossy = false
			off := o
			c.set(&off)
			for seed := range uint64(60) {
				assert.Equal(t, runScenario(o, seed, c.faults).violation, "")
				if strings.Contains(runScenario(off, seed, c.faults).violation, "is fresh with") {
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against unbounded memory, and against versions that never come into force because they are older than the
// kept history: 5,000 versions come into force in order.
func TestVersionsBeyondHistoryComeIntoForce(t *testing.T) {
	a := freshness.Propagation{
		EntryVM: "e0", LeaseDuration: freshness.DefaultLeaseDuration, GuardInterval: freshness.DefaultGuardInterval,
	}
	now := time.Unix(1e6, 0)
	a.SetMembers([]string{"e0", "e1"}, 0, now)
	assert.Assert(t, !a.MayPublish(now))
	a.Recognized("e1", now)
	assert.Assert(t, a.MayPublish(now))
	for n := range uint64(5000) {
		a.Applied(n+1, now)
	}
	p, ok := a.Status(1, now.Add(10*time.Second-1)).(freshness.Pending)
	assert.Assert(t, ok)
	assert.DeepEqual(t, p.Awaited(), []string{"e1"})
	assert.Equal(t, p.Latest(), now.Add(10*time.Second))
	assert.Equal(t, a.Status(5001, now), freshness.Status(freshness.NotCommitted{}))
	assert.Equal(t, a.Status(1, now.Add(10*time.Second)), freshness.Status(freshness.InForce{}))
	a.SetMembers([]string{"e0", "e1"}, 5000, now)
	a.Acknowledged("e1", 5000)
	a.Applied(6000, now.Add(20*time.Second))
	a.SetMembers([]string{"e0", "e1"}, 6000, now.Add(20*time.Second))
	a.Acknowledged("e1", 6000)
	assert.Equal(t, a.Status(6000, now.Add(20*time.Second)), freshness.Status(freshness.InForce{}))
}
