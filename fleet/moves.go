package fleet

import (
	"math"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// moveSettleTime is the time after a move until the VM's new server is registered, listed and has sent its first
// report.
const moveSettleTime = 2500 * time.Millisecond

// rebalanceIntervalPerVM times the number of VMs is the shortest time between two plans of moves, up to
// maxRebalanceInterval, so that the processor time of planning grows less than the fleet.
const (
	rebalanceIntervalPerVM = 150 * time.Microsecond
	maxRebalanceInterval   = 200 * time.Millisecond // bounds the delay of moves at the start of a burst
)

// move is the move of a VM to another pool.
type move struct {
	pool     string
	server   string    // id of the VM's server before the move
	sent     time.Time // when the move was requested, or its request failed without a response
	inFlight bool      // the request is to be sent, or has no outcome yet
	accepted bool
}

// rebalance moves VMs to the pools that need more servers.
func (s *State) rebalance(now time.Time) {
	s.finishMoves(now)
	if now.Sub(s.rebalancedAt) < min(time.Duration(len(s.vms))*rebalanceIntervalPerVM, maxRebalanceInterval) {
		return
	}
	s.rebalancedAt = now
	if len(s.vms) == 0 || s.directory == nil || !s.maySendRequests(now) {
		return
	}
	pools := s.poolLoads(now)
	s.logPools(pools, now)
	s.updateForecast(pools, now)
	s.capacityShortage = schedule.CapacityShortage(pools)
	for _, m := range schedule.PlanMoves(pools) {
		s.requestMove(m.VM, m.To, now)
	}
	s.releaseServers(schedule.PlanReleases(pools))
}

// releaseServers sets on which servers no new runs are placed because another pool needs their VMs.
func (s *State) releaseServers(vms []string) {
	for _, v := range s.releasing {
		v.releasing = false
	}
	s.releasing = s.releasing[:0]
	for _, vm := range vms {
		if v, known := s.servers[s.vms[vm].Server]; known {
			v.releasing = true
			s.releasing = append(s.releasing, v)
		}
	}
}

// logPools logs the size and load of each pool every statusInterval.
func (s *State) logPools(pools []schedule.Pool, now time.Time) {
	if now.Sub(s.poolsLoggedAt) < statusInterval {
		return
	}
	s.poolsLoggedAt = now
	for i := range pools {
		p := &pools[i]
		idle := 0
		for _, v := range p.Servers {
			if v.Idle {
				idle++
			}
		}
		klog.InfoS("Pool status", "pool", p.Name, "servers", len(p.Servers), "joining", p.Joining, "idle", idle,
			"load", math.Round(p.Load*10)/10, "late-load", math.Round(p.LateLoad*10)/10,
			"expired-load", math.Round(p.ExpiredLoad*10)/10, "long-running-servers", p.LongRunningServers, "over-limit", s.overLimit[p.Name],
			"long-running-shortage", p.LongRunningShortage, "target-size", p.TargetSize(),
			"arrival-rate", math.Round(p.ArrivalRate), "departure-rate", math.Round(p.DepartureRate))
	}
}

// finishMoves removes the moves whose VM is in service in its new pool, and those that take too long.
func (s *State) finishMoves(now time.Time) {
	for name, m := range s.moves {
		vm, listed := s.vms[name]
		arrived := m.accepted && listed && vm.Pool == m.pool && vm.State == backend.VMUp && vm.Server != m.server &&
			(s.inService(vm.Server, now) || s.isSpare(m.pool))
		switch {
		case arrived:
			s.endMove(name, m)
		case !m.inFlight && now.Sub(m.sent) > s.MoveTime+moveSettleTime:
			s.moveGivenUpAt[name] = now
			s.endMove(name, m)
		}
	}
}

func (s *State) endMove(name string, m *move) {
	delete(s.moves, name)
	if v, known := s.servers[m.server]; known && !m.accepted {
		v.cordoned = false
	}
	s.placeAll = true
}

func (s *State) isSpare(pool string) bool {
	p, known := s.directory.Pool(pool)
	return known && p.Spare
}

func (s *State) inService(id string, now time.Time) bool {
	v, known := s.servers[id]
	return known && v.usable(now)
}

// poolLoads returns the servers, load and work rates of all pools.
func (s *State) poolLoads(now time.Time) []schedule.Pool {
	byName := make(map[string]*schedule.Pool)
	capacity := make(map[string]workload.Resources)
	var names []string
	for name, p := range s.directory.Pools() {
		byName[name] = &schedule.Pool{Name: name, Spare: p.Spare}
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range s.vmNames {
		vm := s.vms[name]
		p, known := byName[vm.Pool]
		if !known {
			continue
		}
		if capacity[vm.Pool].MilliCores() == 0 {
			capacity[vm.Pool] = vm.Capacity
		}
		s.addToPool(p, vm, now)
	}
	for _, m := range s.moves {
		if p, known := byName[m.pool]; known {
			p.Joining++
		}
	}
	satisfied := make(map[requirement]bool)
	for _, j := range s.jobs {
		pool := s.poolOf(j)
		if p, known := byName[pool]; known && !j.state.Final() {
			rest := j.remaining(capacity[pool])
			if j.labelled {
				rest.load -= s.loadWithoutVM(j, capacity[pool], satisfied)
			}
			s.addLoad(p, j, rest, now)
		}
	}
	for name, p := range byName {
		p.ArrivalRate, p.DepartureRate = s.arrivals[name].rate(now), s.departures[name].rate(now)
		p.LongRunningShortage, p.IsolatedServers = s.longRunningShortage[name], s.isolatedServers[name]
		p.Lacks = s.vmsLacking(name)
	}
	pools := make([]schedule.Pool, 0, len(names))
	for _, name := range names {
		pools = append(pools, *byName[name])
	}
	return pools
}

// addLoad adds the running and pending work of a job to the load of its pool.
func (s *State) addLoad(p *schedule.Pool, j *job, rest estimate, now time.Time) {
	if j.longRunning || j.spec.Scheduled() {
		p.Load += rest.load
		return
	}
	outlook := schedule.Outlook(j.submitted, j.measuredObjective(now), rest.path, now)
	if j.beyondWeight && outlook == schedule.OnTime {
		outlook = schedule.Late
	}
	switch outlook {
	case schedule.OnTime:
		p.Load += rest.load
	case schedule.Late:
		p.LateLoad += rest.load
	case schedule.Expired:
		p.ExpiredLoad += rest.load
	}
}

func (s *State) addToPool(p *schedule.Pool, vm backend.VM, now time.Time) {
	if _, moving := s.moves[vm.Name]; moving || vm.State != backend.VMUp || !s.vmRequestAllowed(vm.Name, now) {
		return
	}
	if p.Spare {
		idle := s.listIsCurrent(vm.Name) && !s.inMaintenance(vm.Name) && !s.evacuatedZones[vm.Zone]
		p.Servers = append(p.Servers, schedule.PoolServer{
			VM: vm.Name, Idle: idle, IdleFor: now.Sub(s.began), MaintenanceDue: s.maintenanceDue[vm.Name],
		})
		return
	}
	v, known := s.servers[vm.Server]
	if !known || !v.usable(now) || s.evacuatedZones[vm.Zone] || s.inMaintenance(vm.Name) || !s.listIsCurrent(vm.Name) {
		return
	}
	ps := schedule.PoolServer{
		VM: vm.Name, Idle: len(v.attempts) == 0 && !v.cordoned, IdleFor: now.Sub(v.idleSince),
		MaintenanceDue: s.maintenanceDue[vm.Name], Runs: len(v.attempts), HasLongRunning: v.hasLongRunning(),
		Releasing: v.releasing,
	}
	if v.hasLongRunning() {
		p.LongRunningServers++
	}
	p.Servers = append(p.Servers, ps)
}

func (s *State) inMaintenance(vm string) bool {
	for _, w := range s.waves {
		if w.inProgress(vm) {
			return true
		}
	}
	return false
}

// hasLongRunning reports whether the server has runs of long-running tasks.
func (v *server) hasLongRunning() bool { return v.longRunning > 0 }

// startsLongRunning reports whether a long-running task on the server is starting up.
func (v *server) startsLongRunning() bool {
	if !v.hasLongRunning() {
		return false
	}
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() && a.phase != storing && !a.stopAccepted && (a.percent < 100 || !a.survived) {
			return true
		}
	}
	return false
}

// load returns the resources that the running and pending tasks of a job need, in servers of the given capacity.
func (j *job) load(capacity workload.Resources) float64 {
	total := 0.0
	for _, occurrence := range j.open {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.remaining > 0 && j.dependenciesDone(occurrence, st) {
				total += float64(st.remaining-st.givenUp) * st.spec.Reserves().DominantShare(capacity)
			}
		}
	}
	return total
}

// requestMove moves an idle VM to a pool. The request is sent once its intent is stored.
func (s *State) requestMove(vm, pool string, now time.Time) {
	listed := s.vms[vm]
	if v, known := s.servers[listed.Server]; known {
		if len(v.attempts) > 0 {
			return
		}
		v.cordoned = true
	}
	s.moves[vm] = &move{pool: pool, server: listed.Server, sent: now, inFlight: true}
	s.vmRequests = append(s.vmRequests, vmRequest{vm: vm, effect: MoveVM{VM: vm, Pool: pool, Token: s.Token}})
	klog.InfoS("Moving VM", "vm", vm, "from", listed.Pool, "to", pool, "server", listed.Server,
		"list-age", now.Sub(s.vmsListedAt))
}

func (s *State) moveEnded(e VMMoveEnded, now time.Time) {
	s.vmRequestEnded(e.VM, e.Outcome, now)
	m, known := s.moves[e.VM]
	if !known || !m.inFlight {
		return
	}
	m.inFlight = false
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		m.accepted = true
		s.endLateStartsOf(m.server, "vm-moved")
		if v, known := s.servers[m.server]; known {
			s.retire(v, "moved", now)
		}
	case backend.Refused:
		klog.InfoS("Move refused", "vm", e.VM, "reason", o.Reason)
		if o.Reason == backend.RefusedStaleToken {
			s.depose("vm-knows-newer-token")
			return
		}
		s.endMove(e.VM, m)
	case backend.OutcomeUnknown, backend.Reported:
		// The move may still happen. The VM gets no new runs until the list of VMs shows it or the move times out.
		klog.InfoS("No response to move request", "vm", e.VM)
		m.sent = now
	}
}
