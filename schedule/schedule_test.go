package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/schedule"
	_ "github.com/pistachiolead/pistachiolead/seed"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against placements that violate a constraint of the step, and against a task that is placed again on a server
// on which it failed.
func TestSelectServer(t *testing.T) {
	big := workload.NewResources(8000, 8000, 0)
	server := func(id string, free int64) schedule.Server {
		return schedule.Server{ID: id, Rack: "r-" + id, Kind: "a", Capacity: big, Free: workload.NewResources(free, free, 0)}
	}
	twoCores := workload.StepOptions{Count: 1, MilliCores: 2000, MemoryMB: 1}
	with := func(change func(*workload.StepOptions)) workload.Step {
		o := twoCores
		change(&o)
		return workload.NewStep(o)
	}
	used := server("used", 3000)
	used.SameStepRuns = 1
	failed := server("failed", 2500)
	failed.TaskFailedBefore = true
	longRunning := server("long-running", 6000)
	longRunning.HasLongRunning, longRunning.RackSameStepRuns = true, 1
	for name, c := range map[string]struct {
		step    workload.Step
		servers []schedule.Server
		want    int
	}{
		"no server fits": {workload.NewStep(twoCores), []schedule.Server{server("a", 1000)}, -1},
		"highest use":    {workload.NewStep(twoCores), []schedule.Server{server("a", 8000), server("b", 2500)}, 1},
		"per server":     {with(func(o *workload.StepOptions) { o.MaxPerServer = 1 }), []schedule.Server{used}, -1},
		"label":          {with(func(o *workload.StepOptions) { o.Label = "b" }), []schedule.Server{server("a", 8000)}, -1},
		"rack of its data": {
			with(func(o *workload.StepOptions) { o.DataRack = "r-a" }),
			[]schedule.Server{server("b", 2500), server("a", 8000)},
			1,
		},
		"failed before": {workload.NewStep(twoCores), []schedule.Server{failed, server("a", 8000)}, 1},
		"best effort":   {with(func(o *workload.StepOptions) { o.BestEffort = true }), []schedule.Server{server("a", 1)}, 0},
		"beside other long-running tasks": {
			with(func(o *workload.StepOptions) { o.LongRunning = true }),
			[]schedule.Server{server("empty", 8000), longRunning},
			1,
		},
	} {
		assert.Equal(t, schedule.SelectServer(c.step, c.servers), c.want, name)
	}
}

// Guards against a wave that takes down more VMs than allowed, drains busy VMs too early, or misses its deadline.
func TestPlanMaintenance(t *testing.T) {
	vms := []schedule.MaintenanceVM{
		{VM: "idle-1"}, {VM: "idle-2"}, {VM: "busy-1", Runs: 5}, {VM: "busy-2", Runs: 2}, {VM: "moving", Blocked: true},
	}
	early := schedule.PlanMaintenance(schedule.MaintenanceWave{
		VMs: vms, MaxConcurrent: 2, Down: 1, TimeLeft: 25 * time.Second, TimeLimit: 25 * time.Second,
		MaintenanceTime: 2 * time.Second,
	})
	assert.DeepEqual(t, early.Start, []string{"idle-1"})
	assert.DeepEqual(t, early.Drain, []string{"idle-2"}) // gets no new work until its maintenance starts
	many := make([]schedule.MaintenanceVM, 40)
	for i := range many {
		many[i].VM = fmt.Sprint("vm-", i)
	}
	shortage := schedule.MaintenanceWave{
		VMs: many, MaxConcurrent: 30, TimeLeft: 25 * time.Second, TimeLimit: 25 * time.Second,
		MaintenanceTime:  2 * time.Second,
		CapacityShortage: true,
	}
	assert.Equal(t, len(schedule.PlanMaintenance(shortage).Start), 6) // 40 VMs in 15 s, of 2 s each
	shortage.CapacityShortage = false
	assert.Equal(t, len(schedule.PlanMaintenance(shortage).Start), 30)
	late := schedule.PlanMaintenance(schedule.MaintenanceWave{
		VMs: vms, MaxConcurrent: 2, Down: 2, TimeLeft: 5 * time.Second, MaintenanceTime: 2 * time.Second,
	})
	assert.Equal(t, len(late.Start), 0)
	assert.DeepEqual(t, late.Drain, []string{"idle-1", "idle-2"})
}

// Guards against long-running tasks that stay pending forever because every server of their pool already runs the
// largest allowed number of tasks of their step. The pool has to grow for them although its load is small.
func TestPlanMovesGrowsPoolForLongRunningTasks(t *testing.T) {
	full := []schedule.PoolServer{{VM: "a"}, {VM: "b"}, {VM: "c"}}
	spare := schedule.PoolServer{VM: "s", Idle: true}
	moves := schedule.PlanMoves([]schedule.Pool{
		{Name: "press", Servers: full, Load: 1, LongRunningServers: 3, LongRunningShortage: 1},
		{Name: "spare", Spare: true, Servers: []schedule.PoolServer{spare}},
	})
	assert.DeepEqual(t, moves, []schedule.Move{{VM: "s", To: "press"}})
}

// Guards against a pool that lacks VMs with a label, and grows by others or takes VMs that their pool needs.
func TestPlanMovesBringsVMsThatPoolLacks(t *testing.T) {
	idle := func(names ...string) []schedule.PoolServer {
		var servers []schedule.PoolServer
		for _, name := range names {
			servers = append(servers, schedule.PoolServer{VM: name, Idle: true, IdleFor: 500 * time.Millisecond})
		}
		return servers
	}
	pools := func(lacked ...string) []schedule.Pool {
		l := schedule.Lack{VMs: make(map[string]bool), Count: 1}
		for _, name := range lacked {
			l.VMs[name] = true
		}
		return []schedule.Pool{
			{Name: "large", Servers: idle("l1", "l2", "l3", "l4")},
			{Name: "press", Servers: idle("p1", "p2", "p3"), Lacks: []schedule.Lack{l}},
			{Name: "small", Servers: idle("s1", "s2", "s3")},
			{Name: "spare", Spare: true, Servers: idle("spare1", "spare2")},
		}
	}
	for lacked, want := range map[string][]schedule.Move{
		"spare2": {{VM: "spare2", To: "press"}}, "l2": {{VM: "l2", To: "press"}}, "s1": nil, "p1": nil, "other": nil,
	} {
		assert.DeepEqual(t, schedule.PlanMoves(pools(lacked)), want)
	}
	assert.Equal(t, len(schedule.PlanMoves(pools("l1", "l2", "spare1", "spare2"))), 1)
}

// Guards against late jobs that are never served because there are always other jobs that can meet their objective, and
// against late jobs that take all the capacity from those.
func TestSortCandidatesStartsExpiringJobsFirstWithinShare(t *testing.T) {
	now := time.Unix(1000, 0)
	candidate := func(id string, age time.Duration, work float64) schedule.Candidate {
		return schedule.Candidate{
			ID: id, Submitted: now.Add(-age), Objective: 2 * time.Second, Remaining: time.Second, Work: work,
		}
	}
	candidates := []schedule.Candidate{
		candidate("on time", 0, 5), candidate("late", 2500*time.Millisecond, 1),
		candidate("expiring", 4500*time.Millisecond, 0.4), candidate("expiring, large", 4500*time.Millisecond, 3),
		candidate("expired", 6*time.Second, 1),
	}
	schedule.SortCandidates(candidates, schedule.Capacity{Servers: 10}, now)
	var order []string
	for _, c := range candidates {
		order = append(order, c.ID)
	}
	assert.DeepEqual(t, order[:3], []string{"expiring", "on time", "expiring, large"})
	assert.Equal(t, order[4], "expired")
}

// Guards against long-running tasks that stay pending through one burst after the other because the pool with the burst
// always lacks more servers than theirs.
func TestPlanMovesPrefersLongRunningTasksToBurst(t *testing.T) {
	moves := schedule.PlanMoves([]schedule.Pool{
		{Name: "burst", Servers: make([]schedule.PoolServer, 10), Load: 100},
		{Name: "press", Servers: make([]schedule.PoolServer, 15), Load: 5, LongRunningServers: 15, LongRunningShortage: 1},
		{Name: "spare", Spare: true, Servers: []schedule.PoolServer{
			{VM: "due", Idle: true, MaintenanceDue: true}, {VM: "s", Idle: true},
		}},
	})
	assert.DeepEqual(t, moves, []schedule.Move{{VM: "s", To: "press"}, {VM: "due", To: "burst"}})
}

// Guards against a wave that takes capacity from a burst at its start, and against a late migration of long-running
// tasks.
func TestPlanMaintenanceDuringCapacityShortage(t *testing.T) {
	wave := schedule.MaintenanceWave{
		VMs:           []schedule.MaintenanceVM{{VM: "busy", Runs: 5}, {VM: "press", Runs: 3, HasLongRunning: true}},
		MaxConcurrent: 2, TimeLimit: 20 * time.Second, MaintenanceTime: 2 * time.Second, CapacityShortage: true,
	}
	wave.TimeLeft = wave.TimeLimit
	early := schedule.PlanMaintenance(wave)
	assert.Equal(t, len(early.Drain), 0)
	assert.DeepEqual(t, early.MigrateLongRunning, []string{"press"})
	wave.TimeLeft = wave.TimeLimit / 2
	assert.Equal(t, len(schedule.PlanMaintenance(wave).Drain), 2)
}

// Guards against a pool that grows all through its burst: work that arrives must not add to the target size while as
// much work completes.
func TestPlanMovesDuringBurst(t *testing.T) {
	spare := schedule.Pool{Name: "spare", Spare: true}
	for n := range 100 {
		spare.Servers = append(spare.Servers, schedule.PoolServer{VM: fmt.Sprint("s-", n), Idle: true})
	}
	busy := make([]schedule.PoolServer, 120)
	for name, c := range map[string]struct {
		pool  schedule.Pool
		moves int
	}{
		"arrivals equal departures": {schedule.Pool{Load: 100, ArrivalRate: 95, DepartureRate: 98}, 0},
		"start of a burst":          {schedule.Pool{Load: 100, ArrivalRate: 95, DepartureRate: 80}, 30},
	} {
		c.pool.Name, c.pool.Servers = "press", busy
		assert.Equal(t, len(schedule.PlanMoves([]schedule.Pool{c.pool, spare})), c.moves, name)
	}
}

// Guards against VMs that are moved while they run something, or away from pools that need them.
func TestPlanMoves(t *testing.T) {
	servers := func(names ...string) []schedule.PoolServer {
		var all []schedule.PoolServer
		for _, n := range names {
			all = append(all, schedule.PoolServer{VM: n, Idle: true, IdleFor: time.Minute})
		}
		return all
	}
	busy := schedule.PoolServer{VM: "busy"}
	moves := schedule.PlanMoves([]schedule.Pool{
		{Name: "quiet", Servers: append(servers("a", "b", "c", "d", "e"), busy)},
		{Name: "burst", Servers: servers("f", "g", "h"), Load: 6.9},
		{Name: "spare", Spare: true, Servers: servers("s")},
	})
	assert.DeepEqual(t, moves, []schedule.Move{
		{VM: "s", To: "burst"}, {VM: "a", To: "burst"}, {VM: "b", To: "burst"}, {VM: "c", To: "burst"},
	})
}

func busyServers(pool string, count, runs int) []schedule.PoolServer {
	var servers []schedule.PoolServer
	for n := range count {
		servers = append(servers, schedule.PoolServer{VM: fmt.Sprint(pool, "-", n), Runs: runs})
	}
	return servers
}

// Load pattern: demand exceeds the fleet, and the queue whose turn is over has a backlog of late jobs. Guards against a
// backlog that keeps its servers while the next queue could still be in time, and against releases that nobody needs.
func TestPlanReleasesOfLateBacklog(t *testing.T) {
	backlog := schedule.Pool{Name: "backlog", Servers: busyServers("backlog", 70, 3), Load: 20, LateLoad: 200, ExpiredLoad: 300}
	backlog.Servers[4].HasLongRunning = true
	backlog.Servers[9].Runs, backlog.Servers[8].Releasing = 1, true
	next := schedule.Pool{Name: "next", Servers: busyServers("next", 15, 3), Load: 30}
	spare := schedule.Pool{Name: "spare", Spare: true, Servers: busyServers("spare", 10, 0)}

	// The pool "next" needs 30 servers with headroom, 35: 20 more. Ten are switched off.
	released := schedule.PlanReleases([]schedule.Pool{backlog, next, spare})
	assert.Equal(t, len(released), 10)
	assert.DeepEqual(t, released[:2], []string{"backlog-8", "backlog-9"})
	assert.Assert(t, !slices.Contains(released, "backlog-4"), "a server with long-running tasks is released")

	// A pool gives up no server that its own jobs need to be in time.
	backlog.Load = 70
	assert.Equal(t, len(schedule.PlanReleases([]schedule.Pool{backlog, next, spare})), 0)

	// Without a shortage elsewhere the backlog keeps its servers.
	backlog.Load, next.Load = 20, 13
	assert.Equal(t, len(schedule.PlanReleases([]schedule.Pool{backlog, next, spare})), 0)

	// Jobs that can meet their hard deadline go before those that can't.
	expired := schedule.Pool{Name: "expired", Servers: busyServers("expired", 40, 3), ExpiredLoad: 400}
	next.LateLoad = 50
	assert.Equal(t, len(schedule.PlanReleases([]schedule.Pool{expired, next})), 37) // a pool keeps three servers
}

// Load pattern: as above. Guards against idle VMs that go to the largest backlog.
func TestPlanMovesPrefersJobsInTime(t *testing.T) {
	idle := busyServers("spare", 12, 0)
	for n := range idle {
		idle[n].Idle = true
	}
	moves := schedule.PlanMoves([]schedule.Pool{
		{Name: "backlog", Servers: busyServers("backlog", 10, 3), Load: 5, LateLoad: 500},
		{Name: "next", Servers: busyServers("next", 10, 3), Load: 15},
		{Name: "spare", Spare: true, Servers: idle},
	})
	count := make(map[string]int)
	for _, m := range moves {
		count[m.To]++
	}
	assert.DeepEqual(t, count, map[string]int{"next": 8, "backlog": 4})
}

// Guards against a shortcut that places tasks on another server than a full selection would.
func TestStaysBestAgreesWithSelectServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := workload.NewStep(workload.StepOptions{
			Count: 8, MilliCores: rapid.Int64Range(1, 40).Draw(t, "cores"), LongRunning: rapid.Bool().Draw(t, "long"),
			SameRack: rapid.Bool().Draw(t, "same-rack"), MaxPerServer: rapid.IntRange(0, 3).Draw(t, "per-server"),
			DataRack: rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "data-rack"),
		})
		servers := make([]schedule.Server, rapid.IntRange(1, 6).Draw(t, "servers"))
		for i := range servers {
			servers[i] = schedule.Server{
				ID: fmt.Sprint(i), Rack: rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "rack"),
				Capacity:            workload.NewResources(64, 0, 0),
				Free:                workload.NewResources(rapid.Int64Range(0, 64).Draw(t, "free"), 0, 0),
				ConsecutiveFailures: rapid.IntRange(0, 1).Draw(t, "failures"),
				MaintenanceDue:      rapid.Bool().Draw(t, "due"),
				InterferingRuns:     rapid.IntRange(0, 1).Draw(t, "interfering"),
			}
		}
		for {
			i := schedule.SelectServer(step, servers)
			if i < 0 {
				return
			}
			servers[i].Free = servers[i].Free.Minus(step.Reserves())
			servers[i].SameStepRuns++
			for k := range servers {
				if servers[k].Rack == servers[i].Rack {
					servers[k].RackSameStepRuns++
				}
			}
			if schedule.StaysBest(step, &servers[i]) && schedule.SelectServer(step, servers) != i {
				t.Fatalf("server %d stays best, but SelectServer returns %d", i, schedule.SelectServer(step, servers))
			}
		}
	})
}
