package command_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/command"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/timer"
)

const firstCatalogue = `pools:
  - {name: main, budget: 4}
  - {name: spare, spare: true, budget: 1}
teams:
  - {name: studio, share: 3, limit: 64}
  - {name: press, share: 1, limit: 64}
entries:
  - {name: proof, owner: studio, class: interactive, pool: main, open: true, idempotent: true, shape: {processors: 1, memory: 256MiB}}
`

const nextCatalogue = firstCatalogue + `
  - {name: plate, owner: studio, class: interactive, pool: main, open: true, shape: {processors: 1, memory: 256MiB}}
  - {name: archive, owner: studio, class: archive, pool: main, open: true, idempotent: true, checkpoint: true, shape: {processors: 1, memory: 256MiB}}
  - {name: payout, owner: studio, class: archive, pool: main, open: true, shape: {processors: 1, memory: 256MiB}}
`

// workItem is a call or job of a workload. output is its answer, nil until that is known.
type workItem struct {
	id, team, entry string
	job             bool
	payload         []byte
	output          []byte
}

// workload submits numbered calls and jobs of two teams, each through the next of the entry VMs.
type workload struct {
	fleet   *testFleet
	secrets map[string]string // of the teams' keys
	items   []*workItem
}

func (w *workload) client(team string, m *entryVM) *api.Client {
	return &api.Client{Addresses: []string{m.address}, Key: w.secrets[team], Timeout: 15 * time.Second}
}

// add appends n items to the workload and returns them. The team changes with each item, and whether they are
// idempotent with every second. Each runs for runMs milliseconds.
func (w *workload) add(n int, job bool, runMs int) []*workItem {
	first := len(w.items)
	for range n {
		i := len(w.items)
		idempotent := i/2%2 == 0
		name := map[bool]map[bool]string{false: {true: "proof", false: "plate"}, true: {true: "archive", false: "payout"}}
		w.items = append(w.items, &workItem{
			id: fmt.Sprintf("item-%d", i), team: []string{"studio", "press"}[i%2], entry: name[job][idempotent], job: job,
			payload: fmt.Appendf(nil, `{"number":%d,"run-ms":%d}`, i, runMs),
		})
	}
	return w.items[first:]
}

// submit submits items concurrently, each through the next of the entry VMs, and returns the error of each.
func (w *workload) submit(items []*workItem, through []*entryVM) []error {
	errs := make([]error, len(items))
	tasks, _ := group.New(context.Background())
	for i, it := range items {
		tasks.Go(func() error {
			m, start := through[i/2%len(through)], timer.System{}.Now()
			errs[i] = errors.WithMessagef(w.submitOne(it, m), "%s after %s", m.id, since(start))
			return nil
		})
	}
	_ = tasks.Wait()
	return errs
}

func (w *workload) submitOne(it *workItem, m *entryVM) error {
	c := w.client(it.team, m)
	work := api.Work{Entry: it.entry, RequestID: it.id, Payload: it.payload, Deadline: 20 * time.Second}
	if it.job {
		work.Deadline = 0
		_, err := c.SubmitJob(work)
		return err
	}
	output, err := c.Call(work)
	if err != nil {
		return err
	}
	it.output = output
	return it.check()
}

// check checks that the output is the complete answer to this item and not to another.
func (it *workItem) check() error {
	var a struct {
		RequestID string `json:"request-id"`
		Team      string
		Entry     string
		Payload   string `json:"payload-xxhash64"`
		Echo      struct{ Number int }
	}
	if err := json.Unmarshal(it.output, &a); err != nil {
		return errors.Wrapf(err, "output %q of %s", it.output, it.id)
	}
	sum := fmt.Sprintf("%016x", xxhash.Sum64(it.payload))
	if a.RequestID != it.team+"."+it.id || a.Team != it.team || a.Entry != it.entry || a.Payload != sum ||
		fmt.Sprintf("item-%d", a.Echo.Number) != it.id {
		return errors.Errorf("%s of %s got %s", it.id, it.team, it.output)
	}
	return nil
}

// mustRun submits items and fails the test for each that isn't answered (calls) or accepted (jobs).
func (w *workload) mustRun(items []*workItem, through []*entryVM) {
	w.fleet.t.Helper()
	for i, err := range w.submit(items, through) {
		assert.Check(w.fleet.t, err, "%s %s", items[i].entry, items[i].id)
	}
}

// settle queries the items of an entry whose submission failed by their ids until each has an answer. An item that
// isn't done or whose id is unknown is submitted again under the same id.
func (w *workload) settle(items []*workItem, errs []error, through []*entryVM, entry string) {
	w.fleet.t.Helper()
	for i, it := range items {
		if it.entry != entry {
			continue
		}
		err, m := errs[i], through[i%len(through)]
		poll.WaitOn(w.fleet.t, func(poll.LogT) poll.Result {
			if err == nil {
				return poll.Success()
			}
			if job, queryErr := w.client(it.team, m).GetRequest(it.id); queryErr == nil && job.State() == "done" {
				it.output = job.Output()
				err = it.check()
				return poll.Continue("%s is done: %v", it.id, err)
			}
			if err = w.submitOne(it, m); err == nil {
				return poll.Success()
			}
			return poll.Continue("%s %s: %s", it.entry, it.id, err)
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(200*time.Millisecond))
	}
}

// Guards against work that is lost, run twice or answered wrongly, and against starts in an availability zone that is
// out of service, while zones are taken out and restored, entry VMs are stopped and killed and keys are revoked.
func TestWorkOutlastsMaintenanceAndFailures(t *testing.T) {
	t.Parallel()
	f := startTestFleet(t, fleetPlan{zones: []string{"a", "b"}, catalogue: firstCatalogue, settings: "drain-timeout: 20s\n"})
	f.change(f.admin, "apply", f.file("next.yaml", nextCatalogue))
	w := &workload{fleet: f, secrets: make(map[string]string)}
	w.secrets["studio"], _ = f.grant("studio")
	var pressKey string
	w.secrets["press"], pressKey = f.grant("press")
	stopped, killed := f.entryVMs[0], f.entryVMs[3]
	up := f.up(stopped, killed)

	f.step("all entry VMs answer", func(*testing.T) {
		w.mustRun(w.add(40, false, 20), f.entryVMs)
		w.mustRun(w.add(14, true, 300), f.entryVMs)
	})
	f.step("work goes on while a zone goes out", w.takeZoneOut)
	f.step("nothing starts in a zone out of service", w.checkZoneOut)
	f.step("a zone is restored", w.restoreZone)
	f.step("a planned stop loses no call", func(t *testing.T) { w.stop(t, stopped) })

	var calls []*workItem
	var errs []error
	f.step("work of a killed entry VM is taken over", func(t *testing.T) { calls, errs = w.kill(t, killed, up) })
	f.step("idempotent calls of a killed entry VM can be repeated", func(*testing.T) {
		w.settle(calls, errs, up, "proof")
	})
	f.step("other calls of a killed entry VM are resolved", func(*testing.T) { w.settle(calls, errs, up, "plate") })
	f.step("every job has its output", func(t *testing.T) { w.checkJobs(t, up) })
	f.step("non-idempotent calls that are repeated run once", func(t *testing.T) { w.checkRepeats(t, up) })
	f.step("non-idempotent work started once", func(t *testing.T) { w.checkStarts(t, "plate", "payout") })
	f.step("finished jobs run only once", func(t *testing.T) { w.checkStarts(t, "archive") })
	f.step("a revoked key is refused everywhere", func(t *testing.T) { w.revoke(t, up, pressKey) })
	f.step("exit codes say whether work ran", func(*testing.T) {
		f.run(command.ExitNotRun, w.secrets["press"], "call", "proof")
		f.run(command.ExitFailed, w.secrets["studio"], "call", "proof", "--payload", `{"fail": true}`)
		f.run(command.ExitOK, w.secrets["studio"], "submit", "archive", "--request-id", "long", "--payload", `{"run-ms": 600000}`)
		f.run(command.ExitPending, w.secrets["studio"], "wait", "long", "--for", "1ms")
	})
}

// takeZoneOut takes availability zone a out of service while all entry VMs process calls and jobs.
func (w *workload) takeZoneOut(t *testing.T) {
	tasks, _ := group.New(context.Background())
	calls, jobs := w.add(40, false, 100), w.add(12, true, 200)
	tasks.Go(func() error { w.mustRun(calls, w.fleet.entryVMs); return nil })
	tasks.Go(func() error { w.mustRun(jobs, w.fleet.entryVMs); return nil })
	w.fleet.change(w.fleet.admin, "zone", "out", "a")
	assert.NilError(t, tasks.Wait())
}

// checkZoneOut checks that calls and jobs through all entry VMs start nothing in zone a.
func (w *workload) checkZoneOut(t *testing.T) {
	// Once every entry VM has answered new calls, the starts that it sent before have reached the backend servers.
	w.mustRun(w.add(8, false, 0), w.fleet.entryVMs)
	before := w.fleet.startsIn("a")
	w.mustRun(w.add(40, false, 20), w.fleet.entryVMs)
	w.mustRun(w.add(12, true, 200), w.fleet.entryVMs)
	w.mustRun(w.add(8, false, 0), w.fleet.entryVMs)
	assert.Equal(t, w.fleet.startsIn("a"), before)
}

// restoreZone restores zone a to service and waits until something starts there.
func (w *workload) restoreZone(t *testing.T) {
	before := w.fleet.startsIn("a")
	w.fleet.change(w.fleet.admin, "zone", "back", "a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mustRun(w.add(4, false, 0), w.fleet.entryVMs[:2])
		if w.fleet.startsIn("a") == before {
			return poll.Continue("nothing starts in the zone")
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound), poll.WithDelay(pollDelay))
}

// startCalls submits n calls of 1 s through one entry VM and returns them once all have started. Their errors are valid
// after tasks.Wait.
func (w *workload) startCalls(t *testing.T, m *entryVM, n int, tasks *group.Group) ([]*workItem, []error) {
	t.Helper()
	running := w.fleet.startsIn("a") + w.fleet.startsIn("b")
	calls, errs := w.add(n, false, 1000), make([]error, n)
	tasks.Go(func() error { copy(errs, w.submit(calls, []*entryVM{m})); return nil })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.fleet.startsIn("a")+w.fleet.startsIn("b") < running+n {
			return poll.Continue("not all calls have started")
		}
		return poll.Success()
	}, poll.WithTimeout(takeoverBound), poll.WithDelay(pollDelay))
	return calls, errs
}

// stop stops an entry VM by SIGTERM while it processes jobs and calls, and checks that all calls are answered.
func (w *workload) stop(t *testing.T, m *entryVM) {
	tasks, _ := group.New(context.Background())
	w.mustRun(w.add(4, true, 1500), []*entryVM{m})
	calls, errs := w.startCalls(t, m, 8, tasks)
	m.signal(t, syscall.SIGTERM)
	w.mustRun(w.add(32, false, 50), w.fleet.up(m))
	assert.NilError(t, tasks.Wait())
	for i, err := range errs {
		assert.Check(t, err, calls[i].id)
	}
	assert.Equal(t, m.awaitEnd(t, 20*time.Second).ExitCode(), command.ExitOK)
	w.fleet.awaitServers(takeoverBound, 8, m)
}

// kill kills an entry VM while it processes jobs and calls. It returns the calls, whose connections were closed, and
// their errors.
func (w *workload) kill(t *testing.T, m *entryVM, up []*entryVM) ([]*workItem, []error) {
	tasks, _ := group.New(context.Background())
	w.mustRun(w.add(8, true, 2000), []*entryVM{m})
	calls, errs := w.startCalls(t, m, 12, tasks)
	m.signal(t, syscall.SIGKILL)
	m.awaitEnd(t, time.Second)
	w.fleet.post("/faults/vms/"+m.id, `{"state": "gone"}`)
	assert.NilError(t, tasks.Wait())
	w.fleet.awaitServers(takeoverBound, 8, w.fleet.entryVMs[0], m)
	w.mustRun(w.add(8, false, 20), up)
	return calls, errs
}

// checkJobs queries every job by its id and checks that it is done and has its own answer.
func (w *workload) checkJobs(t *testing.T, up []*entryVM) {
	for i, it := range w.items {
		if !it.job {
			continue
		}
		job, err := w.client(it.team, up[i%len(up)]).GetJob(it.id, 40*time.Second)
		assert.NilError(t, err, it.id)
		assert.Equal(t, job.State(), "done", "%s: %v", it.id, job.Problem())
		it.output = job.Output()
		assert.Check(t, it.check())
	}
}

// checkRepeats submits non-idempotent calls again under the same ids, each through another entry VM than before. It
// checks that each gets the first answer, or an error that doesn't claim that it never ran.
func (w *workload) checkRepeats(t *testing.T, up []*entryVM) {
	for i, it := range w.items {
		if it.entry != "plate" {
			continue
		}
		first := string(it.output)
		err := w.submitOne(it, up[i/4%len(up)])
		var answer *api.Error
		if errors.As(err, &answer) {
			assert.Check(t, answer.Outcome() != "not-run", "%s: %s", it.id, err)
			continue
		}
		assert.Check(t, err)
		assert.Check(t, first == "" || string(it.output) == first, "%s: %s, then %s", it.id, first, it.output)
	}
}

// checkStarts checks that each item of some entries started exactly once. That is required because in this test no
// backend server fails and no item is refused after it started.
func (w *workload) checkStarts(t *testing.T, entries ...string) {
	where := make(map[string][]string)
	for server, started := range w.fleet.starts() {
		for id, attempts := range started {
			for _, n := range attempts {
				where[id] = append(where[id], fmt.Sprintf("%s, attempt %d", server, n))
			}
		}
	}
	for _, it := range w.items {
		if at := where[it.team+"."+it.id]; slices.Contains(entries, it.entry) {
			assert.Check(t, len(at) == 1, "%s %s was started at %q", it.entry, it.id, at)
		}
	}
}

// revoke revokes a key of the team press at one entry VM and checks that all of them refuse it within revocationBound.
func (w *workload) revoke(t *testing.T, up []*entryVM, key string) {
	tasks, _ := group.New(context.Background())
	start := timer.System{}.Now()
	tasks.Go(func() error {
		o := w.fleet.runAt([]string{up[0].address}, w.fleet.admin, "key", "revoke", key)
		assert.Check(t, o.code == command.ExitOK || o.code == command.ExitPending, "%+v", o)
		return nil
	})
	for _, m := range up {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, err := w.client("press", m).Call(api.Work{Entry: "proof"})
			var answer *api.Error
			if errors.As(err, &answer) && answer.Code() == "revoked-key" && answer.Outcome() == "not-run" {
				return poll.Success()
			}
			return poll.Continue("%s: %v", m.id, err)
		}, poll.WithTimeout(revocationBound), poll.WithDelay(pollDelay))
	}
	assert.Check(t, since(start) < revocationBound, since(start))
	assert.NilError(t, tasks.Wait())
}
