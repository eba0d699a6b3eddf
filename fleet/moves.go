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

const (
	moveSettles = 2500 * time.Millisecond // after the move itself: registration, list and first report of the new server
)

// move is a VM on its way to another pool.
type move struct {
	pool     string
	server   string // that the VM had
	sent     time.Time
	inFlight bool // an order is to be sent, or has no outcome yet
	accepted bool
}

// balance moves VMs to the pools that need them.
func (s *State) balance(now time.Time) {
	s.settleMoves(now)
	if len(s.vms) == 0 || s.directory == nil || !s.mayStart(now) {
		return
	}
	pools := s.poolLoads(now)
	s.logPools(pools, now)
	s.scarce = schedule.CapacityShortage(pools)
	for _, m := range schedule.PlanMoves(pools) {
		s.planMove(m.VM, m.To, now)
	}
}

// logPools tells from time to time how much room the pools have.
func (s *State) logPools(pools []schedule.Pool, now time.Time) {
	if now.Sub(s.poolsLogged) < statusInterval {
		return
	}
	s.poolsLogged = now
	for i := range pools {
		p := &pools[i]
		idle := 0
		for _, v := range p.Servers {
			if v.Idle {
				idle++
			}
		}
		klog.InfoS("Pool", "pool", p.Name, "servers", len(p.Servers), "joining", p.Joining, "idle", idle,
			"load", math.Round(p.Load*10)/10, "lasting", p.LongRunningServers, "over-limit", s.overLimit[p.Name], "short", p.LongRunningShortage,
			"want", p.TargetSize(), "arriving", math.Round(p.ArrivalRate), "departing", math.Round(p.DepartureRate))
	}
}

// settleMoves forgets moves whose VM is in service, or should be.
func (s *State) settleMoves(now time.Time) {
	for name, m := range s.moves {
		vm, listed := s.vms[name]
		arrived := m.accepted && listed && vm.Pool == m.pool && vm.State == backend.VMUp && vm.Server != m.server &&
			(s.inService(vm.Server, now) || s.spare(m.pool))
		if arrived || (!m.inFlight && now.Sub(m.sent) > s.MoveTime+moveSettles) {
			s.endMove(name, m)
		}
	}
}

func (s *State) endMove(name string, m *move) {
	delete(s.moves, name)
	if v, known := s.servers[m.server]; known && !m.accepted {
		v.leaving = false
	}
	s.schedule = true
}

func (s *State) spare(pool string) bool {
	p, known := s.directory.Pool(pool)
	return known && p.Spare
}

func (s *State) inService(id string, now time.Time) bool {
	v, known := s.servers[id]
	return known && v.usable(now)
}

// poolLoads returns the state of all pools.
func (s *State) poolLoads(now time.Time) []schedule.Pool {
	byName := make(map[string]*schedule.Pool)
	capacity := make(map[string]workload.Resources)
	var names []string
	for name, p := range s.directory.Pools() {
		byName[name] = &schedule.Pool{Name: name, Spare: p.Spare}
		names = append(names, name)
	}
	sort.Strings(names)
	for _, vm := range s.vms {
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
	for _, j := range s.jobs {
		pool := s.poolOf(j)
		if p, known := byName[pool]; known && !j.state.Final() {
			p.Load += j.load(capacity[pool])
		}
	}
	for name, p := range byName {
		p.ArrivalRate, p.DepartureRate = s.arrivals[name].rate(now), s.departures[name].rate(now)
		p.LongRunningShortage = s.short[name]
	}
	pools := make([]schedule.Pool, 0, len(names))
	for _, name := range names {
		p := byName[name]
		sort.Slice(p.Servers, func(a, b int) bool { return p.Servers[a].VM < p.Servers[b].VM })
		pools = append(pools, *p)
	}
	return pools
}

func (s *State) addToPool(p *schedule.Pool, vm backend.VM, now time.Time) {
	if _, moving := s.moves[vm.Name]; moving || vm.State != backend.VMUp || !s.mayOrderVM(vm.Name, now) {
		return
	}
	if p.Spare {
		idle := !s.inMaintenance(vm.Name) && !s.zonesOut[vm.Zone]
		p.Servers = append(p.Servers, schedule.PoolServer{
			VM: vm.Name, Idle: idle, IdleFor: now.Sub(s.began), MaintenanceDue: s.due[vm.Name],
		})
		return
	}
	v, known := s.servers[vm.Server]
	if !known || !v.usable(now) || s.zonesOut[vm.Zone] || s.inMaintenance(vm.Name) {
		return
	}
	ps := schedule.PoolServer{
		VM: vm.Name, Idle: len(v.attempts) == 0 && !v.leaving, IdleFor: now.Sub(v.idleSince), MaintenanceDue: s.due[vm.Name],
	}
	if v.lasting() {
		p.LongRunningServers++
	}
	p.Servers = append(p.Servers, ps)
}

func (s *State) inMaintenance(vm string) bool {
	for _, w := range s.waves {
		if w.busy(vm) {
			return true
		}
	}
	return false
}

// lasting reports whether the server has tasks that last.
func (v *server) lasting() bool {
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() {
			return true
		}
	}
	return false
}

// startingLasting reports whether a task that lasts isn't at work yet on the server.
func (v *server) startingLasting() bool {
	for _, a := range v.attempts {
		if a.task.step.spec.LongRunning() && a.phase != storing && !a.stopWanted && a.percent < 100 {
			return true
		}
	}
	return false
}

// load returns what runs and waits of a job, in servers of the given capacity.
func (j *job) load(capacity workload.Resources) float64 {
	total := 0.0
	for occurrence := range j.made {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.left > 0 && j.mayStart(occurrence, st) {
				total += float64(st.left) * st.spec.Reserves().DominantShare(capacity)
			}
		}
	}
	return total
}

// planMove asks for a move. Its order is sent once the intent is stored.
func (s *State) planMove(vm, pool string, now time.Time) {
	listed := s.vms[vm]
	if v, known := s.servers[listed.Server]; known {
		if len(v.attempts) > 0 {
			return
		}
		v.leaving = true
	}
	s.moves[vm] = &move{pool: pool, server: listed.Server, sent: now, inFlight: true}
	s.vmOrders = append(s.vmOrders, vmOrder{vm: vm, effect: MoveVM{VM: vm, Pool: pool, Token: s.Token}})
	klog.InfoS("Move ordered", "vm", vm, "from", listed.Pool, "to", pool, "server", listed.Server,
		"list-age", now.Sub(s.vmsAsked))
}

func (s *State) moveEnded(e VMMoveEnded, now time.Time) {
	m, known := s.moves[e.VM]
	if !known || !m.inFlight {
		return
	}
	m.inFlight = false
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		m.accepted = true
		if v, known := s.servers[m.server]; known {
			s.abandon(v, now, "moved")
		}
	case backend.Refused:
		klog.InfoS("Move refused", "vm", e.VM, "reason", o.Reason)
		if o.Reason == backend.RefusedStaleToken {
			s.depose("vm-knows-newer-token")
			return
		}
		s.endMove(e.VM, m)
	case backend.OutcomeUnknown, backend.Reported:
		// The order may be carried out. Until the list tells, the VM gets no work.
		klog.InfoS("No answer to a move", "vm", e.VM)
		m.sent = now
	}
}
