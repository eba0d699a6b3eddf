package dispatch

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// jobState is the state in the row of an unfinished job.
type jobState string

const (
	jobWaiting jobState = "waiting"
	// jobClaimed marks a non-idempotent job that may have been started on the row's backend server.
	jobClaimed jobState = "claimed"
	// jobRunning marks a job that its holder left running on the row's backend server.
	jobRunning jobState = "running"
)

// jobRow is an unfinished job as the table has it.
type jobRow struct {
	id      string
	version uint64
	fields  jobFields
	// holderLostAt is when the holder was first seen missing, zero while it is there.
	holderLostAt time.Time
	// busy is set while a write or a read for this row is under way here.
	busy bool
}

// jobFields is the stored form of a job.
type jobFields struct {
	Entry     string   `json:"entry"`
	Team      string   `json:"team"`
	Key       string   `json:"key"`
	Hash      uint64   `json:"payload-hash"`
	Submitted int64    `json:"submitted-unix-ms"`
	Holder    string   `json:"holder"`
	State     jobState `json:"state"`
	Server    string   `json:"server,omitempty"`
	// Epoch is the epoch that the attempt was first sent under.
	Epoch     uint64 `json:"epoch,omitempty"`
	Attempt   int    `json:"attempt"`
	Cancelled bool   `json:"cancelled,omitempty"`
}

func (f jobFields) encode() []byte {
	data, err := json.Marshal(f)
	if err != nil {
		panic(err) // a struct of strings and numbers always encodes
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

// jobResult is how a job ended.
type jobResult struct {
	state   doneState
	ok      bool
	output  []byte
	code    string
	message string
}

// doneFields is the stored form of a finished job.
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
		panic(err) // a struct of strings and numbers always encodes
	}
	return data
}

// JobStatus is a job as read from its row.
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

// Waiting reports whether the job hasn't been started under its present holder, as far as the row tells.
func (j JobStatus) Waiting() bool { return j.waiting }

// Outcome returns how the job ended, nil if it hasn't.
func (j JobStatus) Outcome() Outcome { return j.outcome }

// WithOutcome returns the status with another outcome.
func (j JobStatus) WithOutcome(o Outcome) JobStatus {
	j.outcome = o
	return j
}

// Object returns the name of the object that holds the output, empty if the outcome holds it.
func (j JobStatus) Object() string { return j.object }

// JobKey and DoneKey return the keys of the rows of an unfinished and of a finished job.
func JobKey(id string) string { return jobPrefix + id }

// DoneKey returns the key of the row of a finished job.
func DoneKey(id string) string { return donePrefix + id }

func inputKey(id string) string { return inputPrefix + id + "/" }

// DecodeJobStatus reads the status of a job from the value of one of its rows.
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
		return NewUnresolved(f.Code, f.Message)
	}
}

func payloadHash(payload []byte) uint64 { return xxhash.Sum64(payload) }
