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
	j.makeOccurrences(now)
	s.jobs[spec.ID()] = j
	s.dirty[s.poolOf(j)] = true
	s.arrived(j, now)
	klog.InfoS("Job taken in", "job", spec.ID(), "queue", spec.Queue(), "customer", spec.Customer(),
		"steps", len(spec.Steps()), "age", now.Sub(spec.Accepted()))
	if s.cancelled[spec.ID()] {
		delete(s.cancelled, spec.ID())
		s.cancel(spec.ID(), now)
	}
}

func (s *State) cancel(id string, _ time.Time) {
	j, known := s.jobs[id]
	if !known {
		s.cancelled[id] = true
		return
	}
	if j.state.Final() {
		return
	}
	s.counters.cancels.Inc(1)
	s.endJob(j, workload.JobCancelled, "cancelled")
}

// endJob gives a job its last state, and stops what runs of it.
func (s *State) endJob(j *job, state workload.JobState, reason string) {
	j.state = state
	s.change(j)
	s.dropped(j)
	klog.InfoS("Job ended", "job", j.spec.ID(), "state", state, "reason", reason, "running", j.live,
		"took", s.now.Sub(j.submitted), "objective", j.objective)
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			s.wantStop(a, reason)
		}
	}
}

// forget drops jobs that are over, once that is stored.
func (s *State) forget(j *job) {
	if j.state.Final() && j.live == 0 && !j.changed {
		delete(s.jobs, j.spec.ID())
	}
}

// attempts returns how often the tasks of a job may fail.
func (s *State) attemptsAllowed(j *job) int {
	if s.directory != nil {
		if q, ok := s.directory.Queue(j.spec.Queue()); ok && q.MaxAttempts > 0 {
			return q.MaxAttempts
		}
	}
	return j.spec.MaxAttempts()
}

// finishTask records that a task is done.
func (s *State) finishTask(t *task) {
	if t.record.Done {
		return
	}
	t.record.Done = true
	t.record.Checkpoint = ""
	s.worked(t)
	t.step.left--
	if len(t.attempts) == 0 {
		t.step.idle--
	}
	t.job.estimate = nil
	j := t.job
	s.change(j)
	s.dirty[s.poolOf(j)] = true
	for _, other := range t.attempts {
		s.wantStop(other, "copy-done")
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

// failTask records that a run of a task failed.
func (s *State) failTask(t *task, server string) {
	t.record.Failures++
	t.record.Checkpoint = ""
	t.failedOn = append(t.failedOn, server)
	s.change(t.job)
	if t.step.spec.LongRunning() || t.job.state.Final() {
		return
	}
	if t.record.Failures >= s.attemptsAllowed(t.job) && !t.record.Done {
		s.endJob(t.job, workload.JobFailed, "attempts-used")
	}
}
