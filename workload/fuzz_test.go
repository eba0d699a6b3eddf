package workload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/workload"
)

// Guards against a stored job that ends the process, or whose tasks have impossible sizes or dependencies.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(`{"id":"0000000000000001","queue":"plates","steps":[{"count":2,"milli-cores":100},{"count":1,"after":[0]}]}`))
	f.Add([]byte(`{"id":"1","steps":[{"count":-1}]}`))
	f.Add([]byte(`{"id":"1","steps":[{"count":1,"after":[1]}],"repetitions":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, row []byte) {
		j, err := workload.DecodeJob(row)
		if err != nil {
			return
		}
		assert.Assert(t, len(j.Steps()) > 0 && j.Occurrences() > 0 && j.TaskCount() > 0)
		for i, s := range j.Steps() {
			assert.Assert(t, s.Count() > 0)
			for _, after := range s.After() {
				assert.Assert(t, after >= 0 && after < i)
			}
		}
		_, _ = j.CriticalPath(), j.Objective()
		again, err := workload.DecodeJob(j.Encode())
		assert.NilError(t, err)
		assert.Equal(t, again.ID(), j.ID())
	})
}

// Guards against a stored row of progress that can't be read again once it is written.
func FuzzDecodeProgress(f *testing.F) {
	f.Add([]byte(`{"state":"running","tasks":{"0.0.0":{"last-run":1}},"done-steps":["0.1"],"done-tasks":{"1.0":[0]}}`))
	f.Add([]byte(`{"state":"running","done-occurrences":-1,"job":{"id":"1"}}`))
	f.Add([]byte(`{"state":"packed","data":"AAAA"}`))
	f.Add(longProgress().Encode())
	f.Fuzz(func(t *testing.T, row []byte) {
		p, err := workload.DecodeProgress(row)
		if err != nil {
			return
		}
		again, err := workload.DecodeProgress(p.Encode())
		assert.NilError(t, err)
		assert.Equal(t, again.Settled(), p.Settled())
		assert.Equal(t, again.VisibleState(), p.VisibleState())
	})
}
