package fleet_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

func (r *rig) moves() []string {
	var vms []string
	for _, e := range r.takeEffects() {
		if m, ok := e.(fleet.MoveVM); ok {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

func (r *rig) listSpareVMs(names ...string) {
	var list []backend.VM
	for _, name := range names {
		list = append(list, backend.VM{
			Name: name, Pool: "spare", State: backend.VMUp, Capacity: workload.NewResources(8000, 8000, 0),
		})
	}
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: list})
}

// changeLeader starts the term of another entry VM, which restores the stored requests for VMs.
func (r *rig) changeLeader(entryVM string) {
	r.t.Helper()
	r.entryVM = entryVM
	r.restart()
	if data, stored := r.rows[fleet.VMRequestsKey]; stored {
		r.state.RestoreVMRequests(provider.NewRow(fleet.VMRequestsKey, data, r.version))
	}
	r.takeEffects()
}

// Guards against two entry VMs that send requests for the same VM shortly after each other, and against a pause for VMs
// for which no other entry VM sent a recent request. The rows of earlier releases hold times without senders.
func TestRecentlyRequestedVMsAreBlockedAfterTakeover(t *testing.T) {
	for name, row := range map[string]string{
		"another entry VM": `{"senders":[{"entry-vm":"other","ages-ms":{"m-1":0,"m-3":4000}}]}`,
		"earlier release":  `{"m-1": 1000000000, "m-3": 999980000}`,
		"several entry VMs": `{"senders":[{"entry-vm":"entry","ages-ms":{"m-3":0}},
			{"entry-vm":"other","ages-ms":{"m-1":0}},{"entry-vm":"third","ages-ms":{"m-2":3500}}]}`,
	} {
		t.Log("requests of:", name)
		r := newRig(t)
		r.rows[fleet.VMRequestsKey] = []byte(row)
		r.changeLeader("entry")
		r.listSpareVMs("m-1", "m-2", "m-3")
		r.advance(time.Second)
		assert.DeepEqual(t, r.moves(), []string{"m-2", "m-3"})
		r.listSpareVMs("m-1", "m-2", "m-3")
		r.advance(2500 * time.Millisecond)
		assert.DeepEqual(t, r.moves(), []string{"m-1"})
	}
}

// Guards against requests for VMs that are sent before their intent is stored: the next controller wouldn't know of
// them.
func TestVMRequestIsStoredBeforeItIsSent(t *testing.T) {
	r := newRig(t)
	r.holdCommits = true
	r.listSpareVMs("m-1", "m-2")
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.moves()), 0)
}

// Guards against a leader that sends requests for VMs for which the leader before the previous one sent some shortly before: the
// previous one stored requests of its own meanwhile.
func TestVMPauseOutlastsSeveralHandovers(t *testing.T) {
	for name, leaders := range map[string][]string{
		"three entry VMs":                       {"first", "second", "third"},
		"the previous leader was the same VM":   {"first", "second", "second"},
		"a leader that sent nothing in between": {"first", "second", "idle", "third"},
	} {
		t.Log(name)
		r := newRig(t)
		r.changeLeader(leaders[0])
		r.listSpareVMs("m-1")
		r.advance(300 * time.Millisecond)
		assert.DeepEqual(t, r.moves(), []string{"m-1"})
		first := r.now
		r.changeLeader(leaders[1])
		r.listSpareVMs("m-1", "m-2")
		r.advance(300 * time.Millisecond)
		assert.DeepEqual(t, r.moves(), []string{"m-2"})
		for _, leader := range leaders[2:] {
			r.changeLeader(leader)
			if leader != "idle" {
				r.listSpareVMs("m-1")
			}
			r.advance(300 * time.Millisecond)
		}
		for range 60 {
			if moved := r.moves(); len(moved) > 0 {
				assert.DeepEqual(t, moved, []string{"m-1"})
				break
			}
			r.listSpareVMs("m-1")
			r.advance(100 * time.Millisecond)
		}
		// From when the first request was sent, but for the time until its commit was carried out.
		pause := r.now.Sub(first)
		assert.Assert(t, pause > 2800*time.Millisecond && pause < 6*time.Second, "after %s", pause)
	}
}

// heldCommit returns the last commit since the last call of takeEffects.
func (r *rig) heldCommit() fleet.Commit {
	r.t.Helper()
	for _, e := range slices.Backward(r.takeEffects()) {
		if c, ok := e.(fleet.Commit); ok {
			return c
		}
	}
	r.t.Fatal("no commit")
	return fleet.Commit{}
}

// Guards against a request for a VM that is sent after the term because the response of the store was late: the next leader may have
// read the stored requests already, and its pause doesn't count from then. It is sent once the term is renewed.
func TestVMRequestIsNotSentAfterTheTerm(t *testing.T) {
	r := newRig(t)
	r.holdCommits = true
	r.listSpareVMs("m-1")
	r.advance(100 * time.Millisecond)
	stores := r.heldCommit()
	assert.Equal(t, stores.Transaction.Writes()[0].Key(), fleet.VMRequestsKey)
	r.advance(4 * time.Second)
	assert.Equal(t, len(r.moves()), 0)
	r.commit(stores)
	r.settle()
	for _, e := range r.effects {
		_, sent := e.(fleet.MoveVM)
		assert.Assert(t, !sent, "sent after the term")
	}
	r.commit(r.heldCommit())
	r.settle()
	assert.DeepEqual(t, r.moves(), []string{"m-1"})
}

// storedVMs returns the VMs in the row of recent requests, with their ages.
func (r *rig) storedVMs() map[string]int64 {
	r.t.Helper()
	var row struct {
		Senders []struct {
			AgesMS map[string]int64 `json:"ages-ms"`
		} `json:"senders"`
	}
	assert.NilError(r.t, json.Unmarshal(r.rows[fleet.VMRequestsKey], &row))
	stored := make(map[string]int64)
	for _, sender := range row.Senders {
		maps.Copy(stored, sender.AgesMS)
	}
	return stored
}

// Guards against a row of recent requests that grows without end, or that keeps requests after their pause, also of earlier leaders.
func TestStoredVMRequestsVanish(t *testing.T) {
	r := newRig(t)
	for n, leader := range []string{"first", "second", "third", "fourth"} {
		r.changeLeader(leader)
		r.listSpareVMs(fmt.Sprint("m-", n))
		r.advance(500 * time.Millisecond)
		assert.Equal(t, len(r.moves()), 1)
		r.handle(fleet.VMMoveEnded{VM: fmt.Sprint("m-", n), Outcome: backend.Accepted{}})
	}
	assert.Equal(t, len(r.storedVMs()), 4)
	r.listSpareVMs()
	r.advance(8 * time.Second)
	assert.Equal(t, len(r.storedVMs()), 0)
	row := r.rows[fleet.VMRequestsKey]
	r.takeEffects()
	writes := 0
	for range 50 {
		r.advance(100 * time.Millisecond)
		for _, e := range r.takeEffects() {
			if c, ok := e.(fleet.Commit); ok {
				for _, w := range c.Transaction.Writes() {
					if w.Key() == fleet.VMRequestsKey {
						writes++
					}
				}
			}
		}
	}
	assert.Equal(t, writes, 0, "the empty row %s is written again", row)
}

// Guards against a pause that counts from when the request was sent while the platform may receive it later.
func TestVMRequestInFlightIsStoredAsNew(t *testing.T) {
	r := newRig(t)
	r.listSpareVMs("m-1")
	r.advance(2500 * time.Millisecond)
	assert.Equal(t, r.storedVMs()["m-1"], int64(0))
	r.handle(fleet.VMMoveEnded{VM: "m-1", Outcome: backend.OutcomeUnknown{}})
	r.advance(2500 * time.Millisecond)
	age := r.storedVMs()["m-1"]
	assert.Assert(t, age > 1000 && age <= 2600, "age %d", age)
}

// Guards against a row that the store rejects for its size: requests for more VMs wait.
func TestStoredVMRequestsFitIntoARow(t *testing.T) {
	r := newRig(t)
	wave := directory.Wave{Name: "1", Number: 1, TimeLimit: time.Minute, MaxConcurrent: 1500}
	for n := range 1500 {
		wave.VMs = append(wave.VMs, fmt.Sprintf("%0100d", n))
	}
	r.handle(fleet.OperationArrived{Operation: wave})
	requests, longest := 0, 0
	for range 300 {
		r.listSpareVMs(wave.VMs...)
		for _, vm := range r.maintained() {
			requests++
			r.handle(fleet.MaintenanceEnded{VM: vm, Wave: 1, Outcome: backend.Accepted{}})
		}
		longest = max(longest, len(r.rows[fleet.VMRequestsKey]))
		r.advance(100 * time.Millisecond)
	}
	assert.Assert(t, longest > 32_000 && longest < 64_000, "%d bytes", longest)
	assert.Equal(t, requests, 1500)
}

// Guards against a pause that is shorter or longer because the times of day of two entry VMs differ.
func TestVMPauseDoesNotDependOnTheTimeOfDay(t *testing.T) {
	for _, skew := range []time.Duration{-3 * time.Second, 0, 3 * time.Second} {
		t.Log("the next leader's time of day differs by", skew)
		r := newRig(t)
		r.listSpareVMs("m-1")
		r.advance(300 * time.Millisecond)
		assert.DeepEqual(t, r.moves(), []string{"m-1"})
		r.handle(fleet.VMMoveEnded{VM: "m-1", Outcome: backend.Accepted{}})
		r.advance(1500 * time.Millisecond)
		r.now = r.now.Add(skew)
		began := r.now
		r.changeLeader("other")
		r.listSpareVMs("m-1")
		for range 60 {
			r.advance(100 * time.Millisecond)
			if len(r.moves()) > 0 {
				break
			}
			r.listSpareVMs("m-1")
		}
		paused := r.now.Sub(began)
		assert.Assert(t, paused > 1500*time.Millisecond && paused < 3500*time.Millisecond, "%s", paused)
	}
}
