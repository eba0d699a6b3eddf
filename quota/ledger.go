package quota

import (
	"maps"
	"slices"
	"time"
)

// Ledger decides for one holder which starts its slices cover and which changes of the rows it wants. It isn't safe for
// concurrent use.
type Ledger struct {
	// Holder is the id of this entry VM.
	Holder string
	// Gone reports that a holder can start nothing more and that none of its tasks is left uncovered: the VM list
	// shows that it has left, the task lease has passed since, and no live holder has tasks adopted from it that its
	// own slice doesn't cover yet. It may be nil.
	Gone func(holder string) bool
	// Wanted reports that other holders are short of slots for a team. It may be nil.
	Wanted func(team string) bool

	teams map[string]*account
}

// account is the state of one team at this holder.
type account struct {
	limit   int
	slices  Slices
	version uint64

	running int // started, adopted and lost tasks that are not known to have ended
	lost    int // the part of running on servers that another holder has taken over
	settled int // the part of Slices.MovedFrom that lost tasks have been counted off for

	inherit map[string]int // slots ever asked for by Inherit, by former holder; Slices.Moved has those received

	pending *Change
	surplus time.Time // when the slice was first seen with unused slots, zero if it has none
}

// SetLimit sets the limit of a team, 0 if it may run nothing.
func (l *Ledger) SetLimit(team string, limit int) { l.account(team).limit = limit }

// SetSlices sets the row of a team as read from the table. Versions older than the known one are ignored. A newer one
// settles a change that is under way: it was applied before, or its condition can no longer hold.
func (l *Ledger) SetSlices(team string, s Slices, version uint64) {
	a := l.account(team)
	if version <= a.version {
		return
	}
	a.slices, a.version, a.pending = s, version, nil
	a.settle(l.Holder)
}

// Applied records that the team's change was committed at the given table version.
func (l *Ledger) Applied(team string, version uint64) {
	a := l.account(team)
	if a.pending == nil || version <= a.version {
		return
	}
	l.SetSlices(team, a.pending.slices, version)
}

// Failed records that the team's change certainly had no effect and never will: it conflicted or wasn't sent. It must
// not be called when the outcome is unknown.
func (l *Ledger) Failed(team string) { l.account(team).pending = nil }

// TryStart counts one more running task of the team if the slice that is certainly held covers it.
func (l *Ledger) TryStart(team string) bool {
	if l.Room(team) <= 0 {
		return false
	}
	l.account(team).running++
	return true
}

// Ended counts off a task of this holder. It must be called only for tasks on servers whose lease is held; the others
// are counted off by Lost.
func (l *Ledger) Ended(team string) {
	a := l.account(team)
	if a.running <= a.lost {
		panic("quota: more tasks ended than were running")
	}
	a.running--
}

// Adopt counts n running tasks that were taken over with a server, even above the slice.
func (l *Ledger) Adopt(team string, n int) { l.account(team).running += n }

// Inherit asks for the n slots that cover adopted tasks to be moved here from their former holder.
func (l *Ledger) Inherit(team, from string, n int) {
	a := l.account(team)
	if from == l.Holder || n <= 0 {
		return
	}
	if a.inherit == nil {
		a.inherit = make(map[string]int)
	}
	a.inherit[from] += n
}

// Lost records that n running tasks are on a server that this holder no longer owns. They stay counted until the row
// shows that the new owner has moved their slots to itself.
func (l *Ledger) Lost(team string, n int) {
	a := l.account(team)
	if a.running-a.lost < n {
		panic("quota: more tasks lost than were running")
	}
	a.lost += n
	a.settle(l.Holder)
}

// Running returns the tasks counted for the team at this holder.
func (l *Ledger) Running(team string) int { return l.account(team).running }

// Uncovered returns the tasks that this holder runs beyond its slice because it adopted them. Their slots are still in
// the slice of another holder, which must not be returned; digests carry this figure.
func (l *Ledger) Uncovered(team string) int {
	a := l.account(team)
	return max(a.running-l.held(a), 0)
}

// Room returns how many tasks of the team may start now. While a change is under way the smaller of the old and the new
// slice counts. After the limit was lowered, the slices of other holders count as running until they have shrunk.
func (l *Ledger) Room(team string) int {
	a := l.account(team)
	others := a.slices.Sum() - a.slices.Of(l.Holder)
	return max(min(l.held(a), a.limit-others)-a.running, 0)
}

// Teams returns the teams with a limit, a slice or running tasks, in sorted order.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.teams)) }

func (l *Ledger) held(a *account) int {
	if a.pending == nil {
		return a.slices.Of(l.Holder)
	}
	return min(a.slices.Of(l.Holder), a.pending.slices.Of(l.Holder))
}

func (l *Ledger) account(team string) *account {
	a, ok := l.teams[team]
	if ok {
		return a
	}
	if l.teams == nil {
		l.teams = make(map[string]*account)
	}
	a = &account{}
	l.teams[team] = a
	return a
}

// settle counts off lost tasks whose slots have been moved to their new owner.
func (a *account) settle(holder string) {
	n := min(a.lost, a.slices.MovedFrom(holder)-a.settled)
	if n <= 0 {
		return
	}
	a.lost -= n
	a.running -= n
	a.settled += n
}
