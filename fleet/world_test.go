package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
}

type worldServer struct {
	running map[backend.Run]time.Time
	ends    []backend.End
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

func newWorld(servers, pools int) *world {
	w := &world{
		now: time.Unix(1_000_000, 0), version: 10, servers: make(map[string]*worldServer),
		random: rand.New(rand.NewPCG(1, 2)),
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
		queues = append(queues, directory.Queue{Name: name, Pool: name, Attempts: 3})
		named = append(named, directory.Pool{Name: name})
	}
	w.state.Handle(fleet.OperationArrived{Operation: directory.Configured{
		Snapshot: directory.NewSnapshot(1, queues, nil, named, 0),
	}}, w.now)
	for n := range servers {
		id := fmt.Sprintf("i-%d", n)
		w.servers[id] = &worldServer{running: make(map[backend.Run]time.Time)}
		w.state.Handle(fleet.ServerRegistered{Registration: backend.Registration{
			ID: id, Pool: fmt.Sprintf("pool-%d", n%pools), Address: "a", Zone: "z", Rack: fmt.Sprint("r", n/8),
			Incarnation: 1, Capacity: workload.NewResources(64_000, 256_000, 0),
		}}, w.now)
	}
	w.every(100*time.Millisecond, func() { w.state.Handle(fleet.Tick{}, w.now) })
	w.settle()
	return w
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
		w.after(15*time.Millisecond, func() {
			w.version++
			w.state.Handle(fleet.CommitEnded{Outcome: provider.NewCommitted(w.version)}, w.now)
		})
	case fleet.Look:
		w.look(e)
	case fleet.Start:
		w.start(e)
	}
}

func (w *world) start(e fleet.Start) {
	s := w.servers[e.Target.ID]
	w.started++
	w.after(time.Millisecond, func() {
		s.running[e.Order.Run] = w.now
		w.state.Handle(fleet.StartEnded{
			Server: e.Target.ID, Incarnation: 1, Run: e.Order.Run, Outcome: backend.Accepted{},
		}, w.now)
		w.after(time.Duration(500+w.random.IntN(1000))*time.Millisecond, func() {
			delete(s.running, e.Order.Run)
			s.number++
			w.ended++
			s.ends = append(s.ends, backend.End{Number: s.number, Run: e.Order.Run, Kind: workload.EndDone})
			if s.looking != 0 {
				w.report(e.Target.ID)
			}
		})
	})
}

func (w *world) look(e fleet.Look) {
	s := w.servers[e.Target.ID]
	kept := s.ends[:0:0]
	for _, end := range s.ends {
		if end.Number > e.Order.Noted {
			kept = append(kept, end)
		}
	}
	s.ends, s.looking = kept, e.Sequence
	wait := e.Order.Wait
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
	s := w.servers[id]
	report := backend.Report{Incarnation: 1, Clock: w.now.Sub(time.Unix(999_000, 0)), Ends: s.ends}
	for run := range s.running {
		report.Running = append(report.Running, backend.Running{Run: run, Percent: int(w.now.UnixMilli() % 100)})
	}
	sequence := s.looking
	s.looking = 0
	w.state.Handle(fleet.LookEnded{Server: id, Sequence: sequence, Outcome: backend.Reported{Report: report}}, w.now)
}

func (w *world) submit(n, pool int) {
	steps := []workload.StepOptions{
		{Count: 8, MilliCores: 5700, MemoryMB: 20000, EstimateMS: 1000},
		{Count: 5, MilliCores: 5700, MemoryMB: 20000, EstimateMS: 1000, After: []int{0}},
	}
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: fmt.Sprintf("pool-%d", pool), Pool: fmt.Sprintf("pool-%d", pool),
		Attempts: 3, Stretch: 1.6, SlackMS: 600, Steps: steps, AcceptedMS: w.now.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	w.state.Handle(fleet.JobArrived{Job: job}, w.now)
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
