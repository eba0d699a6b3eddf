package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// rig drives a control state with fake time. Commits succeed at once unless holdCommits is set.
type rig struct {
	t           *testing.T
	state       *fleet.State
	now         time.Time
	entryVM     string // the leader
	version     uint64
	holdCommits bool // commits get no outcome
	// rejects reports whether the store rejects a transaction for its content. It may be nil.
	rejects      func(provider.Transaction) bool
	refusals     []string // of transactions that the store rejected for their size
	effects      []fleet.Effect
	rows         map[string][]byte
	bootTimes    map[string]time.Time  // start times of servers by id, a minute before they register if none is set
	openPolls    map[string]fleet.Poll // polls without a response, by server id
	scope        tally.Scope           // receives the metrics; may be nil
	measurements map[backend.Run]int64 // reported tail latencies in milliseconds

	previousLease time.Duration // fleet.State.PreviousLease

	recommendation *backend.Recommendation // of the queue
	copyPercent    int                     // fleet.State.CopyPercent
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{
		t: t, now: time.Unix(1_000_000, 0), entryVM: "entry", version: 10,
		rows: make(map[string][]byte), bootTimes: make(map[string]time.Time), openPolls: make(map[string]fleet.Poll),
	}
	r.begin(10)
	r.configure(workload.Resources{})
	return r
}

func (r *rig) configure(limit workload.Resources) {
	queues := []directory.Queue{{
		Name: "plates", Host: "h", Prefix: "/p/", Pool: "press", MaxAttempts: 2, Recommendation: r.recommendation,
	}}
	pools := []directory.Pool{{Name: "press"}, {Name: "proofs"}, {Name: "spare", Spare: true}}
	customers := []directory.Customer{{Name: "label", Limit: limit}}
	r.version++
	r.handle(fleet.OperationArrived{Operation: directory.ConfigurationPublished{
		Snapshot: directory.NewSnapshot(int64(r.version), queues, customers, pools, 0),
	}})
}

// begin starts a new term with an empty control state.
func (r *rig) begin(token uint64) {
	r.state = &fleet.State{
		EntryVM: r.entryVM, Token: token, Scope: r.scope, TermRequestedAt: r.now,
		Term:          fleet.Term{Holder: r.entryVM, DurationMS: 2500}.WithVersion(token),
		HandoverPause: 3 * time.Second, MaintenanceTime: 2 * time.Second, MoveTime: time.Second,
		CopyPercent: r.copyPercent, PreviousLease: r.previousLease,
	}
	r.state.Begin(r.now)
}

// restart starts a new term and restores the stored progress of the jobs.
func (r *rig) restart(jobs ...*workload.Job) {
	r.t.Helper()
	r.version++
	r.begin(r.version)
	progress := make(map[string]workload.Progress)
	for _, j := range jobs {
		if data, stored := r.rows[fleet.ProgressPrefix+j.ID()]; stored {
			p, err := workload.DecodeProgress(data)
			assert.NilError(r.t, err)
			progress[j.ID()] = p
		}
	}
	var waves []provider.Row
	for key, data := range r.rows {
		if strings.HasPrefix(key, fleet.WavesPrefix) {
			waves = append(waves, provider.NewRow(key, data, r.version))
		}
	}
	r.state.Restore(fleet.Stored{Jobs: jobs, Progress: progress, Waves: waves}, r.now)
	r.configure(workload.Resources{})
}

func (r *rig) handle(events ...fleet.Event) {
	r.now = r.now.Add(time.Millisecond) // longer than the placement interval
	for _, e := range events {
		r.state.Handle(e, r.now)
	}
	r.settle()
}

func (r *rig) settle() {
	for {
		effects := r.state.TakeEffects(r.now)
		if len(effects) == 0 {
			return
		}
		for _, e := range effects {
			r.effects = append(r.effects, e)
			if p, ok := e.(fleet.Poll); ok {
				r.openPolls[p.Target.ID] = p
			}
			if c, ok := e.(fleet.Commit); ok && !r.holdCommits {
				r.commit(c)
			}
		}
	}
}

func (r *rig) commit(c fleet.Commit) {
	if refusal := storeRefusal(c.Transaction); refusal != "" {
		r.refusals = append(r.refusals, refusal)
		r.state.Handle(fleet.CommitEnded{Outcome: provider.NewRejected(refusal)}, r.now)
		return
	}
	if r.rejects != nil && r.rejects(c.Transaction) {
		r.state.Handle(fleet.CommitEnded{Outcome: provider.NewRejected("a row is too long")}, r.now)
		return
	}
	r.version++
	for _, w := range c.Transaction.Writes() {
		r.rows[w.Key()] = w.Value()
	}
	r.state.Handle(fleet.CommitEnded{Outcome: provider.NewCommitted(r.version)}, r.now)
}

// advance advances the time in ticks of 100 ms.
func (r *rig) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for range d / step {
		r.now = r.now.Add(step)
		r.handle(fleet.Tick{})
	}
}

// takeEffects returns the effects since the last call.
func (r *rig) takeEffects() []fleet.Effect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *rig) starts() []fleet.Start {
	var starts []fleet.Start
	for _, e := range r.takeEffects() {
		if s, ok := e.(fleet.Start); ok {
			starts = append(starts, s)
		}
	}
	return starts
}

func (r *rig) register(id, pool string) {
	if r.bootTimes[id].IsZero() {
		r.bootTimes[id] = r.now.Add(-time.Minute)
	}
	r.handle(fleet.ServerRegistered{Registration: backend.Registration{
		ID: id, VM: "m" + id[1:], Pool: pool, Address: "10.0.0.1:1", Zone: "z", Rack: "r-" + id,
		Incarnation: r.bootTimes[id].UnixMilli(), Capacity: workload.NewResources(8000, 8000, 0),
	}})
}

// report responds to the current poll of a server.
func (r *rig) report(id string, running []backend.Run, ends ...backend.RunEnd) {
	r.t.Helper()
	poll, open := r.openPolls[id]
	if !open {
		r.t.Fatalf("no poll of %s", id)
	}
	delete(r.openPolls, id)
	report := backend.Report{Incarnation: poll.Target.Incarnation, Clock: r.now.Sub(r.bootTimes[id]), Ends: ends}
	for _, run := range running {
		report.Running = append(report.Running, backend.ActiveRun{Run: run, Percent: 100, Measurement: r.measurements[run]})
	}
	r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.Reported{Report: report}})
}

// reportProgress handles a report of a server that runs at most one task, if it was polled.
func (r *rig) reportProgress(id string, run *backend.Run, percent int, ends ...backend.RunEnd) {
	r.t.Helper()
	poll, open := r.openPolls[id]
	if !open {
		return
	}
	delete(r.openPolls, id)
	report := backend.Report{Incarnation: poll.Target.Incarnation, Clock: r.now.Sub(r.bootTimes[id]), Ends: ends}
	if run != nil {
		report.Running = []backend.ActiveRun{{Run: *run, Percent: percent}}
	}
	r.handle(fleet.PollEnded{Server: id, Sequence: poll.Sequence, Outcome: backend.Reported{Report: report}})
}

// failPoll lets the current poll of a server fail.
func (r *rig) failPoll(id string) {
	r.t.Helper()
	for _, e := range r.effects {
		if p, ok := e.(fleet.Poll); ok && p.Target.ID == id {
			r.handle(fleet.PollEnded{
				Server: id, Sequence: p.Sequence, Outcome: backend.OutcomeUnknown{Reason: "no response"},
			})
		}
	}
}

func (r *rig) acceptStart(s fleet.Start) {
	r.handle(fleet.StartEnded{
		Server: s.Target.ID, Incarnation: s.Target.Incarnation, Run: s.Request.Run, Outcome: backend.Accepted{},
	})
}

func (r *rig) job(n int, steps ...workload.StepOptions) *workload.Job {
	r.t.Helper()
	j, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2,
		Specification: "s", Steps: steps, AcceptedMS: r.now.UnixMilli(), Stretch: 1.6, SlackMS: 600,
	})
	assert.NilError(r.t, err)
	return j
}
