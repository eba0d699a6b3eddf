package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxListLag is the longest time by which a list of VMs is older than its request.
const maxListLag = 3 * time.Second

// modelVM is a VM. Its server gets a new id with the maintenance, of which there is one.
type modelVM struct {
	server     string
	state      backend.VMState
	token      uint64
	maintained bool
	sender     string // of the last request that wasn't late
	receivedAt time.Time
}

// vmSnapshot is the platform's list of VMs as it was at some time.
type vmSnapshot struct {
	at  time.Time
	vms []backend.VM
}

// recordVMs keeps the list of VMs for requests that get an old one.
func (m *model) recordVMs() {
	m.vmHistory = append(m.vmHistory, vmSnapshot{at: m.now, vms: m.currentVMs()})
	for len(m.vmHistory) > 1 && m.now.Sub(m.vmHistory[1].at) > maxListLag {
		m.vmHistory = m.vmHistory[1:]
	}
}

// listVMs returns the list of VMs as it was up to maxListLag ago.
func (m *model) listVMs() []backend.VM {
	if !m.chance(m.lateLists, "old list") {
		return m.currentVMs()
	}
	taken := m.now.Add(-m.delay(int(maxListLag / time.Millisecond)))
	for _, s := range slices.Backward(m.vmHistory) {
		if !s.at.After(taken) {
			return s.vms
		}
	}
	return m.currentVMs()
}

// startWave lets operators request the maintenance of all VMs.
func (m *model) startWave() {
	w := directory.Wave{Name: "1", Number: 1, TimeLimit: 10 * time.Second, MaxConcurrent: 2}
	for n := range len(m.vms) {
		w.VMs = append(w.VMs, fmt.Sprintf("m-%d", n))
	}
	m.wave = &w
	m.handle(m.current, fleet.OperationArrived{Operation: w})
}

// operations returns the operators' rows that a new controller reads.
func (m *model) operations() []directory.Operation {
	if m.wave == nil {
		return nil
	}
	return []directory.Operation{*m.wave}
}

// storedWaves returns the stored progress of the wave.
func (m *model) storedWaves() []provider.Row {
	key := fleet.WavesPrefix + "1"
	if value, stored := m.rows[key]; stored {
		return []provider.Row{provider.NewRow(key, value, 1)}
	}
	return nil
}

// requestMaintenance carries out a request for a VM: at once or late, or its response is lost.
func (m *model) requestMaintenance(c *modelController, e fleet.MaintainVM) {
	respond := func(o backend.Outcome) { m.handle(c, fleet.MaintenanceEnded{VM: e.VM, Wave: e.Wave, Outcome: o}) }
	if m.chance(m.lateRequests, "late") {
		m.after(2*time.Second, func() { respond(backend.OutcomeUnknown{Reason: "lost"}) })
		m.after(time.Duration(rapid.IntRange(1, 4).Draw(m.t, "late by"))*time.Second, func() {
			m.late = true
			m.maintain(c.name, e)
			m.late = false
		})
		return
	}
	lost := m.chance(m.lostResponses, "lost")
	m.after(m.delay(4), func() {
		outcome := m.maintain(c.name, e)
		if lost {
			m.after(2*time.Second, func() { respond(backend.OutcomeUnknown{Reason: "lost"}) })
			return
		}
		m.after(m.delay(800), func() { respond(outcome) })
	})
}

// checkPause checks that two entry VMs send no requests for a VM shortly after each other.
func (m *model) checkPause(sender string, vm *modelVM, name string) {
	if m.late {
		return
	}
	if since := m.now.Sub(vm.receivedAt); vm.sender != "" && vm.sender != sender && since < m.pause {
		m.fail("%s sends a request for %s %s after one of %s", sender, name, since, vm.sender)
	}
	vm.sender, vm.receivedAt = sender, m.now
}

// maintain ends the server of a VM, and starts another one under a new id after the maintenance.
func (m *model) maintain(sender string, e fleet.MaintainVM) backend.Outcome {
	vm := m.vms[e.VM]
	m.checkPause(sender, vm, e.VM)
	old := m.servers[vm.server]
	switch {
	case e.Token < vm.token:
		return backend.Refused{Reason: backend.RefusedStaleToken}
	case vm.maintained:
		vm.token = e.Token
		return backend.Accepted{}
	case old.down:
		return backend.Refused{Reason: backend.RefusedBusy}
	}
	m.logf("maintenance of %s ends %s", e.VM, old.id)
	vm.token, vm.maintained, vm.state, vm.server = e.Token, true, backend.VMMaintenance, ""
	for run := range old.running {
		m.longRunning.interrupt(m, run)
	}
	old.down, old.gone = true, true
	clear(old.running)
	m.after(500*time.Millisecond+m.delay(500), func() {
		s := &modelServer{id: old.id + "-1", vm: old.vm}
		m.servers[s.id] = s
		m.boot(s.id)
		vm.state, vm.server = backend.VMUp, s.id
		m.after(m.delay(1000), func() { m.register(m.current, s.id, s) })
	})
	m.after(m.delay(2000), func() {
		old.registered = false
		m.handle(m.current, fleet.ServerUnregistered{ID: old.id})
	})
	return backend.Accepted{}
}

func (m *model) currentVMs() []backend.VM {
	list := make([]backend.VM, 0, len(m.vms))
	for name, v := range m.vms {
		vm := backend.VM{
			Name: name, Pool: "press", State: v.state, Server: v.server, Capacity: workload.NewResources(3000, 3000, 0),
		}
		s, exists := m.servers[v.server]
		if exists && (s.down || s.partitioned && m.mutation == listPartitionedAsDown) {
			vm.State, vm.Server = backend.VMDown, ""
		}
		list = append(list, vm)
	}
	return list
}

// Guards against two concurrent runs of a task, and against jobs that never end, while the VMs of a wave are maintained, controllers
// are killed or paused, and requests are late or get no response.
func TestRunsAreSafeDuringMaintenanceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.slowStore = m.chance(slowStorePercent, "slow store")
		m.lateLists = rapid.SampledFrom([]int{0, 50}).Draw(t, "old lists")
		m.waveStep = rapid.IntRange(0, 5).Draw(t, "wave")
		m.playFaults()
		m.recoverAndCheck(40 * time.Second)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
	})
}
