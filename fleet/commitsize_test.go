package fleet_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	maxCallEntries = 100       // that the store accepts in a transaction
	maxCallBytes   = 1_000_000 // of a transaction
	// packedEntries is the number of entries that the committer adds to a transaction.
	packedEntries = 2
)

// callSize returns the number of entries and bytes of a transaction as the store receives it.
func callSize(tx provider.Transaction) (entries, size int) {
	type entry struct {
		Table, Partition, Key string
		Value                 []byte
		VersionNumber         uint64
	}
	encode := func(key string, value []byte) {
		data, err := json.Marshal(entry{Table: "01234567", Partition: "01234567", Key: key, Value: value, VersionNumber: 1 << 62})
		if err != nil {
			panic(err) // strings and numbers can always be encoded
		}
		size += len(data)
	}
	for _, c := range tx.Conditions() {
		encode(c.Key(), nil)
	}
	for _, w := range tx.Writes() {
		encode(w.Key(), w.Value())
	}
	return len(tx.Conditions()) + len(tx.Writes()) + packedEntries, size
}

// storeRefusal returns why the store rejects a transaction for its size, or "".
func storeRefusal(tx provider.Transaction) string {
	entries, size := callSize(tx)
	if entries > maxCallEntries || size > maxCallBytes {
		return fmt.Sprintf("found %d entries and %d bytes", entries, size)
	}
	for _, w := range tx.Writes() {
		if len(w.Value()) > maxRowBytes {
			return fmt.Sprintf("row %s: found %d bytes", w.Key(), len(w.Value()))
		}
	}
	return ""
}

// jobInQueue hands in a job that fits on no server.
func (r *rig) jobInQueue(n int, queue string) {
	r.t.Helper()
	j, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: queue, Customer: "label", Pool: "press", MaxAttempts: 2, Specification: "s",
		Steps: []workload.StepOptions{{Count: 1, MilliCores: 100_000}}, AcceptedMS: r.now.UnixMilli(), Stretch: 1.6,
	})
	assert.NilError(r.t, err)
	r.handle(fleet.JobArrived{Job: j})
}

func (r *rig) storedPending(queue string) int {
	r.t.Helper()
	stored, written := r.rows[fleet.PendingJobsPrefix+queue]
	if !written {
		return 0
	}
	n, err := fleet.DecodePendingJobs(provider.NewRow(fleet.PendingJobsPrefix+queue, stored, 1))
	assert.NilError(r.t, err)
	return n
}

// Guards against numbers of pending jobs that are never stored because those of many queues change at a time: the store
// rejects the commit, and the next one is as large.
func TestPendingJobsOfManyQueuesAreStored(t *testing.T) {
	const queues = 1200
	const commitTime = 25 * time.Millisecond // the committer sends 40 transactions a second
	r := newRig(t)
	name := func(n int) string { return fmt.Sprintf("queue-%d", n) }
	for n := range queues {
		r.jobInQueue(n+1, name(n))
	}
	r.holdCommits = true
	r.takeEffects()
	r.handle(fleet.JobsRead{})
	began, last := r.now, time.Duration(0)
	for range 200 {
		r.now = r.now.Add(commitTime)
		commits := 0
		for _, e := range r.takeEffects() {
			if c, ok := e.(fleet.Commit); ok {
				commits++
				before := len(r.rows)
				r.commit(c)
				if len(r.rows) > before {
					last = r.now.Sub(began)
				}
			}
		}
		assert.Assert(t, commits <= 1)
		r.handle(fleet.Tick{})
	}
	for n := range queues {
		assert.Equal(t, r.storedPending(name(n)), 1, name(n))
	}
	t.Logf("the last of %d numbers is stored %v after the jobs are read", queues, last)
	assert.Assert(t, last < 3*time.Second)
}

// Guards against a commit with few rows that the store rejects for its bytes, and that holds up what is in it.
func TestCommitOfLongRowsIsCut(t *testing.T) {
	r := newRig(t)
	for n := 1; n <= 40; n++ {
		j, err := workload.NewJob(workload.JobOptions{
			ID: fmt.Sprintf("%016x", n), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2,
			Specification: strings.Repeat("s", 60_000), Steps: []workload.StepOptions{{Count: 1, MilliCores: 100}},
			AcceptedMS: r.now.UnixMilli(), Stretch: 1.6,
		})
		assert.NilError(t, err)
		r.state.Handle(fleet.JobArrived{Job: j}, r.now)
	}
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.advance(300 * time.Millisecond)
	assert.Equal(t, len(r.refusals), 0, "%v", r.refusals)
	assert.Equal(t, len(r.starts()), 40)
}

// Guards against rows of one kind that are held back because there are many of another, and against one that the store rejects
// and that holds back the others.
func TestRejectedNumberHoldsUpNoOtherRow(t *testing.T) {
	r := newRig(t)
	rejected := 0
	r.rejects = func(tx provider.Transaction) bool {
		for _, w := range tx.Writes() {
			if w.Key() == fleet.PendingJobsPrefix+"queue-7" {
				rejected++
				return true
			}
		}
		return false
	}
	for n := range 150 {
		r.jobInQueue(n+1, fmt.Sprintf("queue-%d", n))
	}
	r.register("i-1", "press")
	r.report("i-1", nil)
	r.handle(fleet.JobsRead{})
	r.handle(fleet.JobArrived{Job: r.job(1000, workload.StepOptions{Count: 1, MilliCores: 500})})
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: []backend.VM{
		{Name: "m-1", Pool: "press", State: backend.VMUp, Server: "i-1", Capacity: workload.NewResources(8000, 8000, 0)},
		{Name: "m-8", Pool: "spare", State: backend.VMUp, Capacity: workload.NewResources(200_000, 8000, 0)},
	}})
	r.advance(3 * time.Second)
	moves := 0
	for _, e := range r.effects {
		if _, ok := e.(fleet.MoveVM); ok {
			moves++
		}
	}
	assert.Equal(t, len(r.starts()), 1)
	assert.Assert(t, moves > 0, "the request for a VM is held back")
	for n := range 150 {
		if n != 7 {
			assert.Equal(t, r.storedPending(fmt.Sprintf("queue-%d", n)), 1, n)
		}
	}
	assert.Assert(t, rejected < 20, "rejected %d times", rejected)
	before := rejected
	r.advance(30 * time.Second)
	assert.Equal(t, rejected, before, "the same row is sent again")
}

// Guards against a row of requests about VMs that outgrows the store's limit, because many of them are requested at a time or their
// names are long.
func TestRequestsForManyVMsFitRow(t *testing.T) {
	r := newRig(t)
	wave := directory.Wave{Name: "w", Number: 7, TimeLimit: time.Second, MaxConcurrent: 400, Version: 1}
	vms := make([]backend.VM, 0, wave.MaxConcurrent)
	for n := range wave.MaxConcurrent {
		name := fmt.Sprintf("%s%03d", strings.Repeat("<", 197), n)
		wave.VMs = append(wave.VMs, name)
		vms = append(vms, backend.VM{
			Name: name, Pool: "spare", State: backend.VMUp, Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.handle(fleet.OperationArrived{Operation: wave})
	requested := make(map[string]bool)
	for range 40 {
		r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: vms})
		r.advance(500 * time.Millisecond)
		for _, e := range r.takeEffects() {
			if m, ok := e.(fleet.MaintainVM); ok {
				requested[m.VM] = true
			}
		}
	}
	t.Logf("%d VMs requested", len(requested))
	assert.Equal(t, len(r.refusals), 0, "%v", r.refusals)
	assert.Assert(t, len(requested) > 100)
}
