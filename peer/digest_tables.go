package peer

import (
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
)

// digestTables is the part of a digest that is sent as changes.
type digestTables struct {
	pools numberTable
	teams numberTable
	waits numberTable
}

func tablesOf(d Digest) digestTables {
	t := digestTables{
		pools: make(numberTable, len(d.free)),
		teams: make(numberTable, max(len(d.running), len(d.wanted))),
		waits: make(numberTable, len(d.oldest)),
	}
	for p, n := range d.free {
		t.pools[p] = numbers{int64(n)}
	}
	for n, s := range d.running {
		t.teams[n] = numbers{int64(s.Processors()), int64(s.MemoryMiB()), int64(s.Accelerators()), int64(s.Slots())}
	}
	for n, w := range d.wanted {
		v := t.teams[n]
		v[teamColumns-1] = int64(w)
		t.teams[n] = v
	}
	for c, w := range d.oldest {
		t.waits[c] = numbers{w.Milliseconds()}
	}
	return t
}

// digest returns the digest with these tables and the other values of w.
func (t digestTables) digest(w *peerwire.Digest) Digest {
	free := make(map[string]int, len(t.pools))
	for p, v := range t.pools {
		free[p] = int(v[0])
	}
	running, wanted := make(map[string]provider.Shape, len(t.teams)), make(map[string]int, len(t.teams))
	for n, v := range t.teams {
		running[n] = provider.NewShape(int(v[0]), int(v[1]), int(v[2]), int(v[3]))
		wanted[n] = int(v[teamColumns-1])
	}
	oldest := make(map[string]time.Duration, len(t.waits))
	for c, v := range t.waits {
		oldest[c] = time.Duration(v[0]) * time.Millisecond
	}
	return NewDigest(w.GetMember(), w.GetIncarnation(), w.GetConfigurationVersion(), w.GetTableReachable()).
		WithFreeSlots(free).WithRunning(running).WithWanted(wanted).WithOldestWait(oldest).
		WithUncovered(int(w.GetUncovered())).WithRecognized(w.GetRecognized()).WithLeaving(w.GetLeaving())
}
