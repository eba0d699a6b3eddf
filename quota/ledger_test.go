package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/quota"
)

const team = "t"

// fault is a defect that the checker must detect.
type fault int

const (
	noFault fault = iota
	ignoreSlice
	returnRunning
	returnUncovered
	ignoreCondition
)

// holder is an entry VM with one ledger. Its copies of the row and the limit are of table version since, or newer.
type holder struct {
	ledger  quota.Ledger
	dead    bool
	paused  bool
	since   uint64
	config  uint64
	counted map[int]int // tasks that the ledger counts on servers that it owns
	lost    []*loss
}

// loss is a server that another holder took over with part of the tasks that the former holder counts.
type loss struct {
	server, owner, session int
	counted, adopted       int
	noticed                bool
}

type server struct {
	owner   int // the holder that has or last had the lease
	session int
	running int
}

type transaction struct {
	holder *holder
	change quota.Change
	config uint64
}

// model is the table, the backend servers and the holders, with the true number of running tasks.
type model struct {
	draw    func(n int) int
	fault   fault
	now     time.Time
	version uint64
	row     quota.Slices
	rowAt   uint64
	limits  map[uint64]int // by table version
	config  uint64
	holders []*holder
	servers []*server
	flight  []transaction
	starts  int
}

func newModel(draw func(n int) int, f fault) *model {
	m := &model{draw: draw, fault: f, now: time.Unix(1000, 0), version: 1, config: 1, limits: map[uint64]int{1: 6}}
	for i := range 4 {
		m.join()
		m.servers = append(m.servers, &server{owner: i % 3})
	}
	return m
}

func (m *model) join() {
	h := &holder{counted: make(map[int]int)}
	h.ledger.Holder = name(len(m.holders))
	h.ledger.Gone = m.gone
	if len(m.holders)%2 == 0 {
		h.ledger.Demand = m.demand
	}
	h.ledger.Wanted = func(string) bool { return m.draw(3) == 0 }
	m.holders = append(m.holders, h)
	m.read(h)
}

// demand returns digests of some of the holders, with made-up figures.
func (m *model) demand(string) map[string]int {
	demand := make(map[string]int)
	for i, h := range m.holders {
		if !h.dead && m.draw(4) > 0 {
			demand[name(i)] = m.draw(9)
		}
	}
	return demand
}

func name(i int) string { return fmt.Sprint("h", i) }

// gone is the proof that Ledger.Gone describes.
func (m *model) gone(id string) bool {
	for i, h := range m.holders {
		if name(i) == id && !h.dead {
			return false
		}
		if m.fault != returnUncovered && !h.dead && h.ledger.Uncovered(team) > 0 {
			return false
		}
	}
	for _, s := range m.servers {
		if m.fault != returnRunning && m.holders[s.owner].dead && s.running > 0 {
			return false
		}
	}
	return true
}

func (m *model) running() int {
	sum := 0
	for _, s := range m.servers {
		sum += s.running
	}
	return sum
}

func (m *model) largestLimit(since uint64) int {
	largest, base := 0, uint64(0)
	for v, n := range m.limits {
		if v > since {
			largest = max(largest, n)
		} else {
			base = max(base, v)
		}
	}
	return max(largest, m.limits[base])
}

// step does one random event and returns a violation of the guarantee, if there is one.
func (m *model) step() string {
	m.now = m.now.Add(time.Duration(m.draw(2000)) * time.Millisecond)
	i := m.draw(len(m.holders))
	for m.holders[i].dead {
		i = (i + 1) % len(m.holders)
	}
	h, s := m.holders[i], m.draw(len(m.servers))
	active := !h.paused
	switch event := m.draw(32); {
	case event == 0:
		if m.draw(8) == 0 {
			h.dead = true
			m.join()
		}
	case event == 1:
		h.paused = m.draw(4) == 0
	case event == 2:
		if m.draw(4) == 0 {
			m.version++
			m.config = m.version
			m.limits[m.version] = m.draw(12)
		}
	case event <= 7:
		return m.deliver()
	case event <= 9:
		for _, srv := range m.servers {
			srv.running = max(srv.running-m.draw(3), 0)
		}
	case !active:
	case event <= 13:
		m.read(h)
	case event == 14: // a pushed configuration arrives ahead of the row
		h.ledger.SetLimit(team, m.limits[m.config])
		h.config = m.config
	case event <= 20:
		for _, c := range h.ledger.Plan(map[string]int{team: m.draw(7)}, m.now) {
			m.flight = append(m.flight, transaction{holder: h, change: c, config: h.config})
		}
	case event <= 23:
		for s := range m.servers {
			m.report(i, s)
		}
	case event == 24:
		if o := m.holders[m.servers[s].owner]; o.dead || o.paused || m.draw(4) == 0 {
			m.acquire(i, s)
		}
	default:
		for k := range m.servers {
			if o := (s + k) % len(m.servers); m.servers[o].owner == i {
				return m.start(h, o)
			}
		}
	}
	return ""
}

func (m *model) start(h *holder, s int) string {
	before := m.running()
	if !h.ledger.TryStart(team) {
		if m.fault != ignoreSlice {
			return ""
		}
		h.ledger.Adopt(team, 1)
	}
	m.starts++
	h.counted[s]++
	m.servers[s].running++
	if limit := m.largestLimit(h.since); before >= limit {
		return fmt.Sprintf("start with %d running and a limit of %d", before, limit)
	}
	return m.checkCover()
}

func (m *model) checkCover() string {
	if n := m.running(); n > m.row.Sum() {
		return fmt.Sprintf("%d running with %d slots in the row", n, m.row.Sum())
	}
	return ""
}

func (m *model) read(h *holder) {
	h.ledger.SetLimit(team, m.limits[m.config])
	h.ledger.SetSlices(team, m.row, m.rowAt)
	h.since, h.config = m.version, m.config
}

// deliver commits one transaction that is under way, in any order. Its reply may be lost.
func (m *model) deliver() string {
	if len(m.flight) == 0 {
		return ""
	}
	k := m.draw(len(m.flight))
	t := m.flight[k]
	m.flight = append(m.flight[:k], m.flight[k+1:]...)
	h, lost := t.holder, m.draw(3) == 0
	if t.change.Version() != m.rowAt || (t.change.Grows() && t.config != m.config && m.fault != ignoreCondition) {
		h.ledger.Failed(t.change)
		return ""
	}
	before := m.row.Sum()
	row, err := quota.DecodeSlices(t.change.Slices().Encode())
	if err != nil {
		return err.Error()
	}
	m.version++
	m.row, m.rowAt = row, m.version
	if !lost && !h.paused {
		h.ledger.Applied(t.change, m.rowAt)
	}
	if limit := m.limits[m.config]; m.row.Sum() > max(limit, before) {
		return fmt.Sprintf("sum rises from %d to %d with a limit of %d", before, m.row.Sum(), limit)
	}
	return m.checkCover()
}

// report tells a holder which tasks have ended on a server that it owns, or what became of a server that it lost.
func (m *model) report(i, s int) {
	h, srv := m.holders[i], m.servers[s]
	if srv.owner == i {
		for ; h.counted[s] > srv.running; h.counted[s]-- {
			h.ledger.Ended(team)
		}
		return
	}
	for k, l := range h.lost {
		if !l.noticed {
			h.ledger.Lost(team, l.counted)
			l.noticed = true
			return
		}
		o := m.holders[l.owner]
		if m.servers[l.server].session == l.session && !o.dead && o.ledger.Owed(team, name(i)) == 0 &&
			h.ledger.Version(team) >= o.ledger.Version(team) {
			h.ledger.Settle(team, l.counted-l.adopted)
			h.lost = append(h.lost[:k], h.lost[k+1:]...)
			return
		}
	}
}

// acquire makes a holder the owner of a server whose former owner's lease has expired or was released.
func (m *model) acquire(i, s int) {
	h, srv := m.holders[i], m.servers[s]
	former := m.holders[srv.owner]
	if former == h {
		return
	}
	l := &loss{server: s, owner: i, session: srv.session + 1, counted: former.counted[s], adopted: srv.running}
	former.lost = append(former.lost, l)
	delete(former.counted, s)

	h.ledger.Adopt(team, srv.running)
	h.ledger.Inherit(team, name(srv.owner), srv.running)
	h.counted[s] = srv.running
	srv.owner, srv.session = i, l.session
}

func run(draw func(n int) int, f fault, steps int) (string, *model) {
	m := newModel(draw, f)
	for range steps {
		if violation := m.step(); violation != "" {
			return violation, m
		}
	}
	return "", m
}

// Guards against starts above a team's limit when replies are lost, commits are delayed, holders pause or die with
// tasks running, servers change owners, and limits change.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		numbers := make(map[int]*rapid.Generator[int])
		draw := func(n int) int {
			if numbers[n] == nil {
				numbers[n] = rapid.IntRange(0, n-1)
			}
			return numbers[n].Draw(r, "n")
		}
		violation, _ := run(draw, noFault, 300)
		assert.Equal(r, violation, "")
	})
}

// Guards against a checker that can't fail, and against a correct ledger that never starts anything.
func TestCheckerDetectsFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		seeds uint64
		fails bool
	}{
		{"none", noFault, 2000, false},
		{"slice ignored at start", ignoreSlice, 20_000, true},
		{"slice returned while tasks of the dead holder run", returnRunning, 20_000, true},
		{"slice returned while adopted tasks are uncovered", returnUncovered, 20_000, true},
		{"growth not conditional on the configuration", ignoreCondition, 20_000, true},
	} {
		starts, violation := 0, ""
		for seed := uint64(0); seed < c.seeds && violation == ""; seed++ {
			v, m := run(rand.New(rand.NewPCG(seed, 1)).IntN, c.fault, 400)
			starts += m.starts
			violation = v
		}
		assert.Equal(t, violation != "", c.fails, "%s: %s", c.name, violation)
		assert.Assert(t, c.fails || starts > 10_000, "%d starts", starts)
	}
}
