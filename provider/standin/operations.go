package standin

import (
	"sort"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

func (b *Backend) acquire(now time.Time, holder, zone string) provider.AcquireOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)

	if holder == "" {
		return provider.NewRefused("the holder has no name")
	}
	if zone != b.VM.Zone() {
		return provider.NewRefused("the holder is in another availability zone")
	}
	if b.lease.live(now) && b.lease.holder != holder {
		return provider.NewHeld(b.lease.holder, b.lease.until.Sub(now))
	}
	b.lease = b.lease.granted(now, holder, b.leaseDuration())
	b.renewTasks(now)
	return provider.NewGranted(b.lease.epoch, b.leaseDuration(), b.tasks.listed())
}

func (b *Backend) release(now time.Time, epoch uint64) provider.ReleaseOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.lease.current(now, epoch) {
		return provider.StaleEpoch{}
	}
	b.lease = b.lease.released()
	return provider.Released{}
}

func (b *Backend) report(now time.Time, epoch uint64) provider.ReportOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.lease.current(now, epoch) {
		return provider.StaleEpoch{}
	}
	b.lease = b.lease.renewed(now, b.leaseDuration())
	b.renewTasks(now)
	b.tasks.coverBy(b.lease.holder)
	return provider.NewReport(b.usage.lagging(now), b.tasks.listed())
}

// start returns the attempt to wait for, or the outcome if there is none.
func (b *Backend) start(now time.Time, epoch uint64, t provider.Task) (*attempt, provider.RunOutcome) {
	w, err := parseWork(t.Payload()) // before the lock, which all tasks of the server share

	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)

	if !b.lease.current(now, epoch) {
		return nil, provider.StaleEpoch{}
	}
	k := attemptKey{id: t.ID(), attempt: t.Attempt()}
	if a, ok := b.tasks.records[k]; ok {
		if a.state == attemptClosed {
			return nil, provider.NewRefused("the attempt is closed")
		}
		return a, nil
	}
	if b.tasks.usage().Slots()+slots(t) > b.VM.Shape().Slots() {
		return nil, provider.NewRefused("too few free slots")
	}

	a := b.begin(now, k, t, w, err)
	b.advance(now)
	return a, nil
}

// begin starts a task. The error is that of its payload, with which it fails.
func (b *Backend) begin(now time.Time, k attemptKey, t provider.Task, w work, err error) *attempt {
	a := &attempt{
		key: k, state: attemptRunning, task: t, work: w,
		remaining: w.runTime(), since: now, renewed: now, holder: b.lease.holder, done: make(chan struct{}),
	}
	if b.Checkpoints != nil {
		if cp, ok := b.Checkpoints.load(k.id); ok && cp.attempt < k.attempt {
			a.remaining = cp.remaining
		}
	}

	b.tasks.add(a)
	b.tasks.running[k] = a
	b.usage.record(now, b.tasks.usage())
	b.Counters.start(k.id, k.attempt, t.Team())
	if b.Fleet != nil {
		b.Fleet.start(k.id, k.attempt, t.Team())
	}
	switch {
	case err != nil:
		b.end(now, a, failedAnswer(t, err.Error()))
	case b.TaskFaults.hits(&b.TaskFaults.fail):
		b.end(now, a, failedAnswer(t, "the backend server fails every task"))
	}
	return a
}

func (b *Backend) closeAttempt(now time.Time, epoch uint64, k attemptKey) provider.CloseOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)

	if !b.lease.current(now, epoch) {
		return provider.StaleEpoch{}
	}
	a, ok := b.tasks.records[k]
	if !ok {
		b.tasks.add(&attempt{key: k, state: attemptClosed})
		return provider.NeverStarted{}
	}
	switch a.state {
	case attemptRunning:
		return provider.StillRunning{}
	case attemptEnded:
		return b.deliverLocked(a)
	default:
		return provider.NeverStarted{}
	}
}

func (b *Backend) signal(now time.Time, epoch uint64, k attemptKey, s provider.Signal) provider.SignalOutcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)

	if !b.lease.current(now, epoch) {
		return provider.StaleEpoch{}
	}
	a, ok := b.tasks.running[k]
	if !ok {
		return provider.NotRunning{}
	}
	a.progress(now)
	switch s {
	case provider.SignalThrottle:
		a.throttled = true
	case provider.SignalStop:
		b.stop(now, a, "the task was stopped")
	case provider.SignalCheckpoint:
		if b.Checkpoints != nil && a.work.checkpointable() {
			b.Checkpoints.save(checkpoint{id: k.id, attempt: k.attempt, remaining: a.remaining})
			b.stop(now, a, "the task was checkpointed")
		}
	}
	b.arm(now)
	return provider.Signalled{}
}

// advance brings the tasks up to now and arms the timer for the next end.
func (b *Backend) advance(now time.Time) {
	b.load(now)
	b.settle(now)
	b.tasks.forget(now)
	b.arm(now)
}

func (b *Backend) load(now time.Time) {
	if b.tasks.records == nil {
		b.tasks = newTasks()
		b.lease = b.lease.restarted(now)
	}
}

// settle ends the tasks whose end has come, in order of their ends.
func (b *Backend) settle(now time.Time) {
	var due []*attempt
	for _, a := range b.tasks.inOrder(b.tasks.running) {
		if !a.ends().After(now) {
			due = append(due, a)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].ends().Before(due[j].ends()) })
	for _, a := range due {
		if a.finishes().After(a.expires()) {
			b.stop(a.expires(), a, "the task lease ended")
			continue
		}
		b.end(a.finishes(), a, a.work.answer(a.task))
	}
}

// arm subscribes to the next end of a task.
func (b *Backend) arm(now time.Time) {
	var next time.Time
	for _, a := range b.tasks.running {
		if e := a.ends(); next.IsZero() || e.Before(next) {
			next = e
		}
	}
	if next.Equal(b.wakes) {
		return
	}
	if b.wake != nil {
		b.wake.Stop()
		b.wake = nil
	}
	b.wakes = next
	if next.IsZero() {
		return
	}
	b.wake = b.Timer.After(next.Sub(now), func(now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.wakes = time.Time{}
		b.advance(now)
	})
}

func (b *Backend) end(at time.Time, a *attempt, answer provider.Answer) {
	a.state = attemptEnded
	a.answer = answer
	a.ended = at
	// The payload isn't needed any more, and the record outlives the answer.
	a.task = provider.NewTask(a.task.ID(), a.task.Attempt(), a.task.Entry(), a.task.Team(), a.task.Shape(), nil)
	delete(b.tasks.running, a.key)
	b.usage.record(at, b.tasks.usage())
	b.countEnd(a)

	if !answer.Stopped() {
		b.tasks.answers.PushBack(a)
		if answer.OK() && b.Checkpoints != nil {
			b.Checkpoints.remove(a.key.id)
		}
	}
	close(a.done)
}

func (b *Backend) stop(at time.Time, a *attempt, reason string) {
	b.end(at, a, provider.NewStoppedAnswer(a.key.id, a.key.attempt, reason))
}

func (b *Backend) countEnd(a *attempt) {
	b.Counters.end(a.task.Team())
	if b.Fleet != nil {
		b.Fleet.end(a.task.Team())
	}
}

func (b *Backend) renewTasks(now time.Time) {
	for _, a := range b.tasks.running {
		a.renewed = now
	}
	b.arm(now)
}

func (b *Backend) leaseDuration() time.Duration {
	if b.LeaseDuration > 0 {
		return b.LeaseDuration
	}
	return LeaseDuration
}
