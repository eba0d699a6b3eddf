package fleet_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	modelLongRunningTasks = 3
	// modelNoticeTime is the time without work after which a task counts as away, whatever ended it.
	modelNoticeTime = 4500 * time.Millisecond
	modelStartup    = 300 * time.Millisecond
)

// longRunningModel follows the tasks of a job of which one task may be unavailable. Its runs end now and then as done or
// failed. A nil longRunningModel has no job.
type longRunningModel struct {
	job        string
	cancelled  bool
	started    map[backend.Run]time.Time
	ends       map[backend.Run]workload.EndKind
	stopped    map[workload.TaskID]bool // tasks that a controller stopped, until they are at work again
	lastAtWork map[workload.TaskID]time.Time
}

func (l *longRunningModel) has(run backend.Run) bool { return l != nil && run.Task.Job == l.job }

// endOf returns how a run ends by itself.
func (l *longRunningModel) endOf(run backend.Run) workload.EndKind {
	if l.has(run) {
		return l.ends[run]
	}
	return workload.EndDone
}

// start returns when a run ends.
func (l *longRunningModel) start(m *model, run backend.Run) time.Time {
	l.started[run] = m.now
	l.ends[run] = workload.EndFailed
	if m.chance(50, "ends as done") {
		l.ends[run] = workload.EndDone
	}
	return m.now.Add(time.Duration(rapid.IntRange(100, 30_000).Draw(m.t, "duration")) * time.Millisecond)
}

func (l *longRunningModel) atWork(m *model, run backend.Run) bool {
	return m.now.Sub(l.started[run]) >= modelStartup
}

// runs reports whether a run of a task exists.
func (l *longRunningModel) runs(m *model, task workload.TaskID) bool {
	for _, s := range m.servers {
		for run := range s.running {
			if run.Task == task {
				return true
			}
		}
	}
	return false
}

// observe notes which tasks are at work.
func (l *longRunningModel) observe(m *model) {
	if l == nil {
		return
	}
	for _, s := range m.servers {
		for run := range s.running {
			if l.has(run) && l.atWork(m, run) {
				l.lastAtWork[run.Task] = m.now
				delete(l.stopped, run.Task)
			}
		}
	}
}

// interrupt checks that the controller may end a run. Requests that are carried out late don't count.
func (l *longRunningModel) interrupt(m *model, run backend.Run) {
	if !l.has(run) || l.cancelled || !l.atWork(m, run) || m.late {
		return
	}
	for index := range modelLongRunningTasks {
		other := workload.TaskID{Job: l.job, Index: index}
		away := l.stopped[other] || m.now.Sub(l.lastAtWork[other]) >= modelNoticeTime
		if other != run.Task && away {
			m.fail("%v is ended while %v is away, and one may be", run, other)
		}
	}
	m.logf("%v is ended by a controller", run)
	l.stopped[run.Task] = true
}

// submitLongRunning submits the job.
func (m *model) submitLongRunning() {
	j, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", 1<<20), Queue: "plates", Pool: "press", MaxAttempts: 3, AcceptedMS: m.now.UnixMilli(), Stretch: 2,
		Steps: []workload.StepOptions{{
			Count: modelLongRunningTasks, MilliCores: 1000, MemoryMB: 1000, DeclaredDurationMS: 1000, LongRunning: true,
			MaxUnavailable: 1, MaxPerServer: 1,
		}},
	})
	if err != nil {
		m.t.Fatal(err)
	}
	m.jobs = append(m.jobs, j)
	m.crashing[j.ID()] = m.chance(m.crashPercent, "crashes servers")
	m.longRunning = &longRunningModel{
		job: j.ID(), started: make(map[backend.Run]time.Time), ends: make(map[backend.Run]workload.EndKind),
		stopped: make(map[workload.TaskID]bool), lastAtWork: make(map[workload.TaskID]time.Time),
	}
	m.handle(m.current, fleet.JobArrived{Job: j})
}

// checkRestarts checks that each task that wasn't given up is started again within four seconds.
func (l *longRunningModel) checkRestarts(m *model) {
	missing := make(map[int]bool, modelLongRunningTasks)
	for index := range modelLongRunningTasks {
		// By the users' rules a task may be given up once two servers have crashed under it.
		lost := m.lostWith[workload.TaskID{Job: l.job, Index: index}]
		missing[index] = lost < 3 && (index > 0 || !m.crashing[l.job])
	}
	maps.DeleteFunc(missing, func(_ int, expected bool) bool { return !expected })
	for range 40 {
		m.advance(100 * time.Millisecond)
		for index := range missing {
			if l.runs(m, workload.TaskID{Job: l.job, Index: index}) {
				delete(missing, index)
			}
		}
	}
	if len(missing) > 0 {
		m.fail("tasks %v don't run", missing)
	}
}

// Guards against a job of long-running tasks that ends without a request of its customer, against tasks that aren't restarted
// however they end, and against stops beyond the number of tasks that may be unavailable, while servers crash under them,
// VMs are maintained, controllers are killed or paused, and requests are late or get no response.
func TestLongRunningJobsOutlastFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLongRunningJob(t, false) })
}

// Guards against the same while the store is slow: leaders change less often, and more time passes between a decision and the
// requests that carry it out.
func TestLongRunningJobsOutlastFaultsWhileStoreIsSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLongRunningJob(t, true) })
}

func playLongRunningJob(t *rapid.T, slowStore bool) {
	m := newModel(t)
	m.slowStore = slowStore
	m.crashPercent = rapid.IntRange(0, 30).Draw(t, "crashing jobs")
	m.waveStep = rapid.IntRange(0, 5).Draw(t, "wave")
	m.takeOver("entry")
	m.submitLongRunning()
	m.playFaults()
	m.recoverAndCheck(crashingTasksTime)
	m.longRunning.checkRestarts(m)
	m.longRunning.cancelled = true
	m.handle(m.current, fleet.CancelRequested{ID: m.longRunning.job})
	m.advance(3 * time.Second)
	for _, s := range m.servers {
		for run := range s.running {
			if m.longRunning.has(run) {
				m.fail("%v runs on after its job was cancelled", run)
			}
		}
	}
	p, err := workload.DecodeProgress(m.rows[fleet.ProgressPrefix+m.longRunning.job])
	assert.NilError(t, err)
	assert.Equal(t, p.VisibleState(), workload.JobCancelled)
	if m.violation != "" {
		t.Fatal(m.violation)
	}
}
