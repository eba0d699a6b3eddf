package maintenance

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Move changes the pool of one VM in three conditional writes of its row: take the VM out, set the new pool once the
// VM has drained, and bring it back in service. The progress is read from the row, so any entry VM can continue the
// move.
type Move struct {
	vm string
	to string
}

// NewMove returns a move of the VM with id vm to the pool with name to.
func NewMove(vm, to string) Move { return Move{vm: vm, to: to} }

// VM returns the id of the VM.
func (m Move) VM() string { return m.vm }

// To returns the name of the destination pool.
func (m Move) To() string { return m.to }

// MoveOutcome is the next part of a move: MoveStep, MoveWaiting, MoveOverBudget or Moved.
type MoveOutcome interface{ moveOutcome() }

// MoveStep means that a row must be written.
type MoveStep struct{ write WriteRow }

// Write returns the row to write.
func (s MoveStep) Write() WriteRow { return s.write }

// MoveWaiting means that the VM is draining, is absent or is out for another reason. It has the actions for the tasks
// of a draining VM.
type MoveWaiting struct{ actions []TaskAction }

// Actions returns the actions for the tasks of the VM, nil if it isn't draining.
func (w MoveWaiting) Actions() []TaskAction { return w.actions }

// MoveOverBudget means that the availability budget of the old pool allows no further absent VM now.
type MoveOverBudget struct{}

// Moved means that the VM is in service in the destination pool.
type Moved struct{}

func (MoveStep) moveOutcome()       {}
func (MoveWaiting) moveOutcome()    {}
func (MoveOverBudget) moveOutcome() {}
func (Moved) moveOutcome()          {}

// Next returns what to do at now. A VM that was taken out for another reason isn't moved until it is in service
// again.
func (m Move) Next(f Fleet, window time.Duration, now time.Time) MoveOutcome {
	v, ok := f.VM(m.vm)
	if !ok {
		return MoveWaiting{}
	}
	moving := v.state.OutOfService() && strings.HasPrefix(v.state.Reason(), m.reason())
	switch {
	case v.pool == m.to && !v.state.OutOfService():
		return Moved{}
	case v.absent || v.state.OutOfService() && !moving:
		return MoveWaiting{}
	case v.pool == m.to:
		return m.writeRow(v, m.to, false, now)
	case !moving && !f.hasBudget(v.pool):
		return MoveOverBudget{}
	case !moving:
		return m.writeRow(v, v.pool, true, now)
	case len(v.tasks) > 0:
		return m.waiting(v, window, now)
	default:
		return m.writeRow(v, m.to, true, now)
	}
}

func (m Move) waiting(v VM, window time.Duration, now time.Time) MoveWaiting {
	var w MoveWaiting
	for _, t := range v.tasks {
		w.actions = append(w.actions, TaskAction{vm: v.id, task: t.id, action: ActionFor(t, now.Sub(v.state.ChangedAt()), window)})
	}
	return w
}

// writeRow keeps in the reason that the current roll-out has maintained the VM, so that it isn't maintained again.
// The wave number is dropped, because it belongs to the old pool.
func (m Move) writeRow(v VM, pool string, out bool, now time.Time) MoveStep {
	reason := m.reason()
	if rollout, ok := completedRollout(v.state); ok {
		reason += reasonSeparator + NewProgress(rollout, Completed, 0).Reason()
	}
	return MoveStep{WriteRow{vm: m.vm, state: catalogue.NewVMState(pool, out, reason, author, now)}}
}

func (m Move) reason() string { return fmt.Sprintf("move to pool %s.", m.to) }

// hasBudget reports whether the availability budget of a pool allows one more absent VM.
func (f Fleet) hasBudget(pool string) bool {
	absent, _ := f.Absent(pool)
	for _, q := range f.pools {
		if q.Name() == pool {
			return absent < q.Budget()
		}
	}
	return false
}
