// Package workload models the work of customers: jobs, their steps and tasks, and how far a job has come.
package workload

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

const (
	maxSteps = 100  // bounds the work of validating the order of steps
	maxCount = 1000 // tasks of a step
)

// JobOptions are the fields of a job.
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

	// The queue's terms when the job was accepted. They hold if the queue is removed.
	Pool     string  `json:"pool"`
	Attempts int     `json:"attempts"`
	Priority int     `json:"priority,omitempty"`
	Stretch  float64 `json:"stretch,omitempty"`
	SlackMS  int64   `json:"slack-ms,omitempty"`
}

// Job is work that a customer submitted. It doesn't change after that.
type Job struct {
	options JobOptions
	steps   []Step
	encoded []byte
}

// NewJob checks the fields and returns the job.
func NewJob(o JobOptions) (*Job, error) {
	if len(o.Steps) == 0 || len(o.Steps) > maxSteps {
		return nil, errors.Errorf("steps: found %d, allowed: 1 to %d", len(o.Steps), maxSteps)
	}
	if o.Repetitions < 0 || (o.Repetitions > 0 && (o.FirstRunMS <= 0 || o.IntervalMS < 0)) {
		return nil, errors.Errorf("repetitions: found %d from %d ms every %d ms", o.Repetitions, o.FirstRunMS, o.IntervalMS)
	}
	j := &Job{options: o}
	for i, s := range o.Steps {
		if err := checkStep(s, i); err != nil {
			return nil, errors.WithMessagef(err, "step %d", i)
		}
		j.steps = append(j.steps, NewStep(s))
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err) // the fields are strings and numbers
	}
	j.encoded = data
	return j, nil
}

func checkStep(s StepOptions, number int) error {
	if s.Count < 1 || s.Count > maxCount {
		return errors.Errorf("count: found %d, allowed: 1 to %d", s.Count, maxCount)
	}
	if s.MilliCores < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.EstimateMS < 0 || s.PerServer < 0 || s.MayMiss < 0 {
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

// Customer returns the customer's name, or "" if the queue is open to all.
func (j *Job) Customer() string { return j.options.Customer }

// Pool returns the pool that the queue named when the job was accepted.
func (j *Job) Pool() string { return j.options.Pool }

// Attempts returns the bound of failed runs of a task.
func (j *Job) Attempts() int { return max(j.options.Attempts, 1) }

// Priority returns the queue's priority. 0 goes first.
func (j *Job) Priority() int { return j.options.Priority }

// Objective returns how long the job may take to be in time, from when it was submitted.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.options.Stretch*float64(j.CriticalPath())) + time.Duration(j.options.SlackMS)*time.Millisecond
}

// Specification returns what the tasks are given.
func (j *Job) Specification() string { return j.options.Specification }

// Steps returns the steps.
func (j *Job) Steps() []Step { return j.steps }

// Accepted returns when the job was accepted, by the clock of the entry VM that accepted it.
func (j *Job) Accepted() time.Time { return time.UnixMilli(j.options.AcceptedMS) }

// Scheduled reports whether the job runs at set times.
func (j *Job) Scheduled() bool { return j.options.Repetitions > 0 }

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.options.Repetitions, 1) }

// Due returns when an occurrence may start. Jobs without set times may start at once.
func (j *Job) Due(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Accepted()
	}
	return time.UnixMilli(j.options.FirstRunMS + int64(occurrence)*j.options.IntervalMS)
}

// Lasting reports whether a step runs until the job is cancelled.
func (j *Job) Lasting() bool {
	for _, s := range j.steps {
		if s.LongRunning() {
			return true
		}
	}
	return false
}

// CriticalPath returns the declared duration of the longest chain of steps.
func (j *Job) CriticalPath() time.Duration { return j.RemainingPath(nil) }

// RemainingPath returns the declared duration of the longest chain of steps that aren't done.
func (j *Job) RemainingPath(done func(step int) bool) time.Duration {
	ends := make([]time.Duration, len(j.steps))
	longest := time.Duration(0)
	for i, s := range j.steps {
		for _, after := range s.After() {
			ends[i] = max(ends[i], ends[after])
		}
		if done == nil || !done(i) {
			ends[i] += s.Estimate()
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// Encode returns the job as it is stored. The caller must not change it.
func (j *Job) Encode() []byte { return j.encoded }

// DecodeJob reads a stored job.
func DecodeJob(data []byte) (*Job, error) {
	var o JobOptions
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return NewJob(o)
}
