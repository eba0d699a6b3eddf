package quota

import (
	"maps"
	"slices"
	"time"
)

// Plan returns the changes of rows that this holder wants, at most one for each team and none while one is under way. The
// backlog is the number of waiting requests for each team.
//
// The caller commits each one on its condition and reports Applied or Failed, or nothing while the outcome is unknown.
// After a conflict it sets the row that the conflict returned and plans again at once: during a burst the row changes
// several times a second, and a plan on the copy from the last scan conflicts again. It also plans when work waits and
// Room is 0, at most every 100 ms.
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
	remainder := a.limit - base.Sum()
	part, contended := l.part(team, a.limit, base, a.running+backlog)
	a.ceiling = 0
	if contended {
		a.ceiling = max(part, 1)
	}

	want := l.grown(team, a, own, remainder, backlog, part)
	if want == own {
		want = l.shrunk(team, a, own, remainder, part, backlog, now)
	}
	return Change{team: team, slices: base.With(l.Holder, want), version: a.version, grows: want > own}
}

// grown returns the own slice with what the backlog needs from the unassigned remainder, up to the own part. While at
// least half of the limit is unassigned it includes spare slots, which save writes and waits while the load rises.
func (l *Ledger) grown(team string, a *account, own, remainder, backlog, part int) int {
	need := a.running + backlog
	if remainder <= 0 {
		return own
	}
	if need <= own {
		return l.standing(team, own, remainder)
	}
	a.surplus = time.Time{}
	if l.Demand != nil {
		return own + min(max(part-own, 0), remainder)
	}
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

// part returns the own part of the limit when it is divided by demand, and whether the holders need more than there is.
// If they do, the division is even among those that need that much; otherwise each gets what it needs and an even part
// of the rest. Slots of holders without a digest can't be divided.
func (l *Ledger) part(team string, limit int, base Slices, need int) (int, bool) {
	if l.Demand == nil {
		return limit, false
	}
	demand := l.Demand(team)
	left, needed := limit, need
	for _, h := range base.Holders() {
		if _, ok := demand[h]; !ok && h != l.Holder {
			left -= base.Of(h)
		}
	}
	needs := make([]int, 0, len(demand))
	for _, n := range demand {
		needs = append(needs, n)
		needed += n
	}
	if needed <= left {
		return need + (left-needed)/(len(needs)+1), false
	}

	// Holders that need less than an even part leave the rest to the others. An even part is rounded up: rounded down,
	// a limit below the number of holders would be used by none. The condition of the write keeps the sum.
	slices.Sort(needs)
	for i, n := range needs {
		even := (left + len(needs) - i) / (len(needs) - i + 1)
		if n >= even || need <= even {
			return min(need, even), true
		}
		left -= n
	}
	return min(need, left), true
}

// shrunk returns the own slice after giving back what isn't needed, never less than what runs.
func (l *Ledger) shrunk(team string, a *account, own, remainder, part, backlog int, now time.Time) int {
	floor := min(own, a.running)
	if remainder < 0 {
		return max(floor, own+remainder)
	}
	if l.Wanted != nil && l.Wanted(team) {
		keep := a.running + backlog
		if l.Demand != nil {
			keep = part + part/partTolerance
		}
		if own <= keep {
			return own
		}
		return max(floor, min(own, part, keep))
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
