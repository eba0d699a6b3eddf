package placement

import (
	"time"

	"github.com/pistachiolead/pistachiolead/queue"
)

// Traits holds the attributes of a running task that decide whether and how urgent work may preempt it.
type Traits struct {
	class          queue.Class
	idempotent     bool
	checkpointable bool
	started        time.Time
}

// NewTraits returns the attributes of a task that started at the given time.
func NewTraits(class queue.Class, idempotent, checkpointable bool, started time.Time) Traits {
	return Traits{class: class, idempotent: idempotent, checkpointable: checkpointable, started: started}
}

// Class returns the urgency of the task.
func (t Traits) Class() queue.Class { return t.class }

// Idempotent reports whether the task may be stopped and run again.
func (t Traits) Idempotent() bool { return t.idempotent }

// Checkpointable reports whether the task can be checkpointed and continued elsewhere.
func (t Traits) Checkpointable() bool { return t.checkpointable }

// Started returns when the task started.
func (t Traits) Started() time.Time { return t.started }
