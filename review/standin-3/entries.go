//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
)

const (
	host  = "press.example"
	queue = "/press/"
	key   = "key-of-the-label"
)

var ports emulator.Ports

// entry is a process of the system, started with the command of the deploy file.
type entry struct {
	name, frontend, settings string
	command                  *exec.Cmd
	output                   *os.File
}

// addEntry starts a process of the system in a zone. The settings are those of PROTOCOL.md and DEPLOY.md for a small deployment.
func (w *world) addEntry(name, zone string) error {
	frontend, err := ports.Address()
	if err != nil {
		return err
	}
	readiness, err := ports.Address()
	if err != nil {
		return err
	}
	first, err := ports.Consecutive(16)
	if err != nil {
		return err
	}
	e := &entry{name: name, frontend: frontend, settings: filepath.Join(w.folder, name+".yaml")}
	content := fmt.Sprintf(`
NodeName: %q
Role: "entry"
MachineClass: "frontend"
ServedRoles: ["frontend"]
IpAddress: "127.0.0.1"
Zone: %q
Region: "north"
Zones: {za: "north", zb: "north"}
ListenAddresses: {Frontend: %q, Readiness: %q}
InternalPortRange: [%d, %d]
SeedNodes: []
Bootstrap: true
Limits: {CpuShare: 0.4, CpuCores: 1, MemoryMb: 284, FileDescriptors: 4100, LinkMbps: 1000.0, DiskMb: 0}
Discovery: "platform"
Entry: "virtual_ip"
HeartbeatIntervalMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places", "platform", "advice", "upkeep"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Bounds: {ContactMs: 3000, AckTimeoutMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 2000,
  RollbackSlackMs: 250, RevokeMs: 5000, RecoveryS: 12, HoldMaxMs: 10000, StopTimeoutMs: 400, GangWaitMs: 3000, cancel_ms: 3000,
  visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, FarFactor: 1.5, CheckpointIntervalS: 0.5, RestoreMs: 250,
  NoticeMs: 4500, MigrationS: 1.5, MaintenanceS: 2, RequireFencing: true, LeaseMs: 3000, ThawSlackMs: 300, PaceMs: 100, HarmMs: 4000}
Orders: "call"
Recommendation: %q
platform: {Address: %q, form: "table", WritesPerS: 600, ReadsPerS: 2000, TransactionMs: 8.0, PartitionWritesS: 150, RowBytes: 65536,
  Across: false, HistoryS: 20, BlobBytes: 8388608, BlobMs: 25.0, BlobMbS: 80.0}
CloudApi: {Address: %q, RatePerS: 64.0, Duties: [], DutyPerS: 64.0}
`, name, zone, frontend, readiness, first, first+15, w.advised, w.storeAt, w.cloudAt)
	if err := os.WriteFile(e.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.entries = append(w.entries, e)
	return w.start(e)
}

func (w *world) start(e *entry) error {
	output, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.command = exec.Command("target/pistachiolead", "entry")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOLEAD_BOOT=" + e.settings}
	e.command.Stdout, e.command.Stderr, e.output = output, output, output
	w.note("%s starts", e.name)
	return e.command.Start()
}

// kill kills a process and waits for its end.
func (w *world) kill(e *entry) {
	w.note("%s is killed", e.name)
	_ = e.command.Process.Kill() // fails if it has ended
	_ = e.command.Wait()         // returns an error because of the signal
	_ = e.output.Close()
}

func (w *world) entry(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// end ends all processes, and removes the temporary folder unless KEEP is set.
func (w *world) end() {
	for _, e := range w.entries {
		w.kill(e)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Fprintln(os.Stderr, w.folder)
	}
	_ = w.record.Close()
}

// call sends a request of the client's to an entry. The status is 0 without a complete answer.
func (w *world) call(e *entry, method, path string, body any) (status int, answer []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err) // can't happen: bodies hold strings and numbers
		}
	}
	req, err := http.NewRequest(method, "http://"+e.frontend+path, bytes.NewReader(data))
	if err != nil {
		panic(err) // can't happen: the address is one
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: 3500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, content
}

// advisedJobs begins the ids of the jobs of the queue with a recommendation service.
const advisedJobs = "00000000000000d"

func prefixOf(job string) string {
	if strings.HasPrefix(job, advisedJobs) {
		return advisedQueue
	}
	return queue
}

// submit hands a job in until an entry accepts it, in turn. The length 0 stands for a task that lasts.
func (w *world) submit(id string, length time.Duration, step map[string]any) error {
	step["EstimatedMs"] = length.Milliseconds()
	specification := length.String()
	if length == 0 {
		specification = "lasting"
	}
	body := map[string]any{"Specification": specification, "Steps": []any{step}}
	for try := range 40 {
		e := w.entries[try%len(w.entries)]
		status, _ := w.call(e, http.MethodPost, prefixOf(id)+id, body)
		w.note("sent: job %s to %s: %d", id, e.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("no entry accepts the job " + id)
}

// state asks for a job's state, at one entry after the other until there is an answer.
func (w *world) state(id string) string {
	for _, e := range w.entries {
		status, body := w.call(e, http.MethodGet, prefixOf(id)+id, nil)
		var answered struct{ State string }
		if status == http.StatusOK && json.Unmarshal(body, &answered) == nil {
			return answered.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// await waits until a job is shown in one of the states, and returns the last state.
func (w *world) await(id string, limit time.Duration, states ...string) string {
	until, last := time.Now().Add(limit), "-"
	for {
		state := w.state(id)
		if state != last {
			w.note("answered: job %s is %q", id, state)
			last = state
		}
		for _, s := range states {
			if s == state {
				return state
			}
		}
		if time.Now().After(until) {
			return state
		}
		time.Sleep(200 * time.Millisecond)
	}
}
