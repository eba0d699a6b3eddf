package schedule

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// headroomFactor is the ratio of servers to load. It is above 1 because tasks don't fill a server exactly.
	headroomFactor = 1.15
	// minPoolServers is the smallest size of a pool that isn't spare: a rack may fail, and a burst starts on these
	// servers.
	minPoolServers = 3
	// moveDuration is the time from a request to move a VM until it can take work. It covers the move itself, the
	// registration of the new backend server and its first report.
	moveDuration = 2 * time.Second
	// minIdleBeforeMove is how long a server has to be idle before another pool gets its VM. Servers are also idle for a
	// short time between two steps of a job.
	minIdleBeforeMove = 200 * time.Millisecond
	// minIdleBeforeSwitchOff is how long a server has to be idle before its VM moves to the spare pool, where it is
	// switched off.
	minIdleBeforeSwitchOff = time.Second
)

// PoolServer is a VM of a pool.
type PoolServer struct {
	VM string
	// Idle marks a server in service that has run nothing for the time IdleFor.
	Idle    bool
	IdleFor time.Duration
	// MaintenanceDue marks a VM that is due for maintenance. It moves to another pool last.
	MaintenanceDue bool
	// Runs is the number of runs on the server. HasLongRunning marks a server with long-running tasks.
	Runs           int
	HasLongRunning bool
	// Releasing marks a server that PlanReleases returned the last time.
	Releasing bool
}

// Pool is the state of a pool.
type Pool struct {
	Name string
	// Spare marks a pool whose VMs are switched off. All of them may move to other pools.
	Spare   bool
	Servers []PoolServer
	// Joining is the number of VMs that are moving into the pool.
	Joining int
	// Load is the running and pending work of jobs that can meet their objective and of long-running tasks, in servers.
	// LateLoad is that of jobs that can only meet their hard deadline, ExpiredLoad that of all others.
	Load, LateLoad, ExpiredLoad float64
	// LongRunningServers is the number of servers with long-running tasks.
	LongRunningServers int
	// LongRunningShortage is the number of additional servers needed for long-running tasks that fit on no server of the
	// pool.
	LongRunningShortage int
	// Lacks are the VMs that the pool lacks for tasks that not every VM may run.
	Lacks []Lack
	// IsolatedServers is the number of servers that isolated runs have or need, as they share them with no other starts.
	IsolatedServers int
	// ArrivalRate is the rate at which work is submitted, DepartureRate the rate at which it is completed. Both are in
	// server-seconds per second.
	ArrivalRate, DepartureRate float64
}

// Lack is a number of VMs that a pool lacks, and the names of those that would do.
type Lack struct {
	VMs   map[string]bool
	Count int
}

// Move moves a VM to the pool To.
type Move struct {
	VM string
	To string
}

// need is what a pool is sized for.
type need int

const (
	needOnTime need = iota // jobs that can meet their objective
	needLate               // also jobs that can meet their hard deadline
	needAll
)

// TargetSize returns the number of servers that the pool needs for jobs that can meet their objective, at the time when a
// VM that starts moving now has joined it. Until then the load grows by the difference of the arrival and departure
// rates. At the start of a burst nothing departs for the duration of a task, so all that arrives adds to the load.
func (p *Pool) TargetSize() int { return p.sizeFor(needOnTime) }

func (p *Pool) sizeFor(n need) int {
	if p.Spare {
		return 0
	}
	load := p.Load
	if n >= needLate {
		load += p.LateLoad
	}
	if n >= needAll {
		load += p.ExpiredLoad
	}
	load = (load + max(p.ArrivalRate-p.DepartureRate, 0)*moveDuration.Seconds()) * headroomFactor
	want := max(int(math.Ceil(load)), p.LongRunningServers, minPoolServers) + p.IsolatedServers
	if p.LongRunningShortage > 0 {
		want = max(want, len(p.Servers)+p.LongRunningShortage)
	}
	return want
}

// PlanMoves decides which VMs move to another pool.
//
// Each queue in turn submits about five times its mean rate for some seconds, which is more than its pool can run, and
// a twentieth of its mean in between. Idle VMs of the other pools and of the spare pool move to the pool with the
// burst. VMs that no pool needs move to the spare pool, where they are switched off.
//
// If demand exceeds the fleet, a backlog of jobs that are late would keep the VMs that jobs of other queues need to be in
// time. VMs therefore go first to pools with jobs that can meet their objective, then to jobs that can meet their hard
// deadline, then to the others.
func PlanMoves(pools []Pool) []Move {
	have := make([]int, len(pools))
	for i := range pools {
		have[i] = len(pools[i].Servers) + pools[i].Joining
	}
	moved := make(map[string]bool)
	moves := planMovesForLacks(pools, have, moved)
	for n := needOnTime; n <= needAll; n++ {
		moves = append(moves, planMovesFor(pools, n, have, moved)...)
	}
	return append(moves, planSwitchOffs(pools, have, moved)...)
}

// planMovesForLacks moves idle VMs to pools that lack just these, and updates the numbers of servers and the set of moved VMs.
func planMovesForLacks(pools []Pool, have []int, moved map[string]bool) []Move {
	if !slices.ContainsFunc(pools, func(p Pool) bool { return len(p.Lacks) > 0 }) {
		return nil
	}
	want := sizes(pools, needOnTime)
	var moves []Move
	for _, v := range listSurplusVMs(pools, want, have) {
		if !pools[v.pool].Spare && have[v.pool] <= want[v.pool] {
			continue
		}
		if target := lacking(pools, v); target >= 0 {
			moved[v.vm] = true
			have[v.pool]--
			have[target]++
			moves = append(moves, Move{VM: v.vm, To: pools[target].Name})
		}
	}
	return moves
}

// lacking returns the index of a pool that lacks the VM, and takes it off what the pool lacks, or -1.
func lacking(pools []Pool, v surplusVM) int {
	for i := range pools {
		if i == v.pool || pools[i].Spare {
			continue
		}
		for k := range pools[i].Lacks {
			if l := &pools[i].Lacks[k]; l.Count > 0 && l.VMs[v.vm] {
				l.Count--
				return i
			}
		}
	}
	return -1
}

// planMovesFor moves idle VMs to pools that are smaller than they need to be, and updates the numbers of servers and the
// set of moved VMs.
func planMovesFor(pools []Pool, n need, have []int, moved map[string]bool) []Move {
	want := sizes(pools, n)
	var moves []Move
	for _, v := range listSurplusVMs(pools, want, have) {
		target := mostUndersized(pools, want, have)
		if target < 0 {
			break
		}
		if moved[v.vm] || v.pool == target || (!pools[v.pool].Spare && have[v.pool] <= want[v.pool]) {
			continue
		}
		moved[v.vm] = true
		have[v.pool]--
		have[target]++
		moves = append(moves, Move{VM: v.vm, To: pools[target].Name})
	}
	return moves
}

// planSwitchOffs moves VMs that no pool needs to the spare pool.
func planSwitchOffs(pools []Pool, have []int, moved map[string]bool) []Move {
	spare := ""
	for i := range pools {
		if pools[i].Spare {
			spare = pools[i].Name
			break
		}
	}
	if spare == "" {
		return nil
	}
	want := sizes(pools, needAll)
	var moves []Move
	for _, v := range listSurplusVMs(pools, want, have) {
		if moved[v.vm] || pools[v.pool].Spare || v.idleFor < minIdleBeforeSwitchOff || have[v.pool] <= want[v.pool] {
			continue
		}
		have[v.pool]--
		moves = append(moves, Move{VM: v.vm, To: spare})
	}
	return moves
}

func sizes(pools []Pool, n need) []int {
	want := make([]int, len(pools))
	for i := range pools {
		want[i] = pools[i].sizeFor(n)
	}
	return want
}

// PlanReleases returns the VMs whose servers should get no new runs, so that they become idle and can move to a pool
// that needs them more.
//
// A pool with a backlog starts a task wherever one ends, so its servers never become idle. While other pools lack servers
// for jobs that can meet their objective, or their hard deadline, it gives up the servers that only later jobs use.
func PlanReleases(pools []Pool) []string {
	released := make(map[string]bool)
	var names []string
	for n := needOnTime; n < needAll; n++ {
		missing := 0
		for i := range pools {
			p := &pools[i]
			missing += max(p.sizeFor(n)-len(p.Servers)-p.Joining, 0)
			if p.Spare {
				missing -= len(p.Servers)
			}
		}
		for i := range pools {
			p := &pools[i]
			if p.Spare || missing <= 0 {
				continue
			}
			for _, vm := range p.releasable(len(p.Servers) - p.sizeFor(n)) {
				if missing > 0 && !released[vm] {
					released[vm] = true
					names = append(names, vm)
				}
				missing--
			}
		}
	}
	return names
}

// releasable returns the names of up to count VMs that run no long-running tasks, those that are released already and
// those with the fewest runs first. Idle VMs can move without being released.
func (p *Pool) releasable(count int) []string {
	if count <= 0 {
		return nil
	}
	var servers []PoolServer
	for _, s := range p.Servers {
		if !s.HasLongRunning {
			servers = append(servers, s)
		}
	}
	sort.SliceStable(servers, func(a, b int) bool {
		if servers[a].Releasing != servers[b].Releasing {
			return servers[a].Releasing
		}
		return servers[a].Runs < servers[b].Runs
	})
	names := make([]string, 0, count)
	for _, s := range servers[:min(count, len(servers))] {
		names = append(names, s.VM)
	}
	return names
}

// CapacityShortage reports whether any pool has fewer servers in service than it needs.
func CapacityShortage(pools []Pool) bool {
	for i := range pools {
		if p := &pools[i]; !p.Spare && p.TargetSize() > len(p.Servers) {
			return true
		}
	}
	return false
}

// surplusVM is a VM that may move to another pool.
type surplusVM struct {
	pool           int // index of its pool
	vm             string
	spare          bool // whether its pool is spare
	surplus        int  // servers that its pool has beyond its need
	idleFor        time.Duration
	maintenanceDue bool
}

// listSurplusVMs lists the VMs that may move to another pool in the order in which they are used: VMs that aren't due
// for maintenance, then VMs that are switched off, then VMs of the pools with the largest surplus. Want and have are
// the needed and the present numbers of servers by pool.
func listSurplusVMs(pools []Pool, want, have []int) []surplusVM {
	var vms []surplusVM
	for i := range pools {
		surplus := have[i] - want[i]
		if !pools[i].Spare && surplus <= 0 {
			continue
		}
		for _, s := range pools[i].Servers {
			if s.Idle && (pools[i].Spare || s.IdleFor >= minIdleBeforeMove) {
				vms = append(vms, surplusVM{
					pool: i, vm: s.VM, spare: pools[i].Spare, surplus: surplus, idleFor: s.IdleFor, maintenanceDue: s.MaintenanceDue,
				})
			}
		}
	}
	sort.SliceStable(vms, func(a, b int) bool {
		if vms[a].maintenanceDue != vms[b].maintenanceDue {
			return vms[b].maintenanceDue
		}
		if vms[a].spare != vms[b].spare {
			return vms[a].spare
		}
		if vms[a].surplus != vms[b].surplus {
			return vms[a].surplus > vms[b].surplus
		}
		return vms[a].idleFor > vms[b].idleFor
	})
	return vms
}

// mostUndersized returns the index of the pool that lacks the largest share of the servers it needs, or -1 if none
// lacks any. Pools with long-running tasks that fit on none of their servers go first: these tasks need few servers,
// but would otherwise be pending through one burst after the other.
func mostUndersized(pools []Pool, want, have []int) int {
	best, worst := -1, 0.0
	for i := range pools {
		p := &pools[i]
		if p.Spare {
			continue
		}
		shortage := float64(want[i]-have[i]) / float64(max(want[i], 1))
		if p.LongRunningShortage > 0 && have[i] < len(p.Servers)+p.LongRunningShortage {
			shortage++
		}
		if shortage > worst {
			best, worst = i, shortage
		}
	}
	return best
}
