package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (c *crashRig) failedEnd(number int64, run int) backend.RunEnd {
	task := workload.TaskID{Job: c.job.ID()}
	return backend.RunEnd{Number: number, Run: backend.Run{Task: task, Number: run}, Kind: workload.EndFailed}
}

// Guards against failed runs that don't count as attempts because they were considered lost when their ends came.
func TestFailedRunCountsAfterItWasConsideredLost(t *testing.T) {
	c := newCrashRig(t)
	assert.Equal(t, len(c.starts()), 1)
	c.partition()
	c.advance(9 * time.Second)
	c.report("i-1", nil, c.failedEnd(1, 1))
	assert.Equal(t, c.record().Failures, 1)
}

// Guards against a failed run that counts twice: the controller that stored its end is replaced before the server has
// received the acknowledgement.
func TestFailedRunCountsOnceAfterHandover(t *testing.T) {
	c := newCrashRig(t)
	assert.Equal(t, len(c.starts()), 1)
	c.advance(200 * time.Millisecond)
	c.report("i-1", nil, c.failedEnd(1, 1))
	assert.Equal(t, c.record().Failures, 1)
	c.now = c.now.Add(time.Second)
	c.restart(c.job)
	c.register("i-1", "press")
	c.report("i-1", nil, c.failedEnd(1, 1))
	assert.Equal(t, c.record().Failures, 1)
}
