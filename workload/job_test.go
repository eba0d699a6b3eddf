package workload_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a job that stops every controller: all occurrences that are due are created at once.
func TestJobWithTooManyTasksIsInvalid(t *testing.T) {
	options := func(repetitions, count int) workload.JobOptions {
		return workload.JobOptions{
			ID: "0123456789abcdef", Queue: "plates", Pool: "press", Repetitions: repetitions, FirstRunMS: 1, IntervalMS: 1,
			Steps: []workload.StepOptions{{Count: count, MilliCores: 1000}},
		}
	}
	for _, o := range []workload.JobOptions{options(math.MaxInt, 1), options(1_000_000, 1), options(1001, 100)} {
		_, err := workload.NewJob(o)
		assert.ErrorContains(t, err, "allowed: 100000 tasks in all")
	}
	for _, o := range []workload.JobOptions{options(0, 1000), options(100, 1000), options(100_000, 1)} {
		_, err := workload.NewJob(o)
		assert.NilError(t, err)
	}
}
