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

// inForceBound is the time of R27.
const inForceBound = 13 * time.Second

// policyChange is a configuration change and how to tell that a configuration has it.
type policyChange struct {
	name string
	make func(*rig, *catalogue.Configuration) dispatch.Change
	has  func(*rig, *catalogue.Configuration) bool
}

var policyChanges = []policyChange{
	{
		"revocation",
		func(r *rig, _ *catalogue.Configuration) dispatch.Change {
			return dispatch.NewKeyRevocation(r.record.keys["red"][1])
		},
		func(r *rig, c *catalogue.Configuration) bool {
			k, ok := c.Key(r.record.keys["red"][1])
			return ok && k.Revoked()
		},
	},
	{
		"zone-out",
		func(*rig, *catalogue.Configuration) dispatch.Change {
			return dispatch.NewZoneChange(cutZone, true, true)
		},
		func(_ *rig, c *catalogue.Configuration) bool { return c.Zone(cutZone).OutOfService() },
	},
	{
		"catalogue",
		func(_ *rig, c *catalogue.Configuration) dispatch.Change {
			return dispatch.NewCatalogueChange(testCatalogue(13, 13, true), c.Version())
		},
		func(_ *rig, c *catalogue.Configuration) bool {
			t, ok := c.Catalogue().Team("red")
			return ok && t.Limit() == 13
		},
	},
}

// changeTimes are times since an operator asked for a change, 0 if it didn't happen.
type changeTimes struct {
	told    time.Duration // first answer that it is in force
	applied time.Duration // the last entry VM applies it
	fresh   time.Duration // the last entry VM that may start work applies it
}

// timeChange asks an entry VM of the connected zone for a change, one second after a disturbance of 30 s began.
func timeChange(seed uint64, c policyChange, scope string, tune func(*node)) (changeTimes, *record) {
	r, l := loadedRig(seed, steadyLoad, tune)
	r.run(r.now().Add(time.Duration(seed) * 137 * time.Millisecond))
	if scope != "connected" {
		r.cutOff(scope, 30*time.Second)
	}
	r.run(r.now().Add(time.Second))
	var times changeTimes
	asked, n, version := r.now(), r.nodes["entry-a-1"], uint64(0)
	tell := func(o dispatch.Outcome) {
		if d, ok := o.(dispatch.ChangeStatus); ok && d.InForce() && times.told == 0 {
			r.record.toldInForce(d.Version())
			times.told = r.now().Sub(asked)
		}
	}
	var ask func()
	ask = func() {
		r.post(n, dispatch.NewChangeRequested(r.ticket(func(o dispatch.Outcome) {
			if _, rejected := o.(dispatch.Rejected); rejected {
				r.after(time.Second, ask)
			}
			tell(o)
		}), c.make(r, n.state.Configuration()), forced))
	}
	ask()
	for i := 0; i < 6000 && times.told*times.applied == 0; i++ {
		r.run(r.now().Add(10 * time.Millisecond))
		if version == 0 && c.has(r, r.record.truth) {
			version = r.record.truth.Version()
		}
		if version != 0 && i%10 == 0 {
			r.post(n, dispatch.NewChangeQueried(r.ticket(tell), version))
		}
		missing := false
		for _, m := range r.running() {
			has := c.has(r, m.state.Configuration())
			missing = missing || !has
			if !has && m.state.Fresh(r.now()) {
				times.fresh = r.now().Sub(asked)
			}
		}
		if !missing && times.applied == 0 {
			times.applied = r.now().Sub(asked)
		}
	}
	l.settle()
	return times, r.record
}

// BenchmarkPolicyInForce measures how long after an operator asked for a change it is answered as in force, and how long
// any entry VM, and any that may start work, has not applied it. Work that starts without the change is what R27 bounds.
func BenchmarkPolicyInForce(b *testing.B) {
	for _, freshness := range []time.Duration{9 * time.Second, 3 * time.Second} {
		for _, c := range policyChanges {
			for _, scope := range []string{"connected", "all", "table"} {
				name := fmt.Sprintf("%s/%s", c.name, scope)
				if freshness != 9*time.Second {
					name += "/freshness-3s"
				}
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						var worst changeTimes
						for seed := uint64(1); seed <= 10; seed++ {
							t, seen := timeChange(seed, c, scope, func(n *node) {
								n.state.FreshnessLease.Duration, n.state.Propagation.LeaseDuration = freshness, freshness
							})
							worst.told = max(worst.told, t.told)
							worst.applied = max(worst.applied, t.applied)
							worst.fresh = max(worst.fresh, t.fresh)
							for _, row := range []string{"R3", "R5", "R7", "R8", "R11"} {
								if v, ok := seen.violations[row]; ok {
									b.Errorf("seed %d: %s", seed, v)
								}
							}
							if t.told == 0 || t.applied == 0 {
								b.Errorf("seed %d: the change was never in force everywhere: %+v", seed, t)
							}
						}
						b.ReportMetric(worst.told.Seconds(), "in-force-s")
						b.ReportMetric(worst.applied.Seconds(), "applied-s")
						b.ReportMetric(worst.fresh.Seconds(), "fresh-without-s")
						b.ReportMetric(inForceBound.Seconds(), "bound-s")
					}
				})
			}
		}
	}
}

// takeoverLoad keeps most slots of both pools in use, so that a server that can run work gets some.
var takeoverLoad = []source{
	{"proofs", dispatch.KindCall, 1, 400 * time.Millisecond},
	{"seats", dispatch.KindCall, 3, 300 * time.Millisecond},
	{"plates", dispatch.KindJob, 10, 500 * time.Millisecond},
	{"batch", dispatch.KindJob, 10, 500 * time.Millisecond},
}

// takeover stops an entry VM and returns when each of its backend servers starts work for another one, and the number of
// requests of the zone that were refused from the stop on.
func takeover(b *testing.B, seed uint64, planned bool) (times []time.Duration, refused, other float64) {
	b.Helper()
	r, l := loadedRig(seed, takeoverLoad, asDesigned)
	r.run(r.now().Add(3*time.Second + time.Duration(seed)*137*time.Millisecond))
	n := r.nodes[fmt.Sprintf("entry-%s-%d", cutZone, 1+seed%2)]
	if len(n.state.Ownership.Owned()) == 0 {
		n = r.nodes[fmt.Sprintf("entry-%s-%d", cutZone, 2-seed%2)]
	}
	owned, stopped := slices.Clone(n.state.Ownership.Owned()), r.now()
	if planned {
		r.drain(n)
	} else {
		r.kill(n)
		r.platform.VMs.Remove(n.id)
	}
	r.run(stopped.Add(20 * time.Second))
	for _, server := range owned {
		i := slices.IndexFunc(r.record.starts, func(s start) bool {
			return s.server == server && s.node != n.id && s.at.After(stopped)
		})
		if i < 0 {
			b.Errorf("seed %d: %s starts nothing for 20 s after %s", seed, server, n.id)
			continue
		}
		times = append(times, r.record.starts[i].at.Sub(stopped))
	}
	l.settle()
	f := r.record.fates(cutZone, stopped, stopped.Add(20*time.Second))
	for _, row := range []string{"R4", "R6", "R7", "R8", "R10", "liveness"} {
		if v, ok := r.record.violations[row]; ok {
			b.Errorf("seed %d: %s", seed, v)
		}
	}
	return times, f.refused, f.unknown
}

// BenchmarkPolicyTakeover measures how long after an entry VM was killed, or began a planned stop, each of its backend
// servers starts work for another one. The bounds of design.md, 5.2, are 5 s on average and 7 s.
func BenchmarkPolicyTakeover(b *testing.B) {
	for _, planned := range []bool{false, true} {
		b.Run(map[bool]string{false: "kill", true: "planned"}[planned], func(b *testing.B) {
			for b.Loop() {
				var all []time.Duration
				var refused, unknown, sum float64
				for seed := uint64(1); seed <= 40; seed++ {
					times, f, u := takeover(b, seed, planned)
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

// BenchmarkPolicyWrites measures the Commit effects of one entry VM for each request at the size of R18 and R21: each
// load bursts to 5 times its mean for 3 s of 20 s and falls to a twentieth (R20). Transactions are those before the
// group commit, and background is what is written without load.
func BenchmarkPolicyWrites(b *testing.B) {
	size := controlSize{servers: 50, pools: 5, teams: 6, entries: 8}
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
				c := newControlRig(size)
				if !v.idempotent {
					c.claimCalls()
				}
				c.reset()
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
					c.second(calls, jobs)
				}
				if requests == 0 {
					b.ReportMetric(c.counts["row"]/(seconds+15), "rows/s")
					b.ReportMetric(c.counts["commit"]/(seconds+15), "transactions/s")
					continue
				}
				b.ReportMetric(c.counts["row"]/float64(requests), "rows/request")
				b.ReportMetric(c.counts["commit"]/float64(requests), "transactions/request")
				b.ReportMetric(c.counts["refused"], "refused")
				b.ReportMetric(float64(requests), "requests")
			}
		})
	}
}

// claimCalls makes the calls of the fleet non-idempotent.
func (c *controlRig) claimCalls() {
	config := c.state.Configuration()
	var entries []catalogue.Entry
	for _, e := range config.Catalogue().Entries() {
		entries = append(entries, e.WithIdempotent(false))
	}
	k, err := catalogue.New(entries, config.Catalogue().Teams(), config.Catalogue().Pools())
	if err != nil {
		panic(err)
	}
	c.handle(dispatch.NewChangeRequested(1<<40, dispatch.NewCatalogueChange(k, config.Version()), "operator"))
	c.second(0, 0)
	if e, _ := c.state.Configuration().Catalogue().Entry("call-team-00"); e.Idempotent() {
		panic("the change was not applied")
	}
}

// An entry VM that stops refused the calls that the load balancer sent it before it noticed.
func TestStoppingEntryVMPassesCallsOn(t *testing.T) {
	r := calm()
	n := r.nodes["entry-b-1"]
	r.drain(n)
	for i := range 4 {
		for _, entry := range []string{"proofs", "seats"} {
			r.send(n.id, fmt.Sprintf("%s-%d", entry, i), dispatch.KindCall, entry, `{"run-ms": 100}`, 5*time.Second)
		}
		r.run(r.now().Add(loadStep))
	}
	r.none(t)
	for _, s := range r.record.submissions {
		_, ok := s.outcome.(dispatch.Answered)
		assert.Assert(t, ok, "%s: %+v", s.request.ID(), s.outcome)
	}
	assert.Assert(t, !n.drainedAt.IsZero())
}
