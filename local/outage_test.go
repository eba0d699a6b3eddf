package local_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// cuttable is the table as seen by entry VMs that can be cut off from it.
type cuttable struct {
	provider.Table
	cut *atomic.Bool
}

func (c cuttable) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	if c.cut.Load() {
		return provider.NewUnavailable("cut off")
	}
	return c.Table.Commit(ctx, t)
}

func (c cuttable) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	if c.cut.Load() {
		return provider.NewUnavailable("cut off")
	}
	return c.Table.Scan(ctx, prefix, since)
}

// Guards against an entry VM that stops serving when only it is cut off from the table: it reads, follows
// configuration changes and stores jobs through its peers.
func TestEntryVMCutOffFromTheTableGoesOnThroughPeers(t *testing.T) {
	const alone = "entry-a-1"
	var cut atomic.Bool
	f := startFleetWith(t, func(id string, table provider.Table) provider.Table {
		if id == alone {
			return cuttable{Table: table, cut: &cut}
		}
		return table
	})
	address := f.Members()[0].Address()
	assert.Equal(t, f.Members()[0].ID(), alone)
	others := &api.Client{Addresses: []string{f.Members()[1].Address()}, Key: f.AdminKey()}

	cut.Store(true)
	passGrant(t)

	grant, err := others.GrantKey("studio", "submitter", 0)
	assert.NilError(t, err)
	waitInForce(t, others, grant.Version())
	client := &api.Client{Addresses: []string{address}, Key: grant.Secret()}
	_, err = client.Call(api.Work{Entry: "plates", RequestID: "cut-call", Payload: []byte(`{"run-ms": 1}`)})
	assert.NilError(t, err)
	id, err := client.SubmitJob(api.Work{Entry: "plates", Payload: []byte(`{"run-ms": 1}`)})
	assert.NilError(t, err)
	job, err := client.GetJob(id, 20*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, job.State(), "done", string(job.JSON()))
}

// Guards against a fleet that stops serving when the table is down for all: heartbeats with every other member keep the
// configuration fresh, idempotent calls run, and what needs the table is refused as not run.
func TestTableDownForAll(t *testing.T) {
	var cut atomic.Bool
	f := startFleetWith(t, func(_ string, table provider.Table) provider.Table { return cuttable{Table: table, cut: &cut} })
	admin := &api.Client{Key: f.AdminKey()}
	for _, m := range f.Members() {
		admin.Addresses = append(admin.Addresses, m.Address())
	}
	grant, err := admin.GrantKey("studio", "submitter", 0)
	assert.NilError(t, err)
	waitInForce(t, admin, grant.Version())

	cut.Store(true)
	passGrant(t)

	for i, address := range admin.Addresses {
		client := &api.Client{Addresses: []string{address}, Key: grant.Secret()}
		_, err := client.Call(api.Work{Entry: "proofs", Payload: []byte(`{"run-ms": 1}`)})
		assert.NilError(t, err)
		id := fmt.Sprintf("down-%d", i)
		_, err = client.Call(api.Work{Entry: "plates", RequestID: id, Deadline: time.Second, Payload: []byte(`{"run-ms": 1}`)})
		assert.ErrorContains(t, err, dispatch.CodeStoreUnavailable)
		assert.Equal(t, f.Platform().Counters.Starts("studio."+id), 0)
		_, err = client.SubmitJob(api.Work{Entry: "plates", Payload: []byte(`{"run-ms": 1}`)})
		assert.ErrorContains(t, err, dispatch.CodeStoreUnavailable)
	}

	// A revocation is applied at once, before the table has it.
	ch, err := admin.RevokeKey(grant.KeyID())
	assert.NilError(t, err)
	assert.Assert(t, !ch.InForce())
	for _, address := range admin.Addresses {
		client := &api.Client{Addresses: []string{address}, Key: grant.Secret()}
		_, err := client.Call(api.Work{Entry: "proofs", Payload: []byte(`{"run-ms": 1}`)})
		assert.ErrorContains(t, err, "revoked-key")
	}
	cut.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ch, err := admin.RevokeKey(grant.KeyID())
		if err == nil && ch.InForce() {
			return poll.Success()
		}
		return poll.Continue("%v %s", err, ch.JSON())
	}, poll.WithTimeout(inForceBound), poll.WithDelay(200*time.Millisecond))
}

// passGrant waits until a grant that started before it has ended, so that only what renewed it since can keep it.
func passGrant(t *testing.T) {
	t.Helper()
	clock := timer.System{}
	end := clock.Now().Add(freshness.DefaultLeaseDuration + freshness.DefaultGuardInterval)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if clock.Now().After(end) {
			return poll.Success()
		}
		return poll.Continue("the grant hasn't passed")
	}, poll.WithTimeout(inForceBound), poll.WithDelay(100*time.Millisecond))
}
