package fleet_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/backend"
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

func (r *rig) listSpareVMs() {
	r.handle(fleet.VMsListed{RequestedAt: r.now, VMs: []backend.VM{
		{Name: "m-1", Pool: "spare", State: backend.VMUp, Capacity: workload.NewResources(8000, 8000, 0)},
		{Name: "m-2", Pool: "spare", State: backend.VMUp, Capacity: workload.NewResources(8000, 8000, 0)},
	}})
}

// Guards against two entry VMs that send requests for the same VM shortly after each other, and against a pause for VMs
// for which the previous controller sent no recent request.
func TestRecentlyRequestedVMsAreBlockedAfterTakeover(t *testing.T) {
	row := provider.NewRow(fleet.VMRequestsKey, []byte(`{"m-1": 1000000000, "m-3": 999990000}`), 1)
	for name, previous := range map[string]fleet.Term{
		"lost":                 {Holder: "other"},
		"resigned":             {},
		"resigned for this VM": {Successor: "entry"},
	} {
		t.Log("previous controller:", name)
		r := newRig(t)
		r.begin(20)
		r.state.RestoreVMRequests(row, previous)
		r.configure(workload.Resources{})
		r.listSpareVMs()
		r.advance(time.Second)
		assert.DeepEqual(t, r.moves(), []string{"m-2"})
		r.listSpareVMs()
		r.advance(2500 * time.Millisecond)
		assert.DeepEqual(t, r.moves(), []string{"m-1"})
	}
}

// Guards against requests for VMs that are sent before their intent is stored: the next controller wouldn't know of
// them.
func TestVMRequestIsStoredBeforeItIsSent(t *testing.T) {
	r := newRig(t)
	r.holdCommits = true
	r.listSpareVMs()
	r.advance(200 * time.Millisecond)
	assert.Equal(t, len(r.moves()), 0)
}
