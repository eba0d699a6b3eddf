//go:build review3

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

const maxLease = 10 * time.Second // HoldMaxMs of the settings

// worker is a stand-in of a worker, from its start until it leaves. It may crash and start again under its id.
type worker struct {
	world   *world
	machine *machine
	id      string
	address string
	server  *http.Server

	mu       sync.Mutex
	up, left bool
	life     int // number of the lifetime; a request of an earlier one gets no answer
	downAt   time.Time
	born     time.Time
	fence    uint64
	expiry   time.Duration // of the lease, on the worker's clock
	runs     map[string]*run
	ends     []end
	lastEnd  int64
	highest  map[string]int
	sequence int64
	// keep takes an order that gets no answer and is carried out later, if it returns true. It may be nil.
	keep func(path string, o order) bool
	// arrived gets a value for each call that reaches the silent worker. It may be nil.
	arrived chan struct{}
}

// openedIn is the key of the lifetime in which a channel was opened. Channels of an earlier one stay silent.
type openedIn struct{}

type run struct {
	number  int
	began   time.Time
	length  time.Duration
	endless bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

type order struct {
	Task          string
	Run           int
	Specification string
	DeadlineMs    int64
	FencingToken  uint64
	LastSeen      int64
	WaitMs        int64
	Ticket        string
}

func (v *worker) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	v.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set("X-Instance-Id", v.id) })
	mux.HandleFunc("POST /api/run-start", v.handle(v.start))
	mux.HandleFunc("POST /api/run-stop", v.handle(v.stop))
	mux.HandleFunc("POST /api/pace", v.handle(func(o order) (string, bool) { return v.check(o), false }))
	mux.HandleFunc("POST /api/hold", v.handle(v.hold))
	v.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		v.mu.Lock()
		defer v.mu.Unlock()
		return context.WithValue(ctx, openedIn{}, v.life)
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(v.server) // ends when the worker is closed
	return nil
}

// begin begins a lifetime.
func (v *worker) begin() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.up, v.born, v.life = true, time.Now().Truncate(time.Millisecond), v.life+1
	v.fence, v.expiry, v.ends, v.lastEnd, v.sequence = 0, 0, nil, 0, 0
	v.runs, v.highest = make(map[string]*run), make(map[string]int)
}

// endRuns ends runs when they are due, until the worker leaves.
func (v *worker) endRuns() {
	for {
		v.mu.Lock()
		if v.left {
			v.mu.Unlock()
			return
		}
		v.endDue()
		v.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// register writes the worker's entry until it leaves. The entry goes after three intervals of silence.
func (v *worker) register() {
	for {
		v.mu.Lock()
		left, up, silent := v.left, v.up, time.Since(v.downAt)
		v.sequence++
		row := map[string]any{
			"Machine": v.machine.name, "Service": service, "Address": v.address, "Zone": v.machine.zone, "Version": "v1", "Slots": 8,
			"State": "ready", "ColdRemainingMs": 0, "Sequence": v.sequence, "born": v.born.UnixMilli(), "ClockMs": v.clock().Milliseconds(),
			"Capacity": map[string]int64{"Cpu": v.machine.cpu, "MemMb": v.machine.memory, "Gpu": 0},
			"Labels":   []string{v.machine.kind, v.machine.rack},
		}
		v.mu.Unlock()
		switch {
		case left:
			return
		case up:
			v.world.store.Put("servers", v.id, row)
		case silent > 3*heartbeatInterval:
			v.world.store.Remove("servers", v.id)
		}
		time.Sleep(heartbeatInterval)
	}
}

// leave ends the worker with all that runs there.
func (v *worker) leave() {
	v.close()
	v.mu.Lock()
	v.left = true
	v.mu.Unlock()
}

func (v *worker) close() {
	v.mu.Lock()
	v.up, v.downAt = false, time.Now()
	for task, r := range v.runs {
		v.world.note("%s: %s run %d ends with the worker", v.id, task, r.number)
	}
	v.runs = make(map[string]*run)
	v.mu.Unlock()
	_ = v.server.Close()
}

// silence ends the worker, whose address takes calls and answers none until it is back.
func (v *worker) silence() {
	v.world.note("worker %s crashes and is silent", v.id)
	v.mu.Lock()
	v.up, v.downAt, v.life, v.arrived = false, time.Now(), v.life+1, make(chan struct{}, 1)
	v.runs = make(map[string]*run)
	v.mu.Unlock()
	v.world.setState(v.machine, "down")
}

// arrive tells that a call has reached the silent worker.
func (v *worker) arrive() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.arrived == nil {
		return
	}
	select {
	case v.arrived <- struct{}{}:
	default:
	}
}

// drain returns the channel that tells of the next call that reaches the silent worker.
func (v *worker) drain() chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	select {
	case <-v.arrived:
	default:
	}
	return v.arrived
}

// back starts a silent worker again, at its address and under its id. Channels to its earlier life stay silent, while new ones work.
func (v *worker) back() {
	v.begin()
	v.world.setState(v.machine, "up")
	v.world.note("worker %s is up again", v.id)
}

// lose ends the worker for good, without a word.
func (v *worker) lose() {
	v.world.note("worker %s is lost for good", v.id)
	v.close()
	v.world.setState(v.machine, "down")
}

func (w *world) setState(m *machine, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.state = state
}

// clock returns the time on the worker's clock, which counts from its start. The caller holds v.mu.
func (v *worker) clock() time.Duration { return time.Since(v.born) }

func (v *worker) runCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.runs)
}

func (v *worker) handle(carryOut func(order) (reason string, lists bool)) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		var o order
		if json.NewDecoder(in.Body).Decode(&o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := in.Header.Get("X-Expected-Instance"); expected != "" && expected != v.id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		v.mu.Lock()
		life, up, keep := v.life, v.up, v.keep
		v.mu.Unlock()
		if keep != nil && keep(in.URL.Path, o) {
			<-in.Context().Done() // no answer until the caller closes the channel
			return
		}
		if !up || in.Context().Value(openedIn{}) != life {
			v.arrive()
			<-in.Context().Done()
			return
		}
		reason, lists := carryOut(o)
		v.mu.Lock()
		defer v.mu.Unlock()
		if !v.up || v.life != life {
			panic(http.ErrAbortHandler) // the worker crashed meanwhile
		}
		body := map[string]any{"ClockMs": v.clock().Milliseconds(), "born": v.born.UnixMilli()}
		switch {
		case reason != "":
			body["Reason"] = reason
			answer(out, http.StatusConflict, body)
			return
		case lists:
			body["Running"], body["Finished"] = v.lists()
		}
		answer(out, http.StatusOK, body)
	}
}

func (v *worker) check(o order) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.checkLocked(o)
}

// checkLocked ends what is due and checks the fence number. The caller holds v.mu.
func (v *worker) checkLocked(o order) string {
	v.endDue()
	if o.FencingToken < v.fence {
		return "fence"
	}
	v.fence = o.FencingToken
	return ""
}

func (v *worker) extend(deadlineMS int64) {
	v.expiry = max(v.expiry, min(time.Duration(deadlineMS)*time.Millisecond, v.clock()+maxLease))
}

func (v *worker) start(o order) (string, bool) {
	permitted := v.world.hasTicket(o, v.id)
	v.mu.Lock()
	defer v.mu.Unlock()
	if reason := v.checkLocked(o); reason != "" {
		return reason, false
	}
	if r, runs := v.runs[o.Task]; runs && r.number == o.Run {
		return "", false
	}
	if o.Run <= v.highest[o.Task] {
		v.extend(o.DeadlineMs)
		return "old", false
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= v.clock() {
		return "late", false
	}
	if !permitted {
		return "ticket", false
	}
	v.extend(o.DeadlineMs)
	length, err := time.ParseDuration(o.Specification)
	v.runs[o.Task] = &run{number: o.Run, began: time.Now(), length: length, endless: err != nil}
	v.world.note("%s: %s run %d begins", v.id, o.Task, o.Run)
	v.world.started(o.Task, o.Run)
	return "", false
}

func (v *worker) stop(o order) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reason := v.checkLocked(o); reason != "" {
		return reason, false
	}
	if r, runs := v.runs[o.Task]; runs && r.number <= o.Run {
		v.endRun(o.Task, "stopped")
	}
	v.highest[o.Task] = max(v.highest[o.Task], o.Run)
	return "", false
}

func (v *worker) hold(o order) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reason := v.checkLocked(o); reason != "" {
		return reason, false
	}
	if o.DeadlineMs > 0 {
		v.extend(o.DeadlineMs)
	}
	var kept []end
	for _, e := range v.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else if e.how == "done" && v.clock() < v.expiry {
			v.world.endNoted(e.task, e.run)
		}
	}
	v.ends = kept
	until, life := time.Now().Add(time.Duration(min(o.WaitMs, 2000))*time.Millisecond), v.life
	for len(v.ends) == 0 && time.Now().Before(until) && v.up && v.life == life {
		v.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		v.mu.Lock()
		v.endDue()
	}
	return "", true
}

// endDue ends what is complete, and all if the lease has expired. The caller holds v.mu.
func (v *worker) endDue() {
	lapsed := v.clock() >= v.expiry
	for task, r := range v.runs {
		switch {
		case lapsed:
			v.endRun(task, "lapsed")
		case !r.endless && time.Since(r.began) >= r.length:
			v.endRun(task, "done")
		}
	}
}

func (v *worker) endRun(task, how string) {
	number := v.runs[task].number
	delete(v.runs, task)
	v.highest[task] = max(v.highest[task], number)
	v.lastEnd++
	v.ends = append(v.ends, end{number: v.lastEnd, task: task, run: number, how: how})
	v.world.note("%s: %s run %d ends: %s", v.id, task, number, how)
	if how == "done" {
		v.world.done(task, number)
	}
}

// lists returns the entries of Running and Finished. The caller holds v.mu.
func (v *worker) lists() (running, finished [][]any) {
	running, finished = [][]any{}, [][]any{}
	for task, r := range v.runs {
		percent := 100
		if !r.endless {
			percent = min(99, int(100*time.Since(r.began)/max(r.length, 1)))
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range v.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, finished
}
