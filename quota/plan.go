package quota

import (
	"maps"
	"slices"
	"time"
)

// Plan returns the changes of rows that fit the demand of this holder: at most one for each team, and none for teams
// with a pending change. The backlog is the number of waiting requests of each team.
//
// The caller commits each change on its conditions and calls ChangeApplied or ChangeFailed, or neither while the
// outcome is unknown. After a conflict it calls SetSlices with the row that the conflict returned and plans again at
// once. During a burst the row changes several times per second, so that a plan with the copy from the last scan would
// conflict again. Callers also plan when requests wait and AllowedStarts is 0, at most every 100 ms.
func (l *Ledger) Plan(backlog map[string]int, now time.Time) []Change {
	var changes []Change
	for _, t := range l.Teams() {
		a := l.teams[t]
		if a.pending != nil {
			continue
		}
		c := l.planChange(t, a, backlog[t], now)
		if c.slices.Equal(a.slices) {
			continue
		}
		a.pending = &c
		changes = append(changes, c)
	}
	return changes
}

// planChange returns the change of one team's row. Its value may equal the row. It moves the slots of adopted tasks to
// this holder, removes holders whose slices may be returned, and adapts this holder's slice to its demand.
func (l *Ledger) planChange(team string, a *account, backlog int, now time.Time) Change {
	base := a.slices
	for _, h := range slices.Sorted(maps.Keys(a.requestedMoves)) {
		base = base.Move(h, l.Holder, a.requestedMoves[h]-base.Moved(h, l.Holder))
	}
	for _, h := range base.Holders() {
		if h != l.Holder && l.Reclaimable != nil && l.Reclaimable(h) {
			base = base.WithoutHolder(h)
		}
	}

	own := base.SlotsOf(l.Holder)
	unassigned := a.limit - base.TotalSlots()
	fairShare, overLimit := l.fairShare(team, a.limit, base, a.running+backlog)
	a.fairShareCap = 0
	if overLimit {
		a.fairShareCap = max(fairShare, 1)
	}

	target := l.grow(team, a, own, unassigned, backlog, fairShare)
	if target == own {
		target = l.shrink(team, a, own, unassigned, fairShare, backlog, now)
	}
	return Change{team: team, slices: base.WithSlots(l.Holder, target), version: a.version, grows: target > own}
}

// grow returns this holder's slice, raised from the unassigned slots if running tasks and the backlog need more than
// it has. With Demand set, it is raised up to the fair share. Otherwise it is raised by what is needed. While at least
// half of the limit is unassigned, this includes headroom, which saves writes and waits while the load rises.
func (l *Ledger) grow(team string, a *account, own, unassigned, backlog, fairShare int) int {
	need := a.running + backlog
	if unassigned <= 0 {
		return own
	}
	if need <= own {
		return l.growToBaseline(team, own, unassigned)
	}
	a.surplusSince = time.Time{}
	if l.Demand != nil {
		return own + min(max(fairShare-own, 0), unassigned)
	}
	if 2*unassigned >= a.limit {
		need += headroom(a.running)
	}
	return own + min(need-own, unassigned)
}

// growToBaseline returns this holder's slice, raised to its baseline (see Baseline) unless other holders are short of
// slots.
func (l *Ledger) growToBaseline(team string, own, unassigned int) int {
	if l.Baseline == nil || (l.OthersShort != nil && l.OthersShort(team)) {
		return own
	}
	return max(own, min(l.Baseline(team), own+unassigned))
}

// fairShare returns this holder's max-min fair fairShare of the limit by demand, and whether the total demand exceeds
// the limit. If it does, holders with a high demand get even shares. Otherwise each holder gets its demand and an even
// fairShare of the rest. Slots of holders without a digest aren't divided, because their demand is unknown.
func (l *Ledger) fairShare(team string, limit int, base Slices, need int) (int, bool) {
	if l.Demand == nil {
		return limit, false
	}
	demand := l.Demand(team)
	divisible, totalNeed := limit, need
	for _, h := range base.Holders() {
		if _, ok := demand[h]; !ok && h != l.Holder {
			divisible -= base.SlotsOf(h)
		}
	}
	needs := make([]int, 0, len(demand))
	for _, n := range demand {
		needs = append(needs, n)
		totalNeed += n
	}
	if totalNeed <= divisible {
		return need + (divisible-totalNeed)/(len(needs)+1), false
	}

	// Holders that need less than an even share leave the rest to the others. An even share is rounded up: if it were
	// rounded down, no holder could use a limit below the number of holders. The conditional write keeps the sum of all
	// slices within the limit.
	slices.Sort(needs)
	for i, n := range needs {
		evenShare := (divisible + len(needs) - i) / (len(needs) - i + 1)
		if n >= evenShare || need <= evenShare {
			return min(need, evenShare), true
		}
		divisible -= n
	}
	return min(need, divisible), true
}

// shrink returns this holder's slice without the slots that it doesn't need, but at least the number of running tasks.
func (l *Ledger) shrink(team string, a *account, own, unassigned, fairShare, backlog int, now time.Time) int {
	minSlots := min(own, a.running)
	if unassigned < 0 {
		return max(minSlots, own+unassigned)
	}
	if l.OthersShort != nil && l.OthersShort(team) {
		keep := a.running + backlog
		if l.Demand != nil {
			keep = fairShare + fairShare/fairShareToleranceDivisor
		}
		if own <= keep {
			return own
		}
		return max(minSlots, min(own, fairShare, keep))
	}

	keep := a.running + backlog + headroom(a.running)
	if l.Baseline != nil {
		keep = max(keep, l.Baseline(team))
	}
	if own <= keep {
		a.surplusSince = time.Time{}
		return own
	}
	if a.surplusSince.IsZero() {
		a.surplusSince = now
	}
	if now.Sub(a.surplusSince) < surplusReturnDelay {
		return own
	}
	a.surplusSince = time.Time{}
	return keep
}

// headroom returns the number of unused slots that a holder with the given number of running tasks keeps.
func headroom(running int) int { return max(running/headroomDivisor, minHeadroom) }
