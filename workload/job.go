// Package workload models the work of customers. A job consists of steps that depend on each other, a step of identical
// tasks, and a task is executed by runs on backend servers. The package validates jobs, derives their objective and
// critical path, and encodes jobs and their progress for the store.
package workload

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxSteps bounds the steps of a job, and so the time to validate their dependencies.
	MaxSteps        = 100
	maxTasksPerStep = 1000
	// maxTasks bounds the tasks of all repetitions together. The controller may hold them all in memory at a time: a
	// schedule that began long ago is due at once.
	maxTasks = 100_000
)

// JobOptions are the fields of a job as they are stored. Fields that end in MS hold milliseconds; points in time are
// Unix milliseconds.
type JobOptions struct {
	ID            string        `json:"id"`
	Queue         string        `json:"queue"`
	Customer      string        `json:"customer,omitempty"`
	Specification string        `json:"specification"`
	Steps         []StepOptions `json:"steps"`
	Repetitions   int           `json:"repetitions,omitempty"`
	FirstRunMS    int64         `json:"first-run-ms,omitempty"`
	IntervalMS    int64         `json:"interval-ms,omitempty"`
	AcceptedMS    int64         `json:"accepted-ms"`

	// The settings of the queue when the job was accepted. They apply if the queue is removed later.
	Pool        string  `json:"pool"`
	MaxAttempts int     `json:"attempts"`
	Priority    int     `json:"priority,omitempty"`
	Stretch     float64 `json:"stretch,omitempty"`
	SlackMS     int64   `json:"slack-ms,omitempty"`
}

// Job is a job that a customer submitted. It is immutable.
type Job struct {
	options JobOptions
	steps   []Step
	encoded []byte
}

// NewJob validates the fields and returns the job. The error names the invalid field, or only its step if a
// number of the step is negative.
func NewJob(o JobOptions) (*Job, error) {
	if len(o.Steps) == 0 || len(o.Steps) > MaxSteps {
		return nil, errors.Errorf("steps: found %d, allowed: 1 to %d", len(o.Steps), MaxSteps)
	}
	if o.Repetitions < 0 || (o.Repetitions > 0 && (o.FirstRunMS <= 0 || o.IntervalMS < 0)) {
		return nil, errors.Errorf("repetitions: found %d from %d ms every %d ms", o.Repetitions, o.FirstRunMS, o.IntervalMS)
	}
	j := &Job{options: o}
	tasks := 0
	for i, s := range o.Steps {
		if err := checkStep(s, i); err != nil {
			return nil, errors.WithMessagef(err, "step %d", i)
		}
		j.steps = append(j.steps, NewStep(s))
		tasks += s.Count
	}
	if repetitions := max(o.Repetitions, 1); repetitions > maxTasks/tasks {
		return nil, errors.Errorf("repetitions: found %d of %d tasks, allowed: %d tasks in all", repetitions, tasks, maxTasks)
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err) // impossible: all fields are strings, numbers, booleans and slices of them
	}
	j.encoded = data
	return j, nil
}

// checkStep validates the step with the given number, counted from 0.
func checkStep(s StepOptions, number int) error {
	if s.Count < 1 || s.Count > maxTasksPerStep {
		return errors.Errorf("count: found %d, allowed: 1 to %d", s.Count, maxTasksPerStep)
	}
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.DeclaredDurationMS < 0 ||
		s.MaxPerServer < 0 || s.MaxUnavailable < 0 {
		return errors.New("found a negative number")
	}
	for _, after := range s.After {
		if after < 0 || after >= number {
			return errors.Errorf("after: found %d, allowed: an earlier step", after)
		}
	}
	return nil
}

// ID returns the id that the customer chose.
func (j *Job) ID() string { return j.options.ID }

// Queue returns the name of the queue.
func (j *Job) Queue() string { return j.options.Queue }

// Customer returns the customer's name, or "" if the queue needs no API key.
func (j *Job) Customer() string { return j.options.Customer }

// Pool returns the queue's pool at the time when the job was accepted.
func (j *Job) Pool() string { return j.options.Pool }

// MaxAttempts returns the number of failed runs of a task after which the job fails. It is at least 1.
func (j *Job) MaxAttempts() int { return max(j.options.MaxAttempts, 1) }

// Priority returns the queue's priority. 0 goes first.
func (j *Job) Priority() int { return j.options.Priority }

// Objective returns the time after its submission within which the job should end.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.options.Stretch*float64(j.CriticalPath())) + time.Duration(j.options.SlackMS)*time.Millisecond
}

// Stretch returns the factor of the critical path in the objective.
func (j *Job) Stretch() float64 { return j.options.Stretch }

// Specification returns the customer's text that the tasks receive as input.
func (j *Job) Specification() string { return j.options.Specification }

// Steps returns the steps. A step depends only on earlier ones.
func (j *Job) Steps() []Step { return j.steps }

// Accepted returns when the job was accepted, by the clock of the entry VM that accepted it.
func (j *Job) Accepted() time.Time { return time.UnixMilli(j.options.AcceptedMS) }

// Scheduled reports whether the job runs at fixed times.
func (j *Job) Scheduled() bool { return j.options.Repetitions > 0 }

// TaskCount returns the number of tasks of one occurrence.
func (j *Job) TaskCount() int {
	n := 0
	for _, s := range j.steps {
		n += s.Count()
	}
	return n
}

// Occurrences returns how many times the job runs: the number of repetitions of a scheduled job, else 1.
func (j *Job) Occurrences() int { return max(j.options.Repetitions, 1) }

// DueTime returns when an occurrence, counted from 0, may start. A job that isn't scheduled may start when it was
// accepted.
func (j *Job) DueTime(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Accepted()
	}
	return time.UnixMilli(j.options.FirstRunMS + int64(occurrence)*j.options.IntervalMS)
}

// LongRunning reports whether a step of the job is long-running, that is, runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for _, s := range j.steps {
		if s.LongRunning() {
			return true
		}
	}
	return false
}

// RequiresLabel reports whether a step of the job may run only on servers with a label.
func (j *Job) RequiresLabel() bool {
	return slices.ContainsFunc(j.steps, func(s Step) bool { return s.Label() != "" })
}

// CriticalPath returns the longest total of the declared durations along a chain of dependent steps.
func (j *Job) CriticalPath() time.Duration { return j.RemainingPath(nil) }

// RemainingPath returns the critical path of the steps that aren't done. A nil function means that none is.
func (j *Job) RemainingPath(done func(step int) bool) time.Duration {
	return j.LongestPath(func(step int) time.Duration {
		if done != nil && done(step) {
			return 0
		}
		return j.steps[step].DeclaredDuration()
	})
}

// LongestPath returns the duration of the longest chain of steps, given the duration of each step.
func (j *Job) LongestPath(duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.steps))
	longest := time.Duration(0)
	for i, s := range j.steps {
		for _, after := range s.After() {
			ends[i] = max(ends[i], ends[after])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Encode returns the stored form of the job. The caller must not modify it.
func (j *Job) Encode() []byte { return j.encoded }

// DecodeJob decodes the stored form of a job and validates it.
func DecodeJob(data []byte) (*Job, error) {
	var o JobOptions
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return NewJob(o)
}
