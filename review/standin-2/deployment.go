//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
)

const settingsText = `NodeName: "%[1]s"
Role: "entry"
MachineClass: "frontend"
ServedRoles: ["frontend"]
IpAddress: "%[2]s"
Zone: "zg-a"
Region: "hr-north"
Zones: {zg-a: "hr-north"}
ListenAddresses: {Frontend: "%[3]s", Readiness: "%[4]s"}
InternalPortRange: [%[5]d, %[6]d]
SeedNodes: []
Bootstrap: true
CountsTowardTolerance: false
Limits: {CpuShare: %[7]g, CpuCores: 1, MemoryMb: 284, FileDescriptors: 4100, LinkMbps: 1000.0, DiskMb: 0}
DataDirectory: null
Discovery: "platform"
Entry: "virtual_ip"
HeartbeatIntervalMs: 500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota", "places", "platform", "advice", "upkeep", "sharing"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Bounds: {SeedLagS: 3, AddressReuseS: 2, ContactMs: 3000, AckTimeoutMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 6,
  LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250, MaxStretchMs: 5000, RevokeWhenPartitioned: true,
  RevokeMs: 5000, QuotaWindowS: 5, QuotaOverage: 0.1, QuotaSlack: 20, ColdOverage: 1.5, ColdSlack: 5, EvacuationMs: 5000,
  RecoveryS: 12, HoldMaxMs: 10000, StopTimeoutMs: 400, GangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000,
  early_ms: 250, finish_s: 14, status_s: 120, FarFactor: 2, CheckpointIntervalS: 1, RestoreMs: 100, NoticeMs: 4500,
  MigrationS: 1.5, MaintenanceS: 2, RequireFencing: true, LeaseMs: 3000, ThawSlackMs: 300, PaceMs: 100, HarmMs: 4000}
Orders: "call"
Recommendation: ""
platform: {Address: "%[8]s", form: "table", WritesPerS: 800, ReadsPerS: 2000, TransactionMs: 8.0, PartitionWritesS: 150,
  RowBytes: 65536, Across: false, HistoryS: 20, BlobBytes: 8388608, BlobMs: 25.0, BlobMbS: 80.0}
CloudApi: {Address: "%[9]s", RatePerS: 64.0, Duties: [], DutyPerS: 64.0}
`

// deployment is a small deployment: the platform's stand-ins and the entry processes of the project.
type deployment struct {
	record  *record
	trouble bool
	dir     string // for settings and logs
	store   *emulator.Store
	fleet   *workers
	cpu     float64  // CpuShare of an entry process
	names   []string // of the first entry processes, in place of the usual ones

	storeAddress, cloudAddress string
	entries                    []*entry
	starts                     int // of entry processes
	client                     *http.Client
}

// entry is a process of the project.
type entry struct {
	name, frontend string
	process        *exec.Cmd
	log            *os.File
	ended          chan struct{}
}

func newDeployment(r *record, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, trouble: trouble, dir: dir, store: newStore(), cpu: 0.4,
		client: &http.Client{Timeout: 4 * time.Second},
	}
	d.fleet = newWorkers(r, d.store)
	if d.storeAddress, err = serveStore(d.store); err != nil {
		return nil, err
	}
	d.cloudAddress, err = serveCloud(d.fleet)
	return d, err
}

// close ends all processes that the case started.
func (d *deployment) close() {
	for _, e := range d.entries {
		_ = e.process.Process.Signal(syscall.SIGCONT)
		_ = e.process.Process.Kill()
		<-e.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs:", d.dir)
}

// freePorts returns two addresses with free ports on an IP address, and the first of two free ports in a row.
func freePorts(ip string) (first, second string, base int, err error) {
	a, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", "", 0, err
	}
	defer a.Close()
	b, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", "", 0, err
	}
	defer b.Close()
	for range 100 {
		c, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return "", "", 0, err
		}
		base = c.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+1))
		c.Close()
		if err == nil {
			next.Close()
			return a.Addr().String(), b.Addr().String(), base, nil
		}
	}
	return "", "", 0, fmt.Errorf("no two free ports in a row on %s", ip)
}

// startEntry starts the next entry process.
func (d *deployment) startEntry() error {
	name := fmt.Sprintf("frontend-zg-a-%d", len(d.entries)+1)
	if len(d.entries) < len(d.names) {
		name = d.names[len(d.entries)]
	}
	return d.startNamed(name, d.cpu)
}

// startNamed starts an entry process with the command of the deploy file.
func (d *deployment) startNamed(name string, cpu float64) error {
	d.starts++
	n := d.starts
	e := &entry{name: name, ended: make(chan struct{})}
	ip := fmt.Sprintf("127.0.0.%d", 10+n)
	frontend, readiness, base, err := freePorts(ip)
	if err != nil {
		return err
	}
	e.frontend = frontend
	settings := filepath.Join(d.dir, e.name+".yaml")
	text := fmt.Sprintf(settingsText, e.name, ip, frontend, readiness, base, base+15, cpu, d.storeAddress, d.cloudAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.log, err = os.Create(filepath.Join(d.dir, e.name+".log")); err != nil {
		return err
	}
	e.process = exec.Command("target/pistachiolead", "entry")
	e.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOLEAD_BOOT=" + settings}
	e.process.Stdout, e.process.Stderr = e.log, e.log
	if err := e.process.Start(); err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	d.record.say("entry process %s starts, customers at %s", e.name, e.frontend)
	go func() {
		err := e.process.Wait()
		d.record.add("entry process %s ends: %v", e.name, err)
		close(e.ended)
	}()
	return nil
}

// kill kills an entry process, and starts it again after 0.5 s.
func (d *deployment) kill(e *entry) error {
	if err := e.process.Process.Kill(); err != nil {
		return err
	}
	<-e.ended
	d.entries = slices.DeleteFunc(d.entries, func(other *entry) bool { return other == e })
	time.Sleep(500 * time.Millisecond)
	return d.startNamed(e.name, d.cpu)
}

// leader returns the entry that the term row names, or nil.
func (d *deployment) leader() *entry {
	data, known := d.store.Get("control", "control", "term")
	var term struct {
		Holder string `json:"holder"`
	}
	if !known || json.Unmarshal(data, &term) != nil {
		return nil
	}
	for _, e := range d.entries {
		if e.name == term.Holder {
			return e
		}
	}
	return nil
}

// await waits until a condition holds, for at most 10 s.
func (d *deployment) await(holds func() bool) {
	for until := time.Now().Add(10 * time.Second); !holds() && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
}

// call sends a request of a client to an entry process. The status is 0 without an answer.
func (d *deployment) call(e *entry, method, path string, body any) (status int, answer map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+e.frontend+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = "pule25.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.add("client %s %s at %s -> no answer: %v", method, path, e.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	d.record.add("client %s %s at %s -> %d %v", method, path, e.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands in a job, again at the next entry after no answer or a refusal, as clients do.
func (d *deployment) submit(path string, job map[string]any) error {
	for try := range 20 {
		if status, _ := d.call(d.entries[try%len(d.entries)], http.MethodPost, path, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("job %s isn't accepted", path)
}

// state asks for the state of a job at an entry that answers.
func (d *deployment) state(path string) string {
	for _, e := range d.entries {
		if status, answer := d.call(e, http.MethodGet, path, nil); status == http.StatusOK {
			s, _ := answer["State"].(string)
			return s
		}
	}
	return ""
}

// begin publishes a configuration with the given queues and pools, starts the entry processes, and waits for a leader that has
// reached all workers.
func (d *deployment) begin(entries, queues int, pools ...string) error {
	var routes, services []map[string]any
	for i := range queues {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("q%d", i), "Host": "pule25.example", "Prefix": fmt.Sprintf("/puxa%d/", i),
			"Service": pools[i%len(pools)], "TimeoutMs": 3000, "Priority": 0, "MaxAttempts": 4, "Stretch": 1.6,
			"TargetDurationMs": 600,
		})
	}
	for _, p := range pools {
		services = append(services, map[string]any{"Name": p, "EnforcesCapacity": false, "Spare": p == d.fleet.spare})
	}
	d.store.Put("op", "config", map[string]any{
		"Version": 7, "Routes": routes, "Services": services, "Limits": map[string]any{"MaxBodyBytes": 262144},
		"Tenants": []map[string]any{{
			"Name": "t1", "ApiKeys": []string{"key-1"}, "Weight": 1, "AtMost": resources{},
		}},
	})
	d.fleet.run()
	for range entries {
		if err := d.startEntry(); err != nil {
			return err
		}
	}
	for range 200 {
		time.Sleep(50 * time.Millisecond)
		if l := d.leader(); l != nil {
			if status, _ := d.call(l, http.MethodGet, "/puxa0/", nil); status == http.StatusOK {
				time.Sleep(2500 * time.Millisecond)
				d.record.say("leader is %s", d.leader().name)
				return nil
			}
		}
	}
	return fmt.Errorf("no entry process became the leader")
}

// job returns a job with one step of equal tasks, each of which works for some time.
func job(count int, cpu int64, works time.Duration, padding int, more map[string]any) map[string]any {
	step := map[string]any{"Count": count, "Cpu": cpu, "MemMb": 10, "EstimatedMs": works.Milliseconds()}
	for k, v := range more {
		step[k] = v
	}
	specification := fmt.Sprintf("%d ", works.Milliseconds())
	return map[string]any{
		"Specification": specification + strings.Repeat("x", max(0, padding-len(specification))), "Steps": []any{step},
	}
}
