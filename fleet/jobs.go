package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/workload"
)

func (s *State) addJob(spec *workload.Job, now time.Time) {
	if _, known := s.jobs[spec.ID()]; known {
		return
	}
	j := newJob(spec)
	j.createDueOccurrences(now)
	j.beyondWeight = s.exceedsWeight(j, now)
	s.jobs[spec.ID()] = j
	s.dirtyPools[s.poolOf(j)] = true
	s.recordArrival(j, now)
	klog.InfoS("Job received", "job", spec.ID(), "queue", spec.Queue(), "customer", spec.Customer(),
		"steps", len(spec.Steps()), "age", now.Sub(spec.Accepted()))
	if s.earlyCancels[spec.ID()] {
		delete(s.earlyCancels, spec.ID())
		s.cancel(spec.ID(), now)
	}
}

func (s *State) cancel(id string, _ time.Time) {
	j, known := s.jobs[id]
	if !known {
		s.earlyCancels[id] = true
		return
	}
	if j.state.Final() {
		return
	}
	s.counters.cancels.Inc(1)
	s.endJob(j, workload.JobCancelled, "cancelled")
}

func (s *State) cancelsRead(partition int) {
	if !s.unreadCancels[partition] {
		return
	}
	delete(s.unreadCancels, partition)
	s.placeAll = true
	if len(s.unreadCancels) == 0 {
		klog.InfoS("Read the requests to cancel", "vm", s.EntryVM, "since-begin", s.now.Sub(s.began))
	}
}

// awaitsCancels reports whether it isn't known yet which jobs of the job's partition were cancelled before the term.
func (s *State) awaitsCancels(j *job) bool {
	return len(s.unreadCancels) > 0 && s.unreadCancels[s.CancelPartition(j.spec.ID())]
}

// endJob sets the final state of a job and stops its runs.
func (s *State) endJob(j *job, state workload.JobState, reason string) {
	j.state = state
	s.markChanged(j)
	s.recordEarlyEnd(j)
	klog.InfoS("Job ended", "job", j.spec.ID(), "state", state, "reason", reason, "running", j.activeRuns,
		"took", s.now.Sub(j.submitted), "objective", j.objective, "beyond-weight", j.beyondWeight)
	for _, t := range j.tasks {
		s.forgetLosses(t)
		for _, a := range t.attempts {
			s.requestStop(a, reason)
		}
	}
}

// dropFinishedJob removes a job if it has ended, has no runs and no late starts, and all of that is stored. It reports whether it did.
func (s *State) dropFinishedJob(j *job) bool {
	if !j.state.Final() || j.activeRuns > 0 || j.lateStarts > 0 || j.changed {
		return false
	}
	delete(s.jobs, j.spec.ID())
	return true
}

// maxAttempts returns the number of failed runs of a task after which its job fails.
func (s *State) maxAttempts(j *job) int {
	if s.directory != nil {
		if q, ok := s.directory.Queue(j.spec.Queue()); ok && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
	}
	return j.spec.MaxAttempts()
}

// finishTask records that a task is done, and with it all tasks of its step if they run as a gang.
func (s *State) finishTask(t *task) {
	if t.record.Done {
		return
	}
	t.record.Done = true
	t.record.Checkpoint = ""
	if t.record.GivenUp {
		t.record.GivenUp = false
		t.step.givenUp--
	}
	s.forgetLosses(t)
	s.recordDeparture(t)
	s.backlog.done++
	t.step.remaining--
	if len(t.attempts) == 0 {
		t.step.unassigned--
	}
	t.job.estimate = nil
	j := t.job
	s.markChanged(j)
	s.dirtyPools[s.poolOf(j)] = true
	for _, other := range t.attempts {
		s.discardRun(other)
	}
	if t.step.spec.Gang() {
		for _, member := range t.step.tasks {
			s.finishTask(member)
		}
	}
	if !j.state.Final() && j.complete() {
		s.endJob(j, workload.JobCompleted, "all-done")
	}
}

// failTask records a failed run of a task, and fails the job if no attempts are left.
func (s *State) failTask(t *task, server string, run int) {
	if !t.step.spec.LongRunning() {
		t.record.FailedRuns = append(t.record.FailedRuns, run)
	}
	t.record.Failures++
	t.record.Checkpoint = ""
	t.avoid(server)
	s.markChanged(t.job)
	if t.step.spec.LongRunning() || t.job.state.Final() {
		return
	}
	if t.record.Failures >= s.maxAttempts(t.job) {
		s.giveUp(t, "attempts-used")
	}
}

// giveUp gives up a task that isn't started again, and its job with it. A job with long-running tasks goes on without the task
// or its gang: what is at work runs until the job is cancelled.
func (s *State) giveUp(t *task, reason string) {
	j := t.job
	if t.record.Done || t.record.GivenUp || j.state.Final() {
		return
	}
	if !j.longRunning {
		s.endJob(j, workload.JobFailed, reason)
		return
	}
	klog.InfoS("Task given up", "task", t.id, "reason", reason, "gang", t.step.spec.Gang(), "failures", t.record.Failures,
		"crashes", t.record.Crashes)
	j.failed = j.failed || !t.step.spec.LongRunning()
	members := []*task{t}
	if t.step.spec.Gang() {
		members = t.step.tasks
	}
	for _, m := range members {
		if m.record.Done {
			continue
		}
		m.record.GivenUp = true
		m.step.givenUp++
		s.forgetLosses(m)
		for _, a := range m.attempts {
			if !m.step.spec.LongRunning() || !a.survived {
				s.requestStop(a, reason)
			}
		}
	}
	s.markChanged(j)
}
