package quota_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/quota"
)

const (
	entryVMs       = 8
	teams          = 6
	teamLimit      = 120 // slots; the mean load of a team needs 40, a burst 200
	tick           = 10 * time.Millisecond
	ticksPerSecond = int(time.Second / tick)
	commitTicks    = 2 // between a plan and the commit of its changes
)

// simulation simulates how several entry VMs use the limits of their teams. Each team in turn sends 5x its mean load
// for 3 s and then a twentieth of it for 3 s. Tasks run for 0.5 s on average.
type simulation struct {
	random          *rand.Rand
	planTicks       int  // ticks between plans, 0 if the slices never change
	globalCounter   bool // one counter for all entry VMs instead of slices
	skewed          bool // of each team, two entry VMs get 3x the load and the others a third
	planOnDemand    bool // also plan when requests wait and the slice allows no start
	ledgers         []*quota.Ledger
	rows            [teams]quota.Slices
	rowVersions     [teams]uint64
	version         uint64
	inFlight        []policyChange
	waiting         [entryVMs][teams]int
	running         [entryVMs][teams]int
	short           [entryVMs][teams]bool // entry VMs with waiting requests, from digests once a second
	demand          [entryVMs][teams]int  // running tasks and waiting requests, from the same digests
	neededSlotTicks float64               // slot ticks that one counter for all entry VMs would use
	lostSlotTicks   float64               // those of neededSlotTicks that weren't used
	writes          int
}

// policyChange is a change that is committed at the tick due.
type policyChange struct {
	holder, team, due int
	change            quota.Change
}

func newSimulation(planTicks int, globalCounter, firstKeeps, skewed bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(5, 5)), planTicks: planTicks, globalCounter: globalCounter, skewed: skewed,
		version: 1,
	}
	for h := range entryVMs {
		l := &quota.Ledger{Holder: strconv.Itoa(h)}
		l.OthersShort = func(team string) bool {
			t, _ := strconv.Atoi(team)
			for o := range entryVMs {
				if o != h && s.short[o][t] {
					return true
				}
			}
			return false
		}
		l.Demand = func(team string) map[string]int {
			t, _ := strconv.Atoi(team)
			demand := make(map[string]int)
			for o := range entryVMs {
				if o != h {
					demand[strconv.Itoa(o)] = s.demand[o][t]
				}
			}
			return demand
		}
		if firstKeeps {
			l.Demand = nil
		}
		s.ledgers = append(s.ledgers, l)
	}
	for t := range teams {
		if planTicks == 0 {
			for h := range entryVMs {
				s.rows[t] = s.rows[t].WithSlots(strconv.Itoa(h), teamLimit/entryVMs)
			}
		}
		s.rowVersions[t] = s.version
		for _, l := range s.ledgers {
			l.SetLimit(strconv.Itoa(t), teamLimit)
		}
	}
	return s
}

func (s *simulation) run(ticks int) {
	for i := range ticks {
		if i%(ticksPerSecond/2) == 0 {
			s.read()
		}
		for h := range entryVMs {
			for t := range teams {
				s.step(i, h, t)
			}
			if s.planTicks > 0 &&
				((i+h*s.planTicks/entryVMs)%s.planTicks == 0 || (s.planOnDemand && i%10 == h && s.blocked(h))) {
				s.plan(i, h)
			}
		}
		s.commit(i)
		s.measure(i)
	}
}

func (s *simulation) step(i, h, t int) {
	rate := 80.0 / entryVMs * tick.Seconds() // enough to use 40 slots
	switch (i/(3*ticksPerSecond) + teams - t) % teams {
	case 0:
		rate *= 5
	case 1:
		rate /= 20
	}
	if s.skewed {
		rate *= []float64{3, 1.0 / 3}[min((h+t)%entryVMs/2, 1)]
	}
	for ; rate > s.random.Float64(); rate-- {
		s.waiting[h][t]++
	}
	for range s.running[h][t] {
		if s.random.Float64() < tick.Seconds()/0.5 {
			s.running[h][t]--
			s.ledgers[h].TaskEnded(strconv.Itoa(t))
		}
	}
	for s.waiting[h][t] > 0 && s.mayStart(h, t) {
		s.waiting[h][t]--
		s.running[h][t]++
	}
}

// blocked reports whether an entry VM has waiting requests and no slots for them.
func (s *simulation) blocked(h int) bool {
	for t, n := range s.waiting[h] {
		if n > 0 && s.ledgers[h].AllowedStarts(strconv.Itoa(t)) == 0 {
			return true
		}
	}
	return false
}

func (s *simulation) mayStart(h, t int) bool {
	if !s.globalCounter {
		return s.ledgers[h].TryStart(strconv.Itoa(t))
	}
	running, _ := s.totals(t)
	if running < teamLimit {
		s.ledgers[h].Adopt(strconv.Itoa(t), 1)
	}
	return running < teamLimit
}

func (s *simulation) totals(t int) (running, waiting int) {
	for h := range entryVMs {
		running += s.running[h][t]
		waiting += s.waiting[h][t]
	}
	return running, waiting
}

func (s *simulation) plan(i, h int) {
	backlog := make(map[string]int)
	for t, n := range s.waiting[h] {
		backlog[strconv.Itoa(t)] = n
	}
	for _, c := range s.ledgers[h].Plan(backlog, start.Add(time.Duration(i)*tick)) {
		t, _ := strconv.Atoi(c.Team())
		s.inFlight = append(s.inFlight, policyChange{holder: h, team: t, due: i + commitTicks, change: c})
	}
}

func (s *simulation) commit(i int) {
	for len(s.inFlight) > 0 && s.inFlight[0].due <= i {
		c := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		l := s.ledgers[c.holder]
		s.writes++
		if c.change.Version() != s.rowVersions[c.team] {
			l.ChangeFailed(c.change)
			l.SetSlices(c.change.Team(), s.rows[c.team], s.rowVersions[c.team]) // a conflict returns the current row
			s.plan(i, c.holder)
			continue
		}
		s.version++
		s.rows[c.team], s.rowVersions[c.team] = c.change.Slices(), s.version
		l.ChangeApplied(c.change, s.version)
	}
}

func (s *simulation) read() {
	for _, l := range s.ledgers {
		for t, r := range s.rows {
			l.SetSlices(strconv.Itoa(t), r, s.rowVersions[t])
		}
	}
}

func (s *simulation) measure(i int) {
	for t := range teams {
		running, waiting := s.totals(t)
		need := min(running+waiting, teamLimit)
		s.neededSlotTicks += float64(need)
		s.lostSlotTicks += float64(need - running)
		for h := range entryVMs {
			if i%ticksPerSecond == 0 {
				s.short[h][t] = s.waiting[h][t] > 0
				s.demand[h][t] = s.running[h][t] + s.waiting[h][t]
			}
		}
	}
}

// BenchmarkPolicyStranded measures the slots that stay unused on one entry VM while requests wait on another.
func BenchmarkPolicyStranded(b *testing.B) {
	for _, p := range []struct {
		name          string
		planTicks     int
		globalCounter bool // one counter for all entry VMs
		firstKeeps    bool // the first holder to request slots keeps them (Ledger.Demand is nil)
		skewed        bool
		planOnDemand  bool
	}{
		{"global-counter", 0, true, false, false, false},
		{"fixed-split", 0, false, false, false, false},
		{"first-to-request-1s", ticksPerSecond, false, true, false, false},
		{"fair-1s", ticksPerSecond, false, false, false, false},
		{"fair-500ms", ticksPerSecond / 2, false, false, false, false},
		{"fair-200ms", ticksPerSecond / 5, false, false, false, false},
		{"fair-on-demand", ticksPerSecond, false, false, false, true},
		{"skewed-fixed-split", 0, false, false, true, false},
		{"skewed-fair-1s", ticksPerSecond, false, false, true, false},
		{"skewed-fair-on-demand", ticksPerSecond, false, false, true, true},
		{"skewed-fair-200ms", ticksPerSecond / 5, false, false, true, false},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				s := newSimulation(p.planTicks, p.globalCounter, p.firstKeeps, p.skewed)
				s.planOnDemand = p.planOnDemand
				s.run(72 * ticksPerSecond)
				b.ReportMetric(100*s.lostSlotTicks/s.neededSlotTicks, "utilization-lost-%")
				b.ReportMetric(float64(s.writes)/72, "writes/s")
			}
		})
	}
}
