package local_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/local"
	"github.com/pistachiolead/pistachiolead/provider"
)

const document = `
pools:
  - {name: main, budget: 2}
  - {name: spare, spare: true, budget: 1}
teams:
  - {name: studio, share: 3, limit: 20}
  - {name: press, share: 1, limit: 64}
entries:
  - name: proofs
    owner: studio
    class: interactive
    pool: main
    shape: {processors: 1, memory: 256MiB}
    idempotent: true
    open: true
  - name: stops
    owner: studio
    class: urgent
    pool: main
    shape: {processors: 1, memory: 256MiB}
    idempotent: true
  - name: renders
    owner: press
    class: archive
    pool: main
    shape: {processors: 1, memory: 256MiB}
    idempotent: true
    checkpoint: true
  - name: plates
    owner: studio
    class: archive
    pool: main
    shape: {processors: 1, memory: 256MiB}
`

func startFleet(t testing.TB) *local.Fleet {
	t.Helper()
	return startFleetWith(t, nil)
}

// startFleetWith starts a fleet of two zones with two entry VMs and four backend servers each. Wrap may be nil, see
// local.Fleet.WrapTable.
func startFleetWith(t testing.TB, wrap func(id string, t provider.Table) provider.Table) *local.Fleet {
	t.Helper()
	c, err := catalogue.Parse([]byte(document), "catalogue.yaml")
	assert.NilError(t, err)
	f := &local.Fleet{
		Zones: []string{"a", "b"}, EntryVMs: 2, BackendServers: 4, Catalogue: c, Shape: provider.NewShape(8, 16<<10, 0, 8),
		WrapTable: wrap,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(t, f.Start(ctx))
	t.Cleanup(func() { assert.Check(t, f.Stop()) })
	return f
}

// Guards against calls and jobs that are lost, that get the answer of another request, or that start more than once
// between a caller and a backend server.
func TestCallsAndJobsAreAnswered(t *testing.T) {
	f := startFleet(t)
	admin := &api.Client{Key: f.AdminKey()}
	for _, m := range f.Members() {
		admin.Addresses = append(admin.Addresses, m.Address())
	}
	grant, err := admin.GrantKey("studio", "submitter", 0)
	assert.NilError(t, err)
	waitInForce(t, admin, grant.Version())

	for i := range 20 {
		m := f.Members()[i%len(f.Members())]
		c := &api.Client{Addresses: []string{m.Address()}, Key: grant.Secret()}
		id := fmt.Sprintf("call-%d", i)
		entry := []string{"proofs", "plates"}[i%2]
		out, err := c.Call(api.Work{Entry: entry, RequestID: id, Payload: []byte(`{"run-ms": 5}`)})
		assert.NilError(t, err)
		var answer struct {
			ID string `json:"request-id"`
		}
		assert.NilError(t, json.Unmarshal(out, &answer), string(out))
		assert.Equal(t, answer.ID, "studio."+id)
	}
	c := &api.Client{Addresses: admin.Addresses, Key: grant.Secret()}
	for i := range 10 {
		id, err := c.SubmitJob(api.Work{
			Entry: "plates", RequestID: fmt.Sprintf("job-%d", i), Payload: []byte(`{"run-ms": 20}`),
		})
		assert.NilError(t, err)
		job, err := c.GetJob(id, 20*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, job.State(), "done", string(job.JSON()))
		assert.Equal(t, f.Platform().Counters.Starts("studio."+id), 1)
	}
}

// inForceBound limits the time from a configuration change until it is in force on every entry VM (R27 in
// docs/design.md).
const inForceBound = 13 * time.Second

// waitInForce waits until a configuration version is in force.
func waitInForce(t *testing.T, c *api.Client, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ch, err := c.GetChange(version)
		if err != nil {
			return poll.Error(err)
		}
		if ch.InForce() {
			return poll.Success()
		}
		return poll.Continue("%s", ch.JSON())
	}, poll.WithTimeout(inForceBound), poll.WithDelay(50*time.Millisecond))
}
