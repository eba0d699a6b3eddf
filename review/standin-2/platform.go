//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	heartbeat       = 500 * time.Millisecond  // HeartbeatIntervalMs
	maintenanceTime = 2 * time.Second         // MaintenanceS
	migrationTime   = 1500 * time.Millisecond // MigrationS
	leaseTime       = 3 * time.Second         // LeaseMs
)

// workers are the machines of the platform with their workers, and what ran on them.
type workers struct {
	record *record
	store  *emulator.Store
	// listLag is how old the list of machines is that the platform shows.
	listLag time.Duration
	// spare is the pool whose machines are off, or "".
	spare string

	mu       sync.Mutex
	machines []*machine
	history  []listing
	lives    int

	runsLock sync.Mutex                 // taken after the lock of a worker
	active   map[string]map[string]bool // the runs of each task that are active, by worker and run number
	doneRuns map[string]int
	noteds   map[string]bool // tasks with an end "done" that was taken note of
	ends     map[string]int  // by kind
	starts   int
	breaks   []string
}

// machine is a machine of the platform.
type machine struct {
	name, pool, zone, rack string
	capacity               resources
	state                  string
	fence                  uint64
	worker                 *worker // nil while the machine is off, moved or maintained
	lastID                 string
	upkeeps                map[int64]bool
	holder                 string // that gave the last order
	orderedAt              time.Time
}

// listing is the list of machines at a time.
type listing struct {
	at   time.Time
	list []map[string]any
}

func newWorkers(r *record, s *emulator.Store) *workers {
	return &workers{
		record: r, store: s, active: make(map[string]map[string]bool), doneRuns: make(map[string]int),
		noteds: make(map[string]bool), ends: make(map[string]int),
	}
}

func (f *workers) addMachine(pool, zone, rack string, capacity resources) (*worker, error) {
	f.mu.Lock()
	m := &machine{
		name: fmt.Sprintf("m-%05x", 0x1ec00+len(f.machines)), pool: pool, zone: zone, rack: rack, state: "up",
		capacity: capacity, upkeeps: make(map[int64]bool),
	}
	f.machines = append(f.machines, m)
	if pool == f.spare {
		f.mu.Unlock()
		return nil, nil
	}
	w := f.newLife(m)
	f.mu.Unlock()
	return w, w.boot()
}

// newLife gives a machine a new worker, which is to be booted. The caller holds f.mu.
func (f *workers) newLife(m *machine) *worker {
	f.lives++
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x7f3a9000+f.lives), machine: m.name, pool: m.pool, zone: m.zone, rack: m.rack, kind: "a",
		capacity: m.capacity, fleet: f,
	}
	m.worker, m.lastID = w, w.id
	return w
}

// run writes check-ins and ends runs until the process ends.
func (f *workers) run() {
	go func() {
		for {
			f.mu.Lock()
			machines := append([]*machine(nil), f.machines...)
			f.history = append(f.history, listing{at: time.Now(), list: f.listLocked()})
			for len(f.history) > 1 && time.Since(f.history[1].at) > f.listLag {
				f.history = f.history[1:]
			}
			f.mu.Unlock()
			for _, m := range machines {
				if m.worker != nil {
					m.worker.tick()
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	go func() {
		for {
			f.checkIn()
			time.Sleep(heartbeat)
		}
	}()
}

func (f *workers) checkIn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.worker != nil {
			f.register(m.worker)
		}
	}
}

// register writes the check-in of a worker that is up.
func (f *workers) register(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		f.store.Put("servers", w.id, w.registration())
	}
}

// listLocked returns the present list of machines. The caller holds f.mu.
func (f *workers) listLocked() []map[string]any {
	var list []map[string]any
	for _, m := range f.machines {
		state := m.state
		if m.worker != nil {
			m.worker.mu.Lock()
			if state == "up" && !m.worker.up {
				state = "down"
			}
			m.worker.mu.Unlock()
		}
		list = append(list, map[string]any{
			"Machine": m.name, "Pool": m.pool, "State": state, "Zone": m.zone, "Labels": []string{"a", m.rack},
			"Capacity": m.capacity, "Id": m.lastID,
		})
	}
	return list
}

func (f *workers) handleCloud(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/api/machines" {
		f.mu.Lock()
		list := f.listLocked()
		if f.listLag > 0 {
			list = f.history[0].list
		}
		f.mu.Unlock()
		writeJSON(out, http.StatusOK, map[string]any{"Machines": list, "NextPageToken": ""})
		return
	}
	var q struct {
		Machine, Pool string
		Wave          int64
	}
	token, err := strconv.ParseUint(in.Header.Get("X-Fencing-Token"), 10, 64)
	if err2 := json.NewDecoder(in.Body).Decode(&q); err != nil || err2 != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	f.checkHolder(q.Machine, in.Header.Get("X-Duty-Holder"))
	status, reason := f.order(in.URL.Path, q.Machine, q.Pool, q.Wave, token)
	f.record.add("cloud %s %s pool %q wave %d by %s token %d -> %d %s", in.URL.Path, q.Machine, q.Pool, q.Wave,
		in.Header.Get("X-Duty-Holder"), token, status, reason)
	body := map[string]any{}
	if reason != "" {
		body["Reason"] = reason
	}
	writeJSON(out, status, body)
}

// checkHolder checks that holders in touch don't take turns at a machine within LeaseMs.
func (f *workers) checkHolder(name, holder string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.name != name {
			continue
		}
		since := time.Since(m.orderedAt)
		if m.holder != "" && m.holder != holder && since < leaseTime {
			f.broken("ONE: %s orders for %s %.2f s after %s", holder, name, since.Seconds(), m.holder)
		}
		m.holder, m.orderedAt = holder, time.Now()
	}
}

func (f *workers) order(path, name, pool string, wave int64, token uint64) (status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var m *machine
	for _, other := range f.machines {
		if other.name == name {
			m = other
		}
	}
	upkeep := path == "/api/machine-upkeep"
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case token < m.fence:
		return http.StatusConflict, "fence"
	case upkeep && m.upkeeps[wave] || !upkeep && m.pool == pool:
		m.fence = token
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	m.fence = token
	old, pause := m.worker, migrationTime
	m.state = "moving"
	if upkeep {
		m.upkeeps[wave], m.state, pause = true, "upkeep", maintenanceTime
	} else {
		m.pool = pool
	}
	m.worker = nil
	go func() {
		if old != nil {
			old.crash()
			f.store.Remove("servers", old.id)
		}
		time.Sleep(pause)
		f.mu.Lock()
		m.state = "up"
		if m.pool == f.spare {
			m.lastID = ""
			f.mu.Unlock()
			return
		}
		w := f.newLife(m)
		f.mu.Unlock()
		if err := w.boot(); err != nil {
			panic(err) // a loopback port is free
		}
		f.register(w)
	}()
	return http.StatusOK, ""
}

// started checks the start of a run against the rules.
func (f *workers) started(worker, task string, number int) {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	f.starts++
	f.record.add("run %s/%d starts on %s", task, number, worker)
	if f.active[task] == nil {
		f.active[task] = make(map[string]bool)
	}
	for other := range f.active[task] {
		f.brokenLocked("TWICE: run %s/%d starts on %s while run %s is active", task, number, worker, other)
	}
	if f.noteds[task] {
		f.brokenLocked("TWICE: run %s/%d starts on %s after an end that was taken note of", task, number, worker)
	}
	f.active[task][fmt.Sprintf("%d on %s", number, worker)] = true
}

// broken records a break of a rule.
func (f *workers) broken(format string, values ...any) {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	f.brokenLocked(format, values...)
}

func (f *workers) brokenLocked(format string, values ...any) {
	f.breaks = append(f.breaks, fmt.Sprintf(format, values...))
	f.record.say("broken: %s", f.breaks[len(f.breaks)-1])
}

func (f *workers) ended(worker, task string, number int, how string) {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	f.record.add("run %s/%d on %s ends: %s", task, number, worker, how)
	delete(f.active[task], fmt.Sprintf("%d on %s", number, worker))
	f.ends[how]++
	if how == "done" {
		f.doneRuns[task]++
	}
}

func (f *workers) noted(task, how string) {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	if how == "done" {
		f.noteds[task] = true
	}
}

// running returns the number of active runs of a job.
func (f *workers) running(job string) int {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	n := 0
	for task, runs := range f.active {
		if task[:len(job)] == job {
			n += len(runs)
		}
	}
	return n
}

// done returns the number of tasks of a job with a run that ended as done.
func (f *workers) done(job string) int {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	n := 0
	for task := range f.doneRuns {
		if task[:len(job)] == job {
			n++
		}
	}
	return n
}

func (f *workers) brokenRules() []string {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	return append([]string(nil), f.breaks...)
}

// endsOf returns the number of ends of a kind.
func (f *workers) endsOf(how string) int {
	f.runsLock.Lock()
	defer f.runsLock.Unlock()
	return f.ends[how]
}

// workerWith returns a worker that is up with the most active runs.
func (f *workers) workerWith() *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *worker
	most := -1
	for _, m := range f.machines {
		if m.worker == nil {
			continue
		}
		m.worker.mu.Lock()
		n := len(m.worker.runs)
		up := m.worker.up
		m.worker.mu.Unlock()
		if up && n > most {
			best, most = m.worker, n
		}
	}
	return best
}

// serveStore serves the project's stand-in of the platform's store, and returns its address.
func serveStore(s *emulator.Store) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: s.Handle, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func serveCloud(f *workers) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(f.handleCloud)) }()
	return l.Addr().String(), nil
}

func newStore() *emulator.Store { return &emulator.Store{Clock: timer.System{}} }
