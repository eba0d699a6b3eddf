package workload

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// JobState is the state of a job as its customer sees it.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the job has ended.
func (s JobState) Final() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }

// Assignment is a run of a task that may exist on a backend server.
type Assignment struct {
	// Server and Incarnation tell which life of which backend server.
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Run         int    `json:"run"`
}

// TaskRecord is the stored part of a task's state.
type TaskRecord struct {
	Done       bool   `json:"done,omitempty"`
	LastRun    int    `json:"last-run,omitempty"`  // the highest run number ever used
	EndedRun   int    `json:"ended-run,omitempty"` // the highest run whose end is recorded
	Failures   int    `json:"failures,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	// Assignments are the runs that may exist. More than one only if copies are allowed.
	Assignments []Assignment `json:"assignments,omitempty"`
}

// Progress is the stored state of a job.
type Progress struct {
	State JobState              `json:"state"`
	Tasks map[string]TaskRecord `json:"tasks,omitempty"`
	// DoneSteps names the steps all of whose tasks are done, DoneTasks has the indexes of the tasks that are done of other
	// steps. A row of the store couldn't hold a record of each task of a wide job that runs many times.
	DoneSteps []string         `json:"done-steps,omitempty"`
	DoneTasks map[string][]int `json:"done-tasks,omitempty"`
	// Job is the stored job, unless nothing is left to do for it. With it a new controller knows all that runs from one
	// part of the store, even if the part with the job's own row can't be read.
	Job json.RawMessage `json:"job,omitempty"`
}

// Over reports whether nothing is left to do: the job has ended, and no run of it may exist.
func (p Progress) Over() bool { return p.State.Final() && len(p.Tasks) == 0 }

// Encode returns the progress as it is stored.
func (p Progress) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // the fields are strings and numbers
	}
	return data
}

// DecodeProgress reads stored progress.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return Progress{}, errors.Wrap(err, "decode progress")
	}
	switch p.State {
	case JobQueued, JobRunning, JobCompleted, JobFailed, JobCancelled:
		return p, nil
	}
	return Progress{}, errors.Errorf("progress: found state %q", p.State)
}
