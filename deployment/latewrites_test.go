package deployment_test

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
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

// Guards against a task that starts after its job was cancelled: the leader is lost before it learns of the cancellation, and the
// next one can't read the partition that holds it.
func TestCancelledJobStartsNothingAfterTakeover(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 500*time.Millisecond)
	vm, id := r.vms[1], jobID(1)
	assert.Equal(t, r.submit(vm, "plates", id, step(1, 1000), step(1, 1000, 0)), http.StatusOK)
	r.eventually("the first step runs", func() bool { return r.observer.Running(id) == 1 })
	r.vms[0].kill()
	status, _ := r.call(vm, http.MethodDelete, "/plates/"+id, "key-1", nil)
	assert.Equal(t, status, http.StatusOK)
	down := func(partition string) bool { return partition == intake.PartitionName(intake.PartitionOf(id)) }
	r.down.Store(&down)
	r.completes(2)
	timer.Wait(r.ctx, timer.System{}, time.Second)
	assert.Equal(t, r.observer.Starts(id+".0.1.0"), 0, "the second step starts")
	r.down.Store(nil)
	r.eventually("the job is cancelled", func() bool { return r.state(vm, "plates", id) == "cancelled" })
	assert.Equal(t, r.observer.Starts(id+".0.1.0"), 0, "the second step starts")
}

func longRunningStep(count int) map[string]any {
	s := step(count, 1000)
	s["LongRunning"] = true
	return s
}
