package fleet

import "time"

// storeAnswer stores that the server has started a run, as the next controller waits for other runs if their server is gone: at once for
// runs that last, else with the next commit of other changes.
func (s *State) storeAnswer(a *attempt, now time.Time) {
	if !a.hasUnstoredAnswer() {
		return
	}
	lasts := a.startAnswered() && (a.task.step.spec.LongRunning() || a.task.step.spec.DeclaredDuration() >= lastingRunTime ||
		now.Sub(a.startedAt) >= lastingRunTime)
	if lasts && !a.task.job.startsInFlight() {
		s.markChanged(a.task.job)
		return
	}
	s.unstoredAnswers[a.task.job] = true
}

// addAnswers adds the progress of jobs with answers to start requests that aren't stored to a commit, and reports whether no further
// ones have to follow it at once. They cause no commit of their own, and a job whose other answers are outstanding waits for the next
// renewal of the term, as its row may be long. A leader that stops resigns once all answers are stored.
func (s *State) addAnswers(c *commit, now time.Time) (all bool) {
	renews := s.stopping || now.Sub(s.renewedAt) >= renewInterval
	if len(s.unstoredAnswers) == 0 || len(c.parts) == 0 && !renews {
		return true
	}
	for _, j := range inCommitOrder(s.unstoredAnswers) {
		if s.jobs[j.spec.ID()] != j || !j.hasUnstoredAnswers() {
			delete(s.unstoredAnswers, j)
			continue
		}
		if !renews && j.startsInFlight() {
			continue
		}
		if !j.changed && s.addProgress(c, j, now) == commitFull {
			return false
		}
	}
	return true
}

// hasUnstoredAnswer reports whether the stored record doesn't say that the run has started, or until when it may be.
func (a *attempt) hasUnstoredAnswer() bool {
	return !a.answerStored && a.startAnswered() || !a.untilStored && a.storedUntil() != 0
}

// storedUntil returns until when a request to start the run may be carried out, in Unix milliseconds, or 0 if another one may be sent
// without a change of the record.
func (a *attempt) storedUntil() int64 {
	if a.startableUntil.IsZero() || a.inFlight || a.repeatUnstored || a.startAnswered() {
		return 0
	}
	return a.startableUntil.UnixMilli()
}

// hasUnstoredAnswers reports whether the stored progress doesn't say that a run of the job has started.
func (j *job) hasUnstoredAnswers() bool {
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if a.hasUnstoredAnswer() {
				return true
			}
		}
	}
	return false
}

// answersAdded records that a commit holds the progress of the job. If that isn't applied, the job is stored again.
func (j *job) answersAdded() {
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			a.answerStored, a.untilStored = a.startAnswered(), a.storedUntil() != 0
		}
	}
}
