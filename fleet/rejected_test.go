package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// rejectingRig is a rig whose store rejects each transaction that holds a run of one job.
type rejectingRig struct {
	*rig
	bad      string // id of the job
	rejected map[string]int
}

func newRejectingRig(t *testing.T, bad string) *rejectingRig {
	t.Helper()
	r := &rejectingRig{rig: newRig(t), bad: bad, rejected: make(map[string]int)}
	r.rejects = func(tx provider.Transaction) bool {
		for _, w := range tx.Writes() {
			if w.Key() != fleet.ProgressPrefix+bad {
				continue
			}
			p, err := workload.DecodeProgress(w.Value())
			assert.NilError(t, err)
			for _, record := range p.Tasks {
				if len(record.Assignments) > 0 {
					r.rejected[string(w.Value())]++
					return true
				}
			}
		}
		return false
	}
	return r
}

// Guards against one job whose row the store rejects and that holds up all other jobs.
func TestRejectedRowHoldsUpNoOtherJob(t *testing.T) {
	r := newRejectingRig(t, fmt.Sprintf("%016x", 3))
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	for n := 1; n <= 6; n++ {
		r.state.Handle(fleet.JobArrived{Job: r.job(n, workload.StepOptions{Count: 1, MilliCores: 500})}, r.now)
	}
	r.advance(500 * time.Millisecond)
	started := make(map[string]bool)
	for _, s := range r.starts() {
		started[s.Request.Run.Task.Job] = true
	}
	assert.Equal(t, len(started), 5)
	assert.Assert(t, !started[r.bad], "the run of a job was started although its intent isn't stored")
}

// Guards against a row that the store rejected and that is sent unchanged for ever.
func TestRejectedRowIsNotRepeatedUnchanged(t *testing.T) {
	r := newRejectingRig(t, fmt.Sprintf("%016x", 1))
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobArrived{Job: r.job(1, workload.StepOptions{Count: 1, MilliCores: 500})})
	r.advance(5 * time.Second)
	for row, times := range r.rejected {
		assert.Assert(t, times <= 2, "sent %d times: %s", times, row) // with other writes, and alone
	}
	assert.Equal(t, len(r.rejected), 1, "rows of new runs while the last was rejected")
	r.rejects = nil
	r.advance(30 * time.Second)
	assert.Equal(t, len(r.starts()), 1)
}

// Guards against jobs that are held up by rows of another kind that the store rejects.
func TestRejectedRowOfVMsHoldsUpNoJob(t *testing.T) {
	r := newRig(t)
	rejected := 0
	r.rejects = func(tx provider.Transaction) bool {
		for _, w := range tx.Writes() {
			if w.Key() == fleet.VMRequestsKey {
				rejected++
				return true
			}
		}
		return false
	}
	r.register("i-1", "press")
	r.report("i-1", nil)
	list := func() {
		capacity := workload.NewResources(8000, 8000, 0)
		r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: []backend.VM{
			{Name: "m-1", Pool: "press", State: backend.VMUp, Server: "i-1", Capacity: capacity},
			{Name: "m-8", Pool: "spare", State: backend.VMUp, Capacity: capacity},
		}})
	}
	started := 0
	for n := 1; n <= 3; n++ {
		list()
		r.handle(fleet.JobArrived{Job: r.job(n, workload.StepOptions{Count: 1, MilliCores: 500})})
		r.advance(2 * time.Second)
		for _, s := range r.starts() {
			started++
			r.acceptStart(s)
		}
	}
	assert.Equal(t, started, 3)
	assert.Assert(t, rejected > 0 && rejected < 10, "rejected %d times", rejected)
	assert.Assert(t, r.storedTerm().Renewals > 5, "the term isn't renewed")
}

// Guards against a call to the store that stays too large because all changes are sent at once.
func TestRejectedCommitIsSplit(t *testing.T) {
	r := newRig(t)
	rows := 0
	r.rejects = func(tx provider.Transaction) bool {
		rows = max(rows, len(tx.Writes()))
		return len(tx.Writes()) > 10
	}
	r.register("i-1", "press")
	r.report("i-1", nil)
	for n := 1; n <= 16; n++ {
		r.state.Handle(fleet.JobArrived{Job: r.job(n, workload.StepOptions{Count: 1, MilliCores: 200})}, r.now)
	}
	r.advance(500 * time.Millisecond)
	assert.Assert(t, rows > 10, "the most rows in one transaction: %d", rows)
	assert.Equal(t, len(r.starts()), 16)
}

// Guards against the end of a run that its server drops although the store has rejected the row that holds the end: after a
// takeover the task would run again.
func TestEndWhoseRowIsRejectedIsNotAcknowledged(t *testing.T) {
	r := newRig(t)
	start := r.startOne()
	r.rejects = func(tx provider.Transaction) bool {
		for _, w := range tx.Writes() {
			if w.Key() == fleet.ProgressPrefix+start.Request.Run.Task.Job {
				return true
			}
		}
		return false
	}
	r.advance(100 * time.Millisecond)
	r.reportProgress("i-1", nil, 0, backend.RunEnd{Number: 1, Run: start.Request.Run, Kind: workload.EndDone})
	for range 50 {
		r.advance(100 * time.Millisecond)
		assert.Equal(t, r.openPolls["i-1"].Request.AcknowledgedEnd, int64(0))
		r.reportProgress("i-1", nil, 0, backend.RunEnd{Number: 1, Run: start.Request.Run, Kind: workload.EndDone})
	}
}
