package maintenance

import "time"

// Action is what happens to a running task of a VM or availability zone that is taken out: Defer, Checkpoint, Restart
// or RunToCompletion.
type Action interface{ action() }

// Defer leaves the task running until the drain window has passed.
type Defer struct{}

// Checkpoint means that the task is checkpointed and continues on another VM.
type Checkpoint struct{}

// Restart means that the task is stopped and runs again from its beginning on another VM.
type Restart struct{}

// RunToCompletion means that the task runs to its end on its VM, however long that takes.
type RunToCompletion struct{}

func (Defer) action()           {}
func (Checkpoint) action()      {}
func (Restart) action()         {}
func (RunToCompletion) action() {}

// ActionFor returns the action for a task of a VM that has been draining for the duration drained. No task is moved
// before the drain window has passed: run times of the same catalogue entry vary, and a task that was expected to
// outlast the window may still end within it.
func ActionFor(t Task, drained, window time.Duration) Action {
	if drained < window {
		return Defer{}
	}
	switch {
	case t.Movable():
		return Checkpoint{}
	case t.Restartable():
		return Restart{}
	default:
		return RunToCompletion{}
	}
}

// TaskAction is the action for one task on one VM.
type TaskAction struct {
	vm     string
	task   string
	action Action
}

// NewTaskAction returns the action for a task on a VM, both given by their ids.
func NewTaskAction(vm, task string, a Action) TaskAction {
	return TaskAction{vm: vm, task: task, action: a}
}

// VM returns the id of the VM that the task runs on.
func (a TaskAction) VM() string { return a.vm }

// Task returns the id of the task.
func (a TaskAction) Task() string { return a.task }

// Action returns the action.
func (a TaskAction) Action() Action { return a.action }
