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

// interruptibleTable is a table whose requests all fail as unavailable while down is true.
type interruptibleTable struct {
	provider.Table
	down *atomic.Bool
}

func (i interruptibleTable) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	if i.down.Load() {
		return provider.NewUnavailable("the test has interrupted the connection to the table")
	}
	return i.Table.Commit(ctx, t)
}

func (i interruptibleTable) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	if i.down.Load() {
		return provider.NewUnavailable("the test has interrupted the connection to the table")
	}
	return i.Table.Scan(ctx, prefix, since)
}

// Guards against an entry VM that stops serving when it alone can't reach the table. It must read the table, apply
// configuration changes and store jobs through its peers.
func TestEntryVMWithoutTableAccessServesThroughPeers(t *testing.T) {
	const isolated = "entry-a-1"
	var down atomic.Bool
	f := startFleetWith(t, func(id string, table provider.Table) provider.Table {
		if id == isolated {
			return interruptibleTable{Table: table, down: &down}
		}
		return table
	})
	address := f.Members()[0].Address()
	assert.Equal(t, f.Members()[0].ID(), isolated)
	others := &api.Client{Addresses: []string{f.Members()[1].Address()}, Key: f.AdminKey()}

	down.Store(true)
	waitOutLease(t)

	grant, err := others.GrantKey("studio", "submitter", 0)
	assert.NilError(t, err)
	waitInForce(t, others, grant.Version())
	client := &api.Client{Addresses: []string{address}, Key: grant.Secret()}
	_, err = client.Call(api.Work{Entry: "plates", RequestID: "isolated-call", Payload: []byte(`{"run-ms": 1}`)})
	assert.NilError(t, err)
	id, err := client.SubmitJob(api.Work{Entry: "plates", Payload: []byte(`{"run-ms": 1}`)})
	assert.NilError(t, err)
	job, err := client.GetJob(id, 20*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, job.State(), "done", string(job.JSON()))
}

// Guards against a fleet that stops serving while no entry VM can reach the table. Heartbeats with every other member
// must keep the configuration fresh, idempotent calls must run, and requests that need the table must be refused as not
// run.
func TestTableOutageKeepsIdempotentCallsRunning(t *testing.T) {
	var down atomic.Bool
	f := startFleetWith(t, func(_ string, table provider.Table) provider.Table {
		return interruptibleTable{Table: table, down: &down}
	})
	admin := &api.Client{Key: f.AdminKey()}
	for _, m := range f.Members() {
		admin.Addresses = append(admin.Addresses, m.Address())
	}
	grant, err := admin.GrantKey("studio", "submitter", 0)
	assert.NilError(t, err)
	waitInForce(t, admin, grant.Version())

	down.Store(true)
	waitOutLease(t)

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

	// Entry VMs apply a revocation at once, before it is stored in the table.
	ch, err := admin.RevokeKey(grant.KeyID())
	assert.NilError(t, err)
	assert.Assert(t, !ch.InForce())
	for _, address := range admin.Addresses {
		client := &api.Client{Addresses: []string{address}, Key: grant.Secret()}
		_, err := client.Call(api.Work{Entry: "proofs", Payload: []byte(`{"run-ms": 1}`)})
		assert.ErrorContains(t, err, "revoked-key")
	}
	down.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ch, err := admin.RevokeKey(grant.KeyID())
		if err == nil && ch.InForce() {
			return poll.Success()
		}
		return poll.Continue("%v %s", err, ch.JSON())
	}, poll.WithTimeout(inForceBound), poll.WithDelay(200*time.Millisecond))
}

// waitOutLease waits until freshness leases that were last renewed before the call have expired. Entry VMs are fresh
// afterwards only if their leases were renewed since.
func waitOutLease(t *testing.T) {
	t.Helper()
	clock := timer.System{}
	end := clock.Now().Add(freshness.DefaultLeaseDuration + freshness.DefaultGuardInterval)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if clock.Now().After(end) {
			return poll.Success()
		}
		return poll.Continue("the leases haven't expired")
	}, poll.WithTimeout(inForceBound), poll.WithDelay(100*time.Millisecond))
}
