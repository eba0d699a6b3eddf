package fleet_test

import (
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a stored row of progress that ends each leader that loads it: a row that can be decoded must not panic when it is
// restored, whatever it says.
func FuzzRestoreProgress(f *testing.F) {
	for _, row := range []string{
		`{"state":"running","tasks":{"0.0.0":{"last-run":1,"assignments":[{"server":"i-1","incarnation":1,"run":1}]}}}`,
		`{"state":"running","tasks":{"0.1.0":{"done":true},"1.0.1":{"last-run":3,"failures":1,"failed-runs":[1]}},"done-steps":["0.0"]}`,
		`{"state":"running","done-occurrences":2,"done-steps":["2.0"],"done-tasks":{"2.1":[0]}}`,
		`{"state":"cancelled","tasks":{"0.0.0":{"assignments":[{"server":"i-2","run":2,"isolated":true}]}}}`,
		`{"state":"running","tasks":{"0.0.0":{"losses":[{"server":"i-1","incarnation":1,"run":1,"started":true}],"crashes":4}}}`,
		`{"state":"running","done-occurrences":-1,"done-tasks":{"0.0":[-1,99]},"done-steps":["-1.0","9.9"]}`,
		`{"state":"running","tasks":{"0.0.0":{"done":true}},"done-steps":["0.0"],"done-tasks":{"0.0":[0,0,1]}}`,
		`{"state":"running","tasks":{"0.0.0":{"given-up":true,"assignments":[{"run":-1},{"run":-1}]}},"failed":true}`,
	} {
		f.Add([]byte(row), []byte(`{"begun":["m-1"],"seen-ms":1}`), []byte(`{"m-1":1}`))
		f.Add([]byte(row), []byte(`{}`), []byte(`{"senders":[{"entry-vm":"other","ages-ms":{"m-1":-1,"m-2":9e18}}]}`))
	}
	steps := [][]workload.StepOptions{
		{{Count: 2, MilliCores: 100, DeclaredDurationMS: 100}, {Count: 1, MilliCores: 100, After: []int{0}}},
		{{Count: 2, MilliCores: 100, LongRunning: true, MaxUnavailable: 1}, {Count: 1, MilliCores: 100}},
		{{Count: 3, MilliCores: 100, Gang: true, Checkpoints: true}, {Count: 2, MilliCores: 100, Duplicable: true}},
	}
	f.Fuzz(func(t *testing.T, progress, wave, requests []byte) {
		p, err := workload.DecodeProgress(progress)
		if err != nil {
			return
		}
		for _, s := range steps {
			for _, repetitions := range []int{0, 3} {
				restoreAndRun(t, p, wave, requests, s, repetitions)
			}
		}
	})
}

// restoreAndRun restores a job with some progress, lets its servers report, and takes a few steps.
func restoreAndRun(t *testing.T, p workload.Progress, wave, requests []byte, steps []workload.StepOptions, repetitions int) {
	t.Helper()
	r := newRig(t)
	job, err := workload.NewJob(workload.JobOptions{
		ID: "0000000000000001", Queue: "plates", Customer: "label", Pool: "press", MaxAttempts: 2, Specification: "s", Steps: steps,
		AcceptedMS: r.now.UnixMilli(), FirstRunMS: r.now.UnixMilli(), IntervalMS: 100, Repetitions: repetitions,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.version++
	r.begin(r.version)
	r.state.RestoreVMRequests(provider.NewRow(fleet.VMRequestsKey, requests, 1))
	r.state.Restore(fleet.Stored{
		Jobs: []*workload.Job{job}, Progress: map[string]workload.Progress{job.ID(): p},
		Waves: []provider.Row{provider.NewRow(fleet.WavesPrefix+"1", wave, 1)},
	}, r.now)
	r.configure(workload.Resources{})
	r.requestWave(3, "m-1", "m-2")
	for _, id := range []string{"i-1", "i-2"} {
		r.register(id, "press")
		r.report(id, nil)
	}
	r.listVMs(backend.VMUp, backend.VMUp)
	for _, s := range r.starts() {
		r.acceptStart(s)
	}
	r.advance(500 * time.Millisecond)
	r.handle(fleet.CancelRequested{ID: job.ID()})
	r.advance(300 * time.Millisecond)
}
