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

// world plays backend servers, store and platform for a control state, on fake time.
type world struct {
	state   *fleet.State
	now     time.Time
	version uint64
	due     dueEvents
	servers map[string]*worldServer
	random  *rand.Rand
	started int
	ended   int

	held       bool                           // commits get no outcome
	observe    func(key string, value []byte) // sees all rows that are stored; may be nil
	ends       map[string]time.Time           // when the end of a job was stored
	submitted  map[string]time.Time
	vms        map[string]*worldVM
	stops      int
	moves      int
	away       map[int]int          // the most tasks of a step that were away because of a stop, by job number
	maintained map[string]time.Time // when the maintenance of a VM began
	killed     int                  // runs that ended with their server
}

// worldVM is a VM. Its server gets a new id with each life.
type worldVM struct {
	pool   string
	server string
	lives  int
	state  backend.VMState
}

type worldServer struct {
	vm      string
	running map[backend.Run]time.Time
	ends    []backend.RunEnd
	number  int64
	looking uint64
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

func newWorld(servers, pools int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), version: 10, servers: make(map[string]*worldServer),
		random: rand.New(rand.NewPCG(1, 2)), vms: make(map[string]*worldVM), away: make(map[int]int),
		maintained: make(map[string]time.Time), ends: make(map[string]time.Time), submitted: make(map[string]time.Time),
	}
	w.state = &fleet.State{
		Self: "entry", Token: 10, TermSent: w.now, Term: fleet.Term{Holder: "entry", DurationMS: 1500}.WithVersion(10),
		MaintenanceTime: 2 * time.Second, MoveTime: 1500 * time.Millisecond,
	}
	w.state.Begin(w.now)
	var queues []directory.Queue
	var named []directory.Pool
	for n := range pools {
		name := fmt.Sprintf("pool-%d", n)
		queues = append(queues, directory.Queue{Name: name, Pool: name, MaxAttempts: 3})
		named = append(named, directory.Pool{Name: name})
	}
	named = append(named, directory.Pool{Name: sparePool, Spare: true})
	w.state.Handle(fleet.OperationArrived{Operation: directory.ConfigurationPublished{
		Snapshot: directory.NewSnapshot(1, queues, nil, named, 0),
	}}, w.now)
	for n := range servers {
		name := fmt.Sprintf("m-%d", n)
		w.vms[name] = &worldVM{pool: fmt.Sprintf("pool-%d", n%pools), state: backend.VMUp}
		w.boot(name)
	}
	w.every(100*time.Millisecond, func() { w.state.Handle(fleet.Tick{}, w.now) })
	w.settle()
	return w
}

// boot starts a new life of a VM's server.
func (w *world) boot(name string) {
	vm := w.vms[name]
	vm.lives++
	vm.state, vm.server = backend.VMUp, fmt.Sprintf("i%s.%d", name[1:], vm.lives)
	w.servers[vm.server] = &worldServer{vm: name, running: make(map[backend.Run]time.Time)}
	var n int
	if _, err := fmt.Sscanf(name, "m-%d", &n); err != nil {
		panic(err)
	}
	w.state.Handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: vm.server, Pool: vm.pool, Address: "a", Zone: "z", Rack: fmt.Sprint("r", n/8),
		Incarnation: 1, Capacity: workload.NewResources(64_000, 256_000, 0),
	}}, w.now)
}

// takeDown ends what runs on a VM, and starts its next life later.
func (w *world) takeDown(name string, state backend.VMState, d time.Duration) {
	vm := w.vms[name]
	vm.state = state
	if s, up := w.servers[vm.server]; up {
		w.killed += len(s.running)
		delete(w.servers, vm.server)
		w.state.Handle(fleet.ServerUnregistered{ID: vm.server}, w.now)
	}
	w.after(d, func() {
		if vm.pool == sparePool {
			vm.state, vm.server = backend.VMUp, ""
			return
		}
		w.boot(name)
	})
}

func (w *world) after(d time.Duration, run func()) { heap.Push(&w.due, dueEvent{w.now.Add(d), run}) }

func (w *world) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// pass plays events until so much time has passed.
func (w *world) pass(d time.Duration) {
	until := w.now.Add(d)
	for len(w.due) > 0 && !w.due[0].at.After(until) {
		e := heap.Pop(&w.due).(dueEvent)
		w.now = e.at
		e.run()
		w.settle()
	}
	w.now = until
}

func (w *world) settle() {
	for _, e := range w.state.Settle(w.now) {
		w.carryOut(e)
	}
}

func (w *world) carryOut(e fleet.Effect) {
	switch e := e.(type) {
	case fleet.Commit:
		if w.held {
			return
		}
		w.after(15*time.Millisecond, func() {
			w.version++
			w.store(e.Transaction)
			w.state.Handle(fleet.CommitEnded{Outcome: provider.NewCommitted(w.version)}, w.now)
		})
	case fleet.Look:
		w.look(e)
	case fleet.Start:
		w.start(e)
	case fleet.Stop:
		w.stop(e)
	case fleet.MaintainVM:
		w.after(time.Millisecond, func() {
			w.maintained[e.VM] = w.now
			w.takeDown(e.VM, backend.VMMaintenance, 2*time.Second)
			w.state.Handle(fleet.MaintenanceEnded{VM: e.VM, Outcome: backend.Accepted{}}, w.now)
		})
	case fleet.MoveVM:
		w.after(time.Millisecond, func() {
			w.moves++
			w.vms[e.VM].pool = e.Pool
			w.takeDown(e.VM, backend.VMMoving, 1800*time.Millisecond) // with its registration
			w.state.Handle(fleet.VMMoveEnded{VM: e.VM, Outcome: backend.Accepted{}}, w.now)
		})
	case fleet.ListVMs:
		asked := w.now
		w.after(5*time.Millisecond, func() { w.state.Handle(fleet.VMsListed{VMs: w.list(), Asked: asked}, w.now) })
	}
}

func (w *world) store(t provider.Transaction) {
	for _, row := range t.Writes() {
		if w.observe != nil {
			w.observe(row.Key(), row.Value())
		}
		id, isProgress := strings.CutPrefix(row.Key(), fleet.ProgressPrefix)
		if !isProgress {
			continue
		}
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			panic(err)
		}
		if p.State.Final() && w.ends[id].IsZero() {
			w.ends[id] = w.now
		}
	}
}

func (w *world) list() []backend.VM {
	var list []backend.VM
	for name, vm := range w.vms {
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

func (w *world) stop(e fleet.Stop) {
	w.stops++
	w.after(time.Millisecond, func() {
		s, up := w.servers[e.Target.ID]
		if !up {
			return
		}
		if _, runs := s.running[e.Run]; runs {
			delete(s.running, e.Run)
			s.number++
			s.ends = append(s.ends, backend.RunEnd{Number: s.number, Run: e.Run, Kind: workload.EndStopped})
			w.noteAway(e.Run.Task.Job)
			if s.looking != 0 {
				w.report(e.Target.ID)
			}
		}
		w.state.Handle(fleet.StopEnded{
			Server: e.Target.ID, Incarnation: 1, Run: e.Run, Outcome: backend.Accepted{},
		}, w.now)
	})
}

// lastingStartup is how long a task that lasts needs until it is at work.
const lastingStartup = 300 * time.Millisecond

// noteAway counts the tasks of a job with one step that aren't at work.
func (w *world) noteAway(job string) {
	var n int
	if _, err := fmt.Sscanf(job, "%x", &n); err != nil {
		panic(err)
	}
	atWork := 0
	for _, s := range w.servers {
		for run, since := range s.running {
			if run.Task.Job == job && w.now.Sub(since) >= lastingStartup {
				atWork++
			}
		}
	}
	w.away[n] = max(w.away[n], lastingTasks-atWork)
}

func (w *world) start(e fleet.Start) {
	w.started++
	w.after(time.Millisecond, func() {
		s, up := w.servers[e.Target.ID]
		if !up {
			return
		}
		s.running[e.Order.Run] = w.now
		w.state.Handle(fleet.StartEnded{
			Server: e.Target.ID, Incarnation: 1, Run: e.Order.Run, Outcome: backend.Accepted{},
		}, w.now)
		if e.Order.Specification == lastingSpecification {
			return
		}
		w.after(time.Duration(500+w.random.IntN(1000))*time.Millisecond, func() {
			if _, runs := s.running[e.Order.Run]; !runs {
				return
			}
			delete(s.running, e.Order.Run)
			s.number++
			w.ended++
			s.ends = append(s.ends, backend.RunEnd{Number: s.number, Run: e.Order.Run, Kind: workload.EndDone})
			if s.looking != 0 {
				w.report(e.Target.ID)
			}
		})
	})
}

func (w *world) look(e fleet.Look) {
	s, up := w.servers[e.Target.ID]
	if !up {
		w.after(time.Millisecond, func() {
			w.state.Handle(fleet.LookEnded{
				Server: e.Target.ID, Sequence: e.Sequence, Outcome: backend.Refused{Reason: backend.RefusedUnreachable},
			}, w.now)
		})
		return
	}
	kept := s.ends[:0:0]
	for _, end := range s.ends {
		if end.Number > e.Order.AcknowledgedEnd {
			kept = append(kept, end)
		}
	}
	s.ends, s.looking = kept, e.Sequence
	wait := e.Order.MaxWait
	if len(kept) > 0 {
		wait = time.Millisecond
	}
	w.after(wait, func() {
		if s.looking == e.Sequence {
			w.report(e.Target.ID)
		}
	})
}

func (w *world) report(id string) {
	s, up := w.servers[id]
	if !up {
		return
	}
	report := backend.Report{Incarnation: 1, Clock: w.now.Sub(time.Unix(999_000, 0)), Ends: s.ends}
	for run, since := range s.running {
		percent := int(w.now.UnixMilli() % 100)
		if w.now.Sub(since) >= lastingStartup && w.isLasting(run) {
			percent = 100
		}
		report.Running = append(report.Running, backend.ActiveRun{Run: run, Percent: percent})
	}
	sequence := s.looking
	s.looking = 0
	w.state.Handle(fleet.LookEnded{Server: id, Sequence: sequence, Outcome: backend.Reported{Report: report}}, w.now)
}

func (w *world) submit(n, pool int) {
	w.submitJob(n, pool, "", []workload.StepOptions{
		{Count: 8, MilliCores: 5700, MemoryMB: 20000, EstimateMS: 1000},
		{Count: 5, MilliCores: 5700, MemoryMB: 20000, EstimateMS: 1000, After: []int{0}},
	})
}

const (
	lastingSpecification = "lasts"
	lastingTasks         = 16      // of a job that lasts
	lastingFrom          = 1000000 // the numbers of jobs that last
)

func (w *world) isLasting(run backend.Run) bool {
	return run.Task.Job >= fmt.Sprintf("%016x", lastingFrom)
}

// submitLasting submits a job whose tasks last, with one on each server and one that may be away.
func (w *world) submitLasting(n, pool int) {
	w.submitJob(lastingFrom+n, pool, lastingSpecification, []workload.StepOptions{{
		Count: lastingTasks, MilliCores: 9000, MemoryMB: 20000, MaxPerServer: 1, LongRunning: true, MaxUnavailable: 1,
	}})
}

func (w *world) submitJob(n, pool int, specification string, steps []workload.StepOptions) time.Duration {
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: fmt.Sprintf("pool-%d", pool), Pool: fmt.Sprintf("pool-%d", pool),
		MaxAttempts: 3, Stretch: 1.6, SlackMS: 600, Steps: steps, AcceptedMS: w.now.UnixMilli(),
		Specification: specification,
	})
	if err != nil {
		panic(err)
	}
	w.submitted[job.ID()] = w.now
	w.state.Handle(fleet.JobArrived{Job: job}, w.now)
	return job.Objective()
}

// BenchmarkControl plays ten seconds of the grown deployments: 350 servers, 60 jobs of 13 tasks a second by turns, more
// than a pool holds. The time of an operation is the processor time that these ten seconds take.
func BenchmarkControl(b *testing.B) {
	for b.Loop() {
		w := newWorld(350, 5)
		n := 0
		for second := range 10 {
			for range 60 {
				n++
				w.submit(n, second/4%5)
				w.pass(time.Second / 60)
			}
		}
		b.ReportMetric(float64(w.started)/10, "starts/s")
	}
}
