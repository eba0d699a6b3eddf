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

// StandIn holds the settings of the platform stand-in: its listen address, its leases and its VMs. The stand-in lists
// all of these VMs and runs the backend servers among them. It is immutable.
type StandIn struct {
	listen            string
	leaseDuration     time.Duration
	taskLeaseDuration time.Duration
	vms               []provider.VM
	pools             map[string]string
}

// Listen returns the listen address, as host:port, of the table, the object store and the list of VMs.
func (s *StandIn) Listen() string { return s.listen }

// LeaseDuration returns the duration of the leases that the backend servers grant.
func (s *StandIn) LeaseDuration() time.Duration { return s.leaseDuration }

// TaskLeaseDuration returns the time after which a backend server stops a task without a renewal.
func (s *StandIn) TaskLeaseDuration() time.Duration { return s.taskLeaseDuration }

// VMs returns the VMs sorted by id. Callers must not modify the slice.
func (s *StandIn) VMs() []provider.VM { return s.vms }

// InitialPool returns the initial pool of a VM, empty if none is set. The pool in the configuration takes precedence.
func (s *StandIn) InitialPool(id string) string { return s.pools[id] }

// ParseStandIn parses and validates the settings of the platform stand-in, a YAML document. The error is a
// *document.Error with all problems. The file name is used in messages only.
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
		listen:            root.CheckedText("listen", "", listenRule, validListen),
		leaseDuration:     root.Duration("lease", DefaultLeaseDuration, minDuration, MaxLeaseDuration),
		taskLeaseDuration: root.Duration("task-lease", DefaultTaskLeaseDuration, minDuration, maxTimeout),
		pools:             make(map[string]string),
	}
	// After the owner of a server crashes, its lease lasts up to one lease duration. Entry VMs other than the preferred
	// owner acquire the free server only after another lease duration. Its tasks must keep running until then.
	if s.taskLeaseDuration <= 2*s.leaseDuration {
		root.Report("task-lease", document.FormatDuration(s.taskLeaseDuration),
			"more than twice lease, which is "+document.FormatDuration(2*s.leaseDuration))
	}

	r := &vmReader{
		ids: make(map[string]struct{}), addresses: map[string]struct{}{s.listen: {}}, racks: make(map[string]string),
	}
	for _, section := range root.Sections("vms", maxVMs) {
		vm := r.readVM(section)
		s.vms = append(s.vms, vm)
		if pool := r.readPool(section, vm); pool != "" {
			s.pools[vm.ID()] = pool
		}
	}
	slices.SortFunc(s.vms, func(a, b provider.VM) int { return cmp.Compare(a.ID(), b.ID()) })
	return s
}

// vmReader reads the VMs of a document. It reports duplicate ids and addresses, and racks in several availability
// zones.
type vmReader struct {
	ids       map[string]struct{}
	addresses map[string]struct{}
	racks     map[string]string // availability zone of each rack
}

func (r *vmReader) readVM(s *document.Section) provider.VM {
	s.Require("id", "role", "zone", "rack", "address")
	id := s.CheckedText("id", "", nameRule, catalogue.ValidName)
	zone := s.CheckedText("zone", "", nameRule, catalogue.ValidName)
	rack := s.CheckedText("rack", "", nameRule, catalogue.ValidName)
	address := s.CheckedText("address", "", addressRule, validAddress)
	role := readRole(s)
	shape := s.Section("shape")
	if role == provider.RoleBackendServer {
		shape.Require("processors", "memory", "slots")
	}

	reportDuplicate(s, "id", id, r.ids)
	reportDuplicate(s, "address", address, r.addresses)
	if z, ok := r.racks[rack]; ok && z != zone && rack != "" {
		s.Report("rack", fmt.Sprintf("rack %q, which is in availability zone %q", rack, z), "a rack in one zone only")
	}
	r.racks[rack] = zone
	return provider.NewVM(id, role, zone, rack, address, catalogue.ReadShape(shape, 0), false)
}

func (r *vmReader) readPool(s *document.Section, vm provider.VM) string {
	pool := s.CheckedText("pool", "", nameRule, catalogue.ValidName)
	if pool != "" && vm.Role() == provider.RoleEntryVM {
		s.Report("pool", fmt.Sprintf("pool %q", pool), "no pool for an entry VM")
	}
	return pool
}

// reportDuplicate reports a value of the field that was seen before, and adds the value to seen. It ignores empty
// values.
func reportDuplicate(s *document.Section, name, value string, seen map[string]struct{}) {
	if value == "" {
		return
	}
	if _, ok := seen[value]; ok {
		s.Report(name, fmt.Sprintf("duplicate %s %q", name, value), "a unique "+name)
	}
	seen[value] = struct{}{}
}

// readRole reads the role of a VM. It returns 0 if the role is absent or invalid.
func readRole(s *document.Section) provider.Role {
	switch s.Choice("role", "", "entry", "backend") {
	case "entry":
		return provider.RoleEntryVM
	case "backend":
		return provider.RoleBackendServer
	default:
		return 0
	}
}
