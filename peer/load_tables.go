package peer

import (
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
)

// loadTables is the load of a digest by pool, team and class, the part that is sent as a delta.
type loadTables struct {
	pools numberTable
	teams numberTable
	waits numberTable
}

// loadTablesOf returns the load of d. The last column of teams is the slots that the backlog could use.
func loadTablesOf(d Digest) loadTables {
	t := loadTables{
		pools: make(numberTable, len(d.freeSlots)),
		teams: make(numberTable, max(len(d.running), len(d.slotDemand))),
		waits: make(numberTable, len(d.longestWait)),
	}
	for p, n := range d.freeSlots {
		t.pools[p] = numberRow{int64(n)}
	}
	for n, s := range d.running {
		t.teams[n] = numberRow{int64(s.Processors()), int64(s.MemoryMiB()), int64(s.Accelerators()), int64(s.Slots())}
	}
	for n, w := range d.slotDemand {
		v := t.teams[n]
		v[teamColumns-1] = int64(w)
		t.teams[n] = v
	}
	for c, w := range d.longestWait {
		t.waits[c] = numberRow{w.Milliseconds()}
	}
	return t
}

// digest returns the digest with the load of t and all other values of w.
func (t loadTables) digest(w *peerwire.Digest) Digest {
	free := make(map[string]int, len(t.pools))
	for p, v := range t.pools {
		free[p] = int(v[0])
	}
	running, slotDemand := make(map[string]provider.Shape, len(t.teams)), make(map[string]int, len(t.teams))
	for n, v := range t.teams {
		running[n] = provider.NewShape(int(v[0]), int(v[1]), int(v[2]), int(v[3]))
		slotDemand[n] = int(v[teamColumns-1])
	}
	oldest := make(map[string]time.Duration, len(t.waits))
	for c, v := range t.waits {
		oldest[c] = time.Duration(v[0]) * time.Millisecond
	}
	return NewDigest(w.GetMember(), w.GetIncarnation(), w.GetConfigurationVersion(), w.GetTableReachable()).
		WithFreeSlots(free).WithRunning(running).WithSlotDemand(slotDemand).WithLongestWait(oldest).
		WithUncovered(int(w.GetUncovered())).WithRecognized(w.GetRecognized()).WithDraining(w.GetLeaving())
}
