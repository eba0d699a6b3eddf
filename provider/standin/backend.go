package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Backend is an in-memory provider.BackendServer. Its simulated process starts in NewPlatform, or at the first call if
// NewPlatform didn't create it.
//
// Its tasks only let time pass. A payload may be a JSON object with these optional fields; other fields are echoed in
// the output:
//
//	run-ms          run time at full speed, in ms
//	fail            true to fail at the end of the run time
//	output-bytes    minimum length of the output, in bytes
//	checkpointable  false to ignore checkpoint signals
//
// The output of a task that succeeds is a JSON object with request-id, attempt, entry, team, payload-xxhash64 (16 hex
// digits), echo and padding.
//
// Acquire gives every grant a new epoch, also to the current holder. A holder that requests the lease again has
// restarted or hasn't received the reply, and requests that it sent earlier must not take effect once it has the list
// of tasks.
//
// A task that is ended by a signal or by the expiry of its task lease has a stopped answer. Reports list the running
// tasks and the finished ones whose answer hasn't been fetched. A fetched answer can be fetched again by Run or Close.
type Backend struct {
	// VM is required. Only entry VMs of its zone get leases, and the slots of its shape limit the running tasks.
	VM provider.VM
	// Clock is required.
	Clock timer.Clock
	// Faults and TaskFaults may be changed while the server is in use.
	Faults     Faults
	TaskFaults TaskFaults
	// LeaseDuration is the duration of a lease. 0 means the constant LeaseDuration.
	LeaseDuration time.Duration
	// Checkpoints is shared by the servers of a platform. If nil, checkpoint signals have no effect.
	Checkpoints *Checkpoints
	// PlatformCounters counts the tasks of all servers of a platform. It may be nil.
	PlatformCounters *Counters
	// Counters counts the tasks of this server.
	Counters Counters

	mu    sync.Mutex
	lease lease
	tasks tasks
	// endTimer is the subscription for the next end of a task, which is due at endTimerDue.
	endTimer    timer.Subscription
	endTimerDue time.Time
	// lastSent is the answer that was sent last. SetDuplicate sends it again.
	lastSent provider.Answer
	usage    usageHistory
}

var _ provider.BackendServer = (*Backend)(nil)

// Acquire implements provider.BackendServer.
func (b *Backend) Acquire(ctx context.Context, holder, zone string) provider.AcquireOutcome {
	var o provider.AcquireOutcome
	switch b.Faults.call(ctx, b.Clock, false, func(now time.Time) { o = b.acquire(now, holder, zone) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// Release implements provider.BackendServer.
func (b *Backend) Release(ctx context.Context, epoch uint64) provider.ReleaseOutcome {
	var o provider.ReleaseOutcome
	switch b.Faults.call(ctx, b.Clock, false, func(now time.Time) { o = b.release(now, epoch) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// Report implements provider.BackendServer. The usage is the sum of the shapes of the running tasks, UsageLag ago.
func (b *Backend) Report(ctx context.Context, epoch uint64) provider.ReportOutcome {
	var o provider.ReportOutcome
	switch b.Faults.call(ctx, b.Clock, false, func(now time.Time) { o = b.report(now, epoch) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// Run implements provider.BackendServer. It refuses an attempt that was closed, and a new one if the server has too few
// free slots.
func (b *Backend) Run(ctx context.Context, epoch uint64, t provider.Task) provider.RunOutcome {
	var (
		a *attempt
		o provider.RunOutcome
	)
	switch b.Faults.call(ctx, b.Clock, true, func(now time.Time) { a, o = b.startOrAttach(now, epoch, t) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	if a != nil && !b.waitForAnswer(ctx, a) {
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	if b.Faults.losesReply() {
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	if a != nil {
		return b.fetchAnswer(a)
	}
	return o
}

// Close implements provider.BackendServer.
func (b *Backend) Close(ctx context.Context, epoch uint64, id string, attempt int) provider.CloseOutcome {
	var o provider.CloseOutcome
	k := attemptKey{id: id, attempt: attempt}
	switch b.Faults.call(ctx, b.Clock, false, func(now time.Time) { o = b.closeAttempt(now, epoch, k) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// Signal implements provider.BackendServer. A checkpoint stops the task and saves its progress, a throttle halves its
// speed once, and a stop ends it. A task that can't be checkpointed ignores a checkpoint signal.
func (b *Backend) Signal(
	ctx context.Context, epoch uint64, id string, attempt int, s provider.Signal,
) provider.SignalOutcome {
	var o provider.SignalOutcome
	k := attemptKey{id: id, attempt: attempt}
	switch b.Faults.call(ctx, b.Clock, false, func(now time.Time) { o = b.signal(now, epoch, k, s) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewOutcomeUnknown(reasonNoReply)
	}
	return o
}

// startProcess starts the simulated server process.
func (b *Backend) startProcess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initialize(b.Clock.Now())
}

// Restart ends the server process and starts a new one: its tasks, answers, closed attempts and lease are lost, and its
// epochs differ from all earlier ones. Callers that wait for an answer get OutcomeUnknown. The new process has no
// records of the old one, so its NeverStarted is valid only for attempts sent under one of its own epochs.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	b.initialize(now)
	b.endDueTasks(now)

	for _, a := range b.tasks.sortedByKey(b.tasks.running) {
		a.lost = true
		b.countEnd(a)
		close(a.done)
	}
	b.tasks = newTasks()
	b.lease = b.lease.restarted(now)
	b.lastSent = provider.Answer{}
	b.usage = usageHistory{}
	b.scheduleNextEnd(now)
}

// Starts returns how often tasks of a request id were started on this server.
func (b *Backend) Starts(id string) int { return b.Counters.Starts(id) }

// Holder returns the entry VM that holds the lease, and false if none does.
func (b *Backend) Holder() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lease.holder, b.lease.live(b.Clock.Now())
}

// Running returns the status of the running tasks, in order of id and attempt. Faults don't affect it.
func (b *Backend) Running() []provider.TaskStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.Clock.Now())
	running := b.tasks.sortedByKey(b.tasks.running)
	statuses := make([]provider.TaskStatus, 0, len(running))
	for _, a := range running {
		statuses = append(statuses, provider.NewTaskStatus(a.task, false))
	}
	return statuses
}

// waitForAnswer waits until the attempt has ended and the delay of its answer has passed. It returns false if ctx ends
// first or the server process restarts.
func (b *Backend) waitForAnswer(ctx context.Context, a *attempt) bool {
	select {
	case <-a.done:
	default:
		select {
		case <-a.done:
		case <-ctx.Done():
			return false
		}
	}
	if a.lost {
		return false
	}

	delay := b.TaskFaults.answerDelay()
	if delay <= 0 {
		return true
	}
	due := make(chan struct{})
	s := b.Clock.After(delay, func(time.Time) { close(due) })
	defer s.Stop()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) fetchAnswer(a *attempt) provider.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fetchAnswerLocked(a)
}

// fetchAnswerLocked returns the answer as the caller receives it, with the faults of TaskFaults. An answer with a
// fault doesn't count as fetched. The caller holds b.mu.
func (b *Backend) fetchAnswerLocked(a *attempt) provider.Answer {
	if a.answer.Stopped() {
		return a.answer
	}
	f := &b.TaskFaults
	if d := b.lastSent; d.ID() != "" && d.ID() != a.key.id && f.hits(&f.duplicate) {
		return d
	}
	if f.hits(&f.misroute) {
		return b.tasks.misrouted(a)
	}
	if f.hits(&f.truncate) {
		n := a.answer
		return provider.NewAnswer(n.ID(), n.Attempt(), n.OK(), n.Length(), n.Checksum(), n.Output()[:len(n.Output())/2])
	}
	a.fetched = true
	b.lastSent = a.answer
	return a.answer
}
