package fleet

import "github.com/pistachiolead/pistachiolead/backend"

// addAttempt records a run that may exist from now on, and reserves its resources.
func (s *State) addAttempt(t *task, v *server, a *attempt) {
	a.task, a.server, a.reserves, a.pace = t, v, t.step.spec.Reserves(), fullPace
	if len(t.attempts) == 0 && !t.record.Done {
		t.step.unassigned--
	}
	t.attempts = append(t.attempts, a)
	t.record.LastRun = max(t.record.LastRun, a.runNumber)
	v.attempts[backend.Run{Task: t.id, Number: a.runNumber}] = a
	v.reserved = v.reserved.Plus(a.reserves)
	if t.step.spec.LongRunning() {
		v.longRunning++
	}
	if t.step.spec.BestEffort() {
		v.bestEffort++
	}
	t.job.activeRuns++
	if a.phase == storing {
		t.job.unstoredRuns++
	}
	customer := t.job.spec.Customer()
	s.customerUsage[customer] = s.customerUsage[customer].Plus(t.step.spec.Requests())
}

// removeAttempt records that a run no longer exists, and releases its resources.
func (s *State) removeAttempt(a *attempt) {
	t, v := a.task, a.server
	s.forgetCopy(a)
	for i, other := range t.attempts {
		if other == a {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			break
		}
	}
	if len(t.attempts) == 0 && !t.record.Done {
		t.step.unassigned++
	}
	delete(v.attempts, a.id())
	if a.repeatUnstored {
		a.repeatUnstored = false
		t.job.repeats--
	}
	if a.isolated {
		v.isolatedRuns--
	}
	v.reserved = v.reserved.Minus(a.reserves)
	if t.step.spec.LongRunning() {
		v.longRunning--
	}
	if t.step.spec.BestEffort() {
		v.bestEffort--
	}
	v.idleSince = s.now
	t.job.activeRuns--
	if a.phase == storing {
		t.job.unstoredRuns--
	}
	s.markChanged(t.job)
	customer := t.job.spec.Customer()
	s.customerUsage[customer] = s.customerUsage[customer].Minus(t.step.spec.Requests())
	s.dirtyPools[v.reg.Pool] = true
	if a.checkpoint != "" {
		t.record.Checkpoint = a.checkpoint
	}
	if a.startOutlastsReports() {
		s.keepLateStart(a)
	}
	if !v.registered && len(v.attempts) == 0 {
		s.dropServer(v)
	}
}

func (a *attempt) id() backend.Run { return backend.Run{Task: a.task.id, Number: a.runNumber} }
