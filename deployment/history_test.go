package deployment_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
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

// Guards against entry VMs that use up the reads of the store while it drops its history again and again: each list of a table
// is followed by a read of changes that gets status 410.
func TestReadsAreBoundedWhileHistoryIsGone(t *testing.T) {
	const (
		length = 3 * time.Second
		// maxReadsPerSecond is a fifth of the reads that the smallest store of the users allows to all entry VMs together.
		maxReadsPerSecond = 400
	)
	r := newRig(t, 1, 100*time.Millisecond)
	r.completes(1)
	gone := func(string) emulator.Fault { return emulator.FaultHistoryGone }
	r.fault.Store(&gone)
	reads := func() int {
		counts := r.store.RequestCounts()
		return counts["/api/rows-get"] + counts["/api/rows-feed"]
	}
	before := reads()
	timer.Wait(r.ctx, timer.System{}, length)
	perSecond := float64(reads()-before) / length.Seconds()
	t.Logf("%.0f reads a second", perSecond)
	assert.Assert(t, perSecond <= maxReadsPerSecond, "%.0f reads a second", perSecond)
	r.completes(2) // what changes meanwhile is still noticed
}

// Guards against jobs that are never noticed because each list of the partitions is given up for the next one, before it comes to
// theirs: the store keeps no history and is slow.
func TestAllPartitionsAreReadWhileHistoryIsGone(t *testing.T) {
	t.Parallel()
	r := newRig(t, 1, 100*time.Millisecond)
	r.completes(1)
	slowAndGone := func(path string) emulator.Fault {
		if path == "/api/rows-get" {
			timer.Wait(r.ctx, timer.System{}, 400*time.Millisecond)
		}
		return emulator.FaultHistoryGone
	}
	r.fault.Store(&slowAndGone)
	timer.Wait(r.ctx, timer.System{}, 2*time.Second)
	for _, partition := range []int{0, intake.Partitions / 2, intake.Partitions - 1} {
		n := 2
		for intake.PartitionOf(jobID(n)) != partition {
			n++
		}
		assert.Equal(t, r.submit(r.vms[0], "plates", jobID(n), step(2, 1000)), http.StatusOK)
		r.eventually(fmt.Sprintf("the job of partition %d is complete", partition), func() bool {
			return r.state(r.vms[0], "plates", jobID(n)) == "completed"
		})
	}
}
