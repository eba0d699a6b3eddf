package deployment_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a job of long-running tasks that is completed, or left without its tasks, once their runs end by themselves: as
// done, as failed, and before and after a change of leader.
func TestLongRunningTasksStartAgainHoweverTheyEnd(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 0)
	vm, id := r.vms[1], jobID(1)
	specification := "relapse of " + id
	r.observer.ExpectSpecification(specification)
	status, _ := r.call(vm, http.MethodPost, "/plates/"+id, "key-1",
		map[string]any{"Specification": specification, "Steps": []any{longRunningStep(2)}})
	assert.Equal(t, status, http.StatusOK)
	awaitStarts := func(n int) {
		for task := range 2 {
			name := fmt.Sprintf("%s.0.0.%d", id, task)
			r.eventually(fmt.Sprintf("%s is started %d times", name, n), func() bool { return r.observer.Starts(name) >= n })
		}
		assert.Equal(t, r.state(vm, "plates", id), "running")
	}
	awaitStarts(4) // two runs end as done, and one as failed
	r.vms[0].kill()
	awaitStarts(8)
	status, _ = r.call(vm, http.MethodDelete, "/plates/"+id, "key-1", nil)
	assert.Equal(t, status, http.StatusOK)
	r.eventually("no task runs", func() bool { return r.observer.Running(id) == 0 })
	r.eventually("the job's state is cancelled", func() bool { return r.state(vm, "plates", id) == "cancelled" })
}
