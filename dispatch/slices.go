package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/quota"
)

// planSlices changes the slice rows as the backlog needs.
func (s *State) planSlices() {
	if s.drain.started {
		return
	}
	backlog := make(map[string]int)
	for _, team := range s.Ledger.Teams() {
		backlog[team] = s.Queue.Backlog(team)
	}
	for _, c := range s.Ledger.Plan(backlog, s.now) {
		s.commitSlices(c)
	}
}

func (s *State) commitSlices(c quota.Change) {
	key := slicePrefix + c.Team()
	conditions := []platform.Condition{platform.NewCondition(key, c.Version())}
	if c.Grows() {
		// A holder with an old configuration must not grow beyond a limit that was lowered.
		conditions = append(conditions, platform.NewCondition(versionKey, s.config.RowVersion(versionKey)))
	}
	t := platform.NewTransaction(conditions, []platform.Write{platform.NewPut(key, c.Slices().Encode())})
	// Without a deadline the group commit always finds out whether the change was applied. With one the outcome can be
	// unknown, and the change would stay under way until another entry VM changes the row.
	s.commit(t, UrgencyHigh, zeroTime, func(o platform.CommitOutcome) {
		switch o := o.(type) {
		case platform.Committed:
			s.count("slices_changed")
			s.Ledger.Applied(c, o.Version())
		case platform.Conflict:
			s.Ledger.Failed(c)
			if o.Row().Key() == key && !o.Row().Deleted() && o.Row().Version() > 0 {
				s.setSlices(c.Team(), o.Row())
			}
			s.reads.sliceDue = s.now
		case platform.Unavailable:
			s.Ledger.Failed(c)
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
