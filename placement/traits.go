package placement

import (
	"time"

	"github.com/pistachiolead/pistachiolead/queue"
)

// PreemptionInfo holds the attributes of a running task that decide whether and how urgent work may preempt it.
type PreemptionInfo struct {
	class          queue.Class
	idempotent     bool
	checkpointable bool
	started        time.Time
}

// NewPreemptionInfo returns the attributes of a task that started at the given time.
func NewPreemptionInfo(class queue.Class, idempotent, checkpointable bool, started time.Time) PreemptionInfo {
	return PreemptionInfo{class: class, idempotent: idempotent, checkpointable: checkpointable, started: started}
}

// Class returns the urgency of the task.
func (t PreemptionInfo) Class() queue.Class { return t.class }

// Idempotent reports whether the task may be stopped and run again.
func (t PreemptionInfo) Idempotent() bool { return t.idempotent }

// Checkpointable reports whether the task can be checkpointed and continued elsewhere.
func (t PreemptionInfo) Checkpointable() bool { return t.checkpointable }

// Started returns when the task started.
func (t PreemptionInfo) Started() time.Time { return t.started }
