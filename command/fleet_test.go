package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/command"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// startBound limits the start of a fleet. It is longer than a freshness lease and two leases of backend servers,
	// after which every backend server has an owner.
	startBound = 30 * time.Second
	// inForceBound limits the time from a configuration change until it is in force on every entry VM (R27 in
	// docs/design.md).
	inForceBound = 13 * time.Second
	// takeoverBound limits the time until the backend servers of a lost entry VM have a new owner (section 5.2 there).
	takeoverBound = 7 * time.Second
	// revocationBound limits the time until every entry VM refuses a revoked key (R3 there).
	revocationBound = 3 * time.Second
	// pollDelay is the time between two checks of a condition that a test waits for.
	pollDelay      = 50 * time.Millisecond
	serversPerZone = 4
	entriesPerZone = 2
)

// binary is the path of the program that the tests run.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program, with the race detector if the tests have it, and runs the tests.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pistachiolead-command")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "pistachiolead")
	args := []string{"build", "-o", binary}
	if raceDetector() {
		args = append(args, "-race")
	}
	if out, err := exec.Command("go", append(args, "..")...).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %s\n%s", err, out))
	}
	return m.Run()
}

// raceDetector reports whether the tests were built with the race detector.
func raceDetector() bool {
	info, _ := debug.ReadBuildInfo()
	for _, s := range info.Settings {
		if s.Key == "-race" {
			return s.Value == "true"
		}
	}
	return false
}

// testFleet is a fleet whose entry VMs and stand-in of the platform run in separate processes.
type testFleet struct {
	t        *testing.T // of the step that runs
	dir      string     // has the settings files and documents
	platform string     // the platform's host:port
	entryVMs []*entryVM
	admin    string // the secret of an administrator's key
}

// entryVM is an entry VM of a testFleet. Its address is for callers, peers for other entry VMs, both as host:port.
type entryVM struct {
	*process
	id, zone, address, peers string
}

// process is a running process of the program.
type process struct {
	cmd    *exec.Cmd
	output bytes.Buffer  // standard output and standard error
	done   chan struct{} // closed when the process has ended
}

// result is the exit code and the output of a command.
type result struct {
	code     int
	out, err string
}

// step runs a step of a test as a subtest. The steps share the fleet and build on each other. They run after the
// failure of an earlier step too.
func (f *testFleet) step(name string, fn func(t *testing.T)) {
	parent := f.t
	parent.Run(name, func(t *testing.T) {
		f.t = t
		fn(t)
	})
	f.t = parent
}

// fleetPlan describes a testFleet: the names of its zones, its first catalogue, and settings of all entry VMs that are
// appended to the required ones.
type fleetPlan struct {
	zones     []string
	catalogue string
	settings  string
}

// startTestFleet starts the platform and one process for each entry VM, stores the first configuration and waits until
// every backend server has an owner.
func startTestFleet(t *testing.T, plan fleetPlan) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: t.TempDir(), platform: freeAddress(t)}
	f.writeFiles(plan)
	file, first := filepath.Join(f.dir, "platform.yaml"), f.file("first.yaml", plan.catalogue)
	f.start("platform", "--file", file)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", f.platform)
		if err != nil {
			return poll.Continue("platform: %s", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithTimeout(startBound), poll.WithDelay(pollDelay))
	f.admin = strings.TrimSpace(f.run(command.ExitOK, "",
		"init", "--table", f.platform, "--catalogue", first, "--platform", file).out)
	for _, m := range f.entryVMs {
		m.process = f.start("serve", "--settings", filepath.Join(f.dir, m.id+".yaml"))
	}
	f.awaitServers(startBound, len(plan.zones)*serversPerZone)
	return f
}

// writeFiles chooses the addresses of all VMs and writes the platform file and the settings files.
func (f *testFleet) writeFiles(plan fleetPlan) {
	var vms strings.Builder
	for _, z := range plan.zones {
		for i := range entriesPerZone {
			m := &entryVM{id: fmt.Sprintf("entry-%s-%d", z, i+1), zone: z, address: freeAddress(f.t), peers: freeAddress(f.t)}
			fmt.Fprintf(&vms, "  - {id: %s, role: entry, zone: %s, rack: %s-0, address: '%s'}\n", m.id, z, z, m.peers)
			f.file(m.id+".yaml", fmt.Sprintf("name: %s\nzone: %s\nlisten: %s\npeer-listen: %s\nplatform: %s\n%s",
				m.id, z, m.address, m.peers, f.platform, plan.settings))
			f.entryVMs = append(f.entryVMs, m)
		}
		for i := range serversPerZone {
			fmt.Fprintf(&vms, "  - {id: backend-%s-%d, role: backend, zone: %s, rack: %s-1, address: '%s', pool: main, "+
				"shape: {processors: 8, memory: 16GiB, slots: 8}}\n", z, i+1, z, z, freeAddress(f.t))
		}
	}
	f.file("platform.yaml", "listen: "+f.platform+"\nvms:\n"+vms.String())
}

// file writes a file into the directory of the fleet and returns its path.
func (f *testFleet) file(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// start starts the program and kills it at the end of the test. Its output is logged if the test fails.
func (f *testFleet) start(args ...string) *process {
	f.t.Helper()
	t := f.t
	p := &process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	// By default the race detector sleeps for 1 s when the process exits.
	p.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	assert.NilError(f.t, p.cmd.Start())
	tasks, _ := group.New(context.Background())
	tasks.Go(func() error {
		defer close(p.done)
		return p.cmd.Wait()
	})
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		text := p.output.String()
		assert.Check(t, !strings.Contains(text, "DATA RACE") && !strings.Contains(text, "panic:"), args)
		if t.Failed() {
			t.Logf("%v:\n%s", args, text)
		}
	})
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// awaitEnd waits until the process has ended and returns its final state. It fails the test if that exceeds the limit.
func (p *process) awaitEnd(t *testing.T, limit time.Duration) *os.ProcessState {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-p.done:
	case <-ctx.Done():
		threads := p.threads()
		// SIGQUIT makes the process write the stacks of its goroutines to its output.
		p.signal(t, syscall.SIGQUIT)
		<-p.done
		t.Fatalf("%v hasn't ended within %s; then it ended: %v; its threads before:\n%s", p.cmd.Args, limit, p.cmd.ProcessState, threads)
	}
	return p.cmd.ProcessState
}

// threads returns the states of the threads of the process, with the signals that are pending, blocked and caught.
func (p *process) threads() string {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", p.cmd.Process.Pid))
	var text strings.Builder
	for _, file := range files {
		status, _ := os.ReadFile(file) // the thread may have ended
		for line := range strings.Lines(string(status)) {
			for _, field := range []string{"Pid:", "State:", "SigPnd:", "ShdPnd:", "SigBlk:", "SigCgt:"} {
				if strings.HasPrefix(line, field) {
					text.WriteString(strings.TrimSpace(line) + "  ")
				}
			}
		}
		text.WriteByte('\n')
	}
	return text.String()
}

// addresses returns the addresses for callers of all entry VMs except the given ones.
func (f *testFleet) addresses(without ...*entryVM) []string {
	var list []string
	for _, m := range f.up(without...) {
		list = append(list, m.address)
	}
	return list
}

// up returns all entry VMs except the given ones, which the test has stopped.
func (f *testFleet) up(without ...*entryVM) []*entryVM {
	var up []*entryVM
	for _, m := range f.entryVMs {
		excluded := false
		for _, w := range without {
			excluded = excluded || w == m
		}
		if !excluded {
			up = append(up, m)
		}
	}
	return up
}

// run runs a command with the addresses of all entry VMs, and fails the test if its exit code isn't code.
func (f *testFleet) run(code int, key string, args ...string) result {
	f.t.Helper()
	o := f.runAt(f.addresses(), key, args...)
	assert.Equal(f.t, o.code, code, "%v: %s%s", args, o.out, o.err)
	return o
}

// runAt runs a command with the given addresses and key. The exit code is -1 if the command can't be started.
func (f *testFleet) runAt(addresses []string, key string, args ...string) result {
	var out, errOut bytes.Buffer
	c := exec.Command(binary, args...)
	c.Dir, c.Stdout, c.Stderr = f.dir, &out, &errOut
	c.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "PISTACHIOLEAD_ADDRESSES="+strings.Join(addresses, ","), "PISTACHIOLEAD_KEY="+key)
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return result{code: -1, err: err.Error()}
	}
	return result{code: c.ProcessState.ExitCode(), out: out.String(), err: errOut.String()}
}

// change runs a command that changes the configuration, waits until the change is in force and returns the JSON output.
// It repeats the command while it fails as not ready, because an entry VM that has just started refuses changes until
// all others know it.
func (f *testFleet) change(key string, args ...string) string {
	f.t.Helper()
	start := timer.System{}.Now()
	var o result
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		o = f.runAt(f.addresses(), key, append(args, "-o", "json")...)
		if strings.Contains(o.err, "not-ready") {
			return poll.Continue("%+v", o)
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound), poll.WithDelay(pollDelay))
	assert.Assert(f.t, o.code == command.ExitOK || o.code == command.ExitPending, "%v: %+v", args, o)
	var answer struct{ Version uint64 }
	assert.NilError(f.t, json.Unmarshal([]byte(o.out), &answer), o.out)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		c := f.runAt(f.addresses(), key, "change", strconv.FormatUint(answer.Version, 10))
		if c.code != command.ExitOK {
			return poll.Continue("%v: %+v", args, c)
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound-since(start)), poll.WithDelay(pollDelay))
	return o.out
}

// grant grants a submitter's key and returns its secret and id.
func (f *testFleet) grant(team string) (secret, id string) {
	f.t.Helper()
	var answer struct {
		Secret string
		Key    struct{ ID string }
	}
	text := f.change(f.admin, "key", "grant", "--team", team)
	assert.NilError(f.t, json.Unmarshal([]byte(text), &answer), text)
	return answer.Secret, answer.Key.ID
}

// status is the part of an entry VM's status that the tests need.
type status struct {
	Fresh   bool
	Members []string
	Owned   []string `json:"backend-servers-owned"`
	Running int
	Zones   []struct{ Name, State string }
}

func (f *testFleet) status(m *entryVM) (status, error) {
	client := api.Client{Addresses: []string{m.address}, Key: f.admin, Timeout: time.Second}
	st, err := client.GetStatus()
	if err != nil {
		return status{}, err
	}
	var s status
	return s, json.Unmarshal(st.JSON(), &s)
}

// awaitServers waits until the entry VMs that are up are fresh, know each other and own the given number of backend
// servers.
func (f *testFleet) awaitServers(limit time.Duration, servers int, without ...*entryVM) {
	f.t.Helper()
	up := f.up(without...)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		owned := make(map[string]struct{})
		for _, m := range up {
			s, err := f.status(m)
			if err != nil || !s.Fresh || len(s.Members) < len(up) {
				return poll.Continue("%s: %+v, %v", m.id, s, err)
			}
			for _, id := range s.Owned {
				owned[id] = struct{}{}
			}
		}
		if len(owned) < servers {
			return poll.Continue("%d of %d backend servers have an owner", len(owned), servers)
		}
		return poll.Success()
	}, poll.WithTimeout(limit), poll.WithDelay(pollDelay))
}

// starts returns the numbers of the attempts that have started, by backend server and request id.
func (f *testFleet) starts() map[string]map[string][]int {
	f.t.Helper()
	resp, err := http.Get("http://" + f.platform + "/starts")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	var s struct{ Backends map[string]map[string][]int }
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&s))
	return s.Backends
}

// startsIn returns the number of attempts that have started in an availability zone.
func (f *testFleet) startsIn(zone string) int {
	f.t.Helper()
	n := 0
	for id, started := range f.starts() {
		if !strings.HasPrefix(id, "backend-"+zone+"-") {
			continue
		}
		for _, attempts := range started {
			n += len(attempts)
		}
	}
	return n
}

// post sends a POST request with a JSON body to the platform, and fails the test unless the response is 200.
func (f *testFleet) post(path, body string) {
	f.t.Helper()
	resp, err := http.Post("http://"+f.platform+path, "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	assert.Equal(f.t, resp.StatusCode, http.StatusOK, string(text))
}

var ports emulator.Ports

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := ports.Address()
	assert.NilError(t, err)
	return address
}

func since(start time.Time) time.Duration { return timer.System{}.Now().Sub(start) }
