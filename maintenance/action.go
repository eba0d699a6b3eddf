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

// Decide returns the action for a task of a VM that has been draining for some time. No task is moved before the window
// has passed: run times of one entry vary, and a task that was expected to outlast the window may still end within it.
func Decide(t Task, drained, window time.Duration) Action {
	if drained < window {
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

// NewTaskAction returns the action for a task on a VM.
func NewTaskAction(vm, task string, a Action) TaskAction {
	return TaskAction{vm: vm, task: task, action: a}
}

// VM returns the id of the VM that the task runs on.
func (a TaskAction) VM() string { return a.vm }

// Task returns the id of the task.
func (a TaskAction) Task() string { return a.task }

// Action returns what happens to the task.
func (a TaskAction) Action() Action { return a.action }
