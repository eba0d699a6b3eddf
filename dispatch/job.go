package dispatch

import (
	"encoding/json"

	"github.com/pistachiolead/pistachiolead/provider"
)

// storeJob writes the row of a new job. The job is accepted once the row is in the table.
func (s *State) storeJob(w *work) {
	w.phase = phaseStoring
	r := w.request
	f := jobFields{
		Entry: r.entry, Team: r.team, Key: r.key, Hash: payloadHash(r.payload), Submitted: s.now.UnixMilli(),
		Holder: s.holderFor(w), State: jobWaiting, Attempt: 1,
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

func (s *State) jobStored(w *work, f jobFields, o provider.CommitOutcome) {
	switch o := o.(type) {
	case provider.Committed:
		s.count("jobs_accepted")
		s.reply(w.ticket, NewAccepted(w.id()))
		// The deadline was that of the submission. It must not end the waits for the answers of the job's attempts.
		w.ticket, w.request.deadline = 0, zeroTime
		s.rememberJob(&jobRow{id: w.id(), version: o.Version(), fields: f})
		if f.Holder != s.Self {
			s.forget(w)
			return
		}
		s.enqueueHere(w)
	case provider.Conflict:
		s.jobExists(w, o.Row())
	case provider.Unavailable:
		s.finishRefused(w, NewNotRun(CodeStoreUnavailable, "the job could not be stored", retryAfterBusy))
	case provider.Unknown:
		s.finishUnresolved(w, CodeStoreUnavailable, "whether the job was stored isn't known yet")
	}
}

// jobExists answers a repeated submission. The same job is accepted again, another one under the same id isn't.
func (s *State) jobExists(w *work, row provider.Row) {
	s.forget(w)
	var same struct {
		Entry string `json:"entry"`
		Team  string `json:"team"`
		Hash  uint64 `json:"payload-hash"`
	}
	r := w.request
	if err := json.Unmarshal(row.Value(), &same); err == nil &&
		same.Entry == r.entry && same.Team == r.team && same.Hash == payloadHash(r.payload) {
		s.reply(w.ticket, NewAccepted(w.id()))
		return
	}
	s.reply(w.ticket, NewRejected(CodeMismatch, "this request id was used for another job", 0))
}

// holderFor returns the entry VM that is to run a new job: this one, unless only others have room.
func (s *State) holderFor(w *work) string {
	if s.hasRoomHere(w.pool) && !s.drain.started {
		return s.Self
	}
	if p := s.peerWithRoom(w.pool); p != "" {
		return p
	}
	if s.Chooser.Capacity(w.pool).Slots() > 0 && !s.drain.started {
		return s.Self
	}
	if p := s.peerWithCapacity(w.pool); p != "" {
		return p
	}
	return s.Self
}

// handOverJob makes another entry VM the holder of a waiting job.
func (s *State) handOverJob(w *work, to string) {
	row, ok := s.jobs[w.id()]
	s.forget(w)
	if !ok || row.busy {
		return
	}
	s.peers[to].forwarded[w.pool]++
	f := row.fields
	f.Holder, f.State, f.Server, f.Epoch, f.Attempt = to, jobWaiting, "", 0, w.attempt
	row.busy = true
	s.writeJob(row, f, func(bool) {})
}

func (s *State) rememberJob(row *jobRow) {
	if old, ok := s.jobs[row.id]; ok {
		if old.version > row.version {
			return
		}
		row.busy = old.busy
		if old.fields.Holder == row.fields.Holder {
			row.holderLostAt = old.holderLostAt
		}
	}
	s.jobs[row.id] = row
}

// claimJob records that a non-idempotent job is about to start on a backend server.
func (s *State) claimJob(w *work) {
	row, ok := s.jobs[w.id()]
	if !ok || row.busy {
		s.unreserve(w)
		s.requeue(w)
		return
	}
	f := row.fields
	f.State, f.Server, f.Epoch, f.Attempt, f.Holder = jobClaimed, w.server, w.epoch, w.attempt, s.Self
	row.busy = true
	s.writeJob(row, f, func(ok bool) {
		if s.works[w.id()] != w {
			s.unreserve(w)
			return
		}
		if !ok {
			s.unreserve(w)
			s.forget(w) // considered again with the next scan
			return
		}
		s.startClaimed(w)
	})
}

// jobLost handles a job whose attempt can't be followed from here. Its row names the backend server, whose next owner
// adopts it.
func (s *State) jobLost(w *work) {
	s.count("jobs_lost_contact")
	row, ok := s.jobs[w.id()]
	if !ok {
		s.forget(w)
		return
	}
	server, epoch, attempt := w.server, w.sentEpoch, w.attempt
	s.forget(w)
	if row.fields.Server != "" || row.busy {
		return
	}
	f := row.fields
	f.State, f.Server, f.Epoch, f.Attempt = jobRunning, server, epoch, attempt
	row.busy = true
	s.writeJob(row, f, func(bool) {})
}

// recordJob stores how a job ended: first the output, whole, then the row that makes it visible.
func (s *State) recordJob(w *work, result jobResult) {
	w.phase = phaseRecording
	if len(result.output) <= inlineOutputLimit {
		s.finishJob(w, result, "")
		return
	}
	name := outputPrefix + w.id()
	s.put(name, result.output, func(o provider.PutOutcome) {
		if s.works[w.id()] != w {
			return
		}
		if _, ok := o.(provider.Stored); !ok {
			s.later(w, recordRetryDelay, func() { s.recordJob(w, result) })
			return
		}
		s.finishJob(w, result, name)
	})
}

func (s *State) finishJob(w *work, result jobResult, object string) {
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
	row.busy = true
	s.commit(t, UrgencyLow, zeroTime, func(o provider.CommitOutcome) {
		s.jobRecorded(w, result, o)
	})
}

func (s *State) jobRecorded(w *work, result jobResult, o provider.CommitOutcome) {
	if row, ok := s.jobs[w.id()]; ok {
		row.busy = false
	}
	if s.works[w.id()] != w {
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
		s.later(w, recordRetryDelay, func() { s.recordJob(w, result) })
	}
}
