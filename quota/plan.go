package quota

import (
	"maps"
	"slices"
	"time"
)

// Plan returns the changes of rows that this holder wants, at most one for each team and none while one is under way.
// The caller commits each one on its condition and reports Applied or Failed, or nothing while the outcome is unknown.
// The backlog is the number of waiting requests for each team.
func (l *Ledger) Plan(backlog map[string]int, now time.Time) []Change {
	var changes []Change
	for _, t := range l.Teams() {
		a := l.teams[t]
		if a.pending != nil {
			continue
		}
		c := l.change(t, a, backlog[t], now)
		if c.slices.Equal(a.slices) {
			continue
		}
		a.pending = &c
		changes = append(changes, c)
	}
	return changes
}

func (l *Ledger) change(team string, a *account, backlog int, now time.Time) Change {
	base := a.slices
	for _, h := range slices.Sorted(maps.Keys(a.inherit)) {
		base = base.Move(h, l.Holder, a.inherit[h]-base.Moved(h, l.Holder))
	}
	for _, h := range base.Holders() {
		if h != l.Holder && l.Gone != nil && l.Gone(h) {
			base = base.Without(h)
		}
	}

	own := base.Of(l.Holder)
	want := l.grown(team, a, own, a.limit-base.Sum(), backlog)
	if want == own {
		want = l.shrunk(team, a, own, a.limit-base.Sum(), backlog, now)
	}
	return Change{team: team, slices: base.With(l.Holder, want), version: a.version, grows: want > own}
}

// grown returns the own slice with what the backlog needs from the unassigned remainder. While at least half of the limit
// is unassigned it includes spare slots, which save writes and waits while the load rises.
func (l *Ledger) grown(team string, a *account, own, remainder, backlog int) int {
	need := a.running + backlog
	if remainder <= 0 {
		return own
	}
	if need <= own {
		return l.standing(team, own, remainder)
	}
	a.surplus = time.Time{}
	if 2*remainder >= a.limit {
		need += spare(a.running)
	}
	return own + min(need-own, remainder)
}

// standing returns the own slice, raised to the standing slots if no other holder is short.
func (l *Ledger) standing(team string, own, remainder int) int {
	if l.Standing == nil || (l.Wanted != nil && l.Wanted(team)) {
		return own
	}
	return max(own, min(l.Standing(team), own+remainder))
}

// shrunk returns the own slice after giving back what isn't needed, never less than what runs.
func (l *Ledger) shrunk(team string, a *account, own, remainder, backlog int, now time.Time) int {
	floor := min(own, a.running)
	if remainder < 0 {
		return max(floor, own+remainder)
	}
	if l.Wanted != nil && l.Wanted(team) {
		return min(own, a.running+backlog)
	}

	keep := a.running + backlog + spare(a.running)
	if l.Standing != nil {
		keep = max(keep, l.Standing(team))
	}
	if own <= keep {
		a.surplus = time.Time{}
		return own
	}
	if a.surplus.IsZero() {
		a.surplus = now
	}
	if now.Sub(a.surplus) < surplusDelay {
		return own
	}
	a.surplus = time.Time{}
	return keep
}

func spare(running int) int { return max(running/spareDivisor, minSpare) }
