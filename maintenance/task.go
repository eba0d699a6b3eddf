package maintenance

import "time"

// Task is a task that runs on a VM.
type Task struct {
	id         string
	declared   time.Duration
	learned    time.Duration
	known      bool
	idempotent bool
	checkpoint bool
}

// NewTask returns a task with its remaining run time by declaration, and whether it is idempotent and can be
// checkpointed.
func NewTask(id string, declared time.Duration, idempotent, checkpoint bool) Task {
	return Task{id: id, declared: declared, idempotent: idempotent, checkpoint: checkpoint}
}

// WithLearned sets the remaining run time that was learned from earlier tasks of the same entry. It takes precedence
// over the declared one, which may be off by 10x.
func (t Task) WithLearned(remaining time.Duration) Task {
	t.learned, t.known = remaining, true
	return t
}

// ID returns the id of the task.
func (t Task) ID() string { return t.id }

// Remaining returns how much longer the task is likely to run.
func (t Task) Remaining() time.Duration {
	if t.known {
		return t.learned
	}
	return t.declared
}

// Movable reports whether the task can be checkpointed and go on elsewhere. A task that isn't idempotent can't: it
// would run again if its checkpoint were lost (R8).
func (t Task) Movable() bool { return t.idempotent && t.checkpoint }

// Restartable reports whether the task can be stopped and run again elsewhere.
func (t Task) Restartable() bool { return t.idempotent }
