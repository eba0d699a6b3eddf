package intake_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against jobs that are accepted while the leader has no room for them, and against an accepted job that is refused when
// its call is repeated.
func TestSubmitWhileTheLeaderIsFull(t *testing.T) {
	h, table := newLateHandler()
	fullFor := time.Duration(0)
	h.FullFor = func() time.Duration { return fullFor }
	submit := func(id string) intake.Outcome {
		call := intake.Call{Host: "h", Path: "/p/" + id, Key: "key", Deadline: timer.System{}.Now().Add(time.Second)}
		admission, refusal := h.Admit(call)
		assert.Assert(t, refusal == nil)
		return h.Submit(call, admission, workload.JobOptions{ID: id, Steps: []workload.StepOptions{{Count: 1}}})
	}
	const first, second = "0123456789abcdef", "fedcba9876543210"
	assert.Equal(t, outcomeName(submit(first)), "accepted")
	fullFor = 5 * time.Second
	assert.Equal(t, outcomeName(submit(first)), "accepted")
	full, ok := submit(second).(intake.Full)
	assert.Assert(t, ok)
	assert.Assert(t, full.RetryAfter >= fullFor && full.RetryAfter <= 2*fullFor, "%s", full.RetryAfter)
	_, stored := table.rows[intake.JobPrefix+second]
	assert.Assert(t, !stored)
	fullFor = 0
	assert.Equal(t, outcomeName(submit(second)), "accepted")
}
