package maintenance

import "time"

// Action is what happens to a task of a VM or availability zone that leaves: Wait, Checkpoint, Restart or Leave.
type Action interface{ action() }

// Wait says that the task has until the end of the drain window.
type Wait struct{}

// Checkpoint says that the task is checkpointed and goes on elsewhere.
type Checkpoint struct{}

// Restart says that the task is stopped and runs again elsewhere from its beginning.
type Restart struct{}

// Leave says that the task runs to its end where it is, however long that takes.
type Leave struct{}

func (Wait) action()       {}
func (Checkpoint) action() {}
func (Restart) action()    {}
func (Leave) action()      {}

// Decide returns the action for a task of a VM that has been draining for some time. Until the window has passed, only
// tasks that are known to need much longer are moved, because a declared run time may be off by 10x.
func Decide(t Task, drained, window time.Duration) Action {
	left := window - drained
	if left > 0 && (!t.known || t.learned <= earlyMoveFactor*left || !t.Movable()) {
		return Wait{}
	}
	switch {
	case t.Movable():
		return Checkpoint{}
	case t.Restartable():
		return Restart{}
	default:
		return Leave{}
	}
}

// TaskAction is the action for one task.
type TaskAction struct {
	vm     string
	task   string
	action Action
}

// VM returns the id of the VM that the task runs on.
func (a TaskAction) VM() string { return a.vm }

// Task returns the id of the task.
func (a TaskAction) Task() string { return a.task }

// Action returns what happens to the task.
func (a TaskAction) Action() Action { return a.action }
