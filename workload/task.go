package workload

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// TaskID identifies a task: one of the tasks of a step, in one occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name.
func (t TaskID) String() string { return fmt.Sprintf("%s.%s", t.Job, t.Local()) }

// Local returns the task's name within its job.
func (t TaskID) Local() string {
	return strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID identifies a step in one occurrence of a job.
type StepID struct{ Occurrence, Step int }

// String returns the step's name within its job.
func (s StepID) String() string { return strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step) }

// ParseStepID reads a step's name within its job.
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

// ParseTaskID reads a task's name.
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

// EndKind tells how a run of a task ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"  // through the task's own fault or the backend server's
	EndStopped EndKind = "stopped" // on an order
	EndExpired EndKind = "expired" // the lease of the backend server's work expired
	EndBroken  EndKind = "broken"  // another member of the gang ended
	EndAlone   EndKind = "alone"   // the other members of the gang didn't come
)
