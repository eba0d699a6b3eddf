package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/command"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// startBound is longer than the freshness grant and two lease times, after which every server has its owner.
	startBound = 30 * time.Second
	// inForceBound is R27, takeOverBound the bound of section 5.2 and revocationBound that of R3.
	inForceBound    = 13 * time.Second
	takeOverBound   = 7 * time.Second
	revocationBound = 3 * time.Second
	pollDelay       = 50 * time.Millisecond
	serversPerZone  = 4
	entriesPerZone  = 2
)

// binary is the path of the program that the tests start.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

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

func raceDetector() bool {
	info, _ := debug.ReadBuildInfo()
	for _, s := range info.Settings {
		if s.Key == "-race" {
			return s.Value == "true"
		}
	}
	return false
}

// rig is a fleet of separate processes.
type rig struct {
	t        *testing.T
	dir      string
	platform string
	table    *process
	members  []*member
	admin    string
}

// member is an entry VM of the rig.
type member struct {
	*process
	id, zone, address, peers string
}

// process is a running program.
type process struct {
	cmd    *exec.Cmd
	output bytes.Buffer
	done   chan struct{}
}

// result is what a command that has ended left.
type result struct {
	code     int
	out, err string
}

// step runs a part of a test on the same fleet. Later parts need what earlier ones did, so they run after a failure too.
func (r *rig) step(name string, fn func(t *testing.T)) {
	parent := r.t
	parent.Run(name, func(t *testing.T) {
		r.t = t
		fn(t)
	})
	r.t = parent
}

// fleetPlan is what the fleets of the scenarios differ in.
type fleetPlan struct {
	zones     []string
	catalogue string
	settings  string
}

// startRig starts the platform and one process for each entry VM, stores the first configuration and waits until
// every backend server has an owner.
func startRig(t *testing.T, plan fleetPlan) *rig {
	t.Helper()
	r := &rig{t: t, dir: t.TempDir(), platform: freeAddress(t)}
	r.plan(plan)
	file, first := filepath.Join(r.dir, "platform.yaml"), r.file("first.yaml", plan.catalogue)
	r.table = r.start("platform", "--file", file)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c, err := net.Dial("tcp", r.platform)
		if err != nil {
			return poll.Continue("platform: %s", err)
		}
		_ = c.Close()
		return poll.Success()
	}, poll.WithTimeout(startBound), poll.WithDelay(pollDelay))
	r.admin = strings.TrimSpace(r.run(command.ExitOK, "",
		"init", "--table", r.platform, "--catalogue", first, "--platform", file).out)
	for _, m := range r.members {
		m.process = r.start("serve", "--settings", filepath.Join(r.dir, m.id+".yaml"))
	}
	r.awaitServers(startBound, len(plan.zones)*serversPerZone)
	return r
}

// plan chooses the addresses and writes the platform file and the settings files.
func (r *rig) plan(plan fleetPlan) {
	var vms strings.Builder
	for _, z := range plan.zones {
		for i := range entriesPerZone {
			m := &member{id: fmt.Sprintf("entry-%s-%d", z, i+1), zone: z, address: freeAddress(r.t), peers: freeAddress(r.t)}
			fmt.Fprintf(&vms, "  - {id: %s, role: entry, zone: %s, rack: %s-0, address: '%s'}\n", m.id, z, z, m.peers)
			r.file(m.id+".yaml", fmt.Sprintf("name: %s\nzone: %s\nlisten: %s\npeer-listen: %s\nplatform: %s\n%s",
				m.id, z, m.address, m.peers, r.platform, plan.settings))
			r.members = append(r.members, m)
		}
		for i := range serversPerZone {
			fmt.Fprintf(&vms, "  - {id: backend-%s-%d, role: backend, zone: %s, rack: %s-1, address: '%s', pool: main, "+
				"shape: {processors: 8, memory: 16GiB, slots: 8}}\n", z, i+1, z, z, freeAddress(r.t))
		}
	}
	r.file("platform.yaml", "listen: "+r.platform+"\nvms:\n"+vms.String())
}

func (r *rig) file(name, content string) string {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	assert.NilError(r.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// start starts a program that ends with the test. Its output is shown if the test fails.
func (r *rig) start(args ...string) *process {
	r.t.Helper()
	t := r.t
	p := &process{cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	// The race detector would hold the end of the process up for 1 s.
	p.cmd.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	assert.NilError(r.t, p.cmd.Start())
	tasks, _ := group.New(context.Background())
	tasks.Go(func() error {
		defer close(p.done)
		return p.cmd.Wait()
	})
	r.t.Cleanup(func() {
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

// awaitEnd waits until the process has ended and returns how.
func (p *process) awaitEnd(t *testing.T, limit time.Duration) *os.ProcessState {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	select {
	case <-p.done:
	case <-ctx.Done():
		// The process writes the stacks of its goroutines to its output.
		p.signal(t, syscall.SIGQUIT)
		<-p.done
		t.Fatalf("%v hasn't ended within %s", p.cmd.Args, limit)
	}
	return p.cmd.ProcessState
}

// addresses returns where all entry VMs but the given ones are reached.
func (r *rig) addresses(without ...*member) []string {
	var list []string
	for _, m := range r.up(without...) {
		list = append(list, m.address)
	}
	return list
}

func (r *rig) up(without ...*member) []*member {
	var up []*member
	for _, m := range r.members {
		gone := false
		for _, w := range without {
			gone = gone || w == m
		}
		if !gone {
			up = append(up, m)
		}
	}
	return up
}

// run runs a command with the addresses of all entry VMs and checks its exit code.
func (r *rig) run(code int, key string, args ...string) result {
	r.t.Helper()
	o := r.runAt(r.addresses(), key, args...)
	assert.Equal(r.t, o.code, code, "%v: %s%s", args, o.out, o.err)
	return o
}

func (r *rig) runAt(addresses []string, key string, args ...string) result {
	var out, errOut bytes.Buffer
	c := exec.Command(binary, args...)
	c.Dir, c.Stdout, c.Stderr = r.dir, &out, &errOut
	c.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "PISTACHIOLEAD_ADDRESSES="+strings.Join(addresses, ","), "PISTACHIOLEAD_KEY="+key)
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return result{code: -1, err: err.Error()}
	}
	return result{code: c.ProcessState.ExitCode(), out: out.String(), err: errOut.String()}
}

// change makes a configuration change, waits until it is in force and returns the answer. An entry VM that has just
// started refuses changes until all others know it.
func (r *rig) change(key string, args ...string) string {
	r.t.Helper()
	start := timer.System{}.Now()
	var o result
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		o = r.runAt(r.addresses(), key, append(args, "-o", "json")...)
		if strings.Contains(o.err, "not-ready") {
			return poll.Continue("%+v", o)
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound), poll.WithDelay(pollDelay))
	assert.Assert(r.t, o.code == command.ExitOK || o.code == command.ExitPending, "%v: %+v", args, o)
	var answer struct{ Version uint64 }
	assert.NilError(r.t, json.Unmarshal([]byte(o.out), &answer), o.out)
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		c := r.runAt(r.addresses(), key, "change", strconv.FormatUint(answer.Version, 10))
		if c.code != command.ExitOK {
			return poll.Continue("%v: %+v", args, c)
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound-since(start)), poll.WithDelay(pollDelay))
	return o.out
}

// grant grants a submitter's key and returns its secret and id.
func (r *rig) grant(team string) (secret, id string) {
	r.t.Helper()
	var answer struct {
		Secret string
		Key    struct{ ID string }
	}
	text := r.change(r.admin, "key", "grant", "--team", team)
	assert.NilError(r.t, json.Unmarshal([]byte(text), &answer), text)
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

func (r *rig) status(m *member) (status, error) {
	client := api.Client{Addresses: []string{m.address}, Key: r.admin, Timeout: time.Second}
	st, err := client.GetStatus()
	if err != nil {
		return status{}, err
	}
	var s status
	return s, json.Unmarshal(st.JSON(), &s)
}

// awaitServers waits until the entry VMs that are up are fresh, know each other and own the given number of backend
// servers.
func (r *rig) awaitServers(limit time.Duration, servers int, without ...*member) {
	r.t.Helper()
	up := r.up(without...)
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		owned := make(map[string]struct{})
		for _, m := range up {
			s, err := r.status(m)
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

// starts returns the attempts that each backend server has started, by request id.
func (r *rig) starts() map[string]map[string][]int {
	r.t.Helper()
	resp, err := http.Get("http://" + r.platform + "/starts")
	assert.NilError(r.t, err)
	defer resp.Body.Close()
	var s struct{ Backends map[string]map[string][]int }
	assert.NilError(r.t, json.NewDecoder(resp.Body).Decode(&s))
	return s.Backends
}

// startsIn returns the number of tasks that were started in an availability zone.
func (r *rig) startsIn(zone string) int {
	r.t.Helper()
	n := 0
	for id, started := range r.starts() {
		if !strings.HasPrefix(id, "backend-"+zone+"-") {
			continue
		}
		for _, attempts := range started {
			n += len(attempts)
		}
	}
	return n
}

// post sends a request to the platform.
func (r *rig) post(path, body string) {
	r.t.Helper()
	resp, err := http.Post("http://"+r.platform+path, "application/json", strings.NewReader(body))
	assert.NilError(r.t, err)
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	assert.Equal(r.t, resp.StatusCode, http.StatusOK, string(text))
}

var ports = struct {
	sync.Mutex
	taken map[int]struct{}
}{taken: make(map[int]struct{})}

// freeAddress returns a loopback address that nothing listens on. Its port is below the ports that the system gives to
// outgoing connections, so that no connection takes it before the process that listens there has started.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		port := 10_000 + rand.IntN(20_000)
		if _, ok := ports.taken[port]; ok {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ports.taken[port] = struct{}{}
		assert.NilError(t, l.Close())
		return address
	}
	t.Fatal("no free port")
	return ""
}

func since(start time.Time) time.Duration { return timer.System{}.Now().Sub(start) }
