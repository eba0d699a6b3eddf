package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/quota"
)

// readState is what the periodic reads have reached.
type readState struct {
	configSince, memberSince, sliceSince, jobSince uint64
	configDue, sliceDue, jobDue, listDue           time.Time
	configBusy, sliceBusy, jobBusy, listBusy       bool
	memberVersions                                 map[string]uint64
	tableReachable                                 bool
	planDue                                        time.Time
	downSince                                      time.Time
}

// readPeriodically starts the reads that are due. Each reads only what changed since the one before.
func (s *State) readPeriodically() {
	r := &s.reads
	if !r.configBusy && !s.now.Before(r.configDue) {
		r.configBusy = true
		s.readConfig()
	}
	if !r.sliceBusy && !s.now.Before(r.sliceDue) {
		r.sliceBusy = true
		s.scan(slicePrefix, r.sliceSince, s.slicesRead)
	}
	if !r.jobBusy && !s.now.Before(r.jobDue) {
		r.jobBusy = true
		s.scan(jobPrefix, r.jobSince, s.jobsRead)
	}
	if !r.listBusy && !s.now.Before(r.listDue) {
		r.listBusy, r.listDue = true, s.now.Add(listInterval)
		s.emit(List{})
	}
}

// tableDown reports whether the table has been out of reach for so long that what needs it is refused at once.
func (s *State) tableDown() bool {
	r := &s.reads
	return !r.tableReachable && !r.downSince.IsZero() && s.now.Sub(r.downSince) > tableDownDelay
}

// readConfig reads the configuration, then the members. The members are read last, so that a member that joined
// before the configuration was read isn't missed.
func (s *State) readConfig() {
	s.scan(configPrefix, s.reads.configSince, func(e ScanEnded) {
		rows, ok := e.outcome.(provider.Rows)
		if !ok {
			s.configReadFailed()
			return
		}
		if !s.applyRows(rows.Rows()) {
			s.configReadFailed()
			return
		}
		s.reads.configSince = rows.Version()
		s.readMembers(e.sent)
	})
}

func (s *State) configReadFailed() {
	s.count("table_reads_failed")
	if s.reads.tableReachable {
		s.reads.downSince = s.now
	}
	s.reads.tableReachable = false
	s.reads.configBusy, s.reads.configDue = false, s.now.Add(configInterval)
}

func (s *State) readMembers(sent time.Time) {
	s.scan(memberPrefix, s.reads.memberSince, func(e ScanEnded) {
		rows, ok := e.outcome.(provider.Rows)
		if !ok {
			s.configReadFailed()
			return
		}
		s.reads.configBusy, s.reads.configDue = false, s.now.Add(configInterval)
		s.reads.tableReachable = true
		s.reads.memberSince = rows.Version()
		for _, row := range rows.Rows() {
			id := strings.TrimPrefix(row.Key(), memberPrefix)
			if row.Deleted() {
				delete(s.reads.memberVersions, id)
				continue
			}
			s.reads.memberVersions[id] = row.Version()
		}
		s.membersRead(sent)
	})
}

func (s *State) membersRead(sent time.Time) {
	ids := slices.Sorted(maps.Keys(s.reads.memberVersions))
	s.Grant.TableRead(sent, s.config.Version(), ids)
	s.Acceptance.SetMembers(ids, s.config.Version(), s.now)
	s.members(membership.NewMemberRows(ids))
}

func (s *State) slicesRead(e ScanEnded) {
	s.reads.sliceBusy, s.reads.sliceDue = false, s.now.Add(sliceInterval)
	rows, ok := e.outcome.(provider.Rows)
	if !ok {
		return
	}
	s.reads.sliceSince = rows.Version()
	for _, row := range rows.Rows() {
		s.setSlices(strings.TrimPrefix(row.Key(), slicePrefix), row)
	}
	s.sliceReadAt = e.sent
	s.planSlices()
}

func (s *State) setSlices(team string, row provider.Row) {
	sl, err := quota.DecodeSlices(row.Value())
	if err != nil {
		s.count("slice_row_invalid")
		return
	}
	s.Ledger.SetSlices(team, sl, row.Version())
}

func (s *State) jobsRead(e ScanEnded) {
	s.reads.jobBusy, s.reads.jobDue = false, s.now.Add(jobInterval)
	rows, ok := e.outcome.(provider.Rows)
	if !ok {
		return
	}
	s.reads.jobSince = rows.Version()
	s.jobsScanned(rows.Rows())
}

// applyRows takes over configuration rows that were read, committed or pushed. It reports false if they can't be read.
func (s *State) applyRows(rows []provider.Row) bool {
	next, err := s.config.With(rows)
	if err != nil {
		s.count("configuration_rows_invalid")
		return false
	}
	if next != s.config {
		s.setConfig(next)
	}
	return true
}

// setConfig makes a configuration the one that decisions and traffic use.
func (s *State) setConfig(next *catalogue.Configuration) {
	raised := next.Version() > s.config.Version()
	s.config = next
	s.neverFit = make(map[string]bool)
	if raised {
		s.Grant.Applied(next.Version())
		s.Acceptance.Applied(next.Version(), s.now)
	}
	for _, t := range next.Catalogue().Teams() {
		s.Ledger.SetLimit(t.Name(), t.Limit())
		s.Queue.Shares.SetTeam(t.Name(), float64(t.Share()))
	}
	for _, team := range s.Ledger.Teams() {
		if _, ok := next.Catalogue().Team(team); !ok {
			s.Ledger.SetLimit(team, 0)
		}
	}
	s.refreshServers()
	s.reviewWaiting()
	s.emit(Publish{configuration: next})
}

// reviewWaiting refuses waiting work that the configuration no longer allows, and queues work again whose entry has
// another pool, class or shape now.
func (s *State) reviewWaiting() {
	for _, id := range slices.Sorted(maps.Keys(s.works)) {
		w := s.works[id]
		if w.phase != phaseQueued && w.phase != phaseBackingOff {
			continue
		}
		if refusal := s.forbidden(w); refusal != nil {
			s.Queue.Cancel(id)
			w.phase = phaseRefusing
			s.refuse(w, *refusal)
			continue
		}
		if s.followEntry(w) && w.phase == phaseQueued {
			s.Queue.Cancel(id)
			s.enqueueAgain(w)
		}
	}
}

// enqueueAgain queues work again whose entry has changed. A call that was forwarded here for another pool goes back to
// the entry VM that it came from, if none of the new pool's backend servers is owned here.
func (s *State) enqueueAgain(w *work) {
	if w.isCall() && s.Chooser.Capacity(w.pool).Slots() == 0 {
		s.enqueueHere(w)
		return
	}
	s.Queue.Readmit(s.queueRequest(w), s.now)
}

// followEntry takes over the pool, class and shape of the work's entry, and reports whether any of them changed.
func (s *State) followEntry(w *work) bool {
	e, ok := s.config.Catalogue().Entry(w.request.entry)
	if !ok || (e.Pool() == w.pool && e.Class() == w.class && e.Shape() == w.shape) {
		return false
	}
	w.pool, w.class, w.shape = e.Pool(), e.Class(), e.Shape()
	return true
}

// statusOf returns how far a configuration version has come.
func (s *State) statusOf(version uint64) Changed {
	c := Changed{version: version, stored: true}
	switch st := s.Acceptance.Status(version, s.now).(type) {
	case freshness.InForce:
		c.inForce = true
	case freshness.Pending:
		c.awaited, c.latest = st.Awaited(), st.Latest()
	case freshness.NotCommitted:
		c.stored = false
	}
	return c
}
