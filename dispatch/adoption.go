package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/provider"
)

// jobsScanned takes over the changed rows of unfinished jobs.
func (s *State) jobsScanned(rows []provider.Row) {
	for _, row := range rows {
		id := row.Key()[len(jobPrefix):]
		if row.Deleted() {
			s.jobRemoved(id, row.Version())
			continue
		}
		f, err := decodeJob(row.Value())
		if err != nil {
			s.count("job_row_invalid")
			continue
		}
		s.rememberJob(&jobRow{id: id, version: row.Version(), fields: f})
	}
	for _, id := range s.unsettledJobs() {
		s.considerJob(s.jobs[id])
	}
}

// unsettledJobs returns the jobs that may need a decision, in order of their ids. Most of 10,000 jobs need none, so that
// only these few are sorted.
func (s *State) unsettledJobs() []string {
	var ids []string
	for id, row := range s.jobs {
		if !s.settled(row) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// settled reports whether a job stays with the holder that its row names: this entry VM works on it, or another live one
// holds it.
func (s *State) settled(row *jobRow) bool {
	if _, held := s.works[row.id]; held {
		return row.fields.Holder == s.Self && !row.fields.Cancelled
	}
	return row.fields.Holder != s.Self && row.holderLostAt.IsZero() && s.isLive(row.fields.Holder)
}

func (s *State) jobRemoved(id string, version uint64) {
	row, ok := s.jobs[id]
	if !ok || row.version > version {
		return
	}
	delete(s.jobs, id)
	w, held := s.works[id]
	if !held || w.isCall() || w.phase == phaseRecording || w.phase == phaseStoring {
		return
	}
	// Another holder finished the job: what runs here isn't wanted any more.
	s.orphan(w)
	s.forget(w)
}

// considerJob takes over a job that this entry VM holds but doesn't work on, or that has no holder any more.
func (s *State) considerJob(row *jobRow) {
	if row.busy || s.drain.started {
		return
	}
	if w, held := s.works[row.id]; held {
		s.checkHolder(w, row)
		return
	}
	if row.fields.Holder == s.Self {
		s.resumeJob(row)
		return
	}
	if s.holderPresent(row) || !s.shouldAdopt(row) {
		return
	}
	s.adoptJob(row)
}

// checkHolder gives up work whose row names another holder.
func (s *State) checkHolder(w *work, row *jobRow) {
	if w.isCall() || w.phase == phaseStoring {
		return
	}
	if row.fields.Holder == s.Self {
		if row.fields.Cancelled && !w.cancelled {
			s.cancel(Cancelled{id: w.id()})
		}
		return
	}
	s.orphan(w)
	s.forget(w)
}

// holderPresent reports whether the holder of a job is a live member, or has been missing for too short a time.
func (s *State) holderPresent(row *jobRow) bool {
	if row.fields.Holder == "" {
		return false
	}
	if s.isLive(row.fields.Holder) {
		row.holderLostAt = zeroTime
		return true
	}
	if _, here := s.found[row.id]; here {
		return false
	}
	if row.holderLostAt.IsZero() {
		row.holderLostAt = s.now
	}
	return s.now.Sub(row.holderLostAt) < abandonedJobDelay
}

// shouldAdopt decides which entry VM adopts a job without a holder. One that may be running belongs to the owner of
// its backend server, who alone can find out; any other is spread over the members.
func (s *State) shouldAdopt(row *jobRow) bool {
	if _, here := s.found[row.id]; here {
		return true
	}
	if row.fields.Server == "" {
		return ownership.Preferred(row.id, s.Members.Live()) == s.Self
	}
	if _, owned := s.Owners.Epoch(row.fields.Server); owned {
		return true
	}
	_, exists := s.vms[row.fields.Server]
	return s.listed && !exists && ownership.Preferred(row.id, s.Members.Live()) == s.Self
}

// adoptJob makes this entry VM the holder by a conditional write.
func (s *State) adoptJob(row *jobRow) {
	f := row.fields
	f.Holder = s.Self
	row.busy = true
	s.writeJob(row, f, func(ok bool) {
		if ok {
			s.count("jobs_adopted")
			s.considerJob(s.jobs[row.id])
		}
	})
}

// writeJob changes the row of a job, conditional on the version known here.
func (s *State) writeJob(row *jobRow, f jobFields, done func(ok bool)) {
	t := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(JobKey(row.id), row.version)},
		[]provider.Write{provider.NewPut(JobKey(row.id), f.encode())},
	)
	s.commit(t, UrgencyHigh, s.now.Add(taskLease), func(o provider.CommitOutcome) {
		if current, ok := s.jobs[row.id]; ok {
			current.busy = false
		}
		c, ok := o.(provider.Committed)
		if ok {
			s.rememberJob(&jobRow{id: row.id, version: c.Version(), fields: f})
		}
		done(ok)
	})
}

// resumeJob reads the input of a job that this entry VM holds and queues it, or finds out about its last attempt.
func (s *State) resumeJob(row *jobRow) {
	row.busy = true
	key := inputKey(row.id)
	s.scan(key, 0, func(e ScanEnded) {
		current, ok := s.jobs[row.id]
		if !ok {
			return
		}
		current.busy = false
		rows, ok := e.outcome.(provider.Rows)
		if !ok || current.version != row.version || len(rows.Rows()) == 0 || s.drain.started {
			return
		}
		s.restoreJob(current, rows.Rows()[0].Value())
	})
}

func (s *State) restoreJob(row *jobRow, payload []byte) {
	f := row.fields
	r := NewRequest(row.id, KindJob, f.Entry, f.Team, f.Key, payload, zeroTime, 0, true)
	entry, ok := s.config.Catalogue().Entry(f.Entry)
	w := newWork(r, 0, entry, s.now)
	w.attempt = max(1, f.Attempt)
	// Only jobs that aren't idempotent have their starts in the row.
	w.ranBefore = !ok || entry.Idempotent()
	w.started = w.ranBefore || f.Server != ""
	s.works[row.id] = w
	if !ok {
		s.refuse(w, NewNotRun(CodeUnknownEntry, "the entry was removed", 0))
		return
	}
	k, here := s.found[row.id]
	here = here && k.key.attempt >= f.Attempt
	if f.Server == "" && !here {
		s.enqueueHere(w)
		return
	}
	w.server, w.sentEpoch = f.Server, f.Epoch
	if here {
		w.server, w.attempt, w.sentEpoch = k.key.server, k.key.attempt, k.epoch
		delete(s.found, row.id)
	}
	w.started = true
	s.resolve(w)
}

// resolve finds out whether the attempt that the row names has started.
func (s *State) resolve(w *work) {
	epoch, owned := s.Owners.Epoch(w.server)
	if !owned {
		if _, exists := s.vms[w.server]; s.listed && !exists {
			s.serverGone(w)
			return
		}
		s.leaveJob(w)
		return
	}
	if !s.mayJoin(w, epoch) {
		s.serverGone(w)
		return
	}
	w.phase, w.epoch = phaseResolving, epoch
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// leaveJob gives up a job whose attempt only the owner of another backend server can find out about.
func (s *State) leaveJob(w *work) {
	s.forget(w)
	row, ok := s.jobs[w.id()]
	if !ok || row.busy {
		return
	}
	f := row.fields
	f.Holder = ""
	row.busy = true
	s.writeJob(row, f, func(bool) {})
}

// serverGone settles work whose backend server no longer exists: its tasks have ended without an answer.
func (s *State) serverGone(w *work) {
	if w.idempotent {
		s.retry(w)
		return
	}
	s.recordJob(w, jobResult{
		state: doneUnknown, code: CodeLostContact, message: "the backend server was lost while the job may have run",
	})
}

// resolved handles the answer to a Close that asked about the attempt of a work.
func (s *State) resolved(w *work, o provider.CloseOutcome) {
	switch o := o.(type) {
	case provider.NeverStarted:
		w.started = w.ranBefore || !provider.SameProcess(w.sentEpoch, w.epoch)
		w.attempt++
		s.requeue(w)
	case provider.StillRunning:
		s.join(w)
	case provider.Answer:
		switch {
		case !whole(o, w.id(), w.attempt):
			s.join(w)
		case o.Stopped():
			s.stopped(w)
		default:
			s.settle(w, o)
		}
	default:
		s.resolveLater(w)
	}
}

// resolveLater follows up a Close without an answer. A job whose attempt this entry VM didn't send is considered again
// with the next scan of the jobs; a call is for its caller to repeat.
func (s *State) resolveLater(w *work) {
	k := runKey{server: w.server, id: w.id(), attempt: w.attempt}
	_, sent := s.runs[k]
	switch {
	case sent:
		s.later(w, rejoinDelay, func() { s.runUnknown(k, w) })
	case w.isCall():
		s.finishUnresolved(w, CodeInProgress, "the backend server that may have run the request can't be asked now")
	default:
		s.forget(w)
	}
}

// join waits for an attempt that runs already.
func (s *State) join(w *work) {
	k := runKey{server: w.server, id: w.id(), attempt: w.attempt}
	r, ok := s.runs[k]
	if !ok {
		task := provider.NewTask(w.id(), w.attempt, w.request.entry, w.request.team, w.shape, nil)
		s.adopt(w.server, provider.NewTaskStatus(task, false))
		r = s.runs[k]
	}
	r.orphan, r.adopted = false, true
	w.phase, w.resends = phaseRunning, 1
	s.send(w, false)
}

// adoptJobs looks at the jobs that ran on a backend server that was gained.
func (s *State) adoptJobs(server string) {
	var ids []string
	for id, row := range s.jobs {
		if k, here := s.found[id]; row.fields.Server == server || (here && k.key.server == server) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.considerJob(s.jobs[id])
	}
}
