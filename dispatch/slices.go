package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/quota"
)

// planSlices commits the changes of slice rows that the ledger plans for the current backlog.
func (s *State) planSlices() {
	if s.drain.started {
		return
	}
	for _, c := range s.Ledger.Plan(s.startable(), s.now) {
		s.commitSlices(c)
	}
}

// startable returns, by team, the number of queued requests that this entry VM could start if it had more slots.
// Requests of pools without a backend server owned here don't count: slots for them would be missing at the entry VMs
// that own servers of these pools.
func (s *State) startable() map[string]int {
	n := make(map[string]int)
	if !s.mayStartHere() {
		return n
	}
	served := make(map[string]bool)
	for _, pool := range s.Queue.Pools() {
		served[pool] = s.Placer.Capacity(pool).Slots() > 0
	}
	for _, w := range s.workItems {
		if w.phase == phaseQueued && served[w.pool] {
			n[w.request.team]++
		}
	}
	return n
}

// planIfWorkWaits plans changes of the slice rows before their next read if work is queued.
func (s *State) planIfWorkWaits() {
	if s.Queue.Len() == 0 || s.now.Before(s.reads.planDue) {
		return
	}
	s.reads.planDue = s.now.Add(planInterval)
	s.planSlices()
}

// demand returns the number of running and queued tasks of a team at each peer with a recent digest.
func (s *State) demand(team string) map[string]int {
	demand := make(map[string]int)
	for id, p := range s.peers {
		if s.now.Sub(p.receivedAt) > digestLifetime {
			continue
		}
		demand[id] = p.digest.Running(team).Slots() + p.digest.SlotDemand(team)
	}
	return demand
}

// baselineSlots returns the part of a team's limit that this entry VM keeps even without work of the team. Half of the
// limit is divided evenly among the members; the other half follows demand.
func (s *State) baselineSlots(team string) int {
	t, ok := s.config.Catalogue().Team(team)
	members := len(s.FreshnessLease.Members())
	if !ok || members == 0 || s.drain.started {
		return 0
	}
	return t.Limit() / (baselineDivisor * members)
}

// commitSlices commits a change of a team's slice row and reports the outcome to the ledger.
func (s *State) commitSlices(c quota.Change) {
	key := slicePrefix + c.Team()
	conditions := []provider.Condition{provider.NewCondition(key, c.Version())}
	if c.Grows() {
		// This condition keeps a holder with an old configuration from exceeding a limit that was lowered.
		conditions = append(conditions, provider.NewCondition(versionKey, s.config.RowVersion(versionKey)))
	}
	t := provider.NewTransaction(conditions, []provider.Write{provider.NewPut(key, c.Slices().Encode())})
	// Without a deadline the group commit always determines whether the change was applied. With a deadline the outcome
	// could be unknown, and the change would stay in progress until another entry VM changes the row.
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

// holderGone reports whether the slices of a holder may be returned: the holder is neither a listed entry VM nor a
// member, the task lease has passed since this was first seen, and the slices of the other holders cover all adopted
// tasks.
func (s *State) holderGone(holder string) bool {
	if s.entryVMs[holder] || slices.Contains(s.FreshnessLease.Members(), holder) {
		delete(s.holderUnlistedSince, holder)
		return false
	}
	since, ok := s.holderUnlistedSince[holder]
	if !ok {
		s.holderUnlistedSince[holder] = s.now
		return false
	}
	return s.now.Sub(since) > taskLease+taskLeaseGuard && s.peersCovered()
}
