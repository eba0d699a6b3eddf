package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// simulation simulates backend servers, the store and the platform for a control state, with fake time.
type simulation struct {
	state     *fleet.State
	now       time.Time
	version   uint64
	events    dueEvents
	servers   map[string]*simServer
	random    *rand.Rand
	started   int
	tasksDone int

	holdCommits    bool                           // commits get no outcome
	onStore        func(key string, value []byte) // called with each stored row; may be nil
	endedAt        map[string]time.Time           // when the end of a job was stored
	submittedAt    map[string]time.Time
	vms            map[string]*simVM
	stops          int
	moves          int
	maxUnavailable map[int]int                  // most unavailable tasks of a step after a stop, by job number
	maintainedAt   map[string]time.Time         // when the maintenance of a VM began
	runsLost       int                          // runs that were lost with their server
	crashes        map[workload.TaskID]int      // servers that crashed under a task, by task
	startsAfter    map[workload.TaskID]int      // starts of a task after three servers had crashed under it
	gangs          map[string]bool              // jobs of one gang
	crashesServer  func(backend.Run) bool       // whether a run crashes the server that starts it; may be nil
	fails          func(backend.Run) bool       // whether a run fails; may be nil
	admits         func(*workload.Job) bool     // whether a job is accepted; may be nil
	failures       int                          // failed runs
	states         map[string]workload.JobState // stored states, by job
	jobs           map[string]*workload.Job
	rows           map[string][]byte // all stored rows
	faults         simFaults
	longRunning    simLongRunning
	interruptions  map[workload.TaskID]int              // stops of a long-running task
	duration       func(backend.Run) time.Duration      // of a run at full speed; random if nil
	checkpoints    map[string]bool                      // jobs whose tasks save checkpoints
	dropStops      bool                                 // stop requests get no response and aren't carried out
	onStart        func(server string, run backend.Run) // called with each run that starts; may be nil
}

// simLongRunning is the kind of the long-running jobs of a simulation.
type simLongRunning struct {
	tasks, maxUnavailable int
	milliCores            int64
	startup               time.Duration // until a task works at full speed
}

// simVM is a VM. Its server gets a new id with each boot.
type simVM struct {
	pool    string
	server  string
	boots   int
	outages int
	state   backend.VMState
	speed   float64 // of the runs, 1 unless setSpeed changed it
}

type simServer struct {
	vm           string
	incarnation  int64
	running      map[backend.Run]time.Time
	work         map[backend.Run]*simWork // of the runs that end by themselves
	ends         []backend.RunEnd
	lastEnd      int64
	pollSequence uint64
}

type dueEvent struct {
	at  time.Time
	run func()
}

type dueEvents []dueEvent

func (d dueEvents) Len() int           { return len(d) }
func (d dueEvents) Less(a, b int) bool { return d[a].at.Before(d[b].at) }
func (d dueEvents) Swap(a, b int)      { d[a], d[b] = d[b], d[a] }
func (d *dueEvents) Push(x any)        { *d = append(*d, x.(dueEvent)) }
func (d *dueEvents) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const sparePool = "spare"

func newSimulation(servers, pools int) *simulation {
	return newConfiguredSimulation(servers, pools, func(*fleet.State) {})
}

func newConfiguredSimulation(servers, pools int, configure func(*fleet.State)) *simulation {
	sm := &simulation{
		now: time.Unix(1_000_000, 0), version: 10, servers: make(map[string]*simServer),
		random: rand.New(rand.NewPCG(1, 2)), vms: make(map[string]*simVM), maxUnavailable: make(map[int]int),
		maintainedAt: make(map[string]time.Time), endedAt: make(map[string]time.Time),
		submittedAt: make(map[string]time.Time), crashes: make(map[workload.TaskID]int),
		startsAfter: make(map[workload.TaskID]int), gangs: make(map[string]bool), states: make(map[string]workload.JobState),
		jobs: make(map[string]*workload.Job), rows: make(map[string][]byte), interruptions: make(map[workload.TaskID]int),
		longRunning: simLongRunning{tasks: longRunningTasks, maxUnavailable: 1, milliCores: 9000, startup: 300 * time.Millisecond},
		checkpoints: make(map[string]bool),
	}
	sm.state = &fleet.State{
		EntryVM: "entry", Token: 10, TermRequestedAt: sm.now,
		Term:            fleet.Term{Holder: "entry", DurationMS: 1500}.WithVersion(10),
		MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond,
	}
	configure(sm.state)
	sm.state.Begin(sm.now)
	var queues []directory.Queue
	var named []directory.Pool
	for n := range pools {
		name := fmt.Sprintf("pool-%d", n)
		queues = append(queues, directory.Queue{Name: name, Pool: name, MaxAttempts: 3})
		named = append(named, directory.Pool{Name: name})
	}
	named = append(named, directory.Pool{Name: sparePool, Spare: true})
	sm.state.Handle(fleet.OperationArrived{Operation: directory.ConfigurationPublished{
		Snapshot: directory.NewSnapshot(1, queues, nil, named, 0),
	}}, sm.now)
	for n := range servers {
		name := fmt.Sprintf("m-%d", n)
		sm.vms[name] = &simVM{pool: fmt.Sprintf("pool-%d", n%pools), state: backend.VMUp, speed: 1}
		sm.boot(name)
	}
	sm.every(100*time.Millisecond, func() { sm.state.Handle(fleet.Tick{}, sm.now) })
	sm.settle()
	return sm
}

// boot starts the server of a VM under a new id.
func (sm *simulation) boot(name string) {
	vm := sm.vms[name]
	vm.boots++
	vm.state, vm.server = backend.VMUp, fmt.Sprintf("i%s.%d", name[1:], vm.boots)
	sm.servers[vm.server] = &simServer{
		vm: name, incarnation: sm.incarnation(), running: make(map[backend.Run]time.Time), work: make(map[backend.Run]*simWork),
	}
	sm.register(vm.server)
}

func (sm *simulation) register(id string) {
	name := sm.servers[id].vm
	vm := sm.vms[name]
	var n int
	if _, err := fmt.Sscanf(name, "m-%d", &n); err != nil {
		panic(err)
	}
	sm.state.Handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, VM: name, Pool: vm.pool, Address: "a", Zone: "z", Rack: fmt.Sprint("r", n/8),
		Incarnation: sm.servers[id].incarnation, Capacity: workload.NewResources(64_000, 256_000, 0),
	}}, sm.now)
}

// takeDown stops the server of a VM with its runs, and boots the VM again after d.
func (sm *simulation) takeDown(name string, state backend.VMState, d time.Duration) {
	vm := sm.vms[name]
	vm.state = state
	if s, up := sm.servers[vm.server]; up {
		sm.runsLost += len(s.running)
		delete(sm.servers, vm.server)
		sm.state.Handle(fleet.ServerUnregistered{ID: vm.server}, sm.now)
	}
	vm.outages++
	outage := vm.outages
	sm.after(d, func() {
		if vm.outages != outage {
			return // another move or maintenance began meanwhile
		}
		if vm.pool == sparePool {
			vm.state, vm.server = backend.VMUp, ""
			return
		}
		sm.boot(name)
	})
}

// crash ends the server of a VM with its runs, and boots the VM again after d. The registration remains for a second.
func (sm *simulation) crash(id string, d time.Duration) {
	s := sm.servers[id]
	vm := sm.vms[s.vm]
	vm.state = backend.VMDown
	sm.runsLost += len(s.running)
	delete(sm.servers, id)
	for run := range s.running {
		sm.crashes[run.Task]++
		if sm.gangs[run.Task.Job] {
			sm.breakGang(run.Task.Job)
		}
	}
	if s.pollSequence != 0 {
		sm.state.Handle(fleet.PollEnded{
			Server: id, Sequence: s.pollSequence, Outcome: backend.OutcomeUnknown{Reason: "the connection was closed"},
		}, sm.now)
	}
	sm.after(time.Second, func() { sm.state.Handle(fleet.ServerUnregistered{ID: id}, sm.now) })
	vm.outages++
	outage := vm.outages
	sm.after(d, func() {
		if vm.outages == outage { // otherwise a move or maintenance began meanwhile
			sm.boot(s.vm)
		}
	})
}

// breakGang ends the runs of a gang on the remaining servers.
func (sm *simulation) breakGang(job string) {
	for id, s := range sm.servers {
		for run := range s.running {
			if run.Task.Job == job {
				delete(s.running, run)
				s.lastEnd++
				s.ends = append(s.ends, backend.RunEnd{Number: s.lastEnd, Run: run, Kind: workload.EndGangBroken})
			}
		}
		if s.pollSequence != 0 && len(s.ends) > 0 {
			sm.report(id)
		}
	}
}

func (sm *simulation) after(d time.Duration, run func()) {
	heap.Push(&sm.events, dueEvent{sm.now.Add(d), run})
}

func (sm *simulation) every(d time.Duration, run func()) {
	sm.after(d, func() {
		run()
		sm.every(d, run)
	})
}

// advance runs the scheduled events until the time has advanced by d.
func (sm *simulation) advance(d time.Duration) {
	until := sm.now.Add(d)
	for len(sm.events) > 0 && !sm.events[0].at.After(until) {
		e := heap.Pop(&sm.events).(dueEvent)
		sm.now = e.at
		e.run()
		sm.settle()
	}
	sm.now = until
}

func (sm *simulation) settle() {
	for _, e := range sm.state.TakeEffects(sm.now) {
		if !sm.faults.leaderless && !sm.injectFault(e) {
			sm.carryOut(e)
		}
	}
}

func (sm *simulation) carryOut(e fleet.Effect) {
	switch e := e.(type) {
	case fleet.Commit:
		if sm.holdCommits {
			return
		}
		state := sm.state
		sm.after(15*time.Millisecond, func() {
			if state != sm.state {
				return
			}
			if refusal := storeRefusal(e.Transaction); refusal != "" {
				panic(refusal)
			}
			sm.version++
			sm.store(e.Transaction)
			sm.state.Handle(fleet.CommitEnded{Outcome: provider.NewCommitted(sm.version)}, sm.now)
		})
	case fleet.Poll:
		sm.poll(e)
	case fleet.Start:
		sm.start(e)
	case fleet.Stop:
		sm.stop(e)
	case fleet.MaintainVM:
		sm.after(time.Millisecond, func() {
			sm.maintainedAt[e.VM] = sm.now
			sm.takeDown(e.VM, backend.VMMaintenance, 2*time.Second)
			sm.state.Handle(fleet.MaintenanceEnded{VM: e.VM, Wave: e.Wave, Outcome: backend.Accepted{}}, sm.now)
		})
	case fleet.MoveVM:
		sm.after(time.Millisecond, func() {
			sm.moves++
			sm.vms[e.VM].pool = e.Pool
			sm.takeDown(e.VM, backend.VMMoving, 1800*time.Millisecond) // including the registration
			sm.state.Handle(fleet.VMMoveEnded{VM: e.VM, Outcome: backend.Accepted{}}, sm.now)
		})
	case fleet.ListVMs:
		requestedAt := sm.now
		sm.after(5*time.Millisecond, func() {
			sm.state.Handle(fleet.VMsListed{VMs: sm.laggingList(), RequestedAt: requestedAt}, sm.now)
		})
	}
}

func (sm *simulation) store(t provider.Transaction) {
	for _, row := range t.Writes() {
		sm.rows[row.Key()] = row.Value()
		if sm.onStore != nil {
			sm.onStore(row.Key(), row.Value())
		}
		id, isProgress := strings.CutPrefix(row.Key(), fleet.ProgressPrefix)
		if !isProgress {
			continue
		}
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			panic(err)
		}
		sm.states[id] = p.VisibleState()
		if p.State.Final() && sm.endedAt[id].IsZero() {
			sm.endedAt[id] = sm.now
		}
	}
}

func (sm *simulation) list() []backend.VM {
	var list []backend.VM
	for name, vm := range sm.vms {
		listed := backend.VM{
			Name: name, Pool: vm.pool, State: vm.state, Zone: "z", Capacity: workload.NewResources(64_000, 256_000, 0),
		}
		if vm.state == backend.VMUp {
			listed.Server = vm.server
		}
		list = append(list, listed)
	}
	return list
}

func (sm *simulation) stop(e fleet.Stop) {
	sm.stops++
	if sm.dropStops {
		return
	}
	sm.after(time.Millisecond, func() {
		s, up := sm.servers[e.Target.ID]
		if !up {
			return
		}
		if _, runs := s.running[e.Run]; runs {
			delete(s.running, e.Run)
			s.lastEnd++
			if sm.isLongRunning(e.Run) {
				sm.interruptions[e.Run.Task]++
			}
			s.ends = append(s.ends, backend.RunEnd{
				Number: s.lastEnd, Run: e.Run, Kind: workload.EndStopped, Checkpoint: sm.checkpoint(e.Run, sm.percent(s, e.Run)),
			})
			delete(s.work, e.Run)
			sm.recordUnavailable(e.Run.Task.Job)
			if s.pollSequence != 0 {
				sm.report(e.Target.ID)
			}
		}
		sm.state.Handle(fleet.StopEnded{
			Server: e.Target.ID, Incarnation: s.incarnation, Run: e.Run, Outcome: backend.Accepted{},
		}, sm.now)
	})
}

// recordUnavailable counts the long-running tasks of a job that don't work at full speed, and updates the maximum.
func (sm *simulation) recordUnavailable(job string) {
	var n int
	if _, err := fmt.Sscanf(job, "%x", &n); err != nil {
		panic(err)
	}
	sm.maxUnavailable[n] = max(sm.maxUnavailable[n], sm.longRunning.tasks-sm.atFullSpeed(job))
}

// atFullSpeed returns the number of long-running tasks of a job that work at full speed.
func (sm *simulation) atFullSpeed(job string) int {
	n := 0
	for _, s := range sm.servers {
		for run, since := range s.running {
			if run.Task.Job == job && run.Task.Step == 0 && sm.now.Sub(since) >= sm.longRunning.startup {
				n++
			}
		}
	}
	return n
}

func (sm *simulation) start(e fleet.Start) {
	sm.started++
	sm.after(time.Millisecond, func() {
		s, up := sm.servers[e.Target.ID]
		if !up {
			return
		}
		s.running[e.Request.Run] = sm.now
		if sm.onStart != nil {
			sm.onStart(e.Target.ID, e.Request.Run)
		}
		if sm.crashes[e.Request.Run.Task] >= 3 {
			sm.startsAfter[e.Request.Run.Task]++
		}
		if sm.crashesServer != nil && sm.crashesServer(e.Request.Run) {
			sm.after(5*time.Millisecond, func() {
				if _, up := sm.servers[e.Target.ID]; up {
					sm.crash(e.Target.ID, 3*time.Second)
				}
			})
		}
		sm.state.Handle(fleet.StartEnded{
			Server: e.Target.ID, Incarnation: s.incarnation, Run: e.Request.Run, Outcome: backend.Accepted{},
		}, sm.now)
		if sm.isLongRunning(e.Request.Run) && e.Request.Run.Task.Step == 0 {
			return
		}
		duration := sm.duration
		if duration == nil {
			duration = func(backend.Run) time.Duration { return sm.runTime() }
		}
		sm.work(e.Target.ID, e.Request, duration(e.Request.Run))
	})
}

func (sm *simulation) poll(e fleet.Poll) {
	s, up := sm.servers[e.Target.ID]
	if !up {
		sm.after(time.Millisecond, func() {
			sm.state.Handle(fleet.PollEnded{
				Server: e.Target.ID, Sequence: e.Sequence, Outcome: backend.Refused{Reason: backend.RefusedUnreachable},
			}, sm.now)
		})
		return
	}
	kept := s.ends[:0:0]
	for _, end := range s.ends {
		if end.Number > e.Request.AcknowledgedEnd {
			kept = append(kept, end)
		}
	}
	s.ends, s.pollSequence = kept, e.Sequence
	wait := e.Request.MaxWait
	if len(kept) > 0 {
		wait = time.Millisecond
	}
	sm.after(wait, func() {
		if s.pollSequence == e.Sequence {
			sm.report(e.Target.ID)
		}
	})
}

func (sm *simulation) report(id string) {
	s, up := sm.servers[id]
	if !up {
		return
	}
	report := backend.Report{Incarnation: s.incarnation, Clock: sm.now.Sub(time.Unix(999_000, 0)), Ends: s.ends}
	for run, since := range s.running {
		percent := sm.percent(s, run)
		if sm.now.Sub(since) >= sm.longRunning.startup && sm.isLongRunning(run) {
			percent = 100
		}
		report.Running = append(report.Running, backend.ActiveRun{Run: run, Percent: percent, Checkpoint: sm.checkpoint(run, percent)})
	}
	sequence := s.pollSequence
	s.pollSequence = 0
	sm.state.Handle(fleet.PollEnded{Server: id, Sequence: sequence, Outcome: backend.Reported{Report: report}}, sm.now)
}

func (sm *simulation) submit(n, pool int) {
	sm.submitJob(n, pool, "", []workload.StepOptions{
		{Count: 8, MilliCores: 5700, MemoryMB: 20000, DeclaredDurationMS: 1000},
		{Count: 5, MilliCores: 5700, MemoryMB: 20000, DeclaredDurationMS: 1000, After: []int{0}},
	})
}

const (
	longRunningSpecification = "long-running"
	longRunningTasks         = 16      // tasks of a long-running job
	firstLongRunningJob      = 1000000 // number of the first long-running job
)

func (sm *simulation) isLongRunning(run backend.Run) bool {
	return run.Task.Job >= fmt.Sprintf("%016x", firstLongRunningJob)
}

// submitLongRunning submits a job of long-running tasks: at most one on each server.
func (sm *simulation) submitLongRunning(n, pool int) {
	sm.submitJob(firstLongRunningJob+n, pool, longRunningSpecification, []workload.StepOptions{{
		Count: sm.longRunning.tasks, MilliCores: sm.longRunning.milliCores, MemoryMB: 20000, MaxPerServer: 1, LongRunning: true,
		MaxUnavailable: sm.longRunning.maxUnavailable,
	}})
}

func (sm *simulation) submitJob(n, pool int, specification string, steps []workload.StepOptions) time.Duration {
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: fmt.Sprintf("pool-%d", pool), Pool: fmt.Sprintf("pool-%d", pool),
		MaxAttempts: 3, Stretch: 1.6, SlackMS: 600, Steps: steps, AcceptedMS: sm.now.UnixMilli(),
		Specification: specification,
	})
	if err != nil {
		panic(err)
	}
	if sm.admits != nil && !sm.admits(job) {
		return job.Objective()
	}
	sm.jobs[job.ID()] = job
	sm.submittedAt[job.ID()], sm.gangs[job.ID()], sm.checkpoints[job.ID()] = sm.now, steps[0].Gang, steps[0].Checkpoints
	sm.state.Handle(fleet.JobArrived{Job: job}, sm.now)
	return job.Objective()
}

// BenchmarkControl simulates ten seconds of large deployments, whose jobs of 13 tasks go to one pool after the other and
// ask for more than the pool's capacity. The time per operation is the processor time of these ten seconds.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ servers, jobsPerSecond int }{{350, 60}, {1100, 120}, {1100, 370}} {
		b.Run(fmt.Sprintf("servers=%d,jobs=%d", size.servers, size.jobsPerSecond), func(b *testing.B) {
			for b.Loop() {
				sm := newSimulation(size.servers, 5)
				n := 0
				for second := range 10 {
					for range size.jobsPerSecond {
						n++
						sm.submit(n, second/4%5)
						sm.advance(time.Second / time.Duration(size.jobsPerSecond))
					}
				}
				b.ReportMetric(float64(sm.started)/10, "starts/s")
			}
		})
	}
}
