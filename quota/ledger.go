package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Ledger counts the running tasks of each team on one holder. It decides whether the holder's slice allows one more,
// and plans changes of the rows. It isn't safe for concurrent use. The zero value with Holder set is ready for use.
type Ledger struct {
	// Holder is the id of this entry VM.
	Holder string
	// Reclaimable reports whether another holder's slice covers no running task, so that its slots may be returned.
	// All of the following must hold: the VM list shows that the holder has left; the task lease has passed since the
	// last of all departed holders left, so that each of their tasks has ended or was adopted; and no remaining holder
	// reports Uncovered tasks of any team. If Reclaimable is nil, no slots of other holders are returned.
	Reclaimable func(holder string) bool
	// OthersShort reports whether other holders are short of slots for a team. If it is nil, none is.
	OthersShort func(team string) bool
	// Baseline returns the number of slots that this holder keeps for a team without running or waiting work, so that
	// the first requests of a burst start without a write to the table. If it is nil, it is 0 for all teams.
	Baseline func(team string) int
	// Demand returns the number of running tasks and waiting requests of a team on each other live holder, from their
	// digests. With it, holders that are short of slots divide the limit evenly. If it is nil, the first holder to
	// request slots keeps them as long as it has work.
	Demand func(team string) map[string]int

	teams map[string]*account
}

// account is the state of one team at this holder.
type account struct {
	limit   int
	slices  Slices
	version uint64

	running      int // started, adopted and lost tasks that aren't known to have ended
	lost         int // those of running whose server another holder has taken over
	lostEnded    int // total number of tasks passed to ReleaseEndedLost
	lostReleased int // total number of lost tasks that were released because of these or of moves from this holder

	requestedMoves map[string]int // total number of slots passed to RequestMove, by former holder

	pending      *Change   // returned by Plan, with an unknown outcome; nil if there is none
	fairShareCap int       // limit of running tasks while other holders are short, as of the last Plan; 0 for none
	surplusSince time.Time // since when the slice has had unused slots, zero if it has none
}

// SetLimit sets the maximum number of running tasks of a team on all holders together.
func (l *Ledger) SetLimit(team string, limit int) { l.account(team).limit = limit }

// SetSlices sets the row of a team as read from the table. It is ignored unless its version is newer than the known
// one. A newer version resolves a pending change: either the change was applied by now, or its condition can no longer
// hold.
func (l *Ledger) SetSlices(team string, s Slices, version uint64) {
	a := l.account(team)
	if version <= a.version {
		return
	}
	a.slices, a.version, a.pending = s, version, nil
	a.releaseLost(l.Holder)
}

// ChangeApplied records that a change was committed at the given table version. It has no effect if the change isn't
// pending.
func (l *Ledger) ChangeApplied(c Change, version uint64) {
	if l.isPending(c) {
		l.SetSlices(c.team, c.slices, version)
	}
}

// ChangeFailed records that a change was definitely not applied and won't be, because it conflicted or wasn't sent. It
// must not be called while the outcome is unknown. It has no effect if the change isn't pending, so that the late
// outcome of an earlier change doesn't affect the pending one.
func (l *Ledger) ChangeFailed(c Change) {
	if l.isPending(c) {
		l.account(c.team).pending = nil
	}
}

// TryStart counts one more running task of a team if AllowedStarts is above 0, and reports whether it did.
func (l *Ledger) TryStart(team string) bool {
	if l.AllowedStarts(team) <= 0 {
		return false
	}
	l.account(team).running++
	return true
}

// TaskEnded counts one running task less. It must be called only for tasks on servers whose lease this holder has;
// MarkLost is called for the others. It panics if all running tasks are lost ones.
func (l *Ledger) TaskEnded(team string) {
	a := l.account(team)
	if a.running <= a.lost {
		panic(fmt.Sprintf("quota: can't end a task of team %q: %d tasks are running, %d of them are lost",
			team, a.running, a.lost))
	}
	a.running--
}

// Adopt counts n more running tasks that were taken over with a server, even if they exceed the slice.
func (l *Ledger) Adopt(team string, n int) { l.account(team).running += n }

// RequestMove requests that the n slots of adopted tasks are moved from their former holder to this one, by the next
// change of the row.
func (l *Ledger) RequestMove(team, from string, n int) {
	a := l.account(team)
	if from == l.Holder || n <= 0 {
		return
	}
	if a.requestedMoves == nil {
		a.requestedMoves = make(map[string]int)
	}
	a.requestedMoves[from] += n
}

// MarkLost records that n running tasks are on a server that this holder no longer owns. They stay counted until the
// row shows that the new owner has moved their slots to itself. It panics if fewer tasks are running that aren't lost
// yet.
func (l *Ledger) MarkLost(team string, n int) {
	a := l.account(team)
	if a.running-a.lost < n {
		panic(fmt.Sprintf("quota: can't lose %d tasks of team %q: %d tasks are running, %d of them are lost already",
			n, team, a.running, a.lost))
	}
	a.lost += n
	a.releaseLost(l.Holder)
}

// ReleaseEndedLost releases n lost tasks that had ended before the new owner took their server over, so that no move
// of slots includes them. The caller knows this from the new owner's digest: it took the server over directly from
// this holder, has no outstanding moves from this holder (PendingMoves), and has a row version that this ledger has
// reached.
func (l *Ledger) ReleaseEndedLost(team string, n int) {
	a := l.account(team)
	a.lostEnded += n
	a.releaseLost(l.Holder)
}

// PendingMoves returns the number of slots that RequestMove requested from a former holder and that aren't moved yet.
func (l *Ledger) PendingMoves(team, from string) int {
	a := l.account(team)
	return a.requestedMoves[from] - a.slices.Moved(from, l.Holder)
}

// Version returns the version of the team's row that was last set.
func (l *Ledger) Version(team string) uint64 { return l.account(team).version }

// Running returns the number of tasks of the team that count as running on this holder, including lost ones.
func (l *Ledger) Running(team string) int { return l.account(team).running }

// Uncovered returns the number of running tasks beyond the slice of this holder, which are adopted ones. Their slots
// are still in the slice of another holder, which must not be returned while digests report uncovered tasks.
func (l *Ledger) Uncovered(team string) int {
	a := l.account(team)
	return max(a.running-l.usableSlots(a), 0)
}

// AllowedStarts returns how many tasks of the team may start now. While a change is pending, the smaller of the old and
// the new slice applies. After the limit was lowered, all slots of other holders count as running until their slices
// shrink.
func (l *Ledger) AllowedStarts(team string) int {
	a := l.account(team)
	maxRunning := min(l.usableSlots(a), a.limit-a.slices.TotalSlots()+a.slices.SlotsOf(l.Holder))
	if a.fairShareCap > 0 {
		maxRunning = min(maxRunning, a.fairShareCap)
	}
	return max(maxRunning-a.running, 0)
}

// Teams returns the teams with a limit, a slice or running tasks, sorted.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.teams)) }

// usableSlots returns the slots of this holder that it has whether or not a pending change is applied.
func (l *Ledger) usableSlots(a *account) int {
	if a.pending == nil {
		return a.slices.SlotsOf(l.Holder)
	}
	return min(a.slices.SlotsOf(l.Holder), a.pending.slices.SlotsOf(l.Holder))
}

// isPending reports whether c is the pending change of its team.
func (l *Ledger) isPending(c Change) bool {
	p := l.account(c.team).pending
	return p != nil && p.version == c.version && p.slices.Equal(c.slices)
}

// account returns the state of a team. It adds one if the team is unknown.
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

// releaseLost stops counting lost tasks that have ended or whose slots were moved to their new owner. A move may become
// visible before MarkLost is called for its server. Totals are compared, so that the order doesn't matter.
func (a *account) releaseLost(holder string) {
	n := min(a.lost, a.slices.MovedFrom(holder)+a.lostEnded-a.lostReleased)
	if n <= 0 {
		return
	}
	a.lost -= n
	a.running -= n
	a.lostReleased += n
}
