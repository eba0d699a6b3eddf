package deployment_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
)

func (r *rig) evacuateAll() {
	r.store.Put("op", "evacuate/z0", map[string]any{})
	r.store.Put("op", "evacuate/z1", map[string]any{})
}

func (r *rig) completes(n int) {
	r.t.Helper()
	vm := r.vms[len(r.vms)-1]
	r.eventually("a job is accepted", func() bool {
		return r.submit(vm, "plates", jobID(n), step(2, 1000)) == http.StatusOK
	})
	r.eventually("the job is complete", func() bool { return r.state(vm, "plates", jobID(n)) == "completed" })
}

// Guards against zones that stay out of service because the store dropped the history that showed their return.
func TestZonesReturnWhileHistoryIsDropped(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 100*time.Millisecond)
	r.completes(1)
	r.evacuateAll()
	timer.Wait(r.ctx, timer.System{}, time.Second)
	r.store.RemoveUnseen("op", "evacuate/z0", "evacuate/z1")
	r.completes(2)
}

// Guards against zones that stay out of service for a new leader: it read the rows of the operators before the zones returned,
// and the feed has shown it neither these rows nor their removal.
func TestZonesReturnAfterTakeoverWhileHistoryIsDropped(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 100*time.Millisecond)
	r.completes(1)
	noFeeds := func(path string) emulator.Fault {
		if path == "/api/rows-feed" {
			return emulator.FaultUnavailable
		}
		return emulator.FaultNone
	}
	r.fault.Store(&noFeeds)
	timer.Wait(r.ctx, timer.System{}, 2*time.Second) // until the feeds that wait for changes have returned
	r.evacuateAll()
	r.vms[0].kill()
	timer.Wait(r.ctx, timer.System{}, 3*time.Second)
	r.store.RemoveUnseen("op", "evacuate/z0", "evacuate/z1")
	r.fault.Store(nil)
	r.completes(2)
}
