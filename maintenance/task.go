package maintenance

import "time"

// Task is a task that is running on a VM.
type Task struct {
	id             string
	declared       time.Duration
	estimated      time.Duration
	hasEstimate    bool
	idempotent     bool
	checkpointable bool
}

// NewTask returns a task. Declared is its remaining run time according to its declaration; idempotent and
// checkpointable say whether it may run again and whether it can be checkpointed.
func NewTask(id string, declared time.Duration, idempotent, checkpointable bool) Task {
	return Task{id: id, declared: declared, idempotent: idempotent, checkpointable: checkpointable}
}

// WithEstimate returns the task with a remaining run time that was estimated from earlier tasks of the same catalogue
// entry. It takes precedence over the declared one, which may be wrong by a factor of 10.
func (t Task) WithEstimate(remaining time.Duration) Task {
	t.estimated, t.hasEstimate = remaining, true
	return t
}

// ID returns the id of the task.
func (t Task) ID() string { return t.id }

// Remaining returns the expected remaining run time: the estimate if there is one, else the declared time.
func (t Task) Remaining() time.Duration {
	if t.hasEstimate {
		return t.estimated
	}
	return t.declared
}

// Movable reports whether the task can be checkpointed and continued on another VM. A task that isn't idempotent
// can't, because it would run twice if its checkpoint were lost (R8).
func (t Task) Movable() bool { return t.idempotent && t.checkpointable }

// Restartable reports whether the task may be stopped and run again on another VM.
func (t Task) Restartable() bool { return t.idempotent }
