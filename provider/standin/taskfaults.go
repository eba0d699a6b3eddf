package standin

import (
	"sync"
	"time"
)

// TaskFaults injects faults into the tasks and answers of a backend server. The zero value injects none.
type TaskFaults struct {
	mu        sync.Mutex
	fail      activeTrigger
	misroute  activeTrigger
	truncate  activeTrigger
	duplicate activeTrigger
	delay     time.Duration
}

// SetFail sets which tasks fail as soon as they start.
func (f *TaskFaults) SetFail(t Trigger) { f.set(&f.fail, t) }

// SetMisroute sets which answers are replaced by the answer to another request. The correct answer can still be
// fetched.
func (f *TaskFaults) SetMisroute(t Trigger) { f.set(&f.misroute, t) }

// SetTruncate sets which answers lose the second half of their output. Length and checksum stay those of the whole
// output.
func (f *TaskFaults) SetTruncate(t Trigger) { f.set(&f.truncate, t) }

// SetDuplicate sets which answers are replaced by the answer that the server sent before.
func (f *TaskFaults) SetDuplicate(t Trigger) { f.set(&f.duplicate, t) }

// SetAnswerDelay sets the delay between the end of a task and the sending of its answer.
func (f *TaskFaults) SetAnswerDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

func (f *TaskFaults) set(a *activeTrigger, t Trigger) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*a = activate(t)
}

func (f *TaskFaults) hits(a *activeTrigger) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a.hits()
}

func (f *TaskFaults) answerDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}
