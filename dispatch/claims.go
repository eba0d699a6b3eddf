package dispatch

import (
	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

// readClaim finds out whether a non-idempotent request arrived before.
func (s *State) readClaim(w *work) {
	w.phase = phaseReading
	key := claim.RowKey(w.id())
	s.scan(key, 0, func(e ScanEnded) {
		if s.works[w.id()] != w {
			return
		}
		rows, ok := e.outcome.(provider.Rows)
		if !ok {
			s.finishRefused(w, NewNotRun(CodeStoreUnavailable, "the table can't be read", retryAfterBusy))
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

// claimFound decides about a request whose claim row existed when it arrived.
func (s *State) claimFound(w *work, row provider.Row) {
	switch d := s.decide(w, row).(type) {
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

// claimLost decides about a request whose claim another entry VM wrote first.
func (s *State) claimLost(w *work, row provider.Row) {
	switch d := s.decide(w, row).(type) {
	case claim.Unclaimed, claim.MayRetry:
		// The request was refused elsewhere, after it arrived here. It must not run here any more.
		s.finishRefused(w, NewNotRun(CodeSuperseded, "the request was refused by another entry VM", 0))
	default:
		s.claimTaken(w, d)
	}
}

func (s *State) decide(w *work, row provider.Row) claim.Decision {
	r := w.request
	d, err := claim.Decide(row, r.id, r.team, r.entry, claim.Hash(r.payload))
	if err != nil {
		s.count("claim_row_invalid")
		return nil
	}
	return d
}

// claimTaken answers a request that was started before, or whose id belongs to another request.
func (s *State) claimTaken(w *work, d claim.Decision) {
	switch d := d.(type) {
	case claim.AlreadyDone:
		s.repeatAnswer(w, d.Claim())
	case claim.Mismatch:
		s.forget(w)
		s.reply(w.ticket, NewRejected(CodeMismatch, "this request id was used for another request", 0))
	case claim.InProgress:
		s.resolveClaim(w, d.Claim(), d.Version())
	default:
		s.finishUnresolved(w, CodeInProgress, "the record of this request can't be read")
	}
}

// repeatAnswer gives the stored answer of a request to a caller who repeats it.
func (s *State) repeatAnswer(w *work, c claim.Claim) {
	if c.Answer() == "" {
		s.forget(w)
		s.reply(w.ticket, NewRejected(CodeAnswerLost, "the request has run; its answer wasn't stored", 0))
		return
	}
	w.phase = phaseRefusing
	s.get(c.Answer(), func(o provider.GetOutcome) {
		if s.works[w.id()] != w {
			return
		}
		object, ok := o.(provider.Object)
		if !ok {
			s.finishUnresolved(w, CodeStoreUnavailable, "the request has run; its answer can't be read now")
			return
		}
		ok, output := DecodeAnswer(object.Data())
		s.finishAnswered(w, ok, output)
	})
}

// claimStart records that a non-idempotent request is about to start. It starts once the record is in the table and
// everything that allowed the start still does.
func (s *State) claimStart(w *work) {
	w.phase = phaseClaiming
	if !w.isCall() {
		s.claimJob(w)
		return
	}
	next, t := s.nextClaim(w)
	s.commit(t, UrgencyHigh, w.request.deadline, func(o provider.CommitOutcome) { s.claimed(w, next, o) })
}

// nextClaim returns the claim of the attempt that is about to start.
func (s *State) nextClaim(w *work) (claim.Claim, provider.Transaction) {
	if w.claimVersion == 0 {
		c := claim.New(w.id(), w.request.team, w.request.entry, s.Self, w.server, claim.Hash(w.request.payload), s.now)
		c = c.WithEpoch(w.epoch)
		return c, claim.Create(c)
	}
	c := w.claim
	if c.State() == claim.Claimed {
		// The attempt of this claim was never sent, so the next one may replace it.
		c, _ = claim.Abandon(c, w.claimVersion, s.now)
	}
	c, _ = claim.Retry(c, w.claimVersion, s.Self, w.server, s.now)
	c = c.WithEpoch(w.epoch)
	return c, claim.Update(c, w.claimVersion)
}

func (s *State) claimed(w *work, next claim.Claim, o provider.CommitOutcome) {
	if s.works[w.id()] != w {
		s.unreserve(w)
		return
	}
	switch o := o.(type) {
	case provider.Committed:
		s.rekey(w, next.Attempt())
		w.claim, w.claimVersion = next, o.Version()
		s.startClaimed(w)
	case provider.Conflict:
		s.unreserve(w)
		s.claimLost(w, o.Row())
	case provider.Unavailable:
		s.unreserve(w)
		s.finishRefused(w, NewNotRun(CodeStoreUnavailable, "the request could not be recorded", retryAfterBusy))
	case provider.Unknown:
		// The claim may be in the table, but nothing was sent and nothing will be sent under it.
		s.unreserve(w)
		s.finishUnresolved(w, CodeStoreUnavailable, "whether the request can be repeated isn't known yet")
	}
}

// rekey gives the reservation of a work the number of the attempt that the claim allows.
func (s *State) rekey(w *work, attempt int) {
	if attempt == w.attempt {
		return
	}
	s.Chooser.Free(w.server, taskKey(w.id(), w.attempt))
	w.attempt = attempt
	s.Chooser.Reserve(w.server, taskKey(w.id(), w.attempt), w.shape)
}

// startClaimed starts an attempt whose claim is in the table.
func (s *State) startClaimed(w *work) {
	if refusal := s.forbidden(w); refusal != nil {
		s.unreserve(w)
		w.phase = phaseRefusing
		s.refuse(w, *refusal)
		return
	}
	if w.cancelled {
		s.unreserve(w)
		w.phase = phaseRefusing
		s.refuse(w, NewNotRun(CodeCancelled, "the request was cancelled", 0))
		return
	}
	if epoch, _ := s.Owners.Epoch(w.server); epoch != w.epoch || !s.mayStartOn(w) || s.followEntry(w) {
		s.unreserve(w)
		s.requeueClaimed(w)
		return
	}
	s.run(w)
}

// requeueClaimed puts work back whose attempt is recorded but was never sent. The claim of a call is closed first,
// because an entry VM that the call moves to would take it for started.
func (s *State) requeueClaimed(w *work) {
	if !w.isCall() {
		s.requeue(w)
		return
	}
	w.phase = phaseRefusing
	next, t := claim.Abandon(w.claim, w.claimVersion, s.now)
	s.commit(t, UrgencyHigh, w.request.deadline.Add(closeClaimSlack), func(o provider.CommitOutcome) {
		if s.works[w.id()] != w {
			return
		}
		switch o := o.(type) {
		case provider.Committed:
			w.claim, w.claimVersion = next, o.Version()
			s.requeue(w)
		case provider.Conflict:
			s.claimLost(w, o.Row())
		default:
			s.finishUnresolved(w, CodeStoreUnavailable, "whether the request can be repeated isn't known yet")
		}
	})
}

// closeClaim records that the request didn't start and can't start any more, then tells the refusal.
func (s *State) closeClaim(w *work, n NotRun) {
	w.phase = phaseRefusing
	c := w.claim
	if w.claimVersion == 0 {
		c = claim.New(w.id(), w.request.team, w.request.entry, s.Self, "", claim.Hash(w.request.payload), s.now)
	}
	if c.State() != claim.Claimed {
		// The row says already that the request didn't run, and only a new submission can change that.
		s.finishRefused(w, n)
		return
	}
	_, t := claim.Abandon(c, w.claimVersion, s.now)
	s.commit(t, UrgencyLow, w.request.deadline.Add(closeClaimSlack), func(o provider.CommitOutcome) {
		if s.works[w.id()] != w {
			return
		}
		switch o := o.(type) {
		case provider.Committed:
			s.finishRefused(w, n)
		case provider.Conflict:
			s.claimLost(w, o.Row())
		default:
			s.finishUnresolved(w, CodeStoreUnavailable, "whether the request ran can't be confirmed now")
		}
	})
}

// recordClaim stores the answer of a non-idempotent call, so that a repeated request gets it. Nobody waits for it.
func (s *State) recordClaim(w *work, a provider.Answer) {
	s.finishClaim(w.id(), w.claim, w.claimVersion, a)
}

// finishClaim stores an answer, then the claim that names it.
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

// recordOrphan stores the answer of a non-idempotent call that nobody here waits for, because its caller left or the
// entry VM that started it was lost. The caller can then resolve the unknown outcome by the request id.
func (s *State) recordOrphan(k runKey, a provider.Answer) {
	if !whole(a, k.id, k.attempt) {
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

// OutcomeOfClaim returns what a claim says of its request, and the name of the object that holds its answer.
func OutcomeOfClaim(c claim.Claim) (o Outcome, object string) {
	switch c.State() {
	case claim.Done:
		return NewRejected(CodeAnswerLost, "the request has run; its answer wasn't stored", 0), c.Answer()
	case claim.NotRun:
		return NewNotRun(CodeSuperseded, "the request didn't run", 0), ""
	default:
		return NewUnresolved(CodeInProgress, "the request was started and its outcome isn't recorded yet"), ""
	}
}

// The first byte of a stored answer tells whether the task succeeded.
const (
	answerOK     = '+'
	answerFailed = '-'
)

// EncodeAnswer returns the stored form of an answer.
func EncodeAnswer(ok bool, output []byte) []byte {
	first := byte(answerFailed)
	if ok {
		first = answerOK
	}
	return append([]byte{first}, output...)
}

// DecodeAnswer reads the stored form of an answer.
func DecodeAnswer(data []byte) (ok bool, output []byte) {
	if len(data) == 0 {
		return false, nil
	}
	return data[0] == answerOK, data[1:]
}
