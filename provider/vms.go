package provider

import "context"

// VMList is the platform's list of VMs. It is eventually consistent: changes appear seconds later.
type VMList interface {
	// List returns all VMs of the platform, in order of their ids.
	List(ctx context.Context) ListOutcome
}

// ListOutcome is the outcome of VMList.List: VMs or Unavailable.
type ListOutcome interface{ listOutcome() }

// VMs is the outcome of a successful List.
type VMs struct{ vms []VM }

// NewVMs returns a VMs outcome.
func NewVMs(vms []VM) VMs { return VMs{vms: vms} }

// VMs returns the VMs in order of their ids. Callers must not modify the slice.
func (v VMs) VMs() []VM { return v.vms }

func (VMs) listOutcome()         {}
func (Unavailable) listOutcome() {}

// Role is the purpose of a VM: entry VM or backend server.
type Role uint8

// Roles of VMs.
const (
	RoleEntryVM Role = iota + 1
	RoleBackendServer
)

// Shape is the set of resources that a VM provides or a task declares.
type Shape struct {
	processors   int
	memoryMiB    int
	accelerators int
	slots        int
}

// NewShape returns a shape of processors (cores), memory (MiB), accelerators and task slots.
func NewShape(processors, memoryMiB, accelerators, slots int) Shape {
	return Shape{processors: processors, memoryMiB: memoryMiB, accelerators: accelerators, slots: slots}
}

// Processors returns the number of cores.
func (s Shape) Processors() int { return s.processors }

// MemoryMiB returns the memory in MiB.
func (s Shape) MemoryMiB() int { return s.memoryMiB }

// Accelerators returns the number of accelerators.
func (s Shape) Accelerators() int { return s.accelerators }

// Slots returns the number of task slots.
func (s Shape) Slots() int { return s.slots }

// FitsIn reports whether every resource of s is within that of free.
func (s Shape) FitsIn(free Shape) bool {
	return s.processors <= free.processors && s.memoryMiB <= free.memoryMiB &&
		s.accelerators <= free.accelerators && s.slots <= free.slots
}

// Plus returns the sum of two shapes.
func (s Shape) Plus(o Shape) Shape {
	return Shape{
		processors:   s.processors + o.processors,
		memoryMiB:    s.memoryMiB + o.memoryMiB,
		accelerators: s.accelerators + o.accelerators,
		slots:        s.slots + o.slots,
	}
}

// Minus returns the difference of two shapes. Single resources may be negative.
func (s Shape) Minus(o Shape) Shape {
	return Shape{
		processors:   s.processors - o.processors,
		memoryMiB:    s.memoryMiB - o.memoryMiB,
		accelerators: s.accelerators - o.accelerators,
		slots:        s.slots - o.slots,
	}
}

// VM is one VM of the platform. Ids of VMs are never reused, while addresses may be.
type VM struct {
	id      string
	role    Role
	zone    string
	rack    string
	address string
	shape   Shape
	leaving bool
}

// NewVM returns a VM. The address is host:port of its service.
func NewVM(id string, role Role, zone, rack, address string, shape Shape, leaving bool) VM {
	return VM{id: id, role: role, zone: zone, rack: rack, address: address, shape: shape, leaving: leaving}
}

// ID returns the VM's id.
func (v VM) ID() string { return v.id }

// Role returns the purpose of the VM.
func (v VM) Role() Role { return v.role }

// Zone returns the VM's availability zone.
func (v VM) Zone() string { return v.zone }

// Rack returns the VM's rack.
func (v VM) Rack() string { return v.rack }

// Address returns host:port of the VM's service.
func (v VM) Address() string { return v.address }

// Shape returns the VM's total resources.
func (v VM) Shape() Shape { return v.shape }

// Leaving reports whether the platform has announced that it will remove the VM.
func (v VM) Leaving() bool { return v.leaving }
