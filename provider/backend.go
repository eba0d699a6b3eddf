package provider

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendServer runs tasks for the entry VM that holds its lease. A backend server grants one lease at a time; every
// call after Acquire carries the epoch of the lease and is refused unless that lease is the current one.
type BackendServer interface {
	// Acquire asks for the lease. Epochs are numbered as SameProcess describes. It is granted if no lease is live, or if holder holds it already, and only to
	// a holder in the server's own availability zone.
	Acquire(ctx context.Context, holder, zone string) AcquireOutcome
	// Release ends the lease. Running tasks go on for their task lease.
	Release(ctx context.Context, epoch uint64) ReleaseOutcome
	// Report renews the lease and the leases of all tasks, and returns what the server runs. Usage lags.
	Report(ctx context.Context, epoch uint64) ReportOutcome
	// Run starts a task and waits for its answer until ctx ends. A task and attempt starts at most once: a repeated
	// Run joins the task already running or returns its stored answer.
	Run(ctx context.Context, epoch uint64, t Task) RunOutcome
	// Close makes sure that the task and attempt, if it hasn't started, never will.
	Close(ctx context.Context, epoch uint64, id string, attempt int) CloseOutcome
	// Signal asks for a checkpoint, a throttle or a stop of a running task.
	Signal(ctx context.Context, epoch uint64, id string, attempt int, s Signal) SignalOutcome
}

// epochCounterBits is the number of low bits of an epoch that count the leases of one server process. The bits above
// are the start time of the process.
const epochCounterBits = 20

// SameProcess reports whether two epochs come from the same process of a backend server. A process knows only the
// attempts that were sent under its own epochs: its NeverStarted, and a Run that joins, say nothing about others.
func SameProcess(a, b uint64) bool { return a>>epochCounterBits == b>>epochCounterBits }

// Signal is a request to a running task.
type Signal uint8

// Signals that backend servers understand.
const (
	SignalCheckpoint Signal = iota + 1
	SignalThrottle
	SignalStop
)

// Task is the work that a backend server runs.
type Task struct {
	id      string
	attempt int
	entry   string
	team    string
	shape   Shape
	payload []byte
}

// NewTask returns a task. The id is the id of the request, the attempt counts from 1.
func NewTask(id string, attempt int, entry, team string, shape Shape, payload []byte) Task {
	return Task{id: id, attempt: attempt, entry: entry, team: team, shape: shape, payload: payload}
}

// ID returns the request id.
func (t Task) ID() string { return t.id }

// Attempt returns the attempt, counted from 1.
func (t Task) Attempt() int { return t.attempt }

// Entry returns the name of the catalogue entry.
func (t Task) Entry() string { return t.entry }

// Team returns the name of the team that the task runs for.
func (t Task) Team() string { return t.team }

// Shape returns the declared size.
func (t Task) Shape() Shape { return t.shape }

// Payload returns the caller's input. Callers must not modify it.
func (t Task) Payload() []byte { return t.payload }

// TaskStatus is a task as its backend server reports it.
type TaskStatus struct {
	id       string
	attempt  int
	team     string
	entry    string
	shape    Shape
	finished bool
	holder   string
}

// NewTaskStatus returns the status of a task.
func NewTaskStatus(t Task, finished bool) TaskStatus {
	return TaskStatus{id: t.id, attempt: t.attempt, team: t.team, entry: t.entry, shape: t.shape, finished: finished}
}

// WithHolder returns the status with the entry VM under whose lease the task was last renewed.
func (t TaskStatus) WithHolder(holder string) TaskStatus {
	t.holder = holder
	return t
}

// Holder returns the entry VM under whose lease the task was started or last renewed by a Report. In the answer to an
// Acquire this is the former holder of the lease.
func (t TaskStatus) Holder() string { return t.holder }

// ID returns the request id.
func (t TaskStatus) ID() string { return t.id }

// Attempt returns the attempt, counted from 1.
func (t TaskStatus) Attempt() int { return t.attempt }

// Team returns the team that the task runs for.
func (t TaskStatus) Team() string { return t.team }

// Entry returns the name of the catalogue entry.
func (t TaskStatus) Entry() string { return t.entry }

// Shape returns the declared size.
func (t TaskStatus) Shape() Shape { return t.shape }

// Finished reports whether the task has ended and its answer waits to be fetched.
func (t TaskStatus) Finished() bool { return t.finished }

// Answer is the output of a task, with what the receiver needs to check that it is whole and its own.
type Answer struct {
	id       string
	attempt  int
	ok       bool
	stopped  bool
	length   int
	checksum uint64
	output   []byte
}

// NewAnswer returns an answer as received. The checksum is the xxhash64 of the output at its origin.
func NewAnswer(id string, attempt int, ok bool, length int, checksum uint64, output []byte) Answer {
	return Answer{id: id, attempt: attempt, ok: ok, length: length, checksum: checksum, output: output}
}

// NewStoppedAnswer returns the answer for a task that started and has no answer of its own, because it was stopped or
// because its answer is no longer kept. It isn't OK, and its output is the reason.
func NewStoppedAnswer(id string, attempt int, reason string) Answer {
	output := []byte(reason)
	return Answer{
		id: id, attempt: attempt, stopped: true,
		length: len(output), checksum: xxhash.Sum64(output), output: output,
	}
}

// ID returns the request id that the answer is for.
func (a Answer) ID() string { return a.id }

// Attempt returns the attempt that produced the answer.
func (a Answer) Attempt() int { return a.attempt }

// OK reports whether the task succeeded. A failed task's output is its error text.
func (a Answer) OK() bool { return a.ok }

// Stopped reports whether the task started and has no answer of its own: it was stopped by a signal or the end of its
// task lease, or its answer is no longer kept.
func (a Answer) Stopped() bool { return a.stopped }

// Length returns the length of the output at its origin, in bytes.
func (a Answer) Length() int { return a.length }

// Checksum returns the xxhash64 of the output at its origin.
func (a Answer) Checksum() uint64 { return a.checksum }

// Output returns the output as received. Callers must not modify it.
func (a Answer) Output() []byte { return a.output }

// AcquireOutcome is the outcome of BackendServer.Acquire: Granted, Held, Refused, Unavailable or Unknown.
type AcquireOutcome interface{ acquireOutcome() }

// ReleaseOutcome is the outcome of BackendServer.Release: Released, StaleEpoch, Unavailable or Unknown.
type ReleaseOutcome interface{ releaseOutcome() }

// ReportOutcome is the outcome of BackendServer.Report: Report, StaleEpoch, Unavailable or Unknown.
type ReportOutcome interface{ reportOutcome() }

// RunOutcome is the outcome of BackendServer.Run: Answer, Refused, StaleEpoch, Unavailable or Unknown.
type RunOutcome interface{ runOutcome() }

// CloseOutcome is the outcome of BackendServer.Close: NeverStarted, StillRunning, Answer, StaleEpoch, Unavailable
// or Unknown.
type CloseOutcome interface{ closeOutcome() }

// SignalOutcome is the outcome of BackendServer.Signal: Signalled, NotRunning, StaleEpoch, Unavailable or Unknown.
type SignalOutcome interface{ signalOutcome() }

// Granted is a lease. The holder counts the duration from the moment it sent the request.
type Granted struct {
	epoch    uint64
	duration time.Duration
	tasks    []TaskStatus
}

// NewGranted returns a Granted outcome with the tasks that the server runs or keeps answers of.
func NewGranted(epoch uint64, duration time.Duration, tasks []TaskStatus) Granted {
	return Granted{epoch: epoch, duration: duration, tasks: tasks}
}

// Epoch returns the number of the lease.
func (g Granted) Epoch() uint64 { return g.epoch }

// Duration returns how long the lease lasts without a renewal.
func (g Granted) Duration() time.Duration { return g.duration }

// Tasks returns the tasks that the server runs or keeps answers of.
func (g Granted) Tasks() []TaskStatus { return g.tasks }

// Held says that another entry VM holds the lease.
type Held struct {
	holder    string
	remaining time.Duration
}

// NewHeld returns a Held outcome.
func NewHeld(holder string, remaining time.Duration) Held {
	return Held{holder: holder, remaining: remaining}
}

// Holder returns the entry VM that holds the lease.
func (h Held) Holder() string { return h.holder }

// Remaining returns how long the lease lasts unless it is renewed.
func (h Held) Remaining() time.Duration { return h.remaining }

// Report is what a backend server runs and how busy it is.
type Report struct {
	usage Shape
	tasks []TaskStatus
}

// NewReport returns a Report outcome.
func NewReport(usage Shape, tasks []TaskStatus) Report { return Report{usage: usage, tasks: tasks} }

// Usage returns the measured use, some seconds old.
func (r Report) Usage() Shape { return r.usage }

// Tasks returns the tasks that the server runs or keeps answers of.
func (r Report) Tasks() []TaskStatus { return r.tasks }

// Released says that the lease has ended.
type Released struct{}

// StaleEpoch says that the epoch isn't that of the current lease and nothing was done.
type StaleEpoch struct{}

// Refused says that the backend server didn't do what was asked, and why.
type Refused struct{ reason string }

// NewRefused returns a Refused outcome.
func NewRefused(reason string) Refused { return Refused{reason: reason} }

// Reason returns a short text for logs.
func (r Refused) Reason() string { return r.reason }

// NeverStarted says that the attempt never started and now never will.
type NeverStarted struct{}

// StillRunning says that the attempt has started and hasn't ended.
type StillRunning struct{}

// Signalled says that the task received the signal.
type Signalled struct{}

// NotRunning says that the task isn't running.
type NotRunning struct{}

func (Granted) acquireOutcome()     {}
func (Held) acquireOutcome()        {}
func (Refused) acquireOutcome()     {}
func (Unavailable) acquireOutcome() {}
func (Unknown) acquireOutcome()     {}
func (Released) releaseOutcome()    {}
func (StaleEpoch) releaseOutcome()  {}
func (Unavailable) releaseOutcome() {}
func (Unknown) releaseOutcome()     {}
func (Report) reportOutcome()       {}
func (StaleEpoch) reportOutcome()   {}
func (Unavailable) reportOutcome()  {}
func (Unknown) reportOutcome()      {}
func (Answer) runOutcome()          {}
func (Refused) runOutcome()         {}
func (StaleEpoch) runOutcome()      {}
func (Unavailable) runOutcome()     {}
func (Unknown) runOutcome()         {}
func (NeverStarted) closeOutcome()  {}
func (StillRunning) closeOutcome()  {}
func (Answer) closeOutcome()        {}
func (StaleEpoch) closeOutcome()    {}
func (Unavailable) closeOutcome()   {}
func (Unknown) closeOutcome()       {}
func (Signalled) signalOutcome()    {}
func (NotRunning) signalOutcome()   {}
func (StaleEpoch) signalOutcome()   {}
func (Unavailable) signalOutcome()  {}
func (Unknown) signalOutcome()      {}
