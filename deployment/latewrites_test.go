package deployment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/timer"
)

// lateWriteTime is longer than the emulator takes to carry out a delayed transaction.
const lateWriteTime = 2 * time.Second

func (r *rig) waveStatus() string {
	status, _ := r.store.Get("status", "", "wave/1")
	return string(status)
}

// Guards against a complete wave that is shown as running for good: the store carries out the unanswered write of the earlier
// status after that of the later one.
func TestLateWaveStatusDoesNotReplaceLaterOne(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 100*time.Millisecond)
	delayed := r.delayPuts("status/wave/", 1)
	r.store.Put("op", "wave/1", map[string]any{"Wave": 1, "Machines": []string{"m-5"}, "FinishByS": 15, "AtMost": 1})
	r.eventually("the wave is complete", func() bool { return r.waveStatus() == `{"State":"completed"}` })
	assert.Assert(t, delayed.Load() > 1)
	timer.Wait(r.ctx, timer.System{}, lateWriteTime)
	assert.Equal(t, r.waveStatus(), `{"State":"completed"}`)
}
