package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/quota"
)

// planSlices changes the slice rows as the backlog needs.
func (s *State) planSlices() {
	if s.drain.started {
		return
	}
	for _, c := range s.Ledger.Plan(s.startable(), s.now) {
		s.commitSlices(c)
	}
}

// startable returns, by team, how many waiting requests this entry VM could start with more slots. Slots for others
// would be kept from the entry VMs that own their pools.
func (s *State) startable() map[string]int {
	n := make(map[string]int)
	if !s.mayStartHere() {
		return n
	}
	served := make(map[string]bool)
	for _, pool := range s.Queue.Pools() {
		served[pool] = s.Chooser.Capacity(pool).Slots() > 0
	}
	for _, w := range s.works {
		if w.phase == phaseQueued && served[w.pool] {
			n[w.request.team]++
		}
	}
	return n
}

// planWhenShort changes the slice rows without waiting for their next read if work waits.
func (s *State) planWhenShort() {
	if s.Queue.Len() == 0 || s.now.Before(s.reads.planDue) {
		return
	}
	s.reads.planDue = s.now.Add(planInterval)
	s.planSlices()
}

// demand returns what each other live holder runs and has waiting for a team, by its last digest.
func (s *State) demand(team string) map[string]int {
	needs := make(map[string]int)
	for id, p := range s.peers {
		if s.now.Sub(p.heard) > digestLifetime {
			continue
		}
		needs[id] = p.digest.Running(team).Slots() + p.digest.Wanted(team)
	}
	return needs
}

// standingSlots returns the part of a team's limit that this entry VM keeps while it has no work of the team. Half of the
// limit is divided evenly among the members, the other half follows demand.
func (s *State) standingSlots(team string) int {
	t, ok := s.config.Catalogue().Team(team)
	members := len(s.Grant.Members())
	if !ok || members == 0 || s.drain.started {
		return 0
	}
	return t.Limit() / (standingDivisor * members)
}

func (s *State) commitSlices(c quota.Change) {
	key := slicePrefix + c.Team()
	conditions := []provider.Condition{provider.NewCondition(key, c.Version())}
	if c.Grows() {
		// A holder with an old configuration must not grow beyond a limit that was lowered.
		conditions = append(conditions, provider.NewCondition(versionKey, s.config.RowVersion(versionKey)))
	}
	t := provider.NewTransaction(conditions, []provider.Write{provider.NewPut(key, c.Slices().Encode())})
	// Without a deadline the group commit always finds out whether the change was applied. With one the outcome can be
	// unknown, and the change would stay under way until another entry VM changes the row.
	s.commit(t, UrgencyHigh, zeroTime, func(o provider.CommitOutcome) {
		switch o := o.(type) {
		case provider.Committed:
			s.count("slices_changed")
			s.Ledger.ChangeApplied(c, o.Version())
		case provider.Conflict:
			s.Ledger.ChangeFailed(c)
			if o.Row().Key() == key && !o.Row().Deleted() && o.Row().Version() > 0 {
				s.setSlices(c.Team(), o.Row())
			}
			s.reads.sliceDue, s.reads.planDue = s.now, s.now
		case provider.Unavailable:
			s.Ledger.ChangeFailed(c)
		}
	})
}

// holderGone reports whether a holder of slices can start nothing more and has no task left that isn't covered by
// another holder's slice.
func (s *State) holderGone(holder string) bool {
	if s.entryVMs[holder] || slices.Contains(s.Grant.Members(), holder) {
		delete(s.goneSince, holder)
		return false
	}
	since, ok := s.goneSince[holder]
	if !ok {
		s.goneSince[holder] = s.now
		return false
	}
	return s.now.Sub(since) > taskLease+taskLeaseGuard && s.allCovered()
}
