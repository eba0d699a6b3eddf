package deployment_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform/emulator"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

const firstEnded = 1 << 32

// addEndedJobs stores the rows of n jobs that have ended. Their numbers count up from firstEnded.
func (r *rig) addEndedJobs(n int) {
	r.t.Helper()
	r.addJobs(firstEnded, n, workload.Progress{State: workload.JobCompleted}, workload.StepOptions{Count: 2, MilliCores: 1000})
}

// spreadID returns the id of a job by its number. The ids of consecutive numbers are far apart, as those of customers are.
func spreadID(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }

// addJobs stores the rows of n jobs whose numbers count up from first, with one step and the given progress. It returns their rows
// by id.
func (r *rig) addJobs(first, n int, p workload.Progress, step workload.StepOptions) (rows map[string][]byte) {
	r.t.Helper()
	options := workload.JobOptions{
		ID: strings.Repeat("f", 16), Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Specification: "s",
		Steps: []workload.StepOptions{step}, AcceptedMS: 1,
	}
	template, err := workload.NewJob(options)
	assert.NilError(r.t, err)
	job, progress := string(template.Encode()), p.Encode()
	rows = make(map[string][]byte, n)
	ids, byPartition := make([]string, n), make(map[int][]string)
	for i := range ids {
		ids[i] = spreadID(first + i)
		rows[ids[i]] = []byte(strings.Replace(job, options.ID, ids[i], 1))
		p := intake.PartitionOf(ids[i])
		byPartition[p] = append(byPartition[p], ids[i])
	}
	for p, keys := range byPartition {
		r.store.Load("jobs", intake.PartitionName(p), keys, func(key string) []byte { return rows[key] })
	}
	r.store.Load("progress", "control", ids, func(string) []byte { return progress })
	return rows
}

// Guards against a store with so many ended jobs that no entry VM can load the control state: a new leader must not read all of
// their rows before it decides on the live ones, and must not run them again.
func TestLeaderLoadsBesideEndedJobs(t *testing.T) {
	const (
		ended       = 10_000
		rowsPerPage = 20 // on the slowest link
	)
	r := newRig(t, 0, 4*time.Second)
	r.linkMbps = 1
	r.startVM("entry-0")
	r.startVM("entry-1")
	vm := r.vms[1]
	r.eventually("a job is accepted", func() bool {
		return r.submit(vm, "plates", jobID(1), step(2, 1000)) == http.StatusOK
	})
	r.eventually("its tasks run", func() bool { return r.observer.Running(jobID(1)) == 2 })
	r.addEndedJobs(ended)
	var reads atomic.Int64
	countReads := func(path string) emulator.Fault {
		if path == "/api/rows-get" {
			reads.Add(1)
		}
		return emulator.FaultNone
	}
	r.fault.Store(&countReads)
	r.vms[0].kill()
	_, readsToLead := r.awaitTimer(vm, "control.load", &reads)
	assert.Assert(t, readsToLead < ended/rowsPerPage/2, "%d reads before the leader decided", readsToLead)
	r.eventually("a job is accepted", func() bool {
		return r.submit(vm, "plates", jobID(2), step(2, 1000)) == http.StatusOK
	})
	assert.Equal(t, r.submit(vm, "plates", spreadID(firstEnded), step(2, 1000)), http.StatusOK, "a repeated call")
	r.eventually("the job is complete", func() bool { return r.state(vm, "plates", jobID(1)) == "completed" })
	r.awaitTimer(vm, "control.read-waiting-jobs", &reads)
	r.eventually("the job is complete", func() bool { return r.state(vm, "plates", jobID(2)) == "completed" })
	assert.Equal(t, r.observer.Starts(spreadID(firstEnded)+".0.0.0"), 0, "an ended job runs again")
}

// Guards against rows of ended jobs and of requests to cancel jobs that stay in the store for ever, and against states that can't
// be read for as long as the settings say.
func TestRowsOfEndedJobsAreRemoved(t *testing.T) {
	t.Parallel()
	r := newRig(t, 0, 100*time.Millisecond)
	r.statusTime = 2
	r.startVM("entry-0")
	vm := r.vms[0]
	r.completes(1)
	ended := timer.System{}.Now()
	status, _ := r.call(vm, http.MethodDelete, "/plates/"+jobID(7), "key-1", nil)
	assert.Equal(t, status, http.StatusGone, "a request to cancel an unknown job")
	r.eventually("the job is unknown", func() bool {
		status, _ := r.call(vm, http.MethodGet, "/plates/"+jobID(1), "key-1", nil)
		return status == http.StatusGone
	})
	assert.Assert(t, timer.System{}.Now().Sub(ended) >= 1900*time.Millisecond)
	r.eventually("no rows are left", func() bool {
		return r.store.Count("jobs")+r.store.Count("cancels")+r.store.Count("progress")+r.store.Count("specs") == 0
	})
	r.observer.Forget(jobID(1))
	r.completes(1) // a new job with the same id
}

// Guards against one row of progress that can't be read and stops all jobs.
func TestLeaderLoadsBesideMalformedRow(t *testing.T) {
	t.Parallel()
	r := newRig(t, 2, 100*time.Millisecond)
	r.completes(1)
	r.store.Load("progress", "control", []string{jobID(5)}, func(string) []byte { return []byte("{") })
	r.vms[0].kill()
	r.completes(2)
}

// Guards against an ended job that runs again because its rows were removed in part: leaders are lost while they remove rows, and
// the store loses responses and carries out transactions late.
func TestEndedJobsStayEndedWhileRowsAreRemoved(t *testing.T) {
	const (
		jobs   = 60
		rounds = 6
	)
	r := newRig(t, 0, 50*time.Millisecond)
	r.statusTime = 0.4
	for n := range 3 {
		r.startVM(fmt.Sprintf("entry-%d", n))
	}
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	faults := func(path string) emulator.Fault {
		mu.Lock()
		defer mu.Unlock()
		switch n := random.IntN(20); {
		case path != "/api/rows-tx" || n > 3:
			return emulator.FaultNone
		case n == 3:
			return emulator.FaultLate
		}
		return emulator.FaultResponseLost
	}
	for round := range rounds {
		for n := range jobs / rounds {
			id := jobID(round*jobs/rounds + n)
			r.eventually("a job is accepted", func() bool {
				vm := r.vms[len(r.vms)-1-n%2]
				return r.submit(vm, "plates", id, step(1, 500)) == http.StatusOK
			})
		}
		r.fault.Store(&faults)
		timer.Wait(r.ctx, timer.System{}, 1500*time.Millisecond)
		r.vms[len(r.vms)-3].kill()
		r.fault.Store(nil)
		r.startVM(fmt.Sprintf("entry-%d", round+3))
	}
	r.eventually("no rows are left", func() bool {
		return r.store.Count("jobs")+r.store.Count("cancels")+r.store.Count("progress")+r.store.Count("specs") == 0
	})
	for n := range jobs {
		assert.Equal(t, r.observer.Running(jobID(n)), 0)
		assert.Assert(t, r.observer.Starts(jobID(n)+".0.0.0") > 0)
	}
}
