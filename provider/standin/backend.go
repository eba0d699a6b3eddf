package standin

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Backend is an in-process provider.BackendServer. Its process starts when NewPlatform returns it, or else at the first call.
//
// Its tasks only pass time. A payload may be a JSON object with these optional fields; the rest is echoed in the output:
//
//	run-ms          run time at full speed, in ms
//	fail            true to fail at the end of the run time
//	output-bytes    least length of the output, in bytes
//	checkpointable  false to ignore checkpoint signals
//
// The output of a task that succeeds is a JSON object with request-id, attempt, entry, team, payload-xxhash64 (16 hex
// digits), echo and padding.
//
// Acquire gives every grant a new epoch, to the present holder too: a holder that asks again has restarted or has lost
// the reply, and messages that it sent before must not take effect after it has taken stock of the tasks.
//
// A task that ends by a signal or by the end of its task lease has a stopped answer. Reports list the running tasks
// and the finished ones whose answer nobody has fetched; a fetched answer can be fetched again by Run or Close.
type Backend struct {
	// VM is required. Its zone decides who gets leases, and its shape how many tasks run at once.
	VM provider.VM
	// Timer is required.
	Timer timer.Clock
	// Faults and TaskFaults may be changed while the server is in use.
	Faults     Faults
	TaskFaults TaskFaults
	// LeaseDuration is the duration of a lease, 0 for the package's constant.
	LeaseDuration time.Duration
	// Checkpoints is shared by the servers of a platform. If nil, checkpoint signals have no effect.
	Checkpoints *Checkpoints
	// Fleet counts the tasks of all servers of a platform, if set.
	Fleet *Counters
	// Counters counts the tasks of this server.
	Counters Counters

	mu    sync.Mutex
	lease lease
	tasks tasks
	// wake is the subscription for the next end of a task, due at wakes.
	wake  timer.Subscription
	wakes time.Time
	// delivered is the answer that was sent last.
	delivered provider.Answer
	usage     usage
}

var _ provider.BackendServer = (*Backend)(nil)

// Acquire implements provider.BackendServer.
func (b *Backend) Acquire(ctx context.Context, holder, zone string) provider.AcquireOutcome {
	var o provider.AcquireOutcome
	switch b.Faults.apply(ctx, b.Timer, false, func(now time.Time) { o = b.acquire(now, holder, zone) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	return o
}

// Release implements provider.BackendServer.
func (b *Backend) Release(ctx context.Context, epoch uint64) provider.ReleaseOutcome {
	var o provider.ReleaseOutcome
	switch b.Faults.apply(ctx, b.Timer, false, func(now time.Time) { o = b.release(now, epoch) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	return o
}

// Report implements provider.BackendServer. The usage is the sum of the declared shapes, UsageLag old.
func (b *Backend) Report(ctx context.Context, epoch uint64) provider.ReportOutcome {
	var o provider.ReportOutcome
	switch b.Faults.apply(ctx, b.Timer, false, func(now time.Time) { o = b.report(now, epoch) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	return o
}

// Run implements provider.BackendServer. It refuses an attempt that was closed, and a new one if too few slots are
// free.
func (b *Backend) Run(ctx context.Context, epoch uint64, t provider.Task) provider.RunOutcome {
	var (
		a *attempt
		o provider.RunOutcome
	)
	switch b.Faults.apply(ctx, b.Timer, true, func(now time.Time) { a, o = b.start(now, epoch, t) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	if a != nil && !b.await(ctx, a) {
		return provider.NewUnknown(reasonLost)
	}
	if b.Faults.losesReply() {
		return provider.NewUnknown(reasonLost)
	}
	if a != nil {
		return b.deliver(a)
	}
	return o
}

// Close implements provider.BackendServer.
func (b *Backend) Close(ctx context.Context, epoch uint64, id string, attempt int) provider.CloseOutcome {
	var o provider.CloseOutcome
	k := attemptKey{id: id, attempt: attempt}
	switch b.Faults.apply(ctx, b.Timer, false, func(now time.Time) { o = b.closeAttempt(now, epoch, k) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	return o
}

// Signal implements provider.BackendServer. A checkpoint ends the task and keeps its progress, a throttle halves its
// speed once, and a stop ends it. A task that can't be checkpointed ignores the checkpoint signal.
func (b *Backend) Signal(
	ctx context.Context, epoch uint64, id string, attempt int, s provider.Signal,
) provider.SignalOutcome {
	var o provider.SignalOutcome
	k := attemptKey{id: id, attempt: attempt}
	switch b.Faults.apply(ctx, b.Timer, false, func(now time.Time) { o = b.signal(now, epoch, k, s) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case lost:
		return provider.NewUnknown(reasonLost)
	}
	return o
}

// open starts the server process.
func (b *Backend) open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load(b.Timer.Now())
}

// Restart ends the server process and starts a new one: its tasks, answers, closed attempts and lease are lost, and
// its epochs differ from all earlier ones. Callers that wait for an answer get Unknown. The new process doesn't know
// what the old one started, so its NeverStarted holds only for attempts sent under one of its own epochs.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Timer.Now()
	b.load(now)
	b.settle(now)

	for _, a := range b.tasks.inOrder(b.tasks.running) {
		a.lost = true
		b.countEnd(a)
		close(a.done)
	}
	b.tasks = newTasks()
	b.lease = b.lease.restarted(now)
	b.delivered = provider.Answer{}
	b.usage = usage{}
	b.arm(now)
}

// Starts returns how often tasks of a request id were started on this server.
func (b *Backend) Starts(id string) int { return b.Counters.Starts(id) }

// Holder returns the entry VM that holds the lease, and false if none does.
func (b *Backend) Holder() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lease.holder, b.lease.live(b.Timer.Now())
}

// Running returns the status of the running tasks, in order of id and attempt. No fault affects it.
func (b *Backend) Running() []provider.TaskStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(b.Timer.Now())
	running := b.tasks.inOrder(b.tasks.running)
	statuses := make([]provider.TaskStatus, 0, len(running))
	for _, a := range running {
		statuses = append(statuses, provider.NewTaskStatus(a.task, false))
	}
	return statuses
}

// await waits until the answer is due and returns false if it never arrives.
func (b *Backend) await(ctx context.Context, a *attempt) bool {
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

	late := b.TaskFaults.lateness()
	if late <= 0 {
		return true
	}
	due := make(chan struct{})
	s := b.Timer.After(late, func(time.Time) { close(due) })
	defer s.Stop()
	select {
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *Backend) deliver(a *attempt) provider.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.deliverLocked(a)
}

// deliverLocked returns the answer as the caller receives it.
func (b *Backend) deliverLocked(a *attempt) provider.Answer {
	if a.answer.Stopped() {
		return a.answer
	}
	f := &b.TaskFaults
	if d := b.delivered; d.ID() != "" && d.ID() != a.key.id && f.hits(&f.duplicate) {
		return d
	}
	if f.hits(&f.cross) {
		return b.tasks.crossed(a)
	}
	if f.hits(&f.truncate) {
		n := a.answer
		return provider.NewAnswer(n.ID(), n.Attempt(), n.OK(), n.Length(), n.Checksum(), n.Output()[:len(n.Output())/2])
	}
	a.fetched = true
	b.delivered = a.answer
	return a.answer
}
