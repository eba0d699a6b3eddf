package fleet

import (
	"math"
	"time"

	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxOverrun bounds the excess of a duration over its declaration that extends the objective: a run may also take long
// because its server is slow, which extends no objective.
const maxOverrun = 2

// maxElapsedShare is the share of its declared duration that a run is counted as having run at most. It may take longer.
const maxElapsedShare = 0.9

// candidate returns the job as a candidate for placement, given the capacity of a server of its pool.
func (s *State) candidate(j *job, capacity workload.Resources, now time.Time) schedule.Candidate {
	rest := j.remaining(capacity)
	elapsed, work := j.progressOfRuns(capacity, now)
	return schedule.Candidate{
		ID: j.spec.ID(), LongRunning: j.longRunning, Priority: j.spec.Priority(), Submitted: j.submitted,
		Objective: j.measuredObjective(now), Remaining: max(rest.path-elapsed, 0), Work: max(rest.work-work, 0),
		Started: j.started, Customer: j.spec.Customer(), Weight: s.weightOf(j), BeyondWeight: j.beyondWeight,
	}
}

// progressOfRuns returns for how long all tasks of the job that may run have been running, and the work in server-seconds that its
// running tasks have done. The time is 0 if one of these tasks doesn't run.
func (j *job) progressOfRuns(capacity workload.Resources, now time.Time) (elapsed time.Duration, work float64) {
	if j.activeRuns == 0 || j.longRunning {
		return 0, 0
	}
	elapsed = math.MaxInt64
	for _, occurrence := range j.open {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.remaining == 0 || !j.dependenciesDone(occurrence, st) {
				continue
			}
			if st.unassigned > 0 {
				elapsed = 0
			}
			longest := time.Duration(maxElapsedShare * float64(st.spec.DeclaredDuration()))
			share := st.spec.Reserves().DominantShare(capacity)
			for _, t := range st.tasks {
				if t.record.Done || len(t.attempts) == 0 {
					continue
				}
				ran := min(now.Sub(t.attempts[0].startedAt), longest)
				elapsed = min(elapsed, ran)
				work += ran.Seconds() * share
			}
		}
	}
	if elapsed == math.MaxInt64 {
		elapsed = 0
	}
	return elapsed, work
}

// measuredObjective returns the objective of a job by the durations of its tasks so far. The objective counts from the actual
// durations, and declared ones are off by half and more: a job that runs for longer than declared isn't late as early.
func (j *job) measuredObjective(now time.Time) time.Duration {
	if !j.started || j.longRunning || j.spec.Scheduled() {
		return j.objective
	}
	path := j.spec.LongestPath(func(number int) time.Duration {
		if st, made := j.steps[[2]int{0, number}]; made {
			return st.longestDuration(now)
		}
		return j.spec.Steps()[number].DeclaredDuration()
	})
	return j.objective + time.Duration(j.spec.Stretch()*float64(path-j.spec.CriticalPath()))
}

// longestDuration returns the duration of the longest task of a step: the measured one if all are done, else the declared one
// unless a run has taken longer.
func (st *step) longestDuration(now time.Time) time.Duration {
	declared := st.spec.DeclaredDuration()
	if st.remaining == 0 && st.longestRun > 0 {
		return min(st.longestRun, maxOverrun*declared)
	}
	longest := max(declared, st.longestRun)
	if st.remaining == 0 {
		return longest
	}
	for _, t := range st.tasks {
		for _, a := range t.attempts {
			if a.phase == running {
				longest = max(longest, now.Sub(a.startedAt))
			}
		}
	}
	return min(longest, maxOverrun*declared)
}
