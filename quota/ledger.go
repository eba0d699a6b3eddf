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
	// Gone reports that a holder's slice covers nothing any more, so that it may be returned: the VM list shows that
	// the holder has left; the task lease has passed since the last of all missing holders left, so that every task
	// of theirs has ended or was adopted; and no holder that is left reports Uncovered tasks of any team. It may be
	// nil.
	Gone func(holder string) bool
	// Wanted reports that other holders are short of slots for a team. It may be nil.
	Wanted func(team string) bool
	// Standing returns the slots that this holder keeps of a team even if it has no work, so that the first requests of
	// a burst needn't wait for the table. It may be nil.
	Standing func(team string) int
	// Demand returns what each other live holder runs and has waiting for a team, from their digests. With it, holders
	// that are all short divide the limit evenly; without it, the first to grow keeps its slots as long as it has
	// work. It may be nil.
	Demand func(team string) map[string]int

	teams map[string]*account
}

// account is the state of one team at this holder.
type account struct {
	limit   int
	slices  Slices
	version uint64

	running int // started, adopted and lost tasks that are not known to have ended
	lost    int // the part of running on servers that another holder has taken over
	ended   int // tasks ever given to Settle
	settled int // the part of ended and Slices.MovedFrom that lost tasks have been counted off for

	inherit map[string]int // slots ever asked for by Inherit, by former holder; Slices.Moved has those received

	pending *Change
	ceiling int       // slots that may be used while others are short, as of the last Plan; 0 for no ceiling
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

// Applied records that a change was committed at the given table version.
func (l *Ledger) Applied(c Change, version uint64) {
	if l.underWay(c) {
		l.SetSlices(c.team, c.slices, version)
	}
}

// Failed records that a change certainly had no effect and never will: it conflicted or wasn't sent. It must not be called
// when the outcome is unknown. The late outcome of an earlier change doesn't affect the one that is under way.
func (l *Ledger) Failed(c Change) {
	if l.underWay(c) {
		l.account(c.team).pending = nil
	}
}

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

// Settle counts off n lost tasks that had ended before the new owner took their server over, and so are in no move. The
// new owner's digest shows this: it took the server over directly from this holder, owes this holder nothing (Owed) and
// has a row version that this ledger has reached.
func (l *Ledger) Settle(team string, n int) {
	a := l.account(team)
	a.ended += n
	a.settle(l.Holder)
}

// Owed returns the slots that Inherit asked for from a former holder and that were not moved yet.
func (l *Ledger) Owed(team, from string) int {
	a := l.account(team)
	return a.inherit[from] - a.slices.Moved(from, l.Holder)
}

// Version returns the version of the team's row that this ledger knows.
func (l *Ledger) Version(team string) uint64 { return l.account(team).version }

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
	room := min(l.held(a), a.limit-a.slices.Sum()+a.slices.Of(l.Holder))
	if a.ceiling > 0 {
		room = min(room, a.ceiling)
	}
	return max(room-a.running, 0)
}

// Teams returns the teams with a limit, a slice or running tasks, in sorted order.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.teams)) }

func (l *Ledger) held(a *account) int {
	if a.pending == nil {
		return a.slices.Of(l.Holder)
	}
	return min(a.slices.Of(l.Holder), a.pending.slices.Of(l.Holder))
}

func (l *Ledger) underWay(c Change) bool {
	p := l.account(c.team).pending
	return p != nil && p.version == c.version && p.slices.Equal(c.slices)
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

// settle counts off lost tasks that have ended or whose slots have been moved to their new owner. A move can be seen
// before Lost is called for its server; the sums are right in any order.
func (a *account) settle(holder string) {
	n := min(a.lost, a.slices.MovedFrom(holder)+a.ended-a.settled)
	if n <= 0 {
		return
	}
	a.lost -= n
	a.running -= n
	a.settled += n
}
