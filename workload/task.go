package workload

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskID identifies a task of a job. Occurrence, Step and Index (of the task within its step) count from 0.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name: job.occurrence.step.index.
func (t TaskID) String() string { return fmt.Sprintf("%s.%s", t.Job, t.LocalName()) }

// LocalName returns the task's name within its job: occurrence.step.index.
func (t TaskID) LocalName() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID identifies a step in one occurrence of a job.
type StepID struct{ Occurrence, Step int }

// String returns the step's name within its job: occurrence.step.
func (s StepID) String() string { return strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step) }

// ParseStepID parses the name of a step within its job, as StepID.String returns it.
func ParseStepID(name string) (StepID, error) {
	var s StepID
	occurrence, step, found := strings.Cut(name, ".")
	first, err := strconv.Atoi(occurrence)
	second, err2 := strconv.Atoi(step)
	if !found || err != nil || err2 != nil || first < 0 || second < 0 {
		return s, errors.Errorf("step name: found %q, allowed: occurrence.step", name)
	}
	return StepID{Occurrence: first, Step: second}, nil
}

// ParseTaskID parses the name of a task, as TaskID.String returns it.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name: found %q, allowed: job.occurrence.step.index", name)
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskID{}, errors.Errorf("task name: found %q, allowed: job.occurrence.step.index", name)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// EndKind is how a run of a task ended.
type EndKind string

// Kinds of ends.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // because of the task or the backend server
	EndStopped        EndKind = "stopped" // by a request to stop it
	EndExpired        EndKind = "expired" // the lease of the backend server expired
	EndGangBroken     EndKind = "broken"  // another task of the gang ended
	EndGangIncomplete EndKind = "alone"   // other tasks of the gang didn't start
)
