package provider

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BackendServer runs tasks for the entry VM that holds its lease. A backend server grants one lease at a time. Every
// call after Acquire carries the epoch of the lease, and returns StaleEpoch unless that lease is the current one.
type BackendServer interface {
	// Acquire requests the lease. It is granted only to a holder in the server's own availability zone, and only if
	// no lease is live or holder has it already. SameProcess describes how epochs are numbered.
	Acquire(ctx context.Context, holder, zone string) AcquireOutcome
	// Release ends the lease. Running tasks continue until their task leases expire.
	Release(ctx context.Context, epoch uint64) ReleaseOutcome
	// Report renews the lease and the leases of all tasks, and returns the tasks of the server and its resource usage,
	// which is some seconds old.
	Report(ctx context.Context, epoch uint64) ReportOutcome
	// Run starts an attempt of a task and waits for its answer until ctx ends. An attempt starts at most once: a
	// repeated Run attaches to the running attempt or returns its stored answer.
	Run(ctx context.Context, epoch uint64, t Task) RunOutcome
	// Close prevents an attempt that hasn't started from ever starting.
	Close(ctx context.Context, epoch uint64, id string, attempt int) CloseOutcome
	// Signal requests a checkpoint, a throttle or a stop of a running task.
	Signal(ctx context.Context, epoch uint64, id string, attempt int, s Signal) SignalOutcome
}

// epochCounterBits is the number of low bits of an epoch that count the leases of one server process. The bits above
// are the start time of the process.
const epochCounterBits = 20

// SameProcess reports whether two epochs come from the same process of a backend server. A process knows only the
// attempts that were sent under its own epochs. Its NeverStarted, and a Run that attaches to an attempt, say nothing
// about attempts sent under the epochs of another process.
func SameProcess(a, b uint64) bool { return a>>epochCounterBits == b>>epochCounterBits }

// Signal is a request to a running task.
type Signal uint8

// Signals that backend servers understand.
const (
	SignalCheckpoint Signal = iota + 1
	SignalThrottle
	SignalStop
)

// Task is one attempt of a request, as it is sent to a backend server.
type Task struct {
	id      string
	attempt int
	entry   string
	team    string
	shape   Shape
	payload []byte
}

// NewTask returns a task. The id is that of the request. Attempts are counted from 1.
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

// Shape returns the resources that the task declares.
func (t Task) Shape() Shape { return t.shape }

// Payload returns the caller's input. Callers must not modify it.
func (t Task) Payload() []byte { return t.payload }

// TaskStatus is the state of a task as its backend server reports it.
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

// WithHolder returns a copy of the status with the given Holder.
func (t TaskStatus) WithHolder(holder string) TaskStatus {
	t.holder = holder
	return t
}

// Holder returns the entry VM under whose lease the task was started or last renewed by a Report. In a Granted outcome
// this is the previous holder of the lease.
func (t TaskStatus) Holder() string { return t.holder }

// ID returns the request id.
func (t TaskStatus) ID() string { return t.id }

// Attempt returns the attempt, counted from 1.
func (t TaskStatus) Attempt() int { return t.attempt }

// Team returns the team that the task runs for.
func (t TaskStatus) Team() string { return t.team }

// Entry returns the name of the catalogue entry.
func (t TaskStatus) Entry() string { return t.entry }

// Shape returns the resources that the task declares.
func (t TaskStatus) Shape() Shape { return t.shape }

// Finished reports whether the task has ended and its answer can be fetched.
func (t TaskStatus) Finished() bool { return t.finished }

// Answer is the output of a task. Its id, attempt, length and checksum let the receiver verify that the output is
// complete and belongs to the request.
type Answer struct {
	id       string
	attempt  int
	ok       bool
	stopped  bool
	length   int
	checksum uint64
	output   []byte
}

// NewAnswer returns an answer as received. Length, in bytes, and checksum, xxhash64, are those computed by the sender.
func NewAnswer(id string, attempt int, ok bool, length int, checksum uint64, output []byte) Answer {
	return Answer{id: id, attempt: attempt, ok: ok, length: length, checksum: checksum, output: output}
}

// NewStoppedAnswer returns the answer for a task that started and has no answer of its own, because it was stopped or
// because its answer was discarded. OK is false, and the output is the reason.
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

// Stopped reports whether the task started and has no answer of its own: it was stopped by a signal or by the expiry of
// its task lease, or its answer was discarded.
func (a Answer) Stopped() bool { return a.stopped }

// Length returns the length in bytes that the sender computed for the output.
func (a Answer) Length() int { return a.length }

// Checksum returns the xxhash64 that the sender computed for the output.
func (a Answer) Checksum() uint64 { return a.checksum }

// Output returns the output as received. Callers must not modify it.
func (a Answer) Output() []byte { return a.output }

// AcquireOutcome is the outcome of BackendServer.Acquire: Granted, Held, Refused, Unavailable or OutcomeUnknown.
type AcquireOutcome interface{ acquireOutcome() }

// ReleaseOutcome is the outcome of BackendServer.Release: Released, StaleEpoch, Unavailable or OutcomeUnknown.
type ReleaseOutcome interface{ releaseOutcome() }

// ReportOutcome is the outcome of BackendServer.Report: Report, StaleEpoch, Unavailable or OutcomeUnknown.
type ReportOutcome interface{ reportOutcome() }

// RunOutcome is the outcome of BackendServer.Run: Answer, Refused, StaleEpoch, Unavailable or OutcomeUnknown.
type RunOutcome interface{ runOutcome() }

// CloseOutcome is the outcome of BackendServer.Close: NeverStarted, StillRunning, Answer, StaleEpoch, Unavailable
// or OutcomeUnknown.
type CloseOutcome interface{ closeOutcome() }

// SignalOutcome is the outcome of BackendServer.Signal: Signalled, NotRunning, StaleEpoch, Unavailable or
// OutcomeUnknown.
type SignalOutcome interface{ signalOutcome() }

// Granted is a new lease. The holder counts its duration from the time when it sent the request.
type Granted struct {
	epoch    uint64
	duration time.Duration
	tasks    []TaskStatus
}

// NewGranted returns a Granted outcome with the running tasks and the finished ones whose answers are kept.
func NewGranted(epoch uint64, duration time.Duration, tasks []TaskStatus) Granted {
	return Granted{epoch: epoch, duration: duration, tasks: tasks}
}

// Epoch returns the number of the lease, which later calls carry.
func (g Granted) Epoch() uint64 { return g.epoch }

// Duration returns the time after which the lease expires unless it is renewed.
func (g Granted) Duration() time.Duration { return g.duration }

// Tasks returns the running tasks and the finished ones whose answers are kept.
func (g Granted) Tasks() []TaskStatus { return g.tasks }

// Held means that another entry VM holds the lease.
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

// Remaining returns the time after which the lease expires unless it is renewed.
func (h Held) Remaining() time.Duration { return h.remaining }

// Report is the resource usage and the tasks of a backend server.
type Report struct {
	usage Shape
	tasks []TaskStatus
}

// NewReport returns a Report outcome.
func NewReport(usage Shape, tasks []TaskStatus) Report { return Report{usage: usage, tasks: tasks} }

// Usage returns the measured resource usage, which is some seconds old.
func (r Report) Usage() Shape { return r.usage }

// Tasks returns the running tasks and the finished ones whose answers are kept.
func (r Report) Tasks() []TaskStatus { return r.tasks }

// Released means that the lease has ended.
type Released struct{}

// StaleEpoch means that the epoch isn't that of the current lease and the call had no effect.
type StaleEpoch struct{}

// Refused means that the backend server rejected the call, which had no effect.
type Refused struct{ reason string }

// NewRefused returns a Refused outcome.
func NewRefused(reason string) Refused { return Refused{reason: reason} }

// Reason returns a short text for logs.
func (r Refused) Reason() string { return r.reason }

// NeverStarted means that the attempt hasn't started and never will.
type NeverStarted struct{}

// StillRunning means that the attempt has started and hasn't ended.
type StillRunning struct{}

// Signalled means that the task received the signal.
type Signalled struct{}

// NotRunning means that the server runs no such attempt.
type NotRunning struct{}

func (Granted) acquireOutcome()        {}
func (Held) acquireOutcome()           {}
func (Refused) acquireOutcome()        {}
func (Unavailable) acquireOutcome()    {}
func (OutcomeUnknown) acquireOutcome() {}
func (Released) releaseOutcome()       {}
func (StaleEpoch) releaseOutcome()     {}
func (Unavailable) releaseOutcome()    {}
func (OutcomeUnknown) releaseOutcome() {}
func (Report) reportOutcome()          {}
func (StaleEpoch) reportOutcome()      {}
func (Unavailable) reportOutcome()     {}
func (OutcomeUnknown) reportOutcome()  {}
func (Answer) runOutcome()             {}
func (Refused) runOutcome()            {}
func (StaleEpoch) runOutcome()         {}
func (Unavailable) runOutcome()        {}
func (OutcomeUnknown) runOutcome()     {}
func (NeverStarted) closeOutcome()     {}
func (StillRunning) closeOutcome()     {}
func (Answer) closeOutcome()           {}
func (StaleEpoch) closeOutcome()       {}
func (Unavailable) closeOutcome()      {}
func (OutcomeUnknown) closeOutcome()   {}
func (Signalled) signalOutcome()       {}
func (NotRunning) signalOutcome()      {}
func (StaleEpoch) signalOutcome()      {}
func (Unavailable) signalOutcome()     {}
func (OutcomeUnknown) signalOutcome()  {}
