package quota_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/quota"
)

const (
	entryVMs    = 8
	teams       = 6
	teamLimit   = 120 // slots; the mean load needs 40, a burst 200
	tick        = 10 * time.Millisecond
	second      = int(time.Second / tick)
	commitTicks = 2 // from a plan to its commit
)

// sharing simulates how teams with a limit spend it at several entry VMs. Each team in turn sends 5x its mean load for
// 3 s and then a twentieth for 3 s. Tasks run for 0.5 s on average. The first entry VMs get more of the load if skewed.
type sharing struct {
	random  *rand.Rand
	every   int // ticks between plans, 0 for no change of the slices
	counter bool
	skewed  bool
	urgent  bool
	ledgers []*quota.Ledger
	rows    [teams]quota.Slices
	rowAt   [teams]uint64
	version uint64
	flight  []policyChange
	waiting [entryVMs][teams]int
	running [entryVMs][teams]int
	short   [entryVMs][teams]bool // as of the last digests
	demand  [entryVMs][teams]int
	needed  float64 // slot ticks that one counter for all would have used
	lost    float64
	writes  int
}

type policyChange struct {
	holder, team, due int
	change            quota.Change
}

func newSharing(every int, counter, first, skewed bool) *sharing {
	s := &sharing{random: rand.New(rand.NewPCG(5, 5)), every: every, counter: counter, skewed: skewed, version: 1}
	for h := range entryVMs {
		l := &quota.Ledger{Holder: strconv.Itoa(h)}
		l.Wanted = func(team string) bool {
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
		if first {
			l.Demand = nil
		}
		s.ledgers = append(s.ledgers, l)
	}
	for t := range teams {
		if every == 0 {
			for h := range entryVMs {
				s.rows[t] = s.rows[t].With(strconv.Itoa(h), teamLimit/entryVMs)
			}
		}
		s.rowAt[t] = s.version
		for _, l := range s.ledgers {
			l.SetLimit(strconv.Itoa(t), teamLimit)
		}
	}
	return s
}

func (s *sharing) run(ticks int) {
	for i := range ticks {
		if i%(second/2) == 0 {
			s.read()
		}
		for h := range entryVMs {
			for t := range teams {
				s.step(i, h, t)
			}
			if s.every > 0 && ((i+h*s.every/entryVMs)%s.every == 0 || (s.urgent && i%10 == h && s.blocked(h))) {
				s.plan(i, h)
			}
		}
		s.commit(i)
		s.measure(i)
	}
}

func (s *sharing) step(i, h, t int) {
	rate := 80.0 / entryVMs * tick.Seconds() // 40 slots of work
	switch (i/(3*second) + teams - t) % teams {
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
			s.ledgers[h].Ended(strconv.Itoa(t))
		}
	}
	for s.waiting[h][t] > 0 && s.mayStart(h, t) {
		s.waiting[h][t]--
		s.running[h][t]++
	}
}

// blocked reports whether work waits for slots.
func (s *sharing) blocked(h int) bool {
	for t, n := range s.waiting[h] {
		if n > 0 && s.ledgers[h].Room(strconv.Itoa(t)) == 0 {
			return true
		}
	}
	return false
}

func (s *sharing) mayStart(h, t int) bool {
	if !s.counter {
		return s.ledgers[h].TryStart(strconv.Itoa(t))
	}
	running, _ := s.totals(t)
	if running < teamLimit {
		s.ledgers[h].Adopt(strconv.Itoa(t), 1)
	}
	return running < teamLimit
}

func (s *sharing) totals(t int) (running, waiting int) {
	for h := range entryVMs {
		running += s.running[h][t]
		waiting += s.waiting[h][t]
	}
	return running, waiting
}

func (s *sharing) plan(i, h int) {
	backlog := make(map[string]int)
	for t, n := range s.waiting[h] {
		backlog[strconv.Itoa(t)] = n
	}
	for _, c := range s.ledgers[h].Plan(backlog, start.Add(time.Duration(i)*tick)) {
		t, _ := strconv.Atoi(c.Team())
		s.flight = append(s.flight, policyChange{holder: h, team: t, due: i + commitTicks, change: c})
	}
}

func (s *sharing) commit(i int) {
	for len(s.flight) > 0 && s.flight[0].due <= i {
		c := s.flight[0]
		s.flight = s.flight[1:]
		l := s.ledgers[c.holder]
		s.writes++
		if c.change.Version() != s.rowAt[c.team] {
			l.Failed(c.change)
			l.SetSlices(c.change.Team(), s.rows[c.team], s.rowAt[c.team]) // a conflict returns the row
			s.plan(i, c.holder)
			continue
		}
		s.version++
		s.rows[c.team], s.rowAt[c.team] = c.change.Slices(), s.version
		l.Applied(c.change, s.version)
	}
}

func (s *sharing) read() {
	for _, l := range s.ledgers {
		for t, r := range s.rows {
			l.SetSlices(strconv.Itoa(t), r, s.rowAt[t])
		}
	}
}

func (s *sharing) measure(i int) {
	for t := range teams {
		running, waiting := s.totals(t)
		need := min(running+waiting, teamLimit)
		s.needed += float64(need)
		s.lost += float64(need - running)
		for h := range entryVMs {
			if i%second == 0 {
				s.short[h][t] = s.waiting[h][t] > 0
				s.demand[h][t] = s.running[h][t] + s.waiting[h][t]
			}
		}
	}
}

// BenchmarkPolicyStranded measures the slots that stay unused at one entry VM while work waits at another.
func BenchmarkPolicyStranded(b *testing.B) {
	for _, p := range []struct {
		name    string
		every   int
		counter bool // one counter for all entry VMs
		first   bool // the first holder to grow keeps its slots
		skewed  bool
		urgent  bool
	}{
		{"global-counter", 0, true, false, false, false},
		{"fixed-split", 0, false, false, false, false},
		{"first-to-grow-1s", second, false, true, false, false},
		{"fair-1s", second, false, false, false, false},
		{"fair-500ms", second / 2, false, false, false, false},
		{"fair-200ms", second / 5, false, false, false, false},
		{"fair-on-demand", second, false, false, false, true},
		{"skewed-fixed-split", 0, false, false, true, false},
		{"skewed-fair-1s", second, false, false, true, false},
		{"skewed-fair-on-demand", second, false, false, true, true},
		{"skewed-fair-200ms", second / 5, false, false, true, false},
	} {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				s := newSharing(p.every, p.counter, p.first, p.skewed)
				s.urgent = p.urgent
				s.run(72 * second)
				b.ReportMetric(100*s.lost/s.needed, "utilization-lost-%")
				b.ReportMetric(float64(s.writes)/72, "writes/s")
			}
		})
	}
}
