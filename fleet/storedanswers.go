package fleet

import "time"

// storeAnswer stores that the server has started a run, as the next controller waits for other runs if their server is gone: at once for
// runs that last, else with the next commit of other changes.
func (s *State) storeAnswer(a *attempt, now time.Time) {
	if a.answerStored || !a.startAnswered() {
		return
	}
	lasts := a.task.step.spec.LongRunning() || a.task.step.spec.DeclaredDuration() >= lastingRunTime ||
		now.Sub(a.startedAt) >= lastingRunTime
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

// hasUnstoredAnswers reports whether the stored progress doesn't say that a run of the job has started.
func (j *job) hasUnstoredAnswers() bool {
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if !a.answerStored && a.startAnswered() {
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
			a.answerStored = a.startAnswered()
		}
	}
}
