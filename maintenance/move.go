package maintenance

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Move is a move of a VM to another pool: drain, one conditional write of the pool, and join. Each step is read from the
// row of the VM, so that any entry VM can go on with it.
type Move struct {
	vm string
	to string
}

// NewMove returns a move of a VM to a pool.
func NewMove(vm, to string) Move { return Move{vm: vm, to: to} }

// VM returns the id of the VM.
func (m Move) VM() string { return m.vm }

// To returns the name of the new pool.
func (m Move) To() string { return m.to }

// MoveOutcome is the next part of a move: MoveStep, MoveWaits, MoveOverBudget or Moved.
type MoveOutcome interface{ moveOutcome() }

// MoveStep says that a row is to be written.
type MoveStep struct{ write WriteRow }

// Write returns the row to write.
func (s MoveStep) Write() WriteRow { return s.write }

// MoveWaits says that the VM drains or is absent, and what happens to its tasks.
type MoveWaits struct{ actions []TaskAction }

// Actions returns the actions for the tasks of the VM.
func (w MoveWaits) Actions() []TaskAction { return w.actions }

// MoveOverBudget says that the old pool can't spare the VM now.
type MoveOverBudget struct{}

// Moved says that the VM is in service in the new pool.
type Moved struct{}

func (MoveStep) moveOutcome()       {}
func (MoveWaits) moveOutcome()      {}
func (MoveOverBudget) moveOutcome() {}
func (Moved) moveOutcome()          {}

// Next returns what to do now. A VM that was taken out for another reason isn't moved until it is back.
func (m Move) Next(f Fleet, window time.Duration, now time.Time) MoveOutcome {
	v, ok := f.VM(m.vm)
	if !ok {
		return MoveWaits{}
	}
	moving := v.state.Out() && strings.HasPrefix(v.state.Reason(), m.reason())
	switch {
	case v.pool == m.to && !v.state.Out():
		return Moved{}
	case v.absent || v.state.Out() && !moving:
		return MoveWaits{}
	case v.pool == m.to:
		return m.write(v, m.to, false, now)
	case !moving && !f.spares(v.pool):
		return MoveOverBudget{}
	case !moving:
		return m.write(v, v.pool, true, now)
	case len(v.tasks) > 0:
		return m.wait(v, window, now)
	default:
		return m.write(v, m.to, true, now)
	}
}

func (m Move) wait(v VM, window time.Duration, now time.Time) MoveWaits {
	var w MoveWaits
	for _, t := range v.tasks {
		w.actions = append(w.actions, TaskAction{vm: v.id, task: t.id, action: Decide(t, now.Sub(v.state.When()), window)})
	}
	return w
}

// write keeps in the reason that a VM is back, so that a roll-out doesn't maintain it again. Its wave is one of another
// pool and is dropped.
func (m Move) write(v VM, pool string, out bool, now time.Time) MoveStep {
	reason := m.reason()
	if rollout, ok := backOf(v.state); ok {
		reason += reasonSeparator + NewProgress(rollout, Back, 0).Reason()
	}
	return MoveStep{WriteRow{vm: m.vm, state: catalogue.NewVMState(pool, out, reason, author, now)}}
}

func (m Move) reason() string { return fmt.Sprintf("move to pool %s.", m.to) }

// spares reports whether one more VM of a pool may be absent.
func (f Fleet) spares(pool string) bool {
	absent, _ := f.Absent(pool)
	for _, q := range f.pools {
		if q.Name() == pool {
			return absent < q.Budget()
		}
	}
	return false
}
