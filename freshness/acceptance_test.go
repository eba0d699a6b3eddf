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
	faultCommit faultKind = iota // the most frequent step
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

// fault is one fault or step of a run. a and b select its targets.
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

func (w *world) inject(f fault) {
	v, q := w.vms[f.a%len(w.vms)], w.vms[f.b%len(w.vms)]
	until := w.clock.Now().Add(f.length)
	switch f.kind {
	case faultCommit, faultCommit2, faultCommit3:
		v.do(v.commit)
	case faultPause:
		v.pause = until
		w.after(f.length, v.resume)
	case faultCutPeer:
		w.cuts[link(v.id, q.id)] = until
	case faultIsolate:
		for _, q := range w.vms {
			w.cuts[link(v.id, q.id)] = until
		}
	case faultCutTable:
		w.cuts[link(v.id, "table")] = until
	case faultTableDown:
		w.down = until
	case faultKill:
		v.dead = true
		w.after(10*time.Second, func() { w.remove(v) })
	case faultJoin:
		w.join()
	case faultRemoveLive:
		if v.id != "e0" { // one entry VM that all know stays a member
			w.remove(v)
		}
	}
}

// remove deletes a row as soon as the table is up.
func (w *world) remove(v *vm) {
	if w.clock.Now().Before(w.down) {
		w.after(time.Second, func() { w.remove(v) })
		return
	}
	v.left = true
	delete(w.rows, v.id)
}

// run returns the world after the faults and a quiet time in which every change has to come into force.
func run(o options, seed uint64, fs []fault) *world {
	w := newWorld(4, o, seed)
	end := 45 * time.Second
	for _, f := range fs {
		w.after(f.at, func() { w.inject(f) })
		end = max(end, f.at+f.length)
	}
	for w.violation == "" && w.clock.Now().Sub(w.start) < end+15*time.Second {
		w.clock.Advance(time.Second)
	}
	return w
}

func ms(kind faultKind, a, at, length int) fault {
	return fault{kind: kind, a: a, at: time.Duration(at) * time.Millisecond, length: time.Duration(length) * time.Millisecond}
}

// scenario is a sequence of faults that breaks the guarantee without the guard that set switches off.
type scenario struct {
	name   string
	set    func(*options)
	faults []fault
}

var isolated = []fault{
	ms(faultIsolate, 3, 14_900, 40_000), ms(faultCutTable, 3, 14_900, 40_000), ms(faultCommit, 0, 15_000, 0),
}

var scenarios = []scenario{
	{"grant longer than acceptance", func(o *options) { o.longer = 5 * time.Second }, isolated},
	{"drift beyond the guard", func(o *options) { o.drift = 0.5 }, isolated},
	{
		"exchange of a higher version", func(o *options) { o.blind = true },
		[]fault{ms(faultCutTable, 3, 10_000, 40_000), ms(faultCommit, 0, 15_000, 0)},
	},
	{
		"answers to strangers", func(o *options) { o.strangers = true },
		[]fault{
			ms(faultCutTable, 1, 5_000, 50_000), ms(faultRemoveLive, 1, 10_000, 0), ms(faultCommit, 0, 25_000, 0),
		},
	},
	{
		"author unknown to members", func(o *options) { o.anyAuthor = true },
		[]fault{
			ms(faultJoin, 0, 15_000, 0), ms(faultCutTable, 0, 15_400, 1000), ms(faultCutTable, 1, 15_400, 1000),
			ms(faultCutTable, 2, 15_400, 1000), ms(faultCutTable, 3, 15_400, 1000), ms(faultCommit, 4, 15_980, 0),
			ms(faultTableDown, 0, 16_000, 40_000),
		},
	},
	{
		"commit without the author's row", func(o *options) { o.unfenced = true },
		[]fault{
			ms(faultCutTable, 1, 5_000, 14_000), ms(faultRemoveLive, 1, 10_000, 0), ms(faultIsolate, 1, 18_000, 40_000),
			ms(faultCommit, 1, 19_010, 0), ms(faultTableDown, 0, 19_020, 40_000),
		},
	},
	{
		"member set older than version", func(o *options) { o.oldMembers = true },
		[]fault{
			ms(faultCutTable, 1, 15_000, 40_000), ms(faultJoin, 0, 15_100, 0), ms(faultCutTable, 4, 16_900, 40_000),
			{kind: faultCutPeer, a: 0, b: 4, at: 15_200 * time.Millisecond, length: 40 * time.Second},
			ms(faultCommit, 0, 17_000, 0),
		},
	},
}

var guarded = options{lossy: true, drift: 0.04}

// Guards against a version reported in force while a fresh entry VM holds a lower one, and against versions and reports
// that are taken back.
func TestInForceMeansEverywhere(t *testing.T) {
	answers := 0
	rapid.Check(t, func(t *rapid.T) {
		o := guarded
		o.lossy = rapid.Bool().Draw(t, "lossy")
		fs := faults.Draw(t, "faults")
		if n := rapid.IntRange(0, 2*len(scenarios)).Draw(t, "scenario"); n < len(scenarios) {
			fs = append(fs, scenarios[n].faults...)
		}
		w := run(o, rapid.Uint64().Draw(t, "seed"), fs)
		assert.Equal(t, w.violation, "")
		answers += w.answers
	})
	assert.Assert(t, answers > 0)
}

// Guards against a checker that misses violations: each scenario shows one without its guard, and none with it.
func TestInForceNeedsItsGuards(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			o := guarded
			o.lossy = false
			off := o
			c.set(&off)
			for seed := range uint64(60) {
				assert.Equal(t, run(o, seed, c.faults).violation, "")
				if strings.Contains(run(off, seed, c.faults).violation, "is fresh with") {
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against an acceptance whose memory or whose oldest versions get lost: 5,000 versions come into force in order.
func TestManyVersions(t *testing.T) {
	a := freshness.Acceptance{Self: "e0", Duration: freshness.DefaultDuration, Guard: freshness.DefaultGuard}
	now := time.Unix(1e6, 0)
	a.SetMembers([]string{"e0", "e1"}, 0, now)
	assert.Assert(t, !a.MayAuthor(now))
	a.Recognized("e1", now)
	assert.Assert(t, a.MayAuthor(now))
	for n := range uint64(5000) {
		a.Learned(n+1, now)
	}
	p, ok := a.Status(1, now.Add(10*time.Second-1)).(freshness.Pending)
	assert.Assert(t, ok)
	assert.DeepEqual(t, p.Awaited(), []string{"e1"})
	assert.Equal(t, p.Latest(), now.Add(10*time.Second))
	assert.Equal(t, a.Status(5001, now), freshness.Status(freshness.NotCommitted{}))
	assert.Equal(t, a.Status(1, now.Add(10*time.Second)), freshness.Status(freshness.InForce{}))
	a.SetMembers([]string{"e0", "e1"}, 5000, now)
	a.Acknowledged("e1", 5000)
	a.Learned(6000, now.Add(20*time.Second))
	a.SetMembers([]string{"e0", "e1"}, 6000, now.Add(20*time.Second))
	a.Acknowledged("e1", 6000)
	assert.Equal(t, a.Status(6000, now.Add(20*time.Second)), freshness.Status(freshness.InForce{}))
}
