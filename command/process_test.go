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

// item is one request of a workload.
type item struct {
	id, team, entry string
	job             bool
	payload         []byte
	output          []byte
}

// workload submits numbered requests of two teams through all entry VMs in turn.
type workload struct {
	r       *rig
	secrets map[string]string
	items   []*item
}

func (w *workload) client(team string, m *member) *api.Client {
	return &api.Client{Addresses: []string{m.address}, Key: w.secrets[team], Timeout: 15 * time.Second}
}

// add returns the next requests. Every second one is of the other team, and every second pair is idempotent.
func (w *workload) add(n int, job bool, runMs int) []*item {
	first := len(w.items)
	for range n {
		i := len(w.items)
		idempotent := i/2%2 == 0
		name := map[bool]map[bool]string{false: {true: "proof", false: "plate"}, true: {true: "archive", false: "payout"}}
		w.items = append(w.items, &item{
			id: fmt.Sprintf("item-%d", i), team: []string{"studio", "press"}[i%2], entry: name[job][idempotent], job: job,
			payload: fmt.Appendf(nil, `{"number":%d,"run-ms":%d}`, i, runMs),
		})
	}
	return w.items[first:]
}

// submit submits requests at once, each through the next of the entry VMs, and returns the error of each.
func (w *workload) submit(items []*item, through []*member) []error {
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

func (w *workload) submitOne(it *item, m *member) error {
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

// check checks that the output is the whole answer to this request.
func (it *item) check() error {
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

func (w *workload) mustRun(items []*item, through []*member) {
	w.r.t.Helper()
	for i, err := range w.submit(items, through) {
		assert.Check(w.r.t, err, "%s %s", items[i].entry, items[i].id)
	}
}

// settle asks for requests whose submission failed by their id until each has an answer. A request that didn't run,
// or whose id is unknown, is submitted again with the same id.
func (w *workload) settle(items []*item, errs []error, through []*member, entry string) {
	w.r.t.Helper()
	for i, it := range items {
		if it.entry != entry {
			continue
		}
		err, m := errs[i], through[i%len(through)]
		poll.WaitOn(w.r.t, func(poll.LogT) poll.Result {
			if err == nil {
				return poll.Success()
			}
			if job, askErr := w.client(it.team, m).GetRequest(it.id); askErr == nil && job.State() == "done" {
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
// out, while operators and failures change the fleet of processes.
func TestWorkOutlastsMaintenanceAndFailures(t *testing.T) {
	t.Parallel()
	r := startRig(t, fleetPlan{zones: []string{"a", "b"}, catalogue: firstCatalogue, settings: "drain-timeout: 20s\n"})
	r.change(r.admin, "apply", r.file("next.yaml", nextCatalogue))
	w := &workload{r: r, secrets: make(map[string]string)}
	w.secrets["studio"], _ = r.grant("studio")
	var pressKey string
	w.secrets["press"], pressKey = r.grant("press")
	stopped, killed := r.members[0], r.members[3]
	up := r.up(stopped, killed)

	r.step("all entry VMs answer", func(*testing.T) {
		w.mustRun(w.add(40, false, 20), r.members)
		w.mustRun(w.add(14, true, 300), r.members)
	})
	r.step("work goes on while a zone goes out", w.takeZoneOut)
	r.step("nothing starts in a zone that is out", w.checkZoneOut)
	r.step("a zone comes back", w.bringZoneBack)
	r.step("a planned stop loses no call", func(t *testing.T) { w.stop(t, stopped) })

	var held []*item
	var errs []error
	r.step("work of a killed entry VM is taken over", func(t *testing.T) { held, errs = w.kill(t, killed, up) })
	r.step("idempotent calls of a killed entry VM can be repeated", func(*testing.T) {
		w.settle(held, errs, up, "proof")
	})
	r.step("other calls of a killed entry VM are resolved", func(*testing.T) { w.settle(held, errs, up, "plate") })
	r.step("every job has its output", func(t *testing.T) { w.checkJobs(t, up) })
	r.step("repeated calls run once", func(t *testing.T) { w.checkRepeats(t, up) })
	r.step("non-idempotent work started once", func(t *testing.T) { w.checkStarts(t, "plate", "payout") })
	r.step("finished jobs run only once", func(t *testing.T) { w.checkStarts(t, "archive") })
	r.step("a revoked key is refused everywhere", func(t *testing.T) { w.revoke(t, up, pressKey) })
	r.step("exit codes tell what became of work", func(*testing.T) {
		r.run(command.ExitNotRun, w.secrets["press"], "call", "proof")
		r.run(command.ExitFailed, w.secrets["studio"], "call", "proof", "--payload", `{"fail": true}`)
		r.run(command.ExitOK, w.secrets["studio"], "submit", "archive", "--request-id", "long", "--payload", `{"run-ms": 600000}`)
		r.run(command.ExitPending, w.secrets["studio"], "wait", "long", "--for", "1ms")
	})
}

// takeZoneOut takes availability zone a out while calls and jobs go through all entry VMs.
func (w *workload) takeZoneOut(t *testing.T) {
	tasks, _ := group.New(context.Background())
	calls, jobs := w.add(40, false, 100), w.add(12, true, 200)
	tasks.Go(func() error { w.mustRun(calls, w.r.members); return nil })
	tasks.Go(func() error { w.mustRun(jobs, w.r.members); return nil })
	w.r.change(w.r.admin, "zone", "out", "a")
	assert.NilError(t, tasks.Wait())
}

func (w *workload) checkZoneOut(t *testing.T) {
	// Answers to new calls through every entry VM show that starts sent before have arrived.
	w.mustRun(w.add(8, false, 0), w.r.members)
	before := w.r.startsIn("a")
	w.mustRun(w.add(40, false, 20), w.r.members)
	w.mustRun(w.add(12, true, 200), w.r.members)
	w.mustRun(w.add(8, false, 0), w.r.members)
	assert.Equal(t, w.r.startsIn("a"), before)
}

func (w *workload) bringZoneBack(t *testing.T) {
	before := w.r.startsIn("a")
	w.r.change(w.r.admin, "zone", "back", "a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		w.mustRun(w.add(4, false, 0), w.r.members[:2])
		if w.r.startsIn("a") == before {
			return poll.Continue("nothing starts in the zone")
		}
		return poll.Success()
	}, poll.WithTimeout(inForceBound), poll.WithDelay(pollDelay))
}

// hold submits calls through one entry VM and returns once all of them have started.
func (w *workload) hold(t *testing.T, m *member, n int, tasks *group.Group) ([]*item, []error) {
	t.Helper()
	running := w.r.startsIn("a") + w.r.startsIn("b")
	held, errs := w.add(n, false, 1000), make([]error, n)
	tasks.Go(func() error { copy(errs, w.submit(held, []*member{m})); return nil })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.r.startsIn("a")+w.r.startsIn("b") < running+n {
			return poll.Continue("not all calls have started")
		}
		return poll.Success()
	}, poll.WithTimeout(takeOverBound), poll.WithDelay(pollDelay))
	return held, errs
}

// stop stops an entry VM by SIGTERM while it holds jobs and calls.
func (w *workload) stop(t *testing.T, m *member) {
	tasks, _ := group.New(context.Background())
	w.mustRun(w.add(4, true, 1500), []*member{m})
	held, errs := w.hold(t, m, 8, tasks)
	m.signal(t, syscall.SIGTERM)
	w.mustRun(w.add(32, false, 50), w.r.up(m))
	assert.NilError(t, tasks.Wait())
	for i, err := range errs {
		assert.Check(t, err, held[i].id)
	}
	assert.Equal(t, m.awaitEnd(t, 20*time.Second).ExitCode(), command.ExitOK)
	w.r.awaitServers(takeOverBound, 8, m)
}

// kill kills an entry VM while it holds jobs and calls. It returns the calls, whose connections broke.
func (w *workload) kill(t *testing.T, m *member, up []*member) ([]*item, []error) {
	tasks, _ := group.New(context.Background())
	w.mustRun(w.add(8, true, 2000), []*member{m})
	held, errs := w.hold(t, m, 12, tasks)
	m.signal(t, syscall.SIGKILL)
	m.awaitEnd(t, time.Second)
	w.r.post("/faults/vms/"+m.id, `{"state": "gone"}`)
	assert.NilError(t, tasks.Wait())
	w.r.awaitServers(takeOverBound, 8, w.r.members[0], m)
	w.mustRun(w.add(8, false, 20), up)
	return held, errs
}

// checkJobs asks for every job by its id.
func (w *workload) checkJobs(t *testing.T, up []*member) {
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

// checkRepeats submits non-idempotent calls again, each through another entry VM than before.
func (w *workload) checkRepeats(t *testing.T, up []*member) {
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

// checkStarts checks how often the requests of some entries were started. No backend server fails in this test, and no
// request is refused after it started, so once is enough.
func (w *workload) checkStarts(t *testing.T, entries ...string) {
	where := make(map[string][]string)
	for server, started := range w.r.starts() {
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

// revoke revokes a key at one entry VM and waits until all of them refuse it.
func (w *workload) revoke(t *testing.T, up []*member, key string) {
	tasks, _ := group.New(context.Background())
	start := timer.System{}.Now()
	tasks.Go(func() error {
		o := w.r.runAt([]string{up[0].address}, w.r.admin, "key", "revoke", key)
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
