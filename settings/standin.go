package settings

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/document"
	"github.com/pistachiolead/pistachiolead/provider"
)

// StandIn is the document of the platform stand-in: where it listens, and the VMs that it lists and, for backend
// servers, runs. It is immutable.
type StandIn struct {
	listen    string
	lease     time.Duration
	taskLease time.Duration
	vms       []provider.VM
	pools     map[string]string
}

// Listen returns host:port of the table, the object store and the list of VMs.
func (s *StandIn) Listen() string { return s.listen }

// Lease returns the duration of the leases that the backend servers grant.
func (s *StandIn) Lease() time.Duration { return s.lease }

// TaskLease returns the time after which a backend server stops a task that nobody renews.
func (s *StandIn) TaskLease() time.Duration { return s.taskLease }

// VMs returns the VMs in order of their ids. Callers must not modify the slice.
func (s *StandIn) VMs() []provider.VM { return s.vms }

// Pool returns the pool that a VM is in at first, empty if none is given. The configuration takes precedence.
func (s *StandIn) Pool(id string) string { return s.pools[id] }

// ParseStandIn reads the document of the platform stand-in. Errors are those of Parse.
func ParseStandIn(data []byte, file string) (*StandIn, error) {
	d := document.ParseYAML(data, file)
	s := readStandIn(d.Root())
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readStandIn(root *document.Section) *StandIn {
	root.Require("listen", "vms")
	s := &StandIn{
		listen:    root.Checked("listen", "", listenRule, validListen),
		lease:     root.Duration("lease", DefaultLease, shortest, LongestLease),
		taskLease: root.Duration("task-lease", DefaultTaskLease, shortest, longestLimit),
		pools:     make(map[string]string),
	}
	// A server whose owner died is free after one lease and may be acquired by a second choice after another.
	if s.taskLease <= 2*s.lease {
		root.Report("task-lease", document.FormatDuration(s.taskLease),
			"more than twice lease, which is "+document.FormatDuration(2*s.lease))
	}

	r := &fleetReader{ids: make(map[string]struct{}), addresses: map[string]struct{}{s.listen: {}}, racks: make(map[string]string)}
	for _, v := range root.Sections("vms", maxVMs) {
		vm := r.readVM(v)
		s.vms = append(s.vms, vm)
		if pool := r.readPool(v, vm); pool != "" {
			s.pools[vm.ID()] = pool
		}
	}
	slices.SortFunc(s.vms, func(a, b provider.VM) int { return cmp.Compare(a.ID(), b.ID()) })
	return s
}

// fleetReader checks what the VMs of one document must not share.
type fleetReader struct {
	ids       map[string]struct{}
	addresses map[string]struct{}
	racks     map[string]string
}

func (r *fleetReader) readVM(s *document.Section) provider.VM {
	s.Require("id", "role", "zone", "rack", "address")
	id := s.Checked("id", "", nameRule, catalogue.ValidName)
	zone := s.Checked("zone", "", nameRule, catalogue.ValidName)
	rack := s.Checked("rack", "", nameRule, catalogue.ValidName)
	address := s.Checked("address", "", addressRule, validAddress)
	role := readRole(s)
	shape := s.Section("shape")
	if role == provider.RoleBackend {
		shape.Require("processors", "memory", "slots")
	}

	once(s, "id", id, r.ids)
	once(s, "address", address, r.addresses)
	if z, ok := r.racks[rack]; ok && z != zone && rack != "" {
		s.Report("rack", fmt.Sprintf("rack %q, which is in availability zone %q", rack, z), "racks of one zone")
	}
	r.racks[rack] = zone
	return provider.NewVM(id, role, zone, rack, address, catalogue.ReadShape(shape, 0), false)
}

func (r *fleetReader) readPool(s *document.Section, vm provider.VM) string {
	pool := s.Checked("pool", "", nameRule, catalogue.ValidName)
	if pool != "" && vm.Role() == provider.RoleEntry {
		s.Report("pool", fmt.Sprintf("pool %q", pool), "no pool for an entry VM")
	}
	return pool
}

func once(s *document.Section, name, value string, seen map[string]struct{}) {
	if value == "" {
		return
	}
	if _, ok := seen[value]; ok {
		s.Report(name, fmt.Sprintf("%q again", value), "each one once")
	}
	seen[value] = struct{}{}
}

func readRole(s *document.Section) provider.Role {
	switch s.Choice("role", "", "entry", "backend") {
	case "entry":
		return provider.RoleEntry
	case "backend":
		return provider.RoleBackend
	default:
		return 0
	}
}
