package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// VMs is an in-memory provider.VMList. Changes appear in List after Lag.
type VMs struct {
	// Clock is required.
	Clock timer.Clock
	// Faults may be changed while the list is in use.
	Faults Faults
	// Lag is the time after which a change appears in List.
	Lag time.Duration

	mu      sync.Mutex
	actual  map[string]provider.VM
	visible map[string]provider.VM
	pending []vmChange
}

var _ provider.VMList = (*VMs)(nil)

// vmChange adds or replaces a VM by its id, or removes it if removed is set.
type vmChange struct {
	due     time.Time
	vm      provider.VM
	removed bool
}

// Set adds or replaces a VM.
func (l *VMs) Set(vm provider.VM) { l.change(vmChange{vm: vm}) }

// SetLeaving sets whether the platform has announced that it will remove the VM. It returns false if there is no such
// VM.
func (l *VMs) SetLeaving(id string, leaving bool) bool {
	vm, ok := l.find(id)
	if !ok {
		return false
	}
	l.Set(provider.NewVM(vm.ID(), vm.Role(), vm.Zone(), vm.Rack(), vm.Address(), vm.Shape(), leaving))
	return true
}

// Remove removes a VM. It returns false if there is no such VM.
func (l *VMs) Remove(id string) bool {
	vm, ok := l.find(id)
	if !ok {
		return false
	}
	l.change(vmChange{vm: vm, removed: true})
	return true
}

// Actual returns the VMs without lag, in order of their ids. Faults don't affect it.
func (l *VMs) Actual() []provider.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedVMs(l.actual)
}

// List implements provider.VMList.
func (l *VMs) List(ctx context.Context) provider.ListOutcome {
	var o provider.ListOutcome
	switch l.Faults.call(ctx, l.Clock, false, func(now time.Time) { o = l.list(now) }) {
	case unreachable:
		return provider.NewUnavailable(reasonDown)
	case replyLost:
		return provider.NewUnavailable(reasonNoReply)
	}
	return o
}

// Replace replaces the list immediately, without lag.
func (l *VMs) Replace(vms []provider.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actual = make(map[string]provider.VM)
	l.visible = make(map[string]provider.VM)
	l.pending = nil
	for _, vm := range vms {
		l.actual[vm.ID()] = vm
		l.visible[vm.ID()] = vm
	}
}

func (l *VMs) find(id string) (provider.VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vm, ok := l.actual[id]
	return vm, ok
}

func (l *VMs) change(c vmChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actual == nil {
		l.actual = make(map[string]provider.VM)
	}
	c.apply(l.actual)
	c.due = l.Clock.Now().Add(l.Lag)
	l.pending = append(l.pending, c)
}

func (l *VMs) list(now time.Time) provider.ListOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.visible == nil {
		l.visible = make(map[string]provider.VM)
	}
	for len(l.pending) > 0 && !l.pending[0].due.After(now) {
		l.pending[0].apply(l.visible)
		l.pending = l.pending[1:]
	}
	return provider.NewVMs(sortedVMs(l.visible))
}

func (c vmChange) apply(vms map[string]provider.VM) {
	if c.removed {
		delete(vms, c.vm.ID())
		return
	}
	vms[c.vm.ID()] = c.vm
}

func sortedVMs(vms map[string]provider.VM) []provider.VM {
	sorted := make([]provider.VM, 0, len(vms))
	for _, vm := range vms {
		sorted = append(sorted, vm)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID() < sorted[j].ID() })
	return sorted
}
