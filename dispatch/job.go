package dispatch

import (
	"encoding/json"

	"github.com/pistachiolead/pistachiolead/provider"
)

// storeJob writes the row and the input of a new job. The job is accepted once they are in the table.
func (s *State) storeJob(w *workItem) {
	w.phase = phaseStoringJob
	r := w.request
	f := jobFields{
		Entry: r.entry, Team: r.team, Key: r.keyID, Hash: payloadHash(r.payload), Submitted: s.now.UnixMilli(),
		Holder: s.chooseHolder(w), State: jobWaiting, Attempt: 1,
	}
	t := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(JobKey(r.id), 0), provider.NewCondition(DoneKey(r.id), 0)},
		[]provider.Write{provider.NewPut(JobKey(r.id), f.encode()), provider.NewPut(inputKey(r.id), r.payload)},
	)
	deadline := s.now.Add(submitTimeout)
	if !r.deadline.IsZero() && r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	s.commit(t, UrgencyLow, deadline, func(o provider.CommitOutcome) { s.jobStored(w, f, o) })
}

// jobStored handles the outcome of storing a new job.
func (s *State) jobStored(w *workItem, f jobFields, o provider.CommitOutcome) {
	switch o := o.(type) {
	case provider.Committed:
		s.count("jobs_accepted")
		s.reply(w.ticket, NewAccepted(w.id()))
		// The deadline applies to the submission only. It must not limit the job's attempts.
		w.ticket, w.request.deadline = 0, zeroTime
		s.rememberJob(&jobRow{id: w.id(), version: o.Version(), fields: f})
		if f.Holder != s.EntryVM {
			s.forget(w)
			return
		}
		s.enqueueLocally(w)
	case provider.Conflict:
		s.jobExists(w, o.Row())
	case provider.Unavailable:
		s.finishRefused(w, NewNotRun(CodeStoreUnavailable, "the job could not be stored", retryAfterBusy))
	case provider.OutcomeUnknown:
		s.finishOutcomeUnknown(w, CodeStoreUnavailable, "the outcome of storing the job is unknown")
	}
}

// jobExists replies to a submission whose id is in use. A repeated submission of the same job is accepted; another job
// is rejected. The row is the one in conflict, of the unfinished or the finished job.
func (s *State) jobExists(w *workItem, row provider.Row) {
	s.forget(w)
	var stored struct {
		Entry string `json:"entry"`
		Team  string `json:"team"`
		Hash  uint64 `json:"payload-hash"`
	}
	r := w.request
	if err := json.Unmarshal(row.Value(), &stored); err == nil &&
		stored.Entry == r.entry && stored.Team == r.team && stored.Hash == payloadHash(r.payload) {
		s.reply(w.ticket, NewAccepted(w.id()))
		return
	}
	s.reply(w.ticket, NewRejected(CodeRequestIDReused, "this request id was used for another job", 0))
}

// chooseHolder returns the entry VM that is to hold a new job: this one if it has free slots, else a peer with free
// slots, else this one if it owns backend servers of the pool, else a peer in a zone that serves the pool, else this
// one.
func (s *State) chooseHolder(w *workItem) string {
	if s.hasFreeSlotsHere(w.pool) && !s.drain.started {
		return s.EntryVM
	}
	if p := s.peerWithFreeSlots(w.pool); p != "" {
		return p
	}
	if s.Placer.Capacity(w.pool).Slots() > 0 && !s.drain.started {
		return s.EntryVM
	}
	if p := s.peerServingPool(w.pool); p != "" {
		return p
	}
	return s.EntryVM
}

// handOverJob makes another entry VM the holder of a waiting job.
func (s *State) handOverJob(w *workItem, to string) {
	row, ok := s.jobs[w.id()]
	s.forget(w)
	if !ok || row.pending {
		return
	}
	s.peers[to].forwardedSince[w.pool]++
	f := row.fields
	f.Holder, f.State, f.Server, f.Epoch, f.Attempt = to, jobWaiting, "", 0, w.attempt
	row.pending = true
	s.writeJob(row, f, func(bool) {})
}

// rememberJob stores the row of a job in memory unless a newer version is known.
func (s *State) rememberJob(row *jobRow) {
	if old, ok := s.jobs[row.id]; ok {
		if old.version > row.version {
			return
		}
		row.pending = old.pending
		if old.fields.Holder == row.fields.Holder {
			row.holderMissingSince = old.holderMissingSince
		}
	}
	s.jobs[row.id] = row
}

// claimJob records in the job's row that an attempt of a non-idempotent job is about to start on a backend server.
func (s *State) claimJob(w *workItem) {
	row, ok := s.jobs[w.id()]
	if !ok || row.pending {
		s.releaseReservation(w)
		s.requeue(w)
		return
	}
	f := row.fields
	f.State, f.Server, f.Epoch, f.Attempt, f.Holder = jobClaimed, w.server, w.epoch, w.attempt, s.EntryVM
	row.pending = true
	s.writeJob(row, f, func(ok bool) {
		if s.workItems[w.id()] != w {
			s.releaseReservation(w)
			return
		}
		if !ok {
			s.releaseReservation(w)
			s.forget(w) // reviewed again after the next read of the job rows
			return
		}
		s.startClaimed(w)
	})
}

// leaveJobToOwner drops the work item of a job whose attempt this entry VM can't observe any more. It records the
// backend server in the job's row, so that the server's next owner adopts the job.
func (s *State) leaveJobToOwner(w *workItem) {
	s.count("jobs_lost_contact")
	row, ok := s.jobs[w.id()]
	if !ok {
		s.forget(w)
		return
	}
	server, epoch, attempt := w.server, w.sentEpoch, w.attempt
	s.forget(w)
	if row.fields.Server != "" || row.pending {
		return
	}
	f := row.fields
	f.State, f.Server, f.Epoch, f.Attempt = jobRunning, server, epoch, attempt
	row.pending = true
	s.writeJob(row, f, func(bool) {})
}

// recordJob stores the result of a job. An output too large for the row is stored as an object first, so that the row
// never refers to an incomplete output.
func (s *State) recordJob(w *workItem, result jobResult) {
	w.phase = phaseRecordingResult
	if len(result.output) <= inlineOutputLimit {
		s.finishJob(w, result, "")
		return
	}
	name := outputPrefix + w.id()
	s.put(name, result.output, func(o provider.PutOutcome) {
		if s.workItems[w.id()] != w {
			return
		}
		if _, ok := o.(provider.Stored); !ok {
			s.after(w, recordRetryDelay, func() { s.recordJob(w, result) })
			return
		}
		s.finishJob(w, result, name)
	})
}

// finishJob replaces the row of a job by the row of the finished job. Object is the name of the object with the output,
// empty if the row holds the output.
func (s *State) finishJob(w *workItem, result jobResult, object string) {
	row, ok := s.jobs[w.id()]
	if !ok {
		s.forget(w)
		return
	}
	f := doneFields{
		Entry: row.fields.Entry, Team: row.fields.Team, Hash: row.fields.Hash, Finished: s.now.UnixMilli(),
		State: result.state, OK: result.ok, Object: object, Code: result.code, Message: result.message,
		Attempts: w.attempt,
	}
	if object == "" {
		f.Output = result.output
	}
	t := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(JobKey(w.id()), row.version)},
		[]provider.Write{
			provider.NewDelete(JobKey(w.id())), provider.NewDelete(inputKey(w.id())),
			provider.NewPut(DoneKey(w.id()), f.encode()),
		},
	)
	row.pending = true
	s.commit(t, UrgencyLow, zeroTime, func(o provider.CommitOutcome) {
		s.jobRecorded(w, result, o)
	})
}

// jobRecorded handles the outcome of storing the result of a job.
func (s *State) jobRecorded(w *workItem, result jobResult, o provider.CommitOutcome) {
	if row, ok := s.jobs[w.id()]; ok {
		row.pending = false
	}
	if s.workItems[w.id()] != w {
		return
	}
	switch o.(type) {
	case provider.Committed:
		s.count("jobs_finished")
		delete(s.jobs, w.id())
		s.forget(w)
	case provider.Conflict:
		s.count("jobs_taken_over")
		s.forget(w)
	default:
		s.after(w, recordRetryDelay, func() { s.recordJob(w, result) })
	}
}
