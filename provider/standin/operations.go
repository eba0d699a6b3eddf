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
		return provider.NewRefused("the name of the lease holder is empty")
	}
	if zone != b.VM.Zone() {
		return provider.NewRefused("the lease holder is in another availability zone than the server")
	}
	if b.lease.live(now) && b.lease.holder != holder {
		return provider.NewHeld(b.lease.holder, b.lease.expires.Sub(now))
	}
	b.lease = b.lease.granted(now, holder, b.leaseDuration())
	b.renewTasks(now)
	return provider.NewGranted(b.lease.epoch, b.leaseDuration(), b.tasks.statuses())
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
	b.tasks.recordReport(b.lease.holder)
	return provider.NewReport(b.usage.lagging(now), b.tasks.statuses())
}

// startOrAttach starts the attempt or finds its record, and returns the attempt whose answer the caller waits for. If
// the attempt is refused, it returns nil and the outcome.
func (b *Backend) startOrAttach(now time.Time, epoch uint64, t provider.Task) (*attempt, provider.RunOutcome) {
	spec, err := parsePayload(t.Payload()) // outside the lock, which all tasks of the server share

	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)

	if !b.lease.current(now, epoch) {
		return nil, provider.StaleEpoch{}
	}
	k := attemptKey{id: t.ID(), attempt: t.Attempt()}
	if a, ok := b.tasks.records[k]; ok {
		if a.state == attemptClosed {
			return nil, provider.NewRefused("the attempt was closed before it started")
		}
		return a, nil
	}
	if b.tasks.usage().Slots()+slots(t) > b.VM.Shape().Slots() {
		return nil, provider.NewRefused("the server has too few free slots")
	}

	a := b.startTask(now, k, t, spec, err)
	b.advance(now)
	return a, nil
}

// startTask starts a task. If err, the result of parsing the payload, isn't nil, the task fails with it.
func (b *Backend) startTask(now time.Time, k attemptKey, t provider.Task, spec payloadSpec, err error) *attempt {
	a := &attempt{
		key: k, state: attemptRunning, task: t, spec: spec,
		remaining: spec.runTime(), remainingAt: now, leaseRenewedAt: now, holder: b.lease.holder, done: make(chan struct{}),
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
	if b.PlatformCounters != nil {
		b.PlatformCounters.start(k.id, k.attempt, t.Team())
	}
	switch {
	case err != nil:
		b.endTask(now, a, failedAnswer(t, err.Error()))
	case b.TaskFaults.hits(&b.TaskFaults.fail):
		b.endTask(now, a, failedAnswer(t, "the task failed because of an injected fault"))
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
		return b.fetchAnswerLocked(a)
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
	a.updateRemaining(now)
	switch s {
	case provider.SignalThrottle:
		a.throttled = true
	case provider.SignalStop:
		b.stopTask(now, a, "the task was stopped")
	case provider.SignalCheckpoint:
		if b.Checkpoints != nil && a.spec.checkpointable() {
			b.Checkpoints.save(checkpoint{id: k.id, attempt: k.attempt, remaining: a.remaining})
			b.stopTask(now, a, "the task was checkpointed")
		}
	}
	b.scheduleNextEnd(now)
	return provider.Signalled{}
}

// advance ends the tasks that are due, drops old answers and schedules the timer for the next end.
func (b *Backend) advance(now time.Time) {
	b.initialize(now)
	b.endDueTasks(now)
	b.tasks.dropOldAnswers(now)
	b.scheduleNextEnd(now)
}

func (b *Backend) initialize(now time.Time) {
	if b.tasks.records == nil {
		b.tasks = newTasks()
		b.lease = b.lease.restarted(now)
	}
}

// endDueTasks ends the tasks whose end time has passed, in order of their end times.
func (b *Backend) endDueTasks(now time.Time) {
	var due []*attempt
	for _, a := range b.tasks.sortedByKey(b.tasks.running) {
		if !a.endTime().After(now) {
			due = append(due, a)
		}
	}
	sort.SliceStable(due, func(i, j int) bool { return due[i].endTime().Before(due[j].endTime()) })
	for _, a := range due {
		if a.completionTime().After(a.leaseExpiry()) {
			b.stopTask(a.leaseExpiry(), a, "the task lease expired")
			continue
		}
		b.endTask(a.completionTime(), a, a.spec.answer(a.task))
	}
}

// scheduleNextEnd sets the timer to the next end of a task.
func (b *Backend) scheduleNextEnd(now time.Time) {
	var next time.Time
	for _, a := range b.tasks.running {
		if e := a.endTime(); next.IsZero() || e.Before(next) {
			next = e
		}
	}
	if next.Equal(b.endTimerDue) {
		return
	}
	if b.endTimer != nil {
		b.endTimer.Stop()
		b.endTimer = nil
	}
	b.endTimerDue = next
	if next.IsZero() {
		return
	}
	b.endTimer = b.Clock.After(next.Sub(now), func(now time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.endTimerDue = time.Time{}
		b.advance(now)
	})
}

func (b *Backend) endTask(at time.Time, a *attempt, answer provider.Answer) {
	a.state = attemptEnded
	a.answer = answer
	a.endedAt = at
	// Frees the payload, because the record is kept longer than the answer.
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

func (b *Backend) stopTask(at time.Time, a *attempt, reason string) {
	b.endTask(at, a, provider.NewStoppedAnswer(a.key.id, a.key.attempt, reason))
}

func (b *Backend) countEnd(a *attempt) {
	b.Counters.end(a.task.Team())
	if b.PlatformCounters != nil {
		b.PlatformCounters.end(a.task.Team())
	}
}

func (b *Backend) renewTasks(now time.Time) {
	for _, a := range b.tasks.running {
		a.leaseRenewedAt = now
	}
	b.scheduleNextEnd(now)
}

func (b *Backend) leaseDuration() time.Duration {
	if b.LeaseDuration > 0 {
		return b.LeaseDuration
	}
	return LeaseDuration
}
