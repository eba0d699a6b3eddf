//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitMB = 284 // MemoryMb of the settings; the platform kills a process that exceeds it
	restartDelay  = 500 * time.Millisecond
	memoryCheck   = 50 * time.Millisecond
	hostName      = "work.example"
	tenantKey     = "key-of-tenant-one"
)

// program is the run line of the deploy file: the program, started in the root of the repository.
var program = []string{"target/pistachiolead", "entry"}

// started holds the nodes and the temporary folder of this run, for killAll.
var started struct {
	sync.Mutex
	nodes  []*node
	folder string
}

// killAll ends the processes that this run has started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, n := range started.nodes {
		n.close()
	}
	_ = os.RemoveAll(started.folder)
}

var zones = []string{"z-a", "z-b"}

// node is an entry VM: a process of the system, which the platform restarts when it ends.
type node struct {
	name             string
	frontend, probes string
	settings         string
	logPath          string
	log              *record

	mu         sync.Mutex
	process    *os.Process
	starts     int
	memoryEnds int // ends by the platform because of the memory limit
	otherEnds  int // ends that nobody ordered
	killed     bool
	peakMB     int
	closed     bool
	gone       sync.WaitGroup
}

// deployment is a small deployment: entry VMs, workers, the store, and the interface to machines.
type deployment struct {
	log     *record
	folder  string // temporary
	subnet  string
	store   *store
	cloud   *machines
	book    *jobBook
	workers []*worker
	nodes   []*node
	client  *http.Client
	stop    chan struct{}
}

func newDeployment(log *record, workers, nodes int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	started.folder = folder
	d := &deployment{
		log: log, folder: folder, subnet: newSubnet(), store: newStore(log), cloud: &machines{}, book: newJobBook(), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	if err := errors.Join(d.store.listen(), d.cloud.listen()); err != nil {
		return nil, err
	}
	for i := range workers {
		v := &worker{
			id: fmt.Sprintf("i-%010x", 0x54b434b4ab+i), machine: fmt.Sprintf("m-%05x", 0x590b3+i), pool: "press",
			zone: zones[i%2], rack: fmt.Sprintf("r1-%d", i/4), milliCores: 32000, memoryMB: 64000, book: d.book, log: log,
		}
		if err := v.listen(); err != nil {
			return nil, err
		}
		d.workers = append(d.workers, v)
	}
	d.cloud.workers = d.workers
	for i := range nodes {
		n, err := d.newNode(i, zones[i%2])
		if err != nil {
			return nil, err
		}
		d.nodes = append(d.nodes, n)
	}
	d.heartbeat()
	d.store.put("op", "config", map[string]any{
		"Version": 3,
		"Routes": []map[string]any{{
			"Name": "r-1", "Host": hostName, "Prefix": "/plates/", "Kind": "unsafe", "TimeoutMs": 3000, "TargetDurationMs": 600,
			"Priority": 0, "Service": "press", "MaxAttempts": 4, "Stretch": 1.6, "AllowAnonymous": false,
		}},
		"Services": []map[string]any{{"Name": "press", "EnforcesCapacity": false, "Spare": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{
			"Name": "one", "ApiKeys": []string{tenantKey}, "Priority": 1, "Weight": 50,
			"AtMost": map[string]int64{"Cpu": 0, "MemMb": 0, "Gpu": 0},
		}},
	})
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				d.heartbeat()
			case <-d.stop:
				return
			}
		}
	}()
	return d, nil
}

func (d *deployment) heartbeat() {
	for _, v := range d.workers {
		d.store.put("servers", v.id, v.registration())
	}
}

// newSubnet returns the first three bytes of loopback addresses that no other run is likely to use at the same time.
func newSubnet() string { return fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250)) }

func (d *deployment) newNode(i int, zone string) (*node, error) {
	ip := d.subnet + strconv.Itoa(i+1)
	address := func(port int) string { return ip + ":" + strconv.Itoa(port) }
	name := fmt.Sprintf("frontend-%s-%d", zone, i+1)
	n := &node{
		name: name, frontend: address(8340), probes: address(8343), log: d.log,
		settings: filepath.Join(d.folder, name+".yaml"), logPath: filepath.Join(d.folder, name+".log"),
	}
	text := fmt.Sprintf(`NodeName: %q
Role: "entry"
MachineClass: "frontend"
ServedRoles: ["frontend"]
IpAddress: %q
Zone: %q
Region: "z"
Zones: {z-a: "z", z-b: "z"}
ListenAddresses: {Frontend: %q, Readiness: %q}
InternalPortRange: [7000, 7015]
SeedNodes: []
Bootstrap: true
Limits: {CpuShare: 0.4, CpuCores: 1, MemoryMb: %d, FileDescriptors: 4100, LinkMbps: 1000.0, DiskMb: 0}
DataDirectory: null
Discovery: "platform"
Entry: "virtual_ip"
HeartbeatIntervalMs: 1500
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Bounds:
  ContactMs: 3000
  AckTimeoutMs: 4000
  DrainMs: 2000
  GraceS: 6
  ConfigApplyMs: 2000
  RevokeWhenPartitioned: true
  RevokeMs: 5000
  EvacuationMs: 5000
  RecoveryS: 12
  HoldMaxMs: 10000
  StopTimeoutMs: 400
  GangWaitMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  MigrationS: 1.5
  MaintenanceS: 2
  RequireFencing: true
  LeaseMs: 3000
Orders: "call"
platform: {Address: %q, form: "table", WritesPerS: 600, ReadsPerS: 2000, TransactionMs: 8.0, PartitionWritesS: 150, RowBytes: 65536, Across: false, HistoryS: 20}
CloudApi: {Address: %q, RatePerS: 64.0, Duties: [], DutyPerS: 64.0}
`, name, ip, zone, n.frontend, n.probes, memoryLimitMB, d.store.address, d.cloud.address)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the node's process, and starts it again whenever it ends until the node is closed.
func (n *node) start() error {
	logs, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := os.Stat(program[0]); err != nil {
		return err
	}
	started.Lock()
	started.nodes = append(started.nodes, n)
	started.Unlock()
	n.gone.Add(1)
	go func() {
		defer n.gone.Done()
		for n.runOnce(logs) {
			time.Sleep(restartDelay)
		}
	}()
	return nil
}

// runOnce runs one life of the process. It reports whether another one should follow.
func (n *node) runOnce(logs *os.File) bool {
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = append(os.Environ(), "PISTACHIOLEAD_BOOT="+n.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return false
	}
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		n.log.printf("%s: can't be started: %v", n.name, err)
		return false
	}
	n.process, n.killed = cmd.Process, false
	n.starts++
	n.mu.Unlock()
	n.log.printf("%s: process %d started", n.name, cmd.Process.Pid)
	ended := make(chan struct{})
	go n.watchMemory(cmd.Process, ended)
	err := cmd.Wait()
	close(ended)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.killed && !n.closed {
		n.otherEnds++
		n.log.printf("%s: process %d ended by itself: %v", n.name, cmd.Process.Pid, err)
	}
	return !n.closed
}

// watchMemory kills the process when it exceeds the memory limit, as the platform does.
func (n *node) watchMemory(p *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheck):
		}
		mb := residentMB(p.Pid)
		n.mu.Lock()
		n.peakMB = max(n.peakMB, mb)
		if mb > memoryLimitMB && !n.killed {
			n.killed = true
			n.memoryEnds++
			n.log.printf("%s: process %d has %d MB, over MemoryMb %d: the platform kills it", n.name, p.Pid, mb, memoryLimitMB)
			_ = p.Kill()
		}
		n.mu.Unlock()
	}
}

// residentMB returns the resident memory of a process that this script started.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// kill ends the present process of the node, which is then started again.
func (n *node) kill(why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.killed = true
	n.log.printf("%s: SIGKILL to process %d: %s", n.name, n.process.Pid, why)
	_ = n.process.Kill()
}

func (n *node) close() {
	n.mu.Lock()
	n.closed = true
	if n.process != nil {
		_ = n.process.Signal(syscall.SIGKILL)
	}
	n.mu.Unlock()
	n.gone.Wait()
}

func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) close() {
	close(d.stop)
	for _, n := range d.nodes {
		n.close()
		n.log.printf("%s: %d starts, %d ends by the memory limit, %d ends by itself, peak %d MB", n.name, n.starts, n.memoryEnds, n.otherEnds, n.peakMB)
	}
	if os.Getenv("KEEP") != "" {
		d.log.printf("logs are kept in %s", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// waitReady waits until all nodes are ready.
func (d *deployment) waitReady(timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		ready := 0
		for _, n := range d.nodes {
			if r, err := d.client.Get("http://" + n.probes + "/api/readiness"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.nodes) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// leader returns the node that the term row names, or nil.
func (d *deployment) leader() *node {
	d.store.mu.Lock()
	row := string(d.store.part("control", "control").rows["term"].value)
	d.store.mu.Unlock()
	for _, n := range d.nodes {
		if strings.Contains(row, `"holder":"`+n.name+`"`) {
			return n
		}
	}
	return nil
}
