package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// storedRun returns the only run in the stored progress of the job.
func (r *heldStartRig) storedRun() workload.Assignment {
	r.t.Helper()
	p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+r.job.ID()])
	assert.NilError(r.t, err)
	for _, record := range p.Tasks {
		assert.Equal(r.t, len(record.Assignments), 1)
		return record.Assignments[0]
	}
	r.t.Fatal("no run is stored")
	return workload.Assignment{}
}

// commits returns the number of commits since the last call of takeEffects.
func (r *rig) commits() int {
	n := 0
	for _, e := range r.takeEffects() {
		if _, ok := e.(fleet.Commit); ok {
			n++
		}
	}
	return n
}

// Guards against tasks that wait for a start request after a change of leaders, although its answer had been received long before.
func TestAnswerOfShortRunIsStoredWithRenewal(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptStart(r.start)
	assert.Assert(t, !r.storedRun().Answered, "a write of its own")
	r.takeEffects()
	r.advance(time.Second)
	assert.Assert(t, r.storedRun().Answered, "the answer isn't stored after a second")
	r.advance(2 * time.Second)
	withAnswer := r.commits()
	r.advance(3 * time.Second)
	assert.Equal(t, withAnswer, r.commits(), "the answer took a commit of its own")
}

// Guards against the same if the leader is lost before it renews the term: other jobs are stored meanwhile.
func TestAnswerOfShortRunIsStoredWithOtherChanges(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptStart(r.start)
	r.handle(fleet.JobArrived{Job: r.rig.job(2, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})})
	assert.Assert(t, r.storedRun().Answered, "the commit of another job doesn't hold the answer")
}

// Guards against the same after a planned stop, in the last commit of the leader.
func TestAnswerOfShortRunIsStoredByPlannedStop(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptStart(r.start)
	r.handle(fleet.Stopping{})
	assert.Assert(t, r.storedRun().Answered, "the leader has resigned without the answer")
}

// Guards against the same if the row changes between the answer and the renewal, or the commit isn't carried out.
func TestAnswerIsStoredAfterFailedCommit(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.holdCommits = true
	r.acceptStart(r.start)
	r.advance(500 * time.Millisecond)
	r.holdCommits = false
	r.handle(fleet.CommitEnded{Outcome: provider.NewUnavailable("timeout")})
	r.advance(time.Second)
	assert.Assert(t, r.storedRun().Answered, "the answer isn't stored after a commit that wasn't carried out")
}

// Guards against tasks that wait for the lease after a change of leaders, although their server's VM is listed as down.
func TestRestoredRunOnDownVMStartsElsewhereAtOnce(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.acceptStart(r.start)
	r.advance(time.Second)
	r.states[r.removed] = backend.VMDown
	r.takeOverWithoutServer()
	r.assertStartedElsewhere(maxRemovalDelay)
}

// Guards against a task that runs twice: its run is on an incarnation that started after the list was made.
func TestRestoredRunOfLaterIncarnationOutlastsOldList(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	server := r.removed
	r.comeBack(server)
	r.report(server, nil)
	r.handle(fleet.StartEnded{
		Server: server, Incarnation: r.start.Target.Incarnation, Run: r.start.Request.Run, Outcome: backend.OutcomeUnknown{Reason: "timeout"},
	})
	for range 10 {
		r.advance(100 * time.Millisecond)
		if _, open := r.openPolls[server]; open {
			r.report(server, []backend.Run{r.start.Request.Run})
		}
	}
	assert.Assert(t, r.storedRun().Answered)
	r.states[server] = backend.VMDown
	r.takeOverWithoutServer()
	after := r.run(3*time.Second, false)
	assert.Equal(t, after, time.Duration(0), "started elsewhere while its server may run it")
}

// Guards against a task that runs twice: the next incarnation of its server accepted the start request and isn't registered yet, and the
// list shows the VM as it was before that.
func TestRestoredRunOfUnknownIncarnationOutlastsOldList(t *testing.T) {
	r := newRemovedRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	r.handle(fleet.StartEnded{
		Server: r.removed, Incarnation: r.start.Target.Incarnation, Run: r.start.Request.Run,
		Outcome: backend.Accepted{Clock: time.Millisecond}, // the clock of the earlier incarnation shows a minute
	})
	r.advance(2 * time.Second)
	r.states[r.removed] = backend.VMDown
	r.takeOverWithoutServer()
	after := r.run(5*time.Second, false)
	assert.Equal(t, after, time.Duration(0), "started elsewhere while its server may run it")
}

// manyAnswersRig has jobs with accepted runs whose answers aren't stored. They don't fit into one commit.
type manyAnswersRig struct {
	*rig
	jobs []*workload.Job
}

func newManyAnswersRig(t *testing.T) *manyAnswersRig {
	t.Helper()
	r := &manyAnswersRig{rig: newRig(t)}
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(20 * time.Second)
	r.takeEffects()
	var starts []fleet.Start
	for n := range 300 {
		j := r.job(n+1, workload.StepOptions{Count: 1, MilliCores: 10, DeclaredDurationMS: 1000})
		r.jobs = append(r.jobs, j)
		r.handle(fleet.JobArrived{Job: j})
		starts = append(starts, r.starts()...)
	}
	assert.Equal(t, len(starts), len(r.jobs))
	r.holdCommits = true
	r.advance(100 * time.Millisecond)
	for _, s := range starts {
		r.acceptStart(s)
	}
	r.holdCommits = false
	r.handle(fleet.CommitEnded{Outcome: provider.NewUnavailable("timeout")})
	return r
}

func (r *manyAnswersRig) assertAnswersStored() {
	r.t.Helper()
	unstored := 0
	for _, j := range r.jobs {
		p, err := workload.DecodeProgress(r.rows[fleet.ProgressPrefix+j.ID()])
		assert.NilError(r.t, err)
		for _, record := range p.Tasks {
			if !record.Assignments[0].Answered {
				unstored++
			}
		}
	}
	assert.Equal(r.t, unstored, 0, "answers aren't stored")
}

// Guards against tasks that wait for a start request after a change of leaders: the answers to many don't fit into one commit.
func TestAnswersThatExceedOneCommitAreStored(t *testing.T) {
	r := newManyAnswersRig(t)
	r.advance(1900 * time.Millisecond)
	r.assertAnswersStored()
}

// Guards against the same after a planned stop: the leader resigned with the first commit.
func TestAnswersThatExceedOneCommitAreStoredByPlannedStop(t *testing.T) {
	r := newManyAnswersRig(t)
	r.handle(fleet.Stopping{})
	r.advance(500 * time.Millisecond)
	r.assertAnswersStored()
}

// Guards against tasks that wait for a start request after a change of leaders, although no other incarnation than the one it was sent to
// accepts its ticket.
func TestStartWithTicketDoesNotHoldTaskAfterTakeover(t *testing.T) {
	r := newRecommendationRig(t)
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.advance(20 * time.Second)
	r.takeEffects()
	j := r.job(1, workload.StepOptions{Count: 1, MilliCores: 1000, DeclaredDurationMS: 1000})
	r.handle(fleet.JobArrived{Job: j})
	first := r.nextStart(time.Second)
	lost := first.Target.ID
	assert.Assert(t, first.Request.Ticket != "")
	r.restart(j)
	clear(r.openPolls)
	for _, id := range []string{"i-1", "i-2"} {
		if id != lost {
			r.register(id, "press")
		}
	}
	began := r.now
	second := r.nextStart(40 * time.Second)
	assert.Assert(t, second.Target.ID != lost)
	after := r.now.Sub(began)
	assert.Assert(t, after < maxRequestDelay, "started elsewhere only after %s", after)
}

// Guards against tasks that run nowhere for long after a change of leaders: their start requests were repeated long before, and the store
// was unavailable when no request could be carried out any more.
func TestRepeatedStartDoesNotHoldTaskAfterLateTakeover(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{LongRunning: true})
	lastRequestAt := r.acceptRepeat()
	server, run := r.start.Target.ID, r.start.Request.Run
	for r.now.Before(lastRequestAt.Add(maxRequestDelay + 3*time.Second)) { // as the time of day may differ
		r.holdCommits = r.now.After(lastRequestAt.Add(maxRequestDelay - 2*time.Second))
		r.advance(100 * time.Millisecond)
		for id := range r.openPolls {
			if id == server {
				r.report(id, []backend.Run{run})
				continue
			}
			r.report(id, nil)
		}
	}
	r.holdCommits = false
	r.takeEffects()
	r.takeOver()
	took := r.now
	repeated, after := r.run(5 * time.Second)
	assert.Equal(t, repeated, 0)
	assert.Assert(t, after > 0, "the task isn't started again %s after the takeover", r.now.Sub(took))
}

// Guards against a task that runs twice: the request was sent once more after its record said until when it may be carried out.
func TestStartIsRepeatedOnlyOnceItsEndIsNotStored(t *testing.T) {
	r := newHeldStartRig(t, workload.StepOptions{DeclaredDurationMS: 1000})
	report := func(d time.Duration, reports bool) (starts []fleet.Start) {
		for until := r.now.Add(d); r.now.Before(until); r.advance(100 * time.Millisecond) {
			for id := range r.openPolls {
				if reports {
					r.report(id, nil)
				}
			}
			starts = append(starts, r.starts()...)
		}
		return starts
	}
	r.loseStartResponse(r.start)
	repeats := report(300*time.Millisecond, true)
	assert.Equal(t, len(repeats), 1)
	assert.Equal(t, len(report(time.Second, true)), 0)
	assert.Equal(t, r.storedRun().StartableUntilMS, int64(0), "while the request may be sent again, with a higher token")
	r.loseStartResponse(repeats[0])
	assert.Equal(t, len(report(time.Second, false)), 0)
	assert.Assert(t, r.storedRun().StartableUntilMS > r.sentAt.Add(maxRequestDelay).UnixMilli())
	r.holdCommits = true
	assert.Equal(t, len(report(time.Second, true)), 0, "the request was repeated before that was stored")
	r.holdCommits = false
	r.handle(fleet.CommitEnded{Outcome: provider.NewUnavailable("timeout")})
	assert.Equal(t, len(report(500*time.Millisecond, true)), 1)
}
