package standin

import (
	"sync"
	"time"
)

// TaskFaults are faults in the tasks and answers of a backend server. The zero value has no faults.
type TaskFaults struct {
	mu        sync.Mutex
	fail      armed
	cross     armed
	truncate  armed
	duplicate armed
	late      time.Duration
}

// SetFail sets which tasks fail as soon as they start.
func (f *TaskFaults) SetFail(t Trigger) { f.set(&f.fail, t) }

// SetCross sets which answers are replaced by the answer to another request. The right answer can still be fetched.
func (f *TaskFaults) SetCross(t Trigger) { f.set(&f.cross, t) }

// SetTruncate sets which answers lose the second half of their output. Length and checksum stay those of the whole
// output.
func (f *TaskFaults) SetTruncate(t Trigger) { f.set(&f.truncate, t) }

// SetDuplicate sets which answers are replaced by the answer that the server delivered before.
func (f *TaskFaults) SetDuplicate(t Trigger) { f.set(&f.duplicate, t) }

// SetLate sets how long after the end of a task its answer is sent.
func (f *TaskFaults) SetLate(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = d
}

func (f *TaskFaults) set(a *armed, t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*a = arm(t)
}

func (f *TaskFaults) hits(a *armed) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.hits()
}

func (f *TaskFaults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}
