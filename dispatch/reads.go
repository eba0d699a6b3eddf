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

// tableReads is the progress of the periodic reads of the table and of the VM list. For each kind of read, the fields
// named Since hold the table version read last, those named Due the time of the next read, and those named Busy whether
// a read is in progress.
type tableReads struct {
	configSince, memberSince, sliceSince, jobSince uint64
	configDue, sliceDue, jobDue, listDue           time.Time
	configBusy, sliceBusy, jobBusy, listBusy       bool
	memberVersions                                 map[string]uint64
	tableReachable                                 bool
	planDue                                        time.Time
	tableUnreachableSince                          time.Time
}

// readPeriodically starts the reads that are due. A read of the table returns only the rows that changed since the
// previous one.
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

// tableDown reports whether the table has been unreachable for longer than tableDownThreshold. Requests that need the
// table are then refused at once.
func (s *State) tableDown() bool {
	r := &s.reads
	return !r.tableReachable && !r.tableUnreachableSince.IsZero() &&
		s.now.Sub(r.tableUnreachableSince) > tableDownThreshold
}

// readConfig reads the configuration, then the member rows. This order ensures that every member that joined before the
// configuration was read is included.
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
		s.reads.tableUnreachableSince = s.now
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

// membersRead applies the member rows. Sent is the time at which the read of the configuration was sent.
func (s *State) membersRead(sent time.Time) {
	ids := slices.Sorted(maps.Keys(s.reads.memberVersions))
	s.FreshnessLease.TableRead(sent, s.config.Version(), ids)
	s.Propagation.SetMembers(ids, s.config.Version(), s.now)
	s.membershipEvent(membership.NewMemberRows(ids))
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
	s.applyJobRows(rows.Rows())
}

// applyRows applies configuration rows that were read, committed or pushed. It returns false if they can't be decoded.
func (s *State) applyRows(rows []provider.Row) bool {
	next, err := s.config.WithRows(rows)
	if err != nil {
		s.count("configuration_rows_invalid")
		return false
	}
	if next != s.config {
		s.setConfig(next)
	}
	return true
}

// setConfig replaces the configuration and updates everything derived from it.
func (s *State) setConfig(next *catalogue.Configuration) {
	raised := next.Version() > s.config.Version()
	s.config = next
	s.neverFitCache = make(map[string]bool)
	if raised {
		s.FreshnessLease.Applied(next.Version())
		s.Propagation.Applied(next.Version(), s.now)
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
	s.emit(ApplyConfiguration{configuration: next})
}

// reviewWaiting refuses queued and delayed work that the configuration no longer allows. It queues work again if its
// entry's pool, class or shape has changed.
func (s *State) reviewWaiting() {
	for _, id := range slices.Sorted(maps.Keys(s.workItems)) {
		w := s.workItems[id]
		if w.phase != phaseQueued && w.phase != phaseBackingOff {
			continue
		}
		if refusal := s.configurationRefusal(w); refusal != nil {
			s.Queue.Cancel(id)
			w.phase = phaseFinishing
			s.refuse(w, *refusal)
			continue
		}
		if s.updateFromEntry(w) && w.phase == phaseQueued {
			s.Queue.Cancel(id)
			s.requeueChanged(w)
		}
	}
}

// requeueChanged queues work again whose entry has changed. If this entry VM owns no backend server of the new pool, a
// call that was forwarded here is refused, so that it returns to the entry VM that forwarded it.
func (s *State) requeueChanged(w *workItem) {
	if w.isCall() && s.Placer.Capacity(w.pool).Slots() == 0 {
		s.enqueueLocally(w)
		return
	}
	s.Queue.Requeue(s.queueRequest(w), s.now)
}

// updateFromEntry sets the pool, class and shape of a work item to those of its entry, and reports whether any of them
// changed.
func (s *State) updateFromEntry(w *workItem) bool {
	e, ok := s.config.Catalogue().Entry(w.request.entry)
	if !ok || (e.Pool() == w.pool && e.Class() == w.class && e.Shape() == w.shape) {
		return false
	}
	w.pool, w.class, w.shape = e.Pool(), e.Class(), e.Shape()
	return true
}

// changeStatus returns the status of a configuration version.
func (s *State) changeStatus(version uint64) ChangeStatus {
	c := ChangeStatus{version: version, stored: true}
	switch st := s.Propagation.Status(version, s.now).(type) {
	case freshness.InForce:
		c.inForce = true
	case freshness.Pending:
		c.awaited, c.latest = st.Awaited(), st.Latest()
	case freshness.NotCommitted:
		c.stored = false
	}
	return c
}
