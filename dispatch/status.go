package dispatch

import (
	"maps"
	"slices"
)

// StatusQueried queries the status of the entry VM and its view of the fleet.
type StatusQueried struct{ ticket uint64 }

// NewStatusQueried returns a StatusQueried event. A Status outcome is replied to the ticket.
func NewStatusQueried(ticket uint64) StatusQueried { return StatusQueried{ticket: ticket} }

// NewStatusQueriedEvent is like NewStatusQueried, but returns the interface type Event.
func NewStatusQueriedEvent(ticket uint64) Event { return NewStatusQueried(ticket) }

func (StatusQueried) event() {}

// Status is the status of an entry VM and its view of the fleet.
type Status struct {
	entryVM, zone string
	version       uint64
	fresh         bool
	draining      bool
	members       []string
	owned         []string
	queued        int
	running       int
	jobs          int
	zones         []ZoneStatus
	pools         []PoolStatus
	teams         []TeamStatus
	vms           []VMStatus
}

func (Status) outcome() {}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	name    string
	out     bool
	servers int
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	name   string
	spare  bool
	vms    int
	absent int
	budget int
	free   int
}

// TeamStatus is the state of a team at this entry VM.
type TeamStatus struct {
	name    string
	limit   int
	running int
	queued  int
}

// VMStatus is the state of a backend server VM.
type VMStatus struct {
	id, zone, rack, pool string
	out, leaving         bool
}

// EntryVM returns the id of the entry VM that the status is from.
func (s Status) EntryVM() string { return s.entryVM }

// Zone returns the availability zone of the entry VM.
func (s Status) Zone() string { return s.zone }

// Version returns the configuration version that the entry VM holds.
func (s Status) Version() uint64 { return s.version }

// Fresh reports whether the entry VM's configuration is fresh, so that it may start new work.
func (s Status) Fresh() bool { return s.fresh }

// Draining reports whether the entry VM is in a planned stop.
func (s Status) Draining() bool { return s.draining }

// Members returns the ids of the live entry VMs.
func (s Status) Members() []string { return s.members }

// Owned returns the ids of the backend servers that the entry VM owns.
func (s Status) Owned() []string { return s.owned }

// Queued returns the number of requests queued at the entry VM.
func (s Status) Queued() int { return s.queued }

// Running returns the number of tasks that the entry VM counts as running.
func (s Status) Running() int { return s.running }

// Jobs returns the number of unfinished jobs of the whole fleet.
func (s Status) Jobs() int { return s.jobs }

// Zones returns the availability zones, sorted by name.
func (s Status) Zones() []ZoneStatus { return s.zones }

// Pools returns the pools, sorted by name.
func (s Status) Pools() []PoolStatus { return s.pools }

// Teams returns the teams, sorted by name.
func (s Status) Teams() []TeamStatus { return s.teams }

// VMs returns the backend server VMs, sorted by id.
func (s Status) VMs() []VMStatus { return s.vms }

// Name returns the zone's name.
func (z ZoneStatus) Name() string { return z.name }

// OutOfService reports whether operators took the zone out of service.
func (z ZoneStatus) OutOfService() bool { return z.out }

// Servers returns the number of listed backend servers in the zone.
func (z ZoneStatus) Servers() int { return z.servers }

// Name returns the pool's name.
func (p PoolStatus) Name() string { return p.name }

// Spare reports whether the pool is the spare pool.
func (p PoolStatus) Spare() bool { return p.spare }

// VMs returns the number of listed VMs in the pool.
func (p PoolStatus) VMs() int { return p.vms }

// Absent returns the number of VMs of the pool that are out of service, planned or unplanned.
func (p PoolStatus) Absent() int { return p.absent }

// Budget returns the pool's availability budget: the largest number of VMs that may be absent.
func (p PoolStatus) Budget() int { return p.budget }

// FreeSlots returns the number of free slots in the pool on the backend servers that the entry VM owns.
func (p PoolStatus) FreeSlots() int { return p.free }

// Name returns the team's name.
func (t TeamStatus) Name() string { return t.name }

// Limit returns the team's limit of slots across the fleet.
func (t TeamStatus) Limit() int { return t.limit }

// Running returns the number of the team's tasks that the entry VM counts as running.
func (t TeamStatus) Running() int { return t.running }

// Queued returns the number of the team's requests queued at the entry VM.
func (t TeamStatus) Queued() int { return t.queued }

// ID returns the VM's id.
func (v VMStatus) ID() string { return v.id }

// Zone returns the VM's availability zone.
func (v VMStatus) Zone() string { return v.zone }

// Rack returns the VM's rack.
func (v VMStatus) Rack() string { return v.rack }

// Pool returns the VM's pool.
func (v VMStatus) Pool() string { return v.pool }

// OutOfService reports whether operators took the VM out of service.
func (v VMStatus) OutOfService() bool { return v.out }

// Leaving reports whether the platform is about to remove the VM.
func (v VMStatus) Leaving() bool { return v.leaving }

func (s *State) status() Status {
	st := Status{
		entryVM: s.EntryVM, zone: s.Zone, version: s.config.Version(), fresh: s.FreshnessLease.Fresh(s.now),
		draining: s.drain.started, members: s.Membership.Live(), owned: s.Ownership.Owned(),
		queued: s.Queue.Len(), running: len(s.runs), jobs: len(s.jobs),
	}
	servers := make(map[string]int)
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		v := s.vms[id]
		servers[v.Zone()]++
		st.vms = append(st.vms, VMStatus{
			id: id, zone: v.Zone(), rack: v.Rack(), pool: s.poolOf(id),
			out: s.config.VM(id).OutOfService(), leaving: v.Leaving(),
		})
	}
	for _, z := range s.config.Zones() {
		servers[z] += 0
	}
	for _, z := range slices.Sorted(maps.Keys(servers)) {
		st.zones = append(st.zones, ZoneStatus{name: z, out: s.config.Zone(z).OutOfService(), servers: servers[z]})
	}
	for _, p := range s.config.Catalogue().Pools() {
		st.pools = append(st.pools, s.poolStatus(p.Name(), p.Spare(), p.Budget()))
	}
	for _, t := range s.config.Catalogue().Teams() {
		st.teams = append(st.teams, TeamStatus{
			name: t.Name(), limit: t.Limit(), running: s.Ledger.Running(t.Name()), queued: s.Queue.Backlog(t.Name()),
		})
	}
	return st
}

func (s *State) poolStatus(name string, spare bool, budget int) PoolStatus {
	p := PoolStatus{name: name, spare: spare, budget: budget, absent: s.absentIn(name, ""), free: s.Placer.FreeSlots(name)}
	for id := range s.vms {
		if s.poolOf(id) == name {
			p.vms++
		}
	}
	return p
}
