//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	service           = "press"
	heartbeatInterval = 1500 * time.Millisecond
	maintenanceTime   = 2 * time.Second // MaintenanceS of the settings
)

// world is a small deployment on loopback addresses: the project's stand-in of the store, and stand-ins of the machines' interface
// and of the workers as PROTOCOL.md describes them.
type world struct {
	mu       sync.Mutex
	began    time.Time
	record   *os.File
	store    *emulator.Store
	storeAt  string
	cloudAt  string
	machines []*machine
	entries  []*entry
	folder   string
	broken   []string
	// holdUpkeep returns how much later a call for upkeep is carried out that gets no answer, or 0. It may be nil.
	holdUpkeep func(holder, machine string) time.Duration
	atMost     int
	// tickets are the tickets that the recommendation service has given out.
	tickets map[string]ticket
	advice  sync.Mutex // the service handles one call at a time
	advised string     // address of the recommendation service

	twice    sync.Mutex
	taskEnds map[string]*taskEnds
}

// machine is one machine of the platform. Its fields are guarded by world.mu.
type machine struct {
	name, zone, kind, rack string
	cpu, memory            int64
	state                  string // "up", "upkeep" or "down"
	fence                  uint64
	upkeeps                map[int64]bool
	worker                 *worker
	lives                  int
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(folder + "/record.txt")
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), record: record, folder: temporary, store: &emulator.Store{Clock: timer.System{}}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	storeServer := &fasthttp.Server{Handler: w.store.Handle, NoDefaultServerHeader: true}
	go func() { _ = storeServer.Serve(l) }() // ends with this process
	c, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.cloudAt = c.Addr().String()
	a, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.advised, w.tickets, w.taskEnds = a.Addr().String(), make(map[string]ticket), make(map[string]*taskEnds)
	advice := http.NewServeMux()
	advice.HandleFunc("POST /api/advise", w.advise)
	go func() { _ = http.Serve(a, advice) }() // ends with this process
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", w.listMachines)
	mux.HandleFunc("POST /api/machine-upkeep", w.upkeepCalled)
	go func() { _ = http.Serve(c, mux) }() // ends with this process
	return w, nil
}

// note writes a line to the record, with the time since the start.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

// addMachine adds a machine with a worker.
func (w *world) addMachine(name, zone, kind, rack string, cpu int64) error {
	m := &machine{
		name: name, zone: zone, kind: kind, rack: rack, cpu: cpu, memory: 16000, state: "up", upkeeps: make(map[int64]bool),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return w.newLife(m)
}

// newLife starts a new worker on a machine. The caller holds w.mu.
func (w *world) newLife(m *machine) error {
	m.lives++
	v := &worker{world: w, machine: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives)}
	if err := v.listen("127.0.0.1:0"); err != nil {
		return err
	}
	m.worker, m.state = v, "up"
	v.begin()
	go v.register()
	go v.endRuns()
	return nil
}

func (w *world) machine(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (w *world) listMachines(out http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := []map[string]any{}
	for _, m := range w.machines {
		listed = append(listed, map[string]any{
			"Machine": m.name, "Pool": service, "State": m.state, "Zone": m.zone, "Id": m.worker.id,
			"Labels": []string{m.kind, m.rack}, "Capacity": map[string]int64{"Cpu": m.cpu, "MemMb": m.memory, "Gpu": 0},
		})
	}
	answer(out, http.StatusOK, map[string]any{"Machines": listed, "NextPageToken": nil})
}

type upkeepCall struct {
	Machine string
	Wave    int64
}

func (w *world) upkeepCalled(out http.ResponseWriter, in *http.Request) {
	var call upkeepCall
	holder := in.Header.Get("X-Duty-Holder")
	fence, err := strconv.ParseUint(in.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(in.Body).Decode(&call) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.note("sent: upkeep of %s in wave %d, by %s with fence %d", call.Machine, call.Wave, holder, fence)
	w.mu.Lock()
	hold := w.holdUpkeep
	w.mu.Unlock()
	if hold != nil {
		if delay := hold(holder, call.Machine); delay > 0 {
			w.note("held: the upkeep of %s gets no answer and is carried out %s later", call.Machine, delay)
			time.AfterFunc(delay, func() {
				status, reason := w.upkeep(call, fence)
				w.note("late: upkeep of %s by %s with fence %d, sent %s before: %d %s", call.Machine, holder, fence, delay, status, reason)
			})
			<-in.Context().Done() // no answer until the caller closes the channel
			return
		}
	}
	status, reason := w.upkeep(call, fence)
	w.note("answered: upkeep of %s by %s: %d %s", call.Machine, holder, status, reason)
	if reason != "" {
		answer(out, status, map[string]string{"Reason": reason})
		return
	}
	out.WriteHeader(status)
}

// upkeep carries out a call. A machine is away for maintenanceTime then, and comes back with another worker.
func (w *world) upkeep(call upkeepCall, fence uint64) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machine(call.Machine)
	switch {
	case m == nil:
		return http.StatusBadRequest, ""
	case fence < m.fence:
		return http.StatusConflict, "fence"
	}
	m.fence = fence
	switch {
	case m.upkeeps[call.Wave]:
		return http.StatusOK, ""
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	var away []string
	for _, other := range w.machines {
		if other.state == "upkeep" {
			away = append(away, other.name)
		}
	}
	if len(away) >= w.atMost {
		w.breaks("the upkeep of %s begins while %v are down for theirs, with AtMost = %d; it ends %d runs there",
			m.name, away, w.atMost, m.worker.runCount())
	}
	m.upkeeps[call.Wave], m.state = true, "upkeep"
	m.worker.leave()
	w.store.Remove("servers", m.worker.id)
	w.note("upkeep of %s begins", m.name)
	time.AfterFunc(maintenanceTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.note("upkeep of %s ends", m.name)
		if err := w.newLife(m); err != nil {
			w.note("no new worker on %s: %v", m.name, err)
		}
	})
	return http.StatusOK, ""
}

// configure writes the manifest.
func (w *world) configure() {
	advised := route("r-advised", advisedQueue)
	advised["Recommendation"] = map[string]int64{
		"DecisionMs": decisionTime.Milliseconds(), "PerItemMs": itemTime.Milliseconds(), "ValidityMs": ticketValidity.Milliseconds(),
	}
	w.store.Put("op", "config", map[string]any{
		"Version": 1,
		"Routes":  []any{route("r-press", queue), advised},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "EnforcesCapacity": false, "Spare": false,
		}},
		"Limits": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
		},
		"Tenants": []any{map[string]any{
			"Name": "label", "ApiKeys": []string{key}, "Priority": 1, "Weight": 50,
			"AtMost": map[string]int64{"Cpu": 0, "MemMb": 0, "Gpu": 0},
		}},
	})
}

func route(name, prefix string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": "unsafe", "Service": service, "MaxAttempts": 4,
		"Stretch": 1.6, "TargetDurationMs": 600, "TimeoutMs": 3000, "Priority": 0, "AllowAnonymous": false,
	}
}

func answer(out http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // can't happen: bodies hold strings and numbers
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data) // an error means that the peer has left
}
