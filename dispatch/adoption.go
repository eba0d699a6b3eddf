package dispatch

import (
	"slices"

	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/provider"
)

// applyJobRows applies changed rows of unfinished jobs and reviews the jobs that need it.
func (s *State) applyJobRows(rows []provider.Row) {
	for _, row := range rows {
		id := row.Key()[len(jobPrefix):]
		if row.Deleted() {
			s.jobRowDeleted(id, row.Version())
			continue
		}
		f, err := decodeJob(row.Value())
		if err != nil {
			s.count("job_row_invalid")
			continue
		}
		s.rememberJob(&jobRow{id: id, version: row.Version(), fields: f})
	}
	for _, id := range s.jobsToReview() {
		s.reviewJob(s.jobs[id])
	}
}

// jobsToReview returns the ids of the jobs that need a review, sorted. The filter runs before the sort because most of
// up to 10,000 jobs need none.
func (s *State) jobsToReview() []string {
	var ids []string
	for id, row := range s.jobs {
		if !s.holderIsSettled(row) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// holderIsSettled reports whether a job needs no review. Its row then names as holder another live entry VM, or this
// one, which has the job's work item, and the job isn't cancelled here.
func (s *State) holderIsSettled(row *jobRow) bool {
	if _, held := s.workItems[row.id]; held {
		return row.fields.Holder == s.EntryVM && !row.fields.Cancelled
	}
	return row.fields.Holder != s.EntryVM && row.holderMissingSince.IsZero() && s.isLive(row.fields.Holder)
}

// jobRowDeleted handles the deletion of a job's row at a table version.
func (s *State) jobRowDeleted(id string, version uint64) {
	row, ok := s.jobs[id]
	if !ok || row.version > version {
		return
	}
	delete(s.jobs, id)
	w, held := s.workItems[id]
	if !held || w.isCall() || w.phase == phaseRecordingResult || w.phase == phaseStoringJob {
		return
	}
	// Another holder finished the job, so the attempt started here is no longer needed.
	s.orphan(w)
	s.forget(w)
}

// reviewJob loads a job that is held by this entry VM without a work item, adopts one whose holder is missing, and
// drops the work item of a job that has another holder.
func (s *State) reviewJob(row *jobRow) {
	if row.pending || s.drain.started {
		return
	}
	if w, held := s.workItems[row.id]; held {
		s.checkHolder(w, row)
		return
	}
	if row.fields.Holder == s.EntryVM {
		s.loadJob(row)
		return
	}
	if s.holderAvailable(row) || !s.shouldAdopt(row) {
		return
	}
	s.adoptJob(row)
}

// checkHolder drops the work item of a job whose row names another holder, and cancels it if its row says so.
func (s *State) checkHolder(w *workItem, row *jobRow) {
	if w.isCall() || w.phase == phaseStoringJob {
		return
	}
	if row.fields.Holder == s.EntryVM {
		if row.fields.Cancelled && !w.cancelled {
			s.cancel(Cancelled{id: w.id()})
		}
		return
	}
	s.orphan(w)
	s.forget(w)
}

// holderAvailable reports whether the holder of a job is live or has been missing for less than adoptionDelay. A job
// whose attempt was found on a backend server owned here isn't subject to the delay.
func (s *State) holderAvailable(row *jobRow) bool {
	if row.fields.Holder == "" {
		return false
	}
	if s.isLive(row.fields.Holder) {
		row.holderMissingSince = zeroTime
		return true
	}
	if _, reported := s.discovered[row.id]; reported {
		return false
	}
	if row.holderMissingSince.IsZero() {
		row.holderMissingSince = s.now
	}
	return s.now.Sub(row.holderMissingSince) < adoptionDelay
}

// shouldAdopt reports whether this entry VM adopts a job without a holder. A job that may be running goes to the owner
// of its backend server, because only the owner can find out whether it runs. Other jobs, and those whose backend
// server no longer exists, are distributed over the live members by rendezvous hashing.
func (s *State) shouldAdopt(row *jobRow) bool {
	if _, reported := s.discovered[row.id]; reported {
		return true
	}
	if row.fields.Server == "" {
		return ownership.Preferred(row.id, s.Membership.Live()) == s.EntryVM
	}
	if _, owned := s.Ownership.Epoch(row.fields.Server); owned {
		return true
	}
	_, exists := s.vms[row.fields.Server]
	return s.vmsListed && !exists && ownership.Preferred(row.id, s.Membership.Live()) == s.EntryVM
}

// adoptJob makes this entry VM the holder of a job by a conditional write.
func (s *State) adoptJob(row *jobRow) {
	f := row.fields
	f.Holder = s.EntryVM
	row.pending = true
	s.writeJob(row, f, func(ok bool) {
		if ok {
			s.count("jobs_adopted")
			s.reviewJob(s.jobs[row.id])
		}
	})
}

// writeJob updates the row of a job on condition that its version is still the one known here.
func (s *State) writeJob(row *jobRow, f jobFields, done func(ok bool)) {
	t := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(JobKey(row.id), row.version)},
		[]provider.Write{provider.NewPut(JobKey(row.id), f.encode())},
	)
	s.commit(t, UrgencyHigh, s.now.Add(taskLease), func(o provider.CommitOutcome) {
		if current, ok := s.jobs[row.id]; ok {
			current.pending = false
		}
		c, ok := o.(provider.Committed)
		if ok {
			s.rememberJob(&jobRow{id: row.id, version: c.Version(), fields: f})
		}
		done(ok)
	})
}

// loadJob reads the input of a job that this entry VM holds and then resumes the job.
func (s *State) loadJob(row *jobRow) {
	row.pending = true
	key := inputKey(row.id)
	s.scan(key, 0, func(e ScanEnded) {
		current, ok := s.jobs[row.id]
		if !ok {
			return
		}
		current.pending = false
		rows, ok := e.outcome.(provider.Rows)
		if !ok || current.version != row.version || len(rows.Rows()) == 0 || s.drain.started {
			return
		}
		s.resumeJob(current, rows.Rows()[0].Value())
	})
}

// resumeJob creates the work item of a job. It queues the job, or resolves its last attempt if that may have started.
func (s *State) resumeJob(row *jobRow, payload []byte) {
	f := row.fields
	r := NewRequest(row.id, KindJob, f.Entry, f.Team, f.Key, payload, zeroTime, 0, true)
	entry, ok := s.config.Catalogue().Entry(f.Entry)
	w := newWorkItem(r, 0, entry, s.now)
	w.attempt = max(1, f.Attempt)
	// The starts of idempotent jobs aren't recorded in the row, so such a job may have run in any case.
	w.ranBefore = !ok || entry.Idempotent()
	w.started = w.ranBefore || f.Server != ""
	s.workItems[row.id] = w
	if !ok {
		s.refuse(w, NewNotRun(CodeUnknownEntry, "the catalogue entry was removed", 0))
		return
	}
	d, reported := s.discovered[row.id]
	reported = reported && d.key.attempt >= f.Attempt
	if f.Server == "" && !reported {
		s.enqueueLocally(w)
		return
	}
	w.server, w.sentEpoch = f.Server, f.Epoch
	if reported {
		w.server, w.attempt, w.sentEpoch = d.key.server, d.key.attempt, d.epoch
		delete(s.discovered, row.id)
	}
	w.started = true
	s.resolveAttempt(w)
}

// resolveAttempt sends a Close for the work's attempt to its backend server. The Close prevents the attempt from
// starting later and returns whether it has started.
func (s *State) resolveAttempt(w *workItem) {
	epoch, owned := s.Ownership.Epoch(w.server)
	if !owned {
		if _, exists := s.vms[w.server]; s.vmsListed && !exists {
			s.attemptLost(w)
			return
		}
		s.unassignJob(w)
		return
	}
	if !s.mayResend(w, epoch) {
		s.attemptLost(w)
		return
	}
	w.phase, w.epoch = phaseResolving, epoch
	s.emit(Close{server: w.server, epoch: epoch, id: w.id(), attempt: w.attempt})
}

// unassignJob clears the holder of a job, so that the owner of its backend server adopts it. Only that owner can find
// out whether the job's attempt has started.
func (s *State) unassignJob(w *workItem) {
	s.forget(w)
	row, ok := s.jobs[w.id()]
	if !ok || row.pending {
		return
	}
	f := row.fields
	f.Holder = ""
	row.pending = true
	s.writeJob(row, f, func(bool) {})
}

// attemptLost handles an attempt whose backend server or server process no longer exists, so that it has ended without
// an answer. An idempotent job is retried. Another one is recorded as unknown, because its attempt may have run.
func (s *State) attemptLost(w *workItem) {
	if w.idempotent {
		s.retry(w)
		return
	}
	s.recordJob(w, jobResult{
		state: doneUnknown, code: CodeLostContact,
		message: "the backend server was removed or restarted; the job may have run",
	})
}

// attemptResolved handles the outcome of a Close that was sent to resolve an attempt.
func (s *State) attemptResolved(w *workItem, o provider.CloseOutcome) {
	switch o := o.(type) {
	case provider.NeverStarted:
		w.started = w.ranBefore || !provider.SameProcess(w.sentEpoch, w.epoch)
		w.attempt++
		s.requeue(w)
	case provider.StillRunning:
		s.attachToAttempt(w)
	case provider.Answer:
		switch {
		case !answerIntact(o, w.id(), w.attempt):
			s.attachToAttempt(w)
		case o.Stopped():
			s.attemptStopped(w)
		default:
			s.deliverAnswer(w, o)
		}
	default:
		s.retryResolution(w)
	}
}

// retryResolution handles a Close that failed or whose outcome is unknown. An attempt that this entry VM sent is
// resolved again after resendDelay. A job whose attempt it didn't send is reviewed again after the next read of the job
// rows. The caller of a call has to repeat its request.
func (s *State) retryResolution(w *workItem) {
	k := runKey{server: w.server, id: w.id(), attempt: w.attempt}
	_, sent := s.runs[k]
	switch {
	case sent:
		s.after(w, resendDelay, func() { s.runUnknown(k, w) })
	case w.isCall():
		s.finishOutcomeUnknown(w, CodeInProgress, "the backend server that may have run the request can't be reached now")
	default:
		s.forget(w)
	}
}

// attachToAttempt sends a Run for an attempt that is running already, to receive its answer.
func (s *State) attachToAttempt(w *workItem) {
	k := runKey{server: w.server, id: w.id(), attempt: w.attempt}
	r, ok := s.runs[k]
	if !ok {
		task := provider.NewTask(w.id(), w.attempt, w.request.entry, w.request.team, w.shape, nil)
		s.adoptTask(w.server, provider.NewTaskStatus(task, false))
		r = s.runs[k]
	}
	r.orphaned, r.adopted = false, true
	w.phase, w.resends = phaseRunning, 1
	s.send(w, false)
}

// adoptJobsOn reviews the jobs with an attempt on a newly owned backend server.
func (s *State) adoptJobsOn(server string) {
	var ids []string
	for id, row := range s.jobs {
		if d, reported := s.discovered[id]; row.fields.Server == server || (reported && d.key.server == server) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.reviewJob(s.jobs[id])
	}
}
