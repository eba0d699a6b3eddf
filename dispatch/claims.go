package dispatch

import (
	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

// readClaim reads the claim row of a non-idempotent call, to detect a request that was submitted before.
func (s *State) readClaim(w *workItem) {
	w.phase = phaseReadingClaim
	key := claim.RowKey(w.id())
	s.scan(key, 0, func(e ScanEnded) {
		if s.workItems[w.id()] != w {
			return
		}
		rows, ok := e.outcome.(provider.Rows)
		if !ok {
			s.finishRefused(w, NewNotRun(CodeStoreUnavailable,
				"the claim row of the request could not be read from the table", retryAfterBusy))
			return
		}
		for _, row := range rows.Rows() {
			if row.Key() == key && !row.Deleted() {
				s.claimFound(w, row)
				return
			}
		}
		s.enqueue(w)
	})
}

// claimFound handles a request whose claim row existed when the request arrived.
func (s *State) claimFound(w *workItem, row provider.Row) {
	switch d := s.decideClaim(w, row).(type) {
	case claim.Unclaimed:
		s.enqueue(w)
	case claim.MayRetry:
		w.claim, w.claimVersion = d.Claim(), d.Version()
		w.attempt = d.Claim().Attempt() + 1
		s.enqueue(w)
	default:
		s.claimTaken(w, d)
	}
}

// claimLost handles a request whose claim row another entry VM changed first. The row is the one in conflict.
func (s *State) claimLost(w *workItem, row provider.Row) {
	switch d := s.decideClaim(w, row).(type) {
	case claim.Unclaimed, claim.MayRetry:
		// Another entry VM refused the request after it arrived here, so it must not run any more.
		s.finishRefused(w, NewNotRun(CodeSuperseded, "the request was refused by another entry VM", 0))
	default:
		s.claimTaken(w, d)
	}
}

// decideClaim returns what the claim row means for a request, nil if the row can't be decoded.
func (s *State) decideClaim(w *workItem, row provider.Row) claim.Decision {
	r := w.request
	d, err := claim.Decide(row, r.id, r.team, r.entry, claim.Hash(r.payload))
	if err != nil {
		s.count("claim_row_invalid")
		return nil
	}
	return d
}

// claimTaken replies to a request that was started before, or whose id belongs to another request.
func (s *State) claimTaken(w *workItem, d claim.Decision) {
	switch d := d.(type) {
	case claim.AlreadyDone:
		s.repeatAnswer(w, d.Claim())
	case claim.Mismatch:
		s.forget(w)
		s.reply(w.ticket, NewRejected(CodeRequestIDReused, "this request id was used for another request", 0))
	case claim.InProgress:
		s.resolveClaim(w, d.Claim(), d.Version())
	default:
		s.finishOutcomeUnknown(w, CodeInProgress, "the claim row of this request can't be decoded")
	}
}

// repeatAnswer replies to a repeated request with the stored answer.
func (s *State) repeatAnswer(w *workItem, c claim.Claim) {
	if c.Answer() == "" {
		s.forget(w)
		s.reply(w.ticket, NewRejected(CodeAnswerNotStored, "the request has run; its answer wasn't stored", 0))
		return
	}
	w.phase = phaseFinishing
	s.get(c.Answer(), func(o provider.GetOutcome) {
		if s.workItems[w.id()] != w {
			return
		}
		object, ok := o.(provider.Object)
		if !ok {
			s.finishOutcomeUnknown(w, CodeStoreUnavailable,
				"the request has run; its answer can't be read from the object store now")
			return
		}
		ok, output := DecodeAnswer(object.Data())
		s.finishAnswered(w, ok, output)
	})
}

// claimAttempt records that an attempt of non-idempotent work is about to start. The attempt starts once the record is
// in the table, if the configuration and the lease still allow it.
func (s *State) claimAttempt(w *workItem) {
	w.phase = phaseWritingClaim
	if !w.isCall() {
		s.claimJob(w)
		return
	}
	next, t := s.nextClaim(w)
	s.commit(t, UrgencyHigh, w.request.deadline, func(o provider.CommitOutcome) { s.claimWritten(w, next, o) })
}

// nextClaim returns the claim of the attempt that is about to start, and the transaction that stores it.
func (s *State) nextClaim(w *workItem) (claim.Claim, provider.Transaction) {
	if w.claimVersion == 0 {
		c := claim.New(w.id(), w.request.team, w.request.entry, s.EntryVM, w.server, claim.Hash(w.request.payload), s.now)
		c = c.WithEpoch(w.epoch)
		return c, claim.Create(c)
	}
	c := w.claim
	if c.State() == claim.Claimed {
		// The attempt of this claim was never sent, so the next one may replace it.
		c, _ = claim.Abandon(c, w.claimVersion, s.now)
	}
	c, _ = claim.Retry(c, w.claimVersion, s.EntryVM, w.server, s.now)
	c = c.WithEpoch(w.epoch)
	return c, claim.Update(c, w.claimVersion)
}

// claimWritten handles the outcome of storing the claim of an attempt.
func (s *State) claimWritten(w *workItem, next claim.Claim, o provider.CommitOutcome) {
	if s.workItems[w.id()] != w {
		s.releaseReservation(w)
		return
	}
	switch o := o.(type) {
	case provider.Committed:
		s.renumberAttempt(w, next.Attempt())
		w.claim, w.claimVersion = next, o.Version()
		s.startClaimed(w)
	case provider.Conflict:
		s.releaseReservation(w)
		s.claimLost(w, o.Row())
	case provider.Unavailable:
		s.releaseReservation(w)
		s.finishRefused(w, NewNotRun(CodeStoreUnavailable,
			"the claim of the request could not be stored", retryAfterBusy))
	case provider.OutcomeUnknown:
		// The claim may have been stored, but the attempt wasn't sent and won't be.
		s.releaseReservation(w)
		s.finishOutcomeUnknown(w, CodeStoreUnavailable,
			"the outcome of storing the claim is unknown; whether the request can be repeated isn't known yet")
	}
}

// renumberAttempt moves the reservation of a work item to the attempt number of its claim.
func (s *State) renumberAttempt(w *workItem, attempt int) {
	if attempt == w.attempt {
		return
	}
	s.Placer.Release(w.server, reservationKey(w.id(), w.attempt))
	w.attempt = attempt
	s.Placer.Reserve(w.server, reservationKey(w.id(), w.attempt), w.shape)
}

// startClaimed sends an attempt whose claim is stored, or releases its reservation if it may no longer start.
func (s *State) startClaimed(w *workItem) {
	if refusal := s.configurationRefusal(w); refusal != nil {
		s.releaseReservation(w)
		w.phase = phaseFinishing
		s.refuse(w, *refusal)
		return
	}
	if w.cancelled {
		s.releaseReservation(w)
		w.phase = phaseFinishing
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		return
	}
	if epoch, _ := s.Ownership.Epoch(w.server); epoch != w.epoch || !s.mayStartOn(w) || s.updateFromEntry(w) {
		s.releaseReservation(w)
		s.requeueClaimed(w)
		return
	}
	s.startAttempt(w)
}

// requeueClaimed queues work again whose attempt was claimed but never sent. The claim of a call is closed first,
// because an entry VM that the call is forwarded to would otherwise take the attempt for started.
func (s *State) requeueClaimed(w *workItem) {
	if !w.isCall() {
		s.requeue(w)
		return
	}
	w.phase = phaseFinishing
	next, t := claim.Abandon(w.claim, w.claimVersion, s.now)
	s.commit(t, UrgencyHigh, w.request.deadline.Add(closeClaimGrace), func(o provider.CommitOutcome) {
		if s.workItems[w.id()] != w {
			return
		}
		switch o := o.(type) {
		case provider.Committed:
			w.claim, w.claimVersion = next, o.Version()
			s.requeue(w)
		case provider.Conflict:
			s.claimLost(w, o.Row())
		default:
			s.finishOutcomeUnknown(w, CodeStoreUnavailable,
				"the outcome of storing the claim is unknown; whether the request can be repeated isn't known yet")
		}
	})
}

// closeClaim records in the claim row that the request didn't start and can't start any more, then replies with the
// refusal.
func (s *State) closeClaim(w *workItem, n NotRun) {
	s.closeClaimThen(w, func() { s.finishRefused(w, n) })
}

// closeClaimThen records in the claim row that the request didn't start, and calls then. An entry VM that has read the row before
// can't start the request any more.
func (s *State) closeClaimThen(w *workItem, then func()) {
	w.phase = phaseFinishing
	c := w.claim
	if w.claimVersion == 0 {
		c = claim.New(w.id(), w.request.team, w.request.entry, s.EntryVM, "", claim.Hash(w.request.payload), s.now)
	}
	if c.State() != claim.Claimed {
		// The row records already that the request didn't run. Only a new submission can change it.
		then()
		return
	}
	next, t := claim.Abandon(c, w.claimVersion, s.now)
	s.commit(t, UrgencyLow, w.request.deadline.Add(closeClaimGrace), func(o provider.CommitOutcome) {
		if s.workItems[w.id()] != w {
			return
		}
		switch o := o.(type) {
		case provider.Committed:
			w.claim, w.claimVersion = next, o.Version()
			then()
		case provider.Conflict:
			s.claimLost(w, o.Row())
		default:
			s.finishOutcomeUnknown(w, CodeStoreUnavailable,
				"the claim could not be closed; whether the request ran can't be confirmed now")
		}
	})
}

// recordClaim stores the answer of a non-idempotent call for repeated requests. The reply to the caller doesn't wait
// for it.
func (s *State) recordClaim(w *workItem, a provider.Answer) {
	s.finishClaim(w.id(), w.claim, w.claimVersion, a)
}

// finishClaim stores an answer as an object, then the finished claim with the object's name.
func (s *State) finishClaim(id string, c claim.Claim, version uint64, a provider.Answer) {
	name := answerPrefix + id
	s.put(name, EncodeAnswer(a.OK(), a.Output()), func(o provider.PutOutcome) {
		if _, ok := o.(provider.Stored); !ok {
			s.count("answers_not_stored")
			name = ""
		}
		_, t := claim.Finish(c, version, name, s.now)
		s.commit(t, UrgencyLow, s.now.Add(taskLease), func(o provider.CommitOutcome) {
			if _, ok := o.(provider.Committed); !ok {
				s.count("claim_results_not_stored")
			}
		})
	})
}

// recordOrphanAnswer stores the answer of a non-idempotent call that has no work item here, because its caller
// disconnected or the entry VM that started it failed. The caller can then query the answer by the request id.
func (s *State) recordOrphanAnswer(k runKey, a provider.Answer) {
	if !answerIntact(a, k.id, k.attempt) {
		return
	}
	key := claim.RowKey(k.id)
	s.scan(key, 0, func(e ScanEnded) {
		rows, ok := e.outcome.(provider.Rows)
		if !ok {
			return
		}
		for _, row := range rows.Rows() {
			c, err := claim.Decode(row.Value())
			if row.Key() != key || row.Deleted() || err != nil {
				continue
			}
			if c.State() == claim.Claimed && c.Server() == k.server && c.Attempt() == k.attempt {
				s.count("orphans_recorded")
				s.finishClaim(k.id, c, row.Version(), a)
			}
		}
	})
}

// ClaimOutcome returns the outcome of a request according to its claim, and the name of the object with its answer,
// empty if there is none. If there is one, the answer in the object is the outcome instead.
func ClaimOutcome(c claim.Claim) (o Outcome, object string) {
	switch c.State() {
	case claim.Done:
		return NewRejected(CodeAnswerNotStored, "the request has run; its answer wasn't stored", 0), c.Answer()
	case claim.NotRun:
		return NewNotRun(CodeSuperseded, "the request didn't run", 0), ""
	default:
		return NewOutcomeUnknown(CodeInProgress, "the request was started and its outcome isn't recorded yet"), ""
	}
}

// First byte of a stored answer: whether the task succeeded.
const (
	answerOK     = '+'
	answerFailed = '-'
)

// EncodeAnswer returns the stored form of an answer: one byte for ok, then the output.
func EncodeAnswer(ok bool, output []byte) []byte {
	first := byte(answerFailed)
	if ok {
		first = answerOK
	}
	return append([]byte{first}, output...)
}

// DecodeAnswer decodes the stored form of an answer. Empty data is decoded as a failure without output.
func DecodeAnswer(data []byte) (ok bool, output []byte) {
	if len(data) == 0 {
		return false, nil
	}
	return data[0] == answerOK, data[1:]
}
