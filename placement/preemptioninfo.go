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
func (i PreemptionInfo) Class() queue.Class { return i.class }

// Idempotent reports whether the task may be stopped and run again.
func (i PreemptionInfo) Idempotent() bool { return i.idempotent }

// Checkpointable reports whether the task can be checkpointed and continued elsewhere.
func (i PreemptionInfo) Checkpointable() bool { return i.checkpointable }

// Started returns when the task started.
func (i PreemptionInfo) Started() time.Time { return i.started }
