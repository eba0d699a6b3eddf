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

// fault is a defect that is injected into the model, and that its checks must detect.
type fault int

const (
	noFault         fault = iota
	ignoreSlice           // tasks start beyond the slice
	returnRunning         // slices of dead holders are returned while their tasks run
	returnUncovered       // slices are returned while other holders report uncovered tasks
	ignoreCondition       // growth isn't conditional on the configuration version
)

// holder is an entry VM with one ledger. Its copies of the row and the limit are of table version readVersion or newer.
type holder struct {
	ledger        quota.Ledger
	dead          bool        // stopped for good while its tasks may still run
	paused        bool        // doesn't act or receive replies
	readVersion   uint64      // table version of the last read
	configVersion uint64      // of the limit, which a push may have made newer
	countedTasks  map[int]int // by server that the holder owns: tasks that its ledger counts
	lostServers   []*lostServer
}

// lostServer is a server that another holder took over. The former holder may count more tasks than were adopted,
// because some had ended.
type lostServer struct {
	server, owner, session     int
	countedTasks, adoptedTasks int
	reported                   bool // to the ledger of the former holder
}

type server struct {
	owner        int // the holder that has the lease or had it last
	session      int // number of changes of the owner
	runningTasks int
}

type transaction struct {
	holder        *holder
	change        quota.Change
	configVersion uint64
}

// model simulates the table, the backend servers with the actual running tasks, and the holders.
type model struct {
	draw          func(n int) int
	fault         fault
	now           time.Time
	version       uint64
	row           quota.Slices
	rowVersion    uint64
	limits        map[uint64]int // by table version
	configVersion uint64
	holders       []*holder
	servers       []*server
	inFlight      []transaction
	starts        int // number of tasks started
}

func newModel(draw func(n int) int, f fault) *model {
	m := &model{
		draw: draw, fault: f, now: time.Unix(1000, 0), version: 1, configVersion: 1, limits: map[uint64]int{1: 6},
	}
	for i := range 4 {
		m.addHolder()
		m.servers = append(m.servers, &server{owner: i % 3})
	}
	return m
}

func (m *model) addHolder() {
	h := &holder{countedTasks: make(map[int]int)}
	h.ledger.Holder = holderID(len(m.holders))
	h.ledger.Reclaimable = m.reclaimable
	if len(m.holders)%2 == 0 {
		h.ledger.Demand = m.demand
	}
	h.ledger.OthersShort = func(string) bool { return m.draw(3) == 0 }
	m.holders = append(m.holders, h)
	m.read(h)
}

// demand returns random figures for a random choice of the live holders, as Ledger.Demand.
func (m *model) demand(string) map[string]int {
	demand := make(map[string]int)
	for i, h := range m.holders {
		if !h.dead && m.draw(4) > 0 {
			demand[holderID(i)] = m.draw(9)
		}
	}
	return demand
}

func holderID(i int) string { return fmt.Sprint("h", i) }

// reclaimable returns what Ledger.Reclaimable is defined to return, except for injected faults.
func (m *model) reclaimable(id string) bool {
	for i, h := range m.holders {
		if holderID(i) == id && !h.dead {
			return false
		}
		if m.fault != returnUncovered && !h.dead && h.ledger.Uncovered(team) > 0 {
			return false
		}
	}
	for _, s := range m.servers {
		if m.fault != returnRunning && m.holders[s.owner].dead && s.runningTasks > 0 {
			return false
		}
	}
	return true
}

// running returns the actual number of running tasks.
func (m *model) running() int {
	sum := 0
	for _, s := range m.servers {
		sum += s.runningTasks
	}
	return sum
}

// largestLimit returns the largest limit in force at any time since a table version.
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

// step simulates one random event. It returns a description of a violated guarantee, empty if there is none.
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
			m.addHolder()
		}
	case event == 1:
		h.paused = m.draw(4) == 0
	case event == 2:
		if m.draw(4) == 0 {
			m.version++
			m.configVersion = m.version
			m.limits[m.version] = m.draw(12)
		}
	case event <= 7:
		return m.commitOne()
	case event <= 9:
		for _, srv := range m.servers {
			srv.runningTasks = max(srv.runningTasks-m.draw(3), 0)
		}
	case !active:
	case event <= 13:
		m.read(h)
	case event == 14: // a pushed configuration arrives before the row is read
		h.ledger.SetLimit(team, m.limits[m.configVersion])
		h.configVersion = m.configVersion
	case event <= 20:
		for _, c := range h.ledger.Plan(map[string]int{team: m.draw(7)}, m.now) {
			m.inFlight = append(m.inFlight, transaction{holder: h, change: c, configVersion: h.configVersion})
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

// start starts a task if the ledger allows it, and checks that the limit holds.
func (m *model) start(h *holder, s int) string {
	before := m.running()
	if !h.ledger.TryStart(team) {
		if m.fault != ignoreSlice {
			return ""
		}
		h.ledger.Adopt(team, 1)
	}
	m.starts++
	h.countedTasks[s]++
	m.servers[s].runningTasks++
	if limit := m.largestLimit(h.readVersion); before >= limit {
		return fmt.Sprintf("task started with %d running and a limit of %d", before, limit)
	}
	return m.checkCover()
}

// checkCover checks that the row has a slot for each running task.
func (m *model) checkCover() string {
	if n := m.running(); n > m.row.TotalSlots() {
		return fmt.Sprintf("%d tasks running with %d slots in the row", n, m.row.TotalSlots())
	}
	return ""
}

func (m *model) read(h *holder) {
	h.ledger.SetLimit(team, m.limits[m.configVersion])
	h.ledger.SetSlices(team, m.row, m.rowVersion)
	h.readVersion, h.configVersion = m.version, m.configVersion
}

// commitOne commits one of the transactions in flight, in any order. Its reply may be lost.
func (m *model) commitOne() string {
	if len(m.inFlight) == 0 {
		return ""
	}
	k := m.draw(len(m.inFlight))
	t := m.inFlight[k]
	m.inFlight = append(m.inFlight[:k], m.inFlight[k+1:]...)
	h, replyLost := t.holder, m.draw(3) == 0
	if t.change.Version() != m.rowVersion ||
		(t.change.Grows() && t.configVersion != m.configVersion && m.fault != ignoreCondition) {
		h.ledger.ChangeFailed(t.change)
		return ""
	}
	before := m.row.TotalSlots()
	row, err := quota.DecodeSlices(t.change.Slices().Encode())
	if err != nil {
		return err.Error()
	}
	m.version++
	m.row, m.rowVersion = row, m.version
	if !replyLost && !h.paused {
		h.ledger.ChangeApplied(t.change, m.rowVersion)
	}
	if limit := m.limits[m.configVersion]; m.row.TotalSlots() > max(limit, before) {
		return fmt.Sprintf("sum of the slots rises from %d to %d with a limit of %d", before, m.row.TotalSlots(), limit)
	}
	return m.checkCover()
}

// report reports to a holder the tasks that have ended on a server that it owns. For a server that it doesn't own, it
// reports that a server was lost, or resolves one that was reported as lost before.
func (m *model) report(i, s int) {
	h, srv := m.holders[i], m.servers[s]
	if srv.owner == i {
		for ; h.countedTasks[s] > srv.runningTasks; h.countedTasks[s]-- {
			h.ledger.TaskEnded(team)
		}
		return
	}
	for k, l := range h.lostServers {
		if !l.reported {
			h.ledger.MarkLost(team, l.countedTasks)
			l.reported = true
			return
		}
		o := m.holders[l.owner]
		if m.servers[l.server].session == l.session && !o.dead && o.ledger.PendingMoves(team, holderID(i)) == 0 &&
			h.ledger.Version(team) >= o.ledger.Version(team) {
			h.ledger.ReleaseEndedLost(team, l.countedTasks-l.adoptedTasks)
			h.lostServers = append(h.lostServers[:k], h.lostServers[k+1:]...)
			return
		}
	}
}

// acquire makes a holder the owner of a server after the lease of the former owner expired or was released.
func (m *model) acquire(i, s int) {
	h, srv := m.holders[i], m.servers[s]
	former := m.holders[srv.owner]
	if former == h {
		return
	}
	l := &lostServer{
		server: s, owner: i, session: srv.session + 1,
		countedTasks: former.countedTasks[s], adoptedTasks: srv.runningTasks,
	}
	former.lostServers = append(former.lostServers, l)
	delete(former.countedTasks, s)

	h.ledger.Adopt(team, srv.runningTasks)
	h.ledger.RequestMove(team, holderID(srv.owner), srv.runningTasks)
	h.countedTasks[s] = srv.runningTasks
	srv.owner, srv.session = i, l.session
}

// run simulates a number of steps and returns the first violation, empty if there is none.
func run(draw func(n int) int, f fault, steps int) (string, *model) {
	m := newModel(draw, f)
	for range steps {
		if violation := m.step(); violation != "" {
			return violation, m
		}
	}
	return "", m
}

// Guards against tasks started above a team's limit when replies are lost, commits are delayed, holders pause or die
// while their tasks run, servers change owners, and limits change.
func TestTeamLimitHoldsUnderFailures(t *testing.T) {
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

// Guards against checks of the model that can't fail, and against a ledger that holds the limit because it starts
// nothing.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fault
		seeds uint64
		fails bool
	}{
		{"none", noFault, 2000, false},
		{"slice ignored at start", ignoreSlice, 20_000, true},
		{"slice returned while tasks of a dead holder run", returnRunning, 20_000, true},
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
