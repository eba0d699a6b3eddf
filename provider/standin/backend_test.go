package standin_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
)

type attempt struct {
	id     string
	number int
}

// Guards against attempts that start twice, after NeverStarted or after their epoch has ended (requirements R7 and R8
// in docs/design.md), against two live leases, and against more running tasks than slots. The random actions repeat,
// delay and lose requests, restart holders, close and signal attempts, and let leases expire.
func TestBackendStartsAttemptsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		b := r.backend
		epochs := []uint64{0}
		granted := make(map[uint64]bool)
		// closed holds the attempts for which Close returned NeverStarted.
		closed := make(map[attempt]bool)

		drawAttempt := func(t *rapid.T) attempt {
			return attempt{
				id:     rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id"),
				number: rapid.IntRange(1, 3).Draw(t, "attempt"),
			}
		}
		drawEpoch := func(t *rapid.T) uint64 {
			if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
				return rapid.SampledFrom(epochs).Draw(t, "epoch")
			}
			return epochs[len(epochs)-1]
		}
		started := func(a attempt) int {
			n := 0
			for _, s := range b.Counters.Attempts(a.id) {
				if s == a.number {
					n++
				}
			}
			return n
		}

		t.Repeat(map[string]func(*rapid.T){
			"acquire": func(t *rapid.T) {
				holder := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "holder")
				zone := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "zone")
				before, live := b.Holder()
				switch o := b.Acquire(r.ctx, holder, zone).(type) {
				case provider.Granted:
					assert.Assert(t, !live || before == holder)
					assert.Equal(t, zone, "a")
					assert.Assert(t, !granted[o.Epoch()], "epoch granted twice")
					granted[o.Epoch()] = true
					epochs = append(epochs, o.Epoch())
				case provider.Held:
					assert.Assert(t, live && before != holder && o.Holder() == before)
					assert.Assert(t, o.Remaining() > 0 && o.Remaining() <= standin.LeaseDuration)
				case provider.Refused:
					assert.Equal(t, zone, "b")
				}
			},
			"release": func(t *rapid.T) { b.Release(r.ctx, drawEpoch(t)) },
			"report":  func(t *rapid.T) { b.Report(r.ctx, drawEpoch(t)) },
			"advance": func(t *rapid.T) {
				r.clock.Advance(time.Duration(rapid.IntRange(1, 7000).Draw(t, "ms")) * time.Millisecond)
			},
			"run": func(t *rapid.T) {
				a, epoch := drawAttempt(t), drawEpoch(t)
				payload := fmt.Sprintf(`{"run-ms": %d}`, rapid.SampledFrom([]int{0, 500, 5000, 60000}).Draw(t, "run-ms"))
				before := started(a)
				if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
					b.Faults.SetLoseReplies(standin.NewNext(1))
				}
				if rapid.IntRange(0, 4).Draw(t, "delayed") == 0 {
					b.Faults.SetDelay(time.Duration(rapid.IntRange(1, 9000).Draw(t, "delay-ms")) * time.Millisecond)
				}
				o := b.Run(r.sendOnly, epoch, task(a.id, a.number, payload))
				b.Faults.SetDelay(0)
				b.Faults.SetLoseReplies(standin.Never{})
				switch o := o.(type) {
				case provider.Answer:
					assert.Assert(t, intact(o, a.id, a.number))
					assert.Equal(t, started(a), 1)
				case provider.Refused, provider.StaleEpoch, provider.Unavailable:
					assert.Equal(t, started(a), before)
				}
				if _, live := b.Holder(); !live || epoch != epochs[len(epochs)-1] {
					assert.Equal(t, started(a), before, "started under an epoch that has ended")
				}
			},
			"close": func(t *rapid.T) {
				a := drawAttempt(t)
				switch o := b.Close(r.ctx, drawEpoch(t), a.id, a.number).(type) {
				case provider.NeverStarted:
					assert.Equal(t, started(a), 0)
					closed[a] = true
				case provider.StillRunning:
					assert.Equal(t, started(a), 1)
				case provider.Answer:
					assert.Equal(t, started(a), 1)
					assert.Assert(t, intact(o, a.id, a.number))
				}
			},
			"signal": func(t *rapid.T) {
				a := drawAttempt(t)
				s := provider.Signal(rapid.IntRange(1, 3).Draw(t, "signal"))
				b.Signal(r.ctx, drawEpoch(t), a.id, a.number, s)
			},
			"": func(t *rapid.T) {
				for _, id := range []string{"x", "y", "z"} {
					for n := 1; n <= 3; n++ {
						a := attempt{id: id, number: n}
						assert.Assert(t, started(a) <= 1, "%v started twice", a)
						assert.Assert(t, !closed[a] || started(a) == 0, "%v started after it was closed", a)
					}
				}
				assert.Assert(t, len(b.Running()) <= b.VM.Shape().Slots())
				assert.Equal(t, len(b.Running()), r.platform.Counters.Running("team"))
			},
		})
	})
}

// Guards against tasks that end early, late or with the wrong answer, or that don't free their slot.
func TestBackendTasks(t *testing.T) {
	type signal struct {
		atMs   int
		signal provider.Signal
	}
	for _, c := range []struct {
		name    string
		payload string
		signals []signal
		endMs   int
		ok      bool
		stopped bool
	}{
		{name: "not JSON", payload: "\xff", ok: true},
		{name: "empty", ok: true},
		{name: "JSON but not an object", payload: `[1]`, ok: true},
		{name: "with a run time", payload: `{"run-ms": 1000}`, endMs: 1000, ok: true},
		{name: "failing", payload: `{"run-ms": 1000, "fail": true}`, endMs: 1000},
		{name: "run time of the wrong type", payload: `{"run-ms": "1"}`},
		{name: "negative run time", payload: `{"run-ms": -1}`},
		{name: "output over the limit", payload: `{"output-bytes": 99999999}`},
		{name: "longer than the task lease", payload: `{"run-ms": 50000}`, endMs: 50000, ok: true},
		{
			name: "stopped", payload: `{"run-ms": 1000}`,
			signals: []signal{{300, provider.SignalStop}}, endMs: 300, stopped: true,
		},
		{
			name: "throttled, the second time without effect", payload: `{"run-ms": 1000}`,
			signals: []signal{{200, provider.SignalThrottle}, {400, provider.SignalThrottle}}, endMs: 1800, ok: true,
		},
		{
			name: "checkpointed", payload: `{"run-ms": 1000}`,
			signals: []signal{{300, provider.SignalCheckpoint}}, endMs: 300, stopped: true,
		},
		{
			name: "not checkpointable", payload: `{"run-ms": 1000, "checkpointable": false}`,
			signals: []signal{{300, provider.SignalCheckpoint}}, endMs: 1000, ok: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig()
			epoch := r.acquire(t)
			r.backend.Run(r.sendOnly, epoch, task("x", 1, c.payload))
			now := 0
			for _, s := range c.signals {
				r.advanceWithReports(t, epoch, time.Duration(s.atMs-now)*time.Millisecond)
				now = s.atMs
				_, ok := r.backend.Signal(r.ctx, epoch, "x", 1, s.signal).(provider.Signalled)
				assert.Assert(t, ok)
			}
			if c.endMs > now {
				r.advanceWithReports(t, epoch, time.Duration(c.endMs-now-1)*time.Millisecond)
				_, ok := r.backend.Close(r.ctx, epoch, "x", 1).(provider.StillRunning)
				assert.Assert(t, ok)
				r.advanceWithReports(t, epoch, time.Millisecond)
			}
			assert.Equal(t, len(r.backend.Running()), 0)

			a, ok := r.backend.Run(r.ctx, epoch, task("x", 1, "")).(provider.Answer)
			assert.Assert(t, ok)
			assert.Assert(t, intact(a, "x", 1))
			assert.Equal(t, a.OK(), c.ok)
			assert.Equal(t, a.Stopped(), c.stopped)
			assert.Equal(t, r.backend.Starts("x"), 1)
		})
	}
}

// Guards against an answer that doesn't identify its request, or that is shorter than requested.
func TestBackendOutputIdentifiesRequest(t *testing.T) {
	r := newRig()
	payload := `{"output-bytes": 1000, "seat": 7}`
	a := r.backend.Run(r.ctx, r.acquire(t), task("x", 2, payload)).(provider.Answer)
	assert.Equal(t, a.Length(), 1000)
	var output map[string]any
	assert.NilError(t, json.Unmarshal(a.Output(), &output))
	delete(output, "padding")
	assert.DeepEqual(t, output, map[string]any{
		"request-id": "x", "attempt": 2.0, "entry": "entry", "team": "team",
		"payload-xxhash64": fmt.Sprintf("%016x", xxhash.Sum64String(payload)), "echo": map[string]any{"seat": 7.0},
	})
}

// Guards against a checkpoint whose progress is lost, and against one that remains after its task has completed.
func TestBackendResumesCheckpoint(t *testing.T) {
	r := newRig()
	epoch := r.acquire(t)
	payload := `{"run-ms": 10000}`
	r.backend.Run(r.sendOnly, epoch, task("x", 1, payload))
	r.advanceWithReports(t, epoch, 7*time.Second)
	r.backend.Signal(r.ctx, epoch, "x", 1, provider.SignalCheckpoint)
	remaining, ok := r.platform.Checkpoints.Remaining("x")
	assert.Assert(t, ok)
	assert.Equal(t, remaining, 3*time.Second)

	r.backend.Run(r.sendOnly, epoch, task("x", 2, payload))
	r.advanceWithReports(t, epoch, 3*time.Second)
	assert.Assert(t, r.backend.Run(r.sendOnly, epoch, task("x", 2, payload)).(provider.Answer).OK())
	_, ok = r.platform.Checkpoints.Remaining("x")
	assert.Assert(t, !ok)
}

// Guards against tasks that run beyond their task lease or are stopped before it expires, and against an Acquire that
// doesn't renew the task leases.
func TestBackendTaskLeaseExpires(t *testing.T) {
	r := newRig()
	b := r.backend
	b.Run(r.sendOnly, r.acquire(t), task("x", 1, `{"run-ms": 3600000}`))
	r.clock.Advance(standin.TaskLeaseDuration - time.Millisecond)
	g := b.Acquire(r.ctx, "e2", "a").(provider.Granted)
	assert.Equal(t, len(g.Tasks()), 1)
	assert.Assert(t, !g.Tasks()[0].Finished())

	r.clock.Advance(standin.TaskLeaseDuration - time.Millisecond)
	assert.Equal(t, len(b.Running()), 1)
	r.clock.Advance(time.Millisecond)
	assert.Equal(t, r.platform.Counters.Running("team"), 0)
	assert.Equal(t, r.platform.Counters.MaxRunning("team"), 1)
	epoch := r.acquire(t)
	assert.Assert(t, b.Close(r.ctx, epoch, "x", 1).(provider.Answer).Stopped())
}

// Guards against epochs that don't contain the start time of the process, against a restart that keeps tasks, and
// against a restart after which a request under a lease of the old process starts a task.
func TestBackendRestartLosesTasksAndLeases(t *testing.T) {
	r := newRig()
	b := r.backend
	r.clock.Advance(time.Second)
	old := r.acquire(t)
	assert.Equal(t, old>>20, uint64(1_000_000))
	b.Run(r.sendOnly, old, task("x", 1, `{"run-ms": 1000}`))
	// Two restarts in one millisecond.
	b.Restart()
	b.Restart()
	assert.Equal(t, r.platform.Counters.Running("team"), 0)
	_, ok := b.Run(r.sendOnly, old, task("y", 1, "")).(provider.StaleEpoch)
	assert.Assert(t, ok)
	epoch := r.acquire(t)
	assert.Equal(t, epoch>>20, uint64(1_001_001))
	assert.Equal(t, b.Starts("x"), 1)
	assert.Equal(t, b.Starts("y"), 0)
}

// Guards against injected answer faults that the checks of the receiver can't detect (requirement R6 in
// docs/design.md), and against faults that destroy the stored answer.
func TestBackendAnswerFaultsAreDetectable(t *testing.T) {
	for name, set := range map[string]func(*standin.TaskFaults){
		"crossed":    func(f *standin.TaskFaults) { f.SetMisroute(standin.NewNext(1)) },
		"truncated":  func(f *standin.TaskFaults) { f.SetTruncate(standin.NewNext(1)) },
		"duplicated": func(f *standin.TaskFaults) { f.SetDuplicate(standin.NewNext(1)) },
		"late":       func(f *standin.TaskFaults) { f.SetAnswerDelay(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			epoch := r.acquire(t)
			r.backend.Run(r.sendOnly, epoch, task("w", 1, ""))
			set(&r.backend.TaskFaults)
			a, ok := r.backend.Run(r.sendOnly, epoch, task("x", 1, "")).(provider.Answer)
			assert.Assert(t, !ok || !intact(a, "x", 1))
			tasks := r.backend.Report(r.ctx, epoch).(provider.Report).Tasks()
			assert.Equal(t, len(tasks), 1)
			assert.Assert(t, tasks[0].Finished())

			r.backend.TaskFaults.SetAnswerDelay(0)
			a = r.backend.Run(r.ctx, epoch, task("x", 1, "")).(provider.Answer)
			assert.Assert(t, intact(a, "x", 1))
			assert.Equal(t, r.backend.Starts("x"), 1)
			assert.Equal(t, len(r.backend.Report(r.ctx, epoch).(provider.Report).Tasks()), 0)
		})
	}

	r := newRig()
	epoch := r.acquire(t)
	r.backend.TaskFaults.SetFail(standin.Always{})
	a := r.backend.Run(r.ctx, epoch, task("x", 1, `{"run-ms": 1000}`)).(provider.Answer)
	assert.Assert(t, !a.OK() && !a.Stopped())
}

// Guards against a second start of an attempt whose answer was discarded, and against answers that are never discarded.
func TestBackendDiscardsOldAnswers(t *testing.T) {
	r := newRig()
	epoch := r.acquire(t)
	stopped := func(id string) bool {
		return r.backend.Run(r.ctx, epoch, task(id, 1, "")).(provider.Answer).Stopped()
	}
	for i := range standin.MaxAnswers + 1 {
		stopped(fmt.Sprint(i))
	}
	assert.Assert(t, stopped("0"))
	assert.Assert(t, !stopped("1"))
	r.clock.Advance(standin.AnswerRetention)
	epoch = r.acquire(t)
	assert.Assert(t, stopped("1"))
	assert.Equal(t, r.backend.Starts("1"), 1)
}

// Guards against a reported usage that doesn't lag by UsageLag.
func TestBackendUsageLags(t *testing.T) {
	r := newRig()
	epoch := r.acquire(t)
	r.backend.Run(r.sendOnly, epoch, task("x", 1, `{"run-ms": 5000}`))
	for at := time.Duration(0); at < 10*time.Second; at += time.Second {
		u := r.backend.Report(r.ctx, epoch).(provider.Report).Usage()
		want := 0
		if at >= standin.UsageLag && at < 5*time.Second+standin.UsageLag {
			want = 1
		}
		assert.Equal(t, u.Slots(), want, "after %v", at)
		r.clock.Advance(time.Second)
	}
}
