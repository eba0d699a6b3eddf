package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

// minOpenOccurrences returns how many occurrences may be open whatever is done of them. The last one isn't removed before there is another.
func (j *job) minOpenOccurrences() int { return max(2, maxOpenTasks/j.spec.TaskCount()) }

// hasRoomForOccurrence reports whether another occurrence may be open. A step that is done takes as much of the row as a task.
func (j *job) hasRoomForOccurrence() bool {
	if len(j.open) < j.minOpenOccurrences() {
		return true
	}
	tasks := j.spec.TaskCount()
	if (len(j.open)+1)*tasks > maxKeptTasks {
		return false
	}
	for _, st := range j.steps {
		if st.remaining == 0 {
			tasks++
		} else {
			tasks += len(st.tasks)
		}
	}
	return tasks <= maxOpenTasks
}

// createDueOccurrences creates the tasks of the occurrences that are due, unless too many are open.
func (j *job) createDueOccurrences(now time.Time) {
	for j.occurrences < j.spec.Occurrences() && !j.spec.DueTime(j.occurrences).After(now) && j.hasRoomForOccurrence() {
		j.createOccurrence(j.occurrences)
		j.occurrences++
	}
}

// createStoredOccurrences creates the tasks of all occurrences in the stored progress that aren't done. These may not be due yet by
// this entry VM's clock.
func (j *job) createStoredOccurrences(p workload.Progress) {
	last := p.DoneOccurrences - 1
	for local := range p.Tasks {
		if id, err := workload.ParseTaskID(j.spec.ID() + "." + local); err == nil {
			last = max(last, id.Occurrence)
		}
	}
	steps := slices.Collect(maps.Keys(p.DoneTasks))
	for _, name := range append(steps, p.DoneSteps...) {
		if id, err := workload.ParseStepID(name); err == nil {
			last = max(last, id.Occurrence)
		}
	}
	for _, r := range p.DoneRanges {
		last = max(last, r.Last)
	}
	done := append([]workload.OccurrenceRange{{Last: p.DoneOccurrences - 1}}, p.DoneRanges...)
	isDone := func(occurrence int) bool { // called with rising numbers
		for len(done) > 0 && done[0].Last < occurrence {
			done = done[1:]
		}
		return len(done) > 0 && done[0].First <= occurrence
	}
	j.removeOccurrences(isDone)
	for j.occurrences <= min(last, j.spec.Occurrences()-1) {
		if !isDone(j.occurrences) {
			j.createOccurrence(j.occurrences)
		}
		j.occurrences++
	}
}

// removeDoneOccurrences removes the occurrences whose tasks are done, so that a job that repeats for long costs no more than the
// occurrences that overlap, and doesn't wait for one that can't end. The last one stays.
func (j *job) removeDoneOccurrences() {
	j.removeOccurrences(func(occurrence int) bool { return occurrence < j.occurrences-1 && j.occurrenceDone(occurrence) })
}

func (j *job) occurrenceDone(occurrence int) bool {
	for number := range j.spec.Steps() {
		if st := j.steps[[2]int{occurrence, number}]; st.remaining > 0 || st.activeRuns() > 0 {
			return false
		}
	}
	return true
}

// removeOccurrences removes the open occurrences for which done returns true.
func (j *job) removeOccurrences(done func(occurrence int) bool) {
	j.open = slices.DeleteFunc(j.open, func(occurrence int) bool {
		if !done(occurrence) {
			return false
		}
		for number := range j.spec.Steps() {
			key := [2]int{occurrence, number}
			for _, t := range j.steps[key].tasks {
				delete(j.tasks, t.localName)
			}
			delete(j.steps, key)
		}
		return true
	})
}

func (j *job) createOccurrence(occurrence int) {
	j.estimate = nil
	j.open = append(j.open, occurrence)
	for number, spec := range j.spec.Steps() {
		s := &step{spec: spec, remaining: spec.Count(), unassigned: spec.Count(), number: number}
		for index := range spec.Count() {
			id := workload.TaskID{Job: j.spec.ID(), Occurrence: occurrence, Step: number, Index: index}
			t := &task{id: id, localName: id.LocalName(), job: j, step: s}
			s.tasks = append(s.tasks, t)
			j.tasks[t.localName] = t
		}
		j.steps[[2]int{occurrence, number}] = s
	}
}

// storeDoneOccurrences adds the occurrences that are removed to the progress to be stored. Behind an open one they are stored by the names
// of their steps, which earlier releases know, or by ranges if there are more than these releases open.
func (j *job) storeDoneOccurrences(p *workload.Progress) {
	next := 0
	for n, occurrence := range append(slices.Clone(j.open), j.occurrences) {
		if n == 0 {
			p.DoneOccurrences = occurrence
		} else if next < occurrence && !p.State.Final() {
			p.DoneRanges = append(p.DoneRanges, workload.OccurrenceRange{First: next, Last: occurrence - 1})
		}
		next = occurrence + 1
	}
	if j.occurrences-p.DoneOccurrences > j.minOpenOccurrences() {
		return
	}
	for _, r := range p.DoneRanges {
		for occurrence := r.First; occurrence <= r.Last; occurrence++ {
			for number := range j.spec.Steps() {
				p.DoneSteps = append(p.DoneSteps, workload.StepID{Occurrence: occurrence, Step: number}.String())
			}
		}
	}
	p.DoneRanges = nil
}
