package fleet

import (
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/workload"
)

// CheckLimits returns an error if a job needs more runs at a time than a job may have: each gang runs as a whole, and
// long-running tasks of all repetitions stay at work beside the other steps.
func CheckLimits(j *workload.Job) error {
	longRunning, others := 0, 0 // tasks that are at work at the same time
	for i, s := range j.Steps() {
		if s.Gang() && s.Count() > MaxGangTasks {
			return errors.Errorf("step %d: found a gang of %d tasks, allowed: %d", i, s.Count(), MaxGangTasks)
		}
		switch {
		case s.LongRunning():
			longRunning += s.Count() * j.Occurrences()
		case s.Gang():
			others = max(others, s.Count())
		default:
			others = max(others, 1)
		}
	}
	if longRunning > 0 && longRunning+others > maxActiveRuns {
		return errors.Errorf("steps: found %d long-running tasks in all repetitions, allowed: %d", longRunning, maxActiveRuns-others)
	}
	return nil
}
