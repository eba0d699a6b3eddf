package fleet_test

import (
	"sort"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// simFaults are the faults of a simulation and the duration of its runs.
type simFaults struct {
	leaderless   bool            // no entry VM carries anything out
	listLag      time.Duration   // age of the list of VMs when it is requested
	cutOff       map[string]bool // servers that neither receive requests nor respond
	refusedShare float64         // of the requests for VMs, refused because of a rate limit
	shortest     time.Duration   // duration of the shortest run, or 0 for 0.5 s
	spread       time.Duration   // between the shortest and the longest run, or 0 for 1 s
	lists        []simList       // recent lists of VMs
}

// simList is a list of VMs as it was at a time.
type simList struct {
	at  time.Time
	vms []backend.VM
}

func (sm *simulation) runTime() time.Duration {
	shortest, spread := sm.faults.shortest, sm.faults.spread
	if shortest == 0 {
		shortest, spread = 500*time.Millisecond, time.Second
	}
	return shortest + time.Duration(sm.random.IntN(int(spread/time.Millisecond)))*time.Millisecond
}

// incarnation returns that of a server that starts. Lists that lag are told from current ones by it.
func (sm *simulation) incarnation() int64 {
	if sm.faults.listLag == 0 {
		return 1
	}
	return sm.now.UnixMilli()
}

// laggingList returns the list of VMs as it was listLag ago.
func (sm *simulation) laggingList() []backend.VM {
	current := simList{at: sm.now, vms: sm.list()}
	if sm.faults.listLag == 0 {
		return current.vms
	}
	sm.faults.lists = append(sm.faults.lists, current)
	for len(sm.faults.lists) > 1 && sm.now.Sub(sm.faults.lists[1].at) >= sm.faults.listLag {
		sm.faults.lists = sm.faults.lists[1:]
	}
	return sm.faults.lists[0].vms
}

// injectFault reports whether an effect isn't carried out as usual because of a fault.
func (sm *simulation) injectFault(e fleet.Effect) bool {
	switch e := e.(type) {
	case fleet.Poll:
		if sm.faults.cutOff[e.Target.ID] {
			sm.after(e.Request.MaxWait+900*time.Millisecond, func() {
				sm.state.Handle(fleet.PollEnded{
					Server: e.Target.ID, Sequence: e.Sequence, Outcome: backend.OutcomeUnknown{Reason: "no response"},
				}, sm.now)
			})
			return true
		}
	case fleet.Start:
		if sm.faults.cutOff[e.Target.ID] {
			sm.after(900*time.Millisecond, func() {
				sm.state.Handle(fleet.StartEnded{
					Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Request.Run, Outcome: backend.OutcomeUnknown{Reason: "no response"},
				}, sm.now)
			})
			return true
		}
	case fleet.Stop:
		if sm.faults.cutOff[e.Target.ID] {
			sm.after(900*time.Millisecond, func() {
				sm.state.Handle(fleet.StopEnded{
					Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: backend.OutcomeUnknown{Reason: "no response"},
				}, sm.now)
			})
			return true
		}
	case fleet.MaintainVM:
		if sm.faults.refusedShare > 0 && sm.random.Float64() < sm.faults.refusedShare {
			sm.after(time.Millisecond, func() {
				sm.state.Handle(fleet.MaintenanceEnded{VM: e.VM, Wave: e.Wave, Outcome: backend.Refused{Reason: backend.RefusedBusy}}, sm.now)
			})
			return true
		}
	}
	return false
}

// cutOffServer cuts a server off for d. Its runs end with its lease.
func (sm *simulation) cutOffServer(id string, d time.Duration) {
	if sm.faults.cutOff == nil {
		sm.faults.cutOff = make(map[string]bool)
	}
	sm.faults.cutOff[id] = true
	sm.after(d, func() { delete(sm.faults.cutOff, id) })
	sm.after(fleet.ShortLease, func() {
		if s, up := sm.servers[id]; up && sm.faults.cutOff[id] {
			clear(s.running)
		}
	})
}

// replaceLeader ends the leader, and begins a new term from the stored rows after d.
func (sm *simulation) replaceLeader(d time.Duration, operations ...directory.Operation) {
	sm.faults.leaderless = true
	sm.after(d, func() {
		sm.faults.leaderless = false
		previous := sm.state
		sm.version++
		sm.state = &fleet.State{
			EntryVM: previous.EntryVM + "x", Token: previous.Token + 1000, TermRequestedAt: sm.now,
			Term:            fleet.Term{Holder: "x", DurationMS: 1500}.WithVersion(previous.Token + 1000),
			MaintenanceTime: previous.MaintenanceTime, MoveTime: previous.MoveTime,
			HandoverPause: 3 * time.Second, StopTime: 900 * time.Millisecond,
		}
		sm.version = max(sm.version, sm.state.Token)
		sm.state.Begin(sm.now)
		sm.state.Restore(sm.stored(operations), sm.now)
		if row, known := sm.rows[fleet.VMRequestsKey]; known {
			sm.state.RestoreVMRequests(provider.NewRow(fleet.VMRequestsKey, row, 1))
		}
		var ids []string
		for id := range sm.servers {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			sm.register(id)
		}
	})
}

func (sm *simulation) stored(operations []directory.Operation) fleet.Stored {
	stored := fleet.Stored{Progress: make(map[string]workload.Progress), Operations: operations}
	var ids []string
	for id := range sm.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		stored.Jobs = append(stored.Jobs, sm.jobs[id])
		if row, known := sm.rows[fleet.ProgressPrefix+id]; known {
			p, err := workload.DecodeProgress(row)
			if err != nil {
				panic(err)
			}
			stored.Progress[id] = p
		}
	}
	for key, row := range sm.rows {
		if strings.HasPrefix(key, fleet.WavesPrefix) {
			stored.Waves = append(stored.Waves, provider.NewRow(key, row, 1))
		}
	}
	return stored
}
