package fleet

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Stored is what earlier controllers and operators stored.
type Stored struct {
	Jobs     []*workload.Job
	Progress map[string]workload.Progress // by job id
	// Copied holds the ids of the jobs with a row under JobsPrefix.
	Copied     map[string]bool
	Waves      []provider.Row
	Operations []directory.Operation
}

// Restore loads what was stored before the term, then handles the events that were held back. It returns the number of
// jobs that aren't finished.
func (s *State) Restore(stored Stored, now time.Time) int {
	s.now = now
	progress := stored.Progress
	for _, spec := range stored.Jobs {
		p, known := progress[spec.ID()]
		if known && p.Settled() {
			continue
		}
		j := newJob(spec)
		j.createDueOccurrences(now)
		j.copyStored = stored.Copied[spec.ID()]
		s.jobs[spec.ID()] = j
		if known {
			s.restoreJob(j, p, now)
		}
	}
	s.restoreWaves(stored.Waves)
	s.restoreIsolation()
	s.placeAll = true
	s.restored = true
	for _, o := range stored.Operations {
		s.Handle(OperationArrived{Operation: o}, now)
	}
	open := len(s.jobs)
	held := s.held
	s.held = nil
	for _, e := range held {
		s.Handle(e, now)
	}
	return open
}

func (s *State) restoreJob(j *job, p workload.Progress, now time.Time) {
	j.state = p.State
	j.started, j.failed = p.State != workload.JobQueued, p.Failed
	j.createStoredOccurrences(p)
	s.restoreDone(j, p)
	j.begun = p.DoneOccurrences > 0 || len(p.DoneRanges) > 0 || len(p.DoneSteps) > 0 || len(p.DoneTasks) > 0
	for local, record := range p.Tasks {
		t, made := j.tasks[local]
		if !made {
			klog.InfoS("Ignored stored task that isn't part of its job", "job", j.spec.ID(), "task", local)
			continue
		}
		t.record = record
		j.begun = j.begun || record.HasBegun()
		t.record.Assignments, t.record.LateStarts = nil, nil
		t.record.Done = t.record.Done && !t.step.spec.LongRunning()
		t.step.mayNeedIsolation = t.step.mayNeedIsolation || record.Crashes > 0 || len(record.Losses) > 0
		switch {
		case t.record.Done:
			t.step.remaining--
			t.step.unassigned--
		case record.GivenUp:
			t.step.givenUp++
		}
		for _, stored := range record.Assignments {
			v := s.ensureServer(stored.Server)
			if v.incarnation == 0 || stored.Incarnation < v.incarnation {
				v.setIncarnation(stored.Incarnation, now) // runs of a later incarnation survive the restart that is then noticed
			}
			s.restoreVM(v, stored.VM)
			a := &attempt{
				runNumber: stored.Run, phase: restored, incarnation: stored.Incarnation, startedAt: now,
				isolated: stored.Isolated, lossRecorded: stored.LossRecorded,
				answerStored: stored.Answered, ticketed: stored.Ticketed, endsBy: earlier(time.UnixMilli(stored.EndsByMS).Add(maxTimeOfDaySkew), s.lateStartExpiry(s.began)),
			}
			if !stored.Answered {
				a.startRequests, a.repeated = 1, stored.Repeated
			}
			if !stored.Answered && !stored.Ticketed {
				a.startableUntil = s.began.Add(maxCallDelay)
				if a.untilStored = stored.StartableUntilMS != 0; a.untilStored {
					a.startableUntil = earlier(time.UnixMilli(stored.StartableUntilMS).Add(maxTimeOfDaySkew), a.startableUntil)
				}
			}
			s.addAttempt(t, v, a)
			if t.step.spec.BestEffort() {
				a.pace = unknownPace
			}
		}
		s.restoreCopies(t)
		s.restoreLateStarts(t, record.LateStarts)
		for _, l := range record.Losses {
			t.lostAt = now
			s.losses.add(l.Server, lossKey{task: t, run: l.Run}, exposure{from: now, until: now})
		}
	}
	j.row.bytes = s.restoredRowBytes(p)
	for _, t := range j.tasks {
		for _, a := range t.attempts {
			if t.record.Done && !t.step.spec.Gang() {
				s.discardRun(a)
			}
		}
	}
	if j.state.Final() {
		for _, t := range j.tasks {
			for _, a := range t.attempts {
				s.requestStop(a, "job-ended")
			}
		}
	}
}

// restoreDone marks the tasks as done that are stored by step or index, without a record of their own.
func (s *State) restoreDone(j *job, p workload.Progress) {
	done := make(map[string][]int, len(p.DoneSteps)+len(p.DoneTasks))
	for name, indexes := range p.DoneTasks {
		done[name] = indexes
	}
	for _, name := range p.DoneSteps {
		done[name] = nil // all tasks of the step
	}
	for name, indexes := range done {
		id, err := workload.ParseStepID(name)
		st, made := j.steps[[2]int{id.Occurrence, id.Step}]
		if err != nil || !made {
			klog.InfoS("Ignored stored step that isn't part of its job", "job", j.spec.ID(), "step", name)
			continue
		}
		if st.spec.LongRunning() {
			klog.InfoS("Restarting long-running tasks that an earlier release stored as done", "job", j.spec.ID(), "step", name)
			continue
		}
		for _, t := range st.tasks {
			if indexes == nil || slices.Contains(indexes, t.id.Index) {
				t.record.Done = true
				st.remaining--
				st.unassigned--
			}
		}
	}
}
