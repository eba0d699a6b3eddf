package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

// runningServers holds what each server runs, as the controller requested it, in the order of the starts.
type runningServers struct {
	*rig
	running     map[string][]backend.Run
	ends        map[string][]backend.RunEnd
	checkpoints map[backend.Run]string
	count       int64 // of ends
}

func newRunningServers(r *rig) *runningServers {
	return &runningServers{
		rig: r, running: make(map[string][]backend.Run), ends: make(map[string][]backend.RunEnd), checkpoints: make(map[backend.Run]string),
	}
}

// accept lets the servers accept all starts and stops since the last call, and returns the number of starts.
func (v *runningServers) accept() int {
	started := 0
	for _, e := range v.takeEffects() {
		switch e := e.(type) {
		case fleet.Start:
			started++
			v.running[e.Target.ID] = append(v.running[e.Target.ID], e.Request.Run)
			v.acceptStart(e)
		case fleet.Stop:
			v.end(e.Target.ID, e.Run, workload.EndStopped)
			v.handle(fleet.StopEnded{
				Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: backend.Accepted{},
			})
		}
	}
	return started
}

// reportAll handles a report of a server if it was polled.
func (v *runningServers) reportAll(id string) {
	poll, open := v.openPolls[id]
	if !open {
		return
	}
	delete(v.openPolls, id)
	report := backend.Report{Incarnation: poll.Target.Incarnation, Clock: v.now.Sub(v.bootTimes[id]), Ends: v.ends[id]}
	for _, run := range v.running[id] {
		report.Running = append(report.Running, backend.ActiveRun{Run: run, Percent: 100, Checkpoint: v.checkpoints[run]})
	}
	v.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.Reported{Report: report}})
}

// end ends a run on its server, if it is there.
func (v *runningServers) end(id string, run backend.Run, kind workload.EndKind) {
	if !slices.Contains(v.running[id], run) {
		return
	}
	v.count++
	v.ends[id] = append(v.ends[id], backend.RunEnd{Number: v.count, Run: run, Kind: kind, Checkpoint: v.checkpoints[run]})
	left := v.running[id][:0]
	for _, other := range v.running[id] {
		if other != run {
			left = append(left, other)
		}
	}
	v.running[id] = left
}

// crash lets a server crash and start again, with none of its runs.
func (v *runningServers) crash(id string) {
	v.now = v.now.Add(time.Second)
	v.bootTimes[id] = v.now
	v.running[id], v.ends[id] = nil, nil
	if poll, open := v.openPolls[id]; open {
		delete(v.openPolls, id)
		v.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.OutcomeUnknown{Reason: "no response"}})
	}
	v.register(id, "press")
}

// Guards against a job that never starts again after a crash of the server with its tasks: its row with checkpoints and counts of
// crashes outgrows the store's limit.
func TestWideJobGoesOnAfterCrashOfItsServer(t *testing.T) {
	v := newRunningServers(newRig(t))
	v.register("w-0123456789abcdef", "press")
	v.reportAll("w-0123456789abcdef")
	job := v.job(1, workload.StepOptions{Count: 400, MilliCores: 20, Checkpoints: true, DeclaredDurationMS: 6000})
	v.handle(fleet.JobArrived{Job: job})
	play := func(d time.Duration) int {
		started := 0
		for range d / (100 * time.Millisecond) {
			v.advance(100 * time.Millisecond)
			started += v.accept()
			for id, runs := range v.running {
				for _, run := range runs {
					v.checkpoints[run] = fmt.Sprintf("%016x", (run.Task.Index+1)*0x9e3779b97f4a7c1)
				}
				v.reportAll(id)
			}
		}
		return started
	}
	assert.Equal(t, play(2*time.Second), 400, "the tasks don't all start at a time")
	v.crash("w-0123456789abcdef")
	for n := range 4 {
		v.register(fmt.Sprintf("w-fedcba987654321%d", n), "press")
		v.running[fmt.Sprintf("w-fedcba987654321%d", n)] = nil
	}
	started := play(10 * time.Second)
	t.Logf("%d runs started after the crash", started)
	assert.Equal(t, len(v.refusals), 0, "%v", v.refusals)
	assert.Assert(t, started >= 300)
	for n := 0; n < 40; n++ {
		for id, runs := range v.running {
			for _, run := range append([]backend.Run(nil), runs...) {
				v.end(id, run, workload.EndDone)
			}
		}
		play(500 * time.Millisecond)
	}
	p, err := workload.DecodeProgress(v.rows[fleet.ProgressPrefix+job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobCompleted)
}

// Guards against rows or commits that the store rejects for their size, and against a job that is stopped for good by the
// length of its row, for any job that is accepted and whatever its runs end in.
func TestRowsOfAnyJobFitStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := newRunningServers(newRig(t))
		scope := tally.NewTestScope("", nil)
		v.scope = scope
		v.begin(v.version)
		v.configure(workload.Resources{})
		servers := make([]string, rapid.SampledFrom([]int{1, 2, 4, 4, 400}).Draw(rt, "servers"))
		escaped := rapid.Bool().Draw(rt, "escaped")
		nameLength := rapid.SampledFrom([]int{3, 18, 18, 18, 197}).Draw(rt, "name length")
		checkpointLength := rapid.SampledFrom([]int{0, 16, 64, 3000}).Draw(rt, "checkpoint length")
		var steps []workload.StepOptions
		for range rapid.IntRange(1, 4).Draw(rt, "steps") {
			step := workload.StepOptions{
				Count: rapid.SampledFrom([]int{1, 40, 400, 1000}).Draw(rt, "count"), MilliCores: 1, Checkpoints: true,
			}
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				step.Gang, step.Count = true, min(step.Count, max(len(servers), 40), fleet.MaxGangTasks)
			case 1:
				step.LongRunning, step.Count = true, min(step.Count, fleet.MaxGangTasks-1)
			}
			if len(servers) > 100 && rapid.Bool().Draw(rt, "spread") {
				step.MaxPerServer = 1
			}
			if len(steps) > 0 && rapid.Bool().Draw(rt, "after") {
				step.After = []int{len(steps) - 1}
			}
			steps = append(steps, step)
		}
		job, err := workload.NewJob(workload.JobOptions{
			ID: fmt.Sprintf("%016x", 1), Queue: "plates", Customer: "label", Pool: "press", Steps: steps,
			MaxAttempts: 2, AcceptedMS: v.now.UnixMilli(), Stretch: 1.6, SlackMS: 600,
		})
		assert.NilError(rt, err)
		if fleet.CheckLimits(job) != nil {
			return
		}
		for n := range servers {
			servers[n] = serverName(n, nameLength, escaped)
			v.register(servers[n], "press")
			v.reportAll(servers[n])
		}
		v.handle(fleet.JobArrived{Job: job})
		play := func() int {
			v.advance(200 * time.Millisecond)
			started := v.accept()
			for _, id := range servers {
				for _, run := range v.running[id] {
					v.checkpoints[run] = incompressibleText(run, checkpointLength)
				}
				v.reportAll(id)
			}
			return started
		}
		for range rapid.IntRange(3, 8).Draw(rt, "events") {
			id := rapid.SampledFrom(servers).Draw(rt, "server")
			runs := append([]backend.Run(nil), v.running[id]...)
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				v.crash(id)
			case 1, 2:
				for n, run := range runs {
					if n%3 != 0 {
						v.end(id, run, workload.EndDone)
					}
				}
			case 3:
				for n, run := range runs {
					if n%2 == 0 && run.Number == 1 {
						v.end(id, run, workload.EndFailed)
					}
				}
			case 4:
				clear(v.openPolls)
				v.restart(job)
				for _, other := range servers {
					v.register(other, "press")
				}
			}
			play()
			play()
			assert.Equal(rt, len(v.refusals), 0, "%v", v.refusals)
		}
		started, active := 0, 0
		for range 20 {
			for _, id := range servers {
				active += len(v.running[id])
				for _, run := range append([]backend.Run(nil), v.running[id]...) {
					v.end(id, run, workload.EndDone)
				}
			}
			started += play()
		}
		assert.Equal(rt, len(v.refusals), 0, "%v", v.refusals)
		for _, c := range scope.Snapshot().Counters() {
			assert.Assert(rt, c.Name() != "rejected-rows" || c.Value() == 0, "rows that are too long for the store")
		}
		p, err := workload.DecodeProgress(v.rows[fleet.ProgressPrefix+job.ID()])
		assert.NilError(rt, err)
		if ended := p.State.Final() || p.VisibleState() == workload.JobFailed; !ended && started+active == 0 {
			rt.Fatalf("nothing of the job starts: %d records, %s", len(p.Tasks), p.State)
		}
	})
}

// serverName returns a name for a server whose characters are random, and some of which JSON escapes.
func serverName(n, length int, escaped bool) string {
	first := 'A' // up to '~'
	if escaped {
		first = '"' // up to '_'
	}
	random := rand.New(rand.NewPCG(1, uint64(n)))
	name := make([]rune, 0, length)
	for range length {
		name = append(name, first+rune(random.IntN(62)))
	}
	return fmt.Sprintf("%s%03d", string(name), n)
}

// incompressibleText returns a checkpoint of a run.
func incompressibleText(run backend.Run, length int) string {
	var b strings.Builder
	for n := 0; b.Len() < length; n++ {
		seed := uint64(run.Task.Step*1_000_003+run.Task.Index*7919+run.Number*31+n) + 1
		seed ^= seed << 13
		seed *= 0x9e3779b97f4a7c15
		seed ^= seed >> 29
		fmt.Fprintf(&b, "%016x", seed*0xbf58476d1ce4e5b9)
	}
	return b.String()[:length]
}

// Guards against runs whose row is too long for the store even when it is packed: they are placed, given up, and placed again.
func TestRunsOnServersWithLongNamesFitRow(t *testing.T) {
	v := newRunningServers(newRig(t))
	scope := tally.NewTestScope("", nil)
	v.scope = scope
	v.begin(v.version)
	v.configure(workload.Resources{})
	servers := make([]string, 400)
	for n := range servers {
		servers[n] = serverName(n, 197, true)
		v.register(servers[n], "press")
		v.reportAll(servers[n])
	}
	job := v.job(1, workload.StepOptions{Count: len(servers), MilliCores: 20, Checkpoints: true, MaxPerServer: 1})
	v.handle(fleet.JobArrived{Job: job})
	most := 0
	for n := range 60 {
		v.advance(200 * time.Millisecond)
		v.accept()
		active := 0
		for _, id := range servers {
			active += len(v.running[id])
			for _, run := range slices.Clone(v.running[id]) {
				v.checkpoints[run] = incompressibleText(run, 64)
				if n%3 == 2 {
					v.end(id, run, workload.EndDone)
				}
			}
			v.reportAll(id)
		}
		most = max(most, active)
	}
	t.Logf("at most %d runs at a time", most)
	assert.Equal(t, len(v.refusals), 0, "%v", v.refusals)
	for _, c := range scope.Snapshot().Counters() {
		assert.Assert(t, c.Name() != "rejected-rows" || c.Value() == 0, "%d rows are too long for the store", c.Value())
	}
	p, err := workload.DecodeProgress(v.rows[fleet.ProgressPrefix+job.ID()])
	assert.NilError(t, err)
	assert.Equal(t, p.State, workload.JobCompleted)
}
