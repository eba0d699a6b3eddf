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
	// Server and Incarnation identify the backend server and its incarnation. VM is the name of the VM that ran it, or "" in rows of
	// earlier releases.
	Server      string `json:"server"`
	VM          string `json:"vm,omitempty"`
	Incarnation int64  `json:"incarnation"`
	Run         int    `json:"run"`
	// Isolated says that the server started no runs of other jobs. LossRecorded says that the loss of the server is recorded
	// in the task's record.
	Isolated     bool `json:"isolated,omitempty"`
	LossRecorded bool `json:"loss-recorded,omitempty"`
	// EndsByMS is when the run has ended without further requests, in Unix milliseconds by the clock of the entry VM that stored
	// this, if that is later than the leases that the term row tells of. Else it is 0.
	EndsByMS int64 `json:"ends-by-ms,omitempty"`
	// Answered says that the server has started the run, and that no request to start it is on the way any more.
	Answered bool `json:"answered,omitempty"`
	// Repeated says that the request to start the run may have been sent more than once.
	Repeated bool `json:"repeated,omitempty"`
	// StartableUntilMS is until when a request to start the run may be carried out, in Unix milliseconds by the clock of the entry VM that
	// stored this, or 0 if a request may be sent after this was stored, or none can be carried out.
	StartableUntilMS int64 `json:"startable-until-ms,omitempty"`
	// Ticketed says that the request to start the run holds a ticket, which other incarnations of the server refuse.
	Ticketed bool `json:"ticketed,omitempty"`
}

// LateStart is a request to start a run that its backend server doesn't have, but may still start after a restart.
type LateStart struct {
	// VM is the name of the VM that ran the server, or "" if it is unknown.
	VM          string `json:"vm,omitempty"`
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Run         int    `json:"run"`
	// UntilMS is when the request can't be carried out any more, in Unix milliseconds by the clock of the entry VM that stored it.
	UntilMS int64 `json:"until-ms"`
}

// Loss is a run that was lost with its backend server.
type Loss struct {
	Server      string `json:"server"`
	Incarnation int64  `json:"incarnation"`
	Run         int    `json:"run"`
	Started     bool   `json:"started,omitempty"`  // the server had accepted or reported the run
	AtStart     bool   `json:"at-start,omitempty"` // the server hadn't reported the run
	Isolated    bool   `json:"isolated,omitempty"` // no run of another job was starting on the server
}

// TaskRecord is the stored state of a task.
type TaskRecord struct {
	Done       bool   `json:"done,omitempty"`
	LastRun    int    `json:"last-run,omitempty"`  // the highest run number that was used
	EndedRun   int    `json:"ended-run,omitempty"` // the highest number of a run whose end is stored
	Failures   int    `json:"failures,omitempty"`  // the number of failed runs
	Checkpoint string `json:"checkpoint,omitempty"`
	// FailedRuns are the numbers of the failed runs that Failures counts, except in rows of earlier releases and for
	// long-running tasks. An end may be received twice.
	FailedRuns []int `json:"failed-runs,omitempty"`
	// Crashes is the number of backend servers that crashed while they may have run the task. CertainCrashes is the number
	// of these that had certainly started it, IsolatedCrashes the number of these in turn on which no run of another job was
	// starting. CrashedAtStart says that one of the servers crashed before it had reported the run.
	// For a long-running task they count since a run of the task last survived its start.
	Crashes         int  `json:"crashes,omitempty"`
	CertainCrashes  int  `json:"certain-crashes,omitempty"`
	IsolatedCrashes int  `json:"isolated-crashes,omitempty"`
	CrashedAtStart  bool `json:"crashed-at-start,omitempty"`
	// ExpectedCrashes is the number of the crashes in Crashes that are expected of any servers.
	ExpectedCrashes float64 `json:"expected,omitempty"`
	// Losses are the runs that were lost with a backend server of which isn't known yet whether it crashed.
	Losses []Loss `json:"losses,omitempty"`
	// GivenUp says that the task isn't started again, while its job goes on.
	GivenUp bool `json:"given-up,omitempty"`
	// Assignments are the runs that may exist. There is more than one only for a duplicable step.
	Assignments []Assignment `json:"assignments,omitempty"`
	// LateStarts are runs that don't exist, but may still be started.
	LateStarts []LateStart `json:"late-starts,omitempty"`
}

// HasBegun reports whether a server has certainly started a run of the task.
func (r TaskRecord) HasBegun() bool {
	return r.Done || r.EndedRun > 0 || r.Failures > 0 || r.CertainCrashes > 0
}

// OccurrenceRange is a range of occurrences of a job, by the numbers of the first and the last one.
type OccurrenceRange struct {
	First int `json:"first"`
	Last  int `json:"last"`
}

// Progress is the stored state of a job.
type Progress struct {
	State JobState `json:"state"`
	// Failed says that a task was given up without which the job is never completed, while its long-running tasks go on.
	Failed bool `json:"failed,omitempty"`
	// Tasks holds the records, by TaskID.LocalName, of started tasks that aren't done or have runs that may exist.
	Tasks map[string]TaskRecord `json:"tasks,omitempty"`
	// DoneOccurrences is the number of the first occurrences of which all tasks are done. They have no entries in Tasks,
	// DoneSteps and DoneTasks.
	DoneOccurrences int `json:"done-occurrences,omitempty"`
	// DoneSteps are the names of the other steps whose tasks are all done. DoneTasks holds, by the name of another step, the
	// indexes of its done tasks. Both replace records of done tasks, because a job with many tasks and many occurrences
	// would have more records than fit into a row of the store.
	DoneSteps []string         `json:"done-steps,omitempty"`
	DoneTasks map[string][]int `json:"done-tasks,omitempty"`
	// DoneRanges are the occurrences of which all tasks are done behind one that isn't, in order, if there are many.
	DoneRanges []OccurrenceRange `json:"done-ranges,omitempty"`
	// Job is the stored form of the job in rows of earlier releases. It now has a row of its own.
	Job json.RawMessage `json:"job,omitempty"`
}

// VisibleState returns the state of the job as its customer sees it.
func (p Progress) VisibleState() JobState {
	if p.Failed && !p.State.Final() {
		return JobFailed
	}
	return p.State
}

// Settled reports whether the job has ended and none of its runs may exist any more.
func (p Progress) Settled() bool { return p.State.Final() && len(p.Tasks) == 0 }

// Encode returns the stored form of the progress. It is packed if it would be longer than MaxProgressBytes otherwise, or has DoneRanges.
func (p Progress) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // impossible: all fields are strings, numbers, booleans and the JSON of a valid job
	}
	if len(data) > MaxProgressBytes || len(p.DoneRanges) > 0 {
		return p.pack()
	}
	return data
}

// DecodeProgress decodes the stored form of progress. An error means that it is malformed or has an unknown state.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(data, &p); err != nil {
		return Progress{}, errors.Wrap(err, "decode progress")
	}
	if p.State == jobPacked || p.State == jobSparse {
		var err error
		if p, err = unpackProgress(data); err != nil {
			return Progress{}, err
		}
	}
	switch p.State {
	case JobQueued, JobRunning, JobCompleted, JobFailed, JobCancelled:
		return p, nil
	}
	return Progress{}, errors.Errorf("progress: found state %q", p.State)
}
