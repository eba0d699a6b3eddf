package workload_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/workload"
)

// longProgress returns progress that is too long for a row as plain JSON.
func longProgress() workload.Progress {
	p := workload.Progress{
		State: workload.JobRunning, Failed: true, DoneOccurrences: 2, DoneSteps: []string{"2.0"},
		Tasks: make(map[string]workload.TaskRecord), DoneTasks: map[string][]int{"2.2": {0, 7, 8, 999}, "2.3": {-1, 1 << 20}},
	}
	for n := range 400 {
		server := fmt.Sprintf("w-%016x", n*0x9e3779b97f4a7c1)
		p.Tasks[fmt.Sprintf("2.1.%d", n)] = workload.TaskRecord{
			LastRun: 3, EndedRun: 1, Failures: 1, FailedRuns: []int{1}, Checkpoint: fmt.Sprintf("%016x", n*0x6c8e9cf570932bd),
			Crashes: 1, CertainCrashes: 1, CrashedAtStart: true,
			Losses:      []workload.Loss{{Server: server, Incarnation: 1_700_000_000_000, Run: 2, Started: true}},
			Assignments: []workload.Assignment{{Server: server, Incarnation: 1_700_000_000_000, Run: 3, EndsByMS: 1_700_000_015_000}},
		}
	}
	return p
}

// Guards against progress that is too long for a row, and against packed progress that is read as another.
func TestLongProgressIsPacked(t *testing.T) {
	p := longProgress()
	plain, err := json.Marshal(p)
	assert.NilError(t, err)
	row := p.Encode()
	t.Logf("%d bytes as plain JSON, %d packed", len(plain), len(row))
	assert.Assert(t, len(plain) > workload.MaxProgressBytes && len(row) <= workload.MaxProgressBytes)
	decoded, err := workload.DecodeProgress(row)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, p)
}

// Guards against rows that a rollback to an earlier release can't read although they fit as they are.
func TestShortProgressIsPlain(t *testing.T) {
	p := longProgress()
	for n := range 300 {
		delete(p.Tasks, fmt.Sprintf("2.1.%d", n))
	}
	plain, err := json.Marshal(p)
	assert.NilError(t, err)
	assert.Equal(t, string(p.Encode()), string(plain))
}

// Guards against an earlier release that runs occurrences again whose ranges it doesn't know.
func TestEarlierReleasesLeaveOutProgressWithRanges(t *testing.T) {
	p := workload.Progress{State: workload.JobRunning, DoneRanges: []workload.OccurrenceRange{{First: 1, Last: 9}, {First: 11, Last: 99}}}
	row := p.Encode()
	var outer struct{ State workload.JobState }
	assert.NilError(t, json.Unmarshal(row, &outer))
	assert.Equal(t, outer.State, workload.JobState("sparse"))
	decoded, err := workload.DecodeProgress(row)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, p)
}

// Guards against the largest job that is stopped because the numbers of its done tasks outgrow a row.
func TestDoneTasksOfLargestJobFitRow(t *testing.T) {
	p := workload.Progress{State: workload.JobRunning, DoneTasks: make(map[string][]int)}
	random := rand.New(rand.NewPCG(1, 2))
	for step := range 100 {
		name := fmt.Sprintf("0.%d", step)
		for index := range 1000 {
			if random.IntN(2) == 0 {
				p.DoneTasks[name] = append(p.DoneTasks[name], index)
			}
		}
	}
	plain, err := json.Marshal(p)
	assert.NilError(t, err)
	row := p.Encode()
	t.Logf("%d bytes as plain JSON, %d packed", len(plain), len(row))
	assert.Assert(t, len(row) <= workload.MaxProgressBytes/2)
	decoded, err := workload.DecodeProgress(row)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, p)
}
