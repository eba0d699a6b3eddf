package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// jobState is the state of an unfinished job as stored in its row.
type jobState string

const (
	jobWaiting jobState = "waiting"
	// jobClaimed marks a non-idempotent job that may have been started on the row's backend server.
	jobClaimed jobState = "claimed"
	// jobRunning marks a job whose former holder stopped observing it while an attempt ran on the row's backend server.
	jobRunning jobState = "running"
)

// jobRow is the row of an unfinished job, with the state of its processing by this entry VM.
type jobRow struct {
	id      string
	version uint64
	fields  jobFields
	// holderMissingSince is when the holder was first found not to be live, zero while it is live.
	holderMissingSince time.Time
	// pending is set while this entry VM writes the row or reads the job's input.
	pending bool
}

// jobFields is the stored form of an unfinished job, as JSON.
type jobFields struct {
	Entry     string   `json:"entry"`
	Team      string   `json:"team"`
	Key       string   `json:"key"`
	Hash      uint64   `json:"payload-hash"`
	Submitted int64    `json:"submitted-unix-ms"`
	Holder    string   `json:"holder"`
	State     jobState `json:"state"`
	Server    string   `json:"server,omitempty"`
	// Epoch is the epoch of the lease under which the attempt was first sent.
	Epoch     uint64 `json:"epoch,omitempty"`
	Attempt   int    `json:"attempt"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

func (f jobFields) encode() []byte {
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // can't happen: all fields are encodable
	}
	return data
}

func decodeJob(data []byte) (jobFields, error) {
	var f jobFields
	err := json.Unmarshal(data, &f)
	return f, errors.Wrap(err, "decode job row")
}

// doneState is the state of a finished job.
type doneState string

const (
	doneAnswered doneState = "answered"
	doneNotRun   doneState = "not-run"
	doneUnknown  doneState = "unknown"
)

// jobResult is the result of a finished job. The fields ok and output are set for doneAnswered, code and message for
// the other states.
type jobResult struct {
	state   doneState
	ok      bool
	output  []byte
	code    string
	message string
}

// doneFields is the stored form of a finished job, as JSON.
type doneFields struct {
	Entry    string    `json:"entry"`
	Team     string    `json:"team"`
	Hash     uint64    `json:"payload-hash"`
	Finished int64     `json:"finished-unix-ms"`
	State    doneState `json:"state"`
	OK       bool      `json:"ok"`
	Output   []byte    `json:"output,omitempty"`
	Object   string    `json:"object,omitempty"`
	Code     string    `json:"code,omitempty"`
	Message  string    `json:"message,omitempty"`
	Attempts int       `json:"attempts"`
}

func (f doneFields) encode() []byte {
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // can't happen: all fields are encodable
	}
	return data
}

// JobStatus is the status of a job as read from its row.
type JobStatus struct {
	id       string
	team     string
	entry    string
	finished bool
	outcome  Outcome
	object   string
	waiting  bool
}

// ID returns the request id.
func (j JobStatus) ID() string { return j.id }

// Team returns the team that submitted the job.
func (j JobStatus) Team() string { return j.team }

// Entry returns the name of the catalogue entry.
func (j JobStatus) Entry() string { return j.entry }

// Finished reports whether the job has ended.
func (j JobStatus) Finished() bool { return j.finished }

// Waiting reports whether the row records no attempt of the job. An idempotent job may run all the same, because its
// starts aren't recorded.
func (j JobStatus) Waiting() bool { return j.waiting }

// Outcome returns the outcome of the job, nil if it hasn't finished.
func (j JobStatus) Outcome() Outcome { return j.outcome }

// WithOutcome returns a copy of the status with another outcome.
func (j JobStatus) WithOutcome(o Outcome) JobStatus {
	j.outcome = o
	return j
}

// Object returns the name of the object with the output, empty if the outcome contains the output.
func (j JobStatus) Object() string { return j.object }

// JobKey returns the key of the row of an unfinished job.
func JobKey(id string) string { return jobPrefix + id }

// DoneKey returns the key of the row of a finished job.
func DoneKey(id string) string { return donePrefix + id }

// inputKey returns the key of the row with a job's input.
func inputKey(id string) string { return inputPrefix + id + "/" }

// DecodeJobStatus decodes the status of a job from the row with the given key, JobKey(id) or DoneKey(id). It returns an
// error if the value isn't the JSON of such a row.
func DecodeJobStatus(key, id string, value []byte) (JobStatus, error) {
	if key == JobKey(id) {
		f, err := decodeJob(value)
		return JobStatus{id: id, team: f.Team, entry: f.Entry, waiting: f.State == jobWaiting}, err
	}
	var f doneFields
	if err := json.Unmarshal(value, &f); err != nil {
		return JobStatus{}, errors.Wrap(err, "decode row of a finished job")
	}
	return JobStatus{
		id: id, team: f.Team, entry: f.Entry, finished: true, object: f.Object, outcome: f.outcome(),
	}, nil
}

func (f doneFields) outcome() Outcome {
	switch f.State {
	case doneAnswered:
		return NewAnswered(f.OK, f.Output)
	case doneNotRun:
		return NewNotRun(f.Code, f.Message, 0)
	default:
		return NewOutcomeUnknown(f.Code, f.Message)
	}
}

// payloadHash returns the xxhash64 of a payload, by which a repeated submission is recognized.
func payloadHash(payload []byte) uint64 { return xxhash.Sum64(payload) }
