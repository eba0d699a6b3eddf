package soak_test

import (
	"fmt"
	"net/http"
	"strings"
)

func (b *testbed) submit(vm int, id string) int {
	if id == "warm-up" {
		id = fmt.Sprintf("%016x", 0xffff)
	}
	specification := "work of " + id
	switch {
	case crashesServers(id):
		specification = "crash by " + id
	case strings.HasSuffix(id, "2b"):
		specification = "relapse of " + id
	case isLongRunning(id):
		specification = "last for " + id
	case strings.HasSuffix(id, "5"), strings.HasSuffix(id, "a"):
		specification += strings.Repeat(".", 4000-len(specification))
	}
	b.observer.ExpectSpecification(specification)
	b.observer.ExpectSteps(id, 1500, 1000)
	queue := "press"
	if id[15]%2 == 0 {
		queue = "proofs"
	}
	body := map[string]any{"Specification": specification, "Steps": []any{
		map[string]any{"Count": 3, "Cpu": 1500, "MemMb": 100, "EstimatedMs": 250},
		map[string]any{"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 250, "After": []int{0}},
	}}
	if isLongRunning(id) {
		b.observer.ExpectSteps(id, longRunningMilliCores)
		body["Steps"] = []any{map[string]any{
			"Count": longRunningTasks, "Cpu": longRunningMilliCores, "MemMb": 100, "LongRunning": true, "MayMiss": 1,
		}}
	}
	if isRepeating(id) {
		b.observer.ExpectSteps(id, longRunningMilliCores)
		body["Repetitions"], body["FirstRunMs"], body["IntervalMs"] = repetitions, clock.Now().UnixMilli(), repetitionIntervalMS
		body["Steps"] = []any{map[string]any{"Count": 1, "Cpu": longRunningMilliCores, "MemMb": 100, "EstimatedMs": 250}}
	}
	status, _ := b.call(vm, http.MethodPost, "/"+queue+"/"+id, "key-1", body)
	return status
}

// isRepeating reports whether a job runs several times.
func isRepeating(id string) bool { return strings.HasSuffix(id, "33") || strings.HasSuffix(id, "58") }

// taskCount returns the number of tasks of a job that isn't long-running.
func taskCount(id string) int {
	if isRepeating(id) {
		return repetitions
	}
	return tasksPerJob
}

// isLongRunning reports whether the tasks of a job run until it is cancelled.
func isLongRunning(id string) bool { return strings.HasSuffix(id, "2b") || strings.HasSuffix(id, "76") }

// crashesServers reports whether the first task of a job crashes each server that starts it.
func crashesServers(id string) bool {
	return strings.HasSuffix(id, "0d") || strings.HasSuffix(id, "8d")
}

func (b *testbed) jobPath(id string) string {
	if id[15]%2 == 0 {
		return "/proofs/" + id
	}
	return "/press/" + id
}
