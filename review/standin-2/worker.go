//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold            = 10 * time.Second // HoldMaxMs
	stopTime           = 50 * time.Millisecond
	checkpointInterval = time.Second // CheckpointIntervalS
	maxReportedEnds    = 500
)

// resources are amounts of processor time in thousandths of a core, and of memory in megabytes.
type resources struct {
	CPU   int64 `json:"Cpu"`
	MemMB int64 `json:"MemMb"`
	GPU   int64 `json:"Gpu"`
}

// worker is a stand-in of a backend server. A crash ends its runs and its memory; it may start again under its id and address.
type worker struct {
	id, machine, pool, zone, rack, kind string
	capacity                            resources
	fleet                               *workers

	mu       sync.Mutex
	address  string
	server   *http.Server
	up       bool
	born     time.Time
	fence    uint64
	lease    time.Duration // expiry by the worker's clock
	runs     map[string]*run
	highest  map[string]int // highest run by task that was stopped or has ended
	ends     []runEnd
	lastEnd  int64
	sequence int64
}

type run struct {
	task    string
	number  int
	began   time.Time
	lasts   time.Duration
	saved   string
	stopAt  time.Time // zero, or when a stop takes effect
	resumed time.Duration
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

type workerRequest struct {
	Task          string
	Run           int
	Specification string
	DeadlineMs    int64
	FencingToken  uint64
	Checkpoint    string
	LastSeen      int64
	WaitMs        int64
	Percent       int
}

// duration returns how long a task with a specification works: its first word in milliseconds.
func duration(specification string) time.Duration {
	word, _, _ := strings.Cut(specification, " ")
	ms, err := strconv.Atoi(word)
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

// boot starts a life of the worker. The first one takes a free port, later ones the same address.
func (w *worker) boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	w.up, w.born, w.fence, w.lease, w.lastEnd, w.sequence = true, time.Now().Truncate(time.Millisecond), 0, 0, 0, 0
	w.runs, w.highest, w.ends = make(map[string]*run), make(map[string]int), nil
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.fleet.record.add("worker %s of %s is up, born %d, at %s", w.id, w.pool, w.born.UnixMilli(), w.address)
	return nil
}

// crash ends the worker with its runs. Nothing of them is reported.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	_ = w.server.Close()
	w.fleet.record.add("worker %s crashes with %d runs", w.id, len(w.runs))
	for _, r := range w.runs {
		w.fleet.ended(w.id, r.task, r.number, "crashed")
	}
	w.runs = make(map[string]*run)
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

// advance ends the runs that are done, stopped or have no lease any more. The caller holds w.mu.
func (w *worker) advance() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case w.clock() >= w.lease:
			w.end(task, r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(task, r, "stopped")
		case now.Sub(r.began)+r.resumed >= r.lasts:
			w.end(task, r, "done")
		default:
			if n := (now.Sub(r.began) + r.resumed) / checkpointInterval; n > 0 {
				r.saved = fmt.Sprintf("%08x%08x", int64(n*checkpointInterval/time.Millisecond), r.number)
			}
		}
	}
}

func (w *worker) end(task string, r *run, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{number: w.lastEnd, task: task, run: r.number, how: how, saved: r.saved})
	w.fleet.ended(w.id, task, r.number, how)
}

func (w *worker) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.advance()
	}
}

// registration returns the worker's entry in the table of servers.
func (w *worker) registration() map[string]any {
	w.sequence++
	return map[string]any{
		"Machine": w.machine, "Service": w.pool, "Address": w.address, "Zone": w.zone, "State": "ready", "Slots": 8,
		"Version": "v1", "Capacity": w.capacity, "Labels": []string{w.kind, w.rack}, "born": w.born.UnixMilli(),
		"ClockMs": w.clock().Milliseconds(), "ColdRemainingMs": 0, "Sequence": w.sequence,
	}
}

func (w *worker) handle(out http.ResponseWriter, in *http.Request) {
	var q workerRequest
	if in.Method == http.MethodPost {
		if err := json.NewDecoder(in.Body).Decode(&q); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if id := in.Header.Get("X-Expected-Instance"); id != "" && id != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch in.URL.Path {
	case "/api/run-start":
		w.answer(out, w.start(q))
	case "/api/run-stop":
		w.answer(out, w.stop(q))
	case "/api/pace":
		w.answer(out, w.checkFence(q))
	case "/api/hold":
		w.hold(out, in, q)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) answer(out http.ResponseWriter, reason string) {
	w.mu.Lock()
	clock := w.clock().Milliseconds()
	w.mu.Unlock()
	if reason != "" {
		writeJSON(out, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": reason})
		return
	}
	writeJSON(out, http.StatusOK, map[string]any{"ClockMs": clock})
}

func (w *worker) checkFence(q workerRequest) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkFenceLocked(q)
}

func (w *worker) checkFenceLocked(q workerRequest) string {
	w.advance()
	if q.FencingToken < w.fence {
		return "fence"
	}
	w.fence = q.FencingToken
	return ""
}

func (w *worker) extendLease(deadlineMS int64) {
	w.lease = max(w.lease, min(time.Duration(deadlineMS)*time.Millisecond, w.clock()+maxHold))
}

func (w *worker) start(q workerRequest) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.checkFenceLocked(q); reason != "" {
		return reason
	}
	if r, there := w.runs[q.Task]; there && r.number == q.Run {
		return ""
	}
	if q.Run <= w.highest[q.Task] {
		w.extendLease(q.DeadlineMs)
		return "old"
	}
	if time.Duration(q.DeadlineMs)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extendLease(q.DeadlineMs)
	r := &run{task: q.Task, number: q.Run, began: time.Now(), lasts: duration(q.Specification)}
	if len(q.Checkpoint) == 16 {
		if ms, err := strconv.ParseInt(q.Checkpoint[:8], 16, 64); err == nil {
			r.resumed = time.Duration(ms) * time.Millisecond
		}
	}
	w.runs[q.Task] = r
	w.fleet.started(w.id, q.Task, q.Run)
	return ""
}

func (w *worker) stop(q workerRequest) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.checkFenceLocked(q); reason != "" {
		return reason
	}
	if r, there := w.runs[q.Task]; there && r.number <= q.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
	}
	w.highest[q.Task] = max(w.highest[q.Task], q.Run)
	return ""
}

func (w *worker) hold(out http.ResponseWriter, in *http.Request, q workerRequest) {
	if reason := w.checkFence(q); reason != "" {
		w.answer(out, reason)
		return
	}
	w.mu.Lock()
	if q.DeadlineMs > 0 {
		w.extendLease(q.DeadlineMs)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > q.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.fleet.noted(e.task, e.how)
	}
	w.ends = kept
	w.mu.Unlock()
	until := time.Now().Add(time.Duration(q.WaitMs) * time.Millisecond)
	for time.Now().Before(until) && in.Context().Err() == nil && !w.hasEnds() {
		time.Sleep(3 * time.Millisecond)
	}
	writeJSON(out, http.StatusOK, w.report())
}

func (w *worker) hasEnds() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.ends) > 0
}

func (w *worker) report() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := int64(100)
		if r.lasts > 0 {
			percent = min(99, int64(100*(time.Since(r.began)+r.resumed)/r.lasts))
		}
		running = append(running, []any{r.task, r.number, r.saved, percent, 100})
	}
	for _, e := range w.ends[:min(len(w.ends), maxReportedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{
		"ClockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "Running": running, "Finished": finished,
	}
}

func writeJSON(out http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // bodies hold strings, numbers and lists
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data) // the caller may be gone
}
