package deployment_test

import (
	"math"
	"net/http"
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

// Guards against a job that runs although its caller was told that there is no such job to cancel: the store carries out the
// unanswered writes of the job afterwards, before or after a change of leader.
func TestCancelledJobDoesNotRunAfterLateWrite(t *testing.T) {
	for name, takeover := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2, 100*time.Millisecond)
			r.completes(1)
			vm, id := r.vms[1], jobID(2)
			delayed := r.delayPuts("jobs/"+id, math.MaxInt64)
			status, _ := r.callWithin(vm, http.MethodPost, "/plates/"+id, "key-1", 600*time.Millisecond,
				map[string]any{"Specification": "work of " + id, "Steps": []any{longRunningStep(2)}})
			assert.Equal(t, status, http.StatusGatewayTimeout)
			assert.Assert(t, delayed.Load() > 0)
			status, _ = r.call(vm, http.MethodDelete, "/plates/"+id, "key-1", nil)
			assert.Equal(t, status, http.StatusGone)
			if takeover {
				r.vms[0].kill()
			}
			until := timer.System{}.Now().Add(lateWriteTime)
			for (timer.System{}).Now().Before(until) {
				assert.Equal(t, r.state(vm, "plates", id), "410")
				timer.Wait(r.ctx, timer.System{}, 50*time.Millisecond)
			}
			r.completes(3)
			assert.Equal(t, r.state(vm, "plates", id), "410")
			assert.Equal(t, r.observer.Starts(id+".0.0.0"), 0)
		})
	}
}

func longRunningStep(count int) map[string]any {
	s := step(count, 1000)
	s["LongRunning"] = true
	return s
}
