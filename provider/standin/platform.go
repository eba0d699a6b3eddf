package standin

import (
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Platform is a simulated platform with all its services and backend servers.
type Platform struct {
	// Table, Objects and VMs are the platform's services.
	Table   *Table
	Objects *Objects
	VMs     *VMs
	// Backends holds a backend server for each VM of RoleBackendServer, by VM id.
	Backends map[string]*Backend
	// Counters counts the tasks of all backend servers.
	Counters *Counters
	// Checkpoints is shared by all backend servers.
	Checkpoints *Checkpoints
}

// NewPlatform returns a platform with the given VMs. Its list of VMs contains them immediately, without lag.
func NewPlatform(vms []provider.VM, t timer.Clock) *Platform {
	p := &Platform{
		Table:       &Table{Clock: t},
		Objects:     &Objects{Clock: t},
		VMs:         &VMs{Clock: t},
		Backends:    make(map[string]*Backend),
		Counters:    &Counters{},
		Checkpoints: &Checkpoints{},
	}
	p.VMs.Replace(vms)
	for _, vm := range vms {
		if vm.Role() != provider.RoleBackendServer {
			continue
		}
		b := &Backend{VM: vm, Clock: t, Checkpoints: p.Checkpoints, PlatformCounters: p.Counters}
		b.startProcess()
		p.Backends[vm.ID()] = b
	}
	return p
}

// StopVM removes a VM without notice, and returns false if there is no such VM. The list of VMs shows the removal after
// its lag. If the VM is a backend server, it loses its tasks and stays down.
func (p *Platform) StopVM(id string) bool {
	if !p.VMs.Remove(id) {
		return false
	}
	if b, ok := p.Backends[id]; ok {
		b.Faults.SetDown(Always{})
		b.Restart()
	}
	return true
}
