// Package placement selects the backend server that runs a task.
//
// Its input is the backend servers of this entry VM's pools, the tasks reserved on them and the results of finished
// tasks. Its output is a server for a task of a given shape and class, and a plan of which less urgent tasks to
// preempt if no server has free capacity for urgent work. Servers with an outlying failure rate are taken out of
// rotation. Estimator learns sizes and run times of catalogue entries from reports. The package does no I/O: callers
// carry out what it returns.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Placer tracks the backend servers and the capacity reserved on them, and selects servers for tasks. Callers set all
// servers of a pool, including those that other entry VMs own, which are set as not schedulable: NeverFits and the
// limit of a quarter of the servers out of rotation refer to the whole pool. It isn't safe for concurrent use. The
// zero value is ready for use.
type Placer struct {
	// Zone restricts selection to the servers of one availability zone, empty for all zones.
	Zone string
	// RemoteOutOfRotation returns how many servers of a pool other entry VMs have taken out of rotation, as reported
	// in their digests. If it is nil, none are.
	RemoteOutOfRotation func(pool string) int

	servers      map[string]*serverState
	pools        map[string][]*serverState // sorted by id
	starved      map[starvedShapeKey]*starvedShape
	lastCallTime time.Time // the time passed to the latest call, used by calls without a time
}

// serverState is one server with its reservations and its recent results.
type serverState struct {
	server       Server
	registered   bool // false while the server has reservations but SetServer wasn't called for it
	reserved     provider.Shape
	reservations map[string]*reservation
	results      resultHistory

	outOfRotation bool
	outSince      time.Time
	lastProbe     time.Time
}

// reservation is the capacity that one task occupies on a server.
type reservation struct {
	shape          provider.Shape
	preemptionInfo *PreemptionInfo
	throttled      bool
}

func (s *serverState) free() provider.Shape { return s.server.shape.Minus(s.reserved) }

// SetServer adds a server or replaces its attributes. Its reservations are kept.
func (p *Placer) SetServer(s Server) {
	st := p.ensureServer(s.id)
	if st.registered && st.server.pool != s.pool {
		p.removeFromPool(st)
	}
	if !st.registered || st.server.pool != s.pool {
		p.addToPool(st, s.pool)
	}
	st.server, st.registered = s, true
	p.enforceOutLimit(s.pool)
}

// RemoveServer deletes a server and its reservations. It does nothing for an unknown server.
func (p *Placer) RemoveServer(server string) {
	st, ok := p.servers[server]
	if !ok {
		return
	}
	delete(p.servers, server)
	if st.registered {
		p.removeFromPool(st)
	}
}

// Reserve occupies the capacity of a task on a server, even beyond the server's capacity: tasks that were taken over
// with a server are counted whether or not they fit. A second reservation under the same key has no effect. Shapes
// without slots count as one slot.
func (p *Placer) Reserve(server, key string, shape provider.Shape) {
	st := p.ensureServer(server)
	if _, ok := st.reservations[key]; ok {
		return
	}
	shape = atLeastOneSlot(shape)
	st.reservations[key] = &reservation{shape: shape}
	st.reserved = st.reserved.Plus(shape)
}

// SetPreemptionInfo sets how a reserved task may be preempted. A task without this information is never preempted.
func (p *Placer) SetPreemptionInfo(server, key string, info PreemptionInfo) {
	if st, ok := p.servers[server]; ok && st.reservations[key] != nil {
		st.reservations[key].preemptionInfo = &info
	}
}

// Release releases a reservation. It does nothing if there is none.
func (p *Placer) Release(server, key string) {
	st, ok := p.servers[server]
	if !ok || st.reservations[key] == nil {
		return
	}
	st.reserved = st.reserved.Minus(st.reservations[key].shape)
	delete(st.reservations, key)
	if !st.registered && len(st.reservations) == 0 {
		delete(p.servers, server)
	}
}

// SelectServer returns the id of a server of the pool with enough free capacity for a task, empty unless the outcome is
// Selected. It reserves nothing. The entry is the name of the task's catalogue entry.
//
// A server out of rotation is returned only as a probe, once every 10 s and not for urgent work. When no server has had
// capacity for a shape for 2 s, a server is held for that shape: its slots go to no other shape except for urgent work.
func (p *Placer) SelectServer(
	pool, entry string, shape provider.Shape, class queue.Class, now time.Time,
) (string, SelectOutcome) {
	p.lastCallTime = now
	shape = atLeastOneSlot(shape)
	if p.neverFits(pool, shape) {
		return "", NeverFits{}
	}
	st, c := p.choose(pool, entry, shape, class, now)
	switch c {
	case chosenProbe:
		st.lastProbe = now
		return st.server.id, Selected{server: st.server.id}
	case chosenBestFit:
		p.clearStarved(pool, shape)
		return st.server.id, Selected{server: st.server.id}
	case onlyUrgentReserve:
		return "", NoCapacity{}
	default:
		p.recordNoCapacity(pool, shape, now)
		return "", NoCapacity{}
	}
}

// choice says which server was chosen for a task, or why none was.
type choice uint8

const (
	chosenProbe       choice = iota + 1 // a server out of rotation
	chosenBestFit                       // a server in rotation
	onlyUrgentReserve                   // none, because all free slots are reserved for urgent work
	nothingFree                         // none, because no server has enough free capacity
)

// choose selects a server for a task. It changes nothing.
func (p *Placer) choose(
	pool, entry string, shape provider.Shape, class queue.Class, now time.Time,
) (*serverState, choice) {
	needsReserve := class != queue.ClassUrgent && p.FreeSlots(pool)-shape.Slots() < p.urgentReserve(pool)
	if class != queue.ClassUrgent && !needsReserve {
		if st := p.probeCandidate(pool, entry, shape, now); st != nil {
			return st, chosenProbe
		}
	}
	best := p.bestFit(pool, shape, class, shape.Accelerators() > 0)
	if best == nil && shape.Accelerators() == 0 {
		best = p.bestFit(pool, shape, class, true)
	}
	switch {
	case best == nil:
		return nil, nothingFree
	case needsReserve:
		return nil, onlyUrgentReserve
	default:
		return best, chosenBestFit
	}
}

// FreeSlots returns the free slots of the schedulable servers of a pool that are in rotation, including the slots
// reserved for urgent work.
func (p *Placer) FreeSlots(pool string) int {
	free := 0
	for _, st := range p.pools[pool] {
		if p.inRotation(st) {
			free += max(st.free().Slots(), 0)
		}
	}
	return free
}

// Capacity returns the total capacity of the schedulable servers of a pool that are in rotation.
func (p *Placer) Capacity(pool string) provider.Shape {
	var sum provider.Shape
	for _, st := range p.pools[pool] {
		if p.inRotation(st) {
			sum = sum.Plus(st.server.shape)
		}
	}
	return sum
}

// HeldServers returns the ids of the servers of a pool that are held for starved shapes, sorted.
func (p *Placer) HeldServers(pool string) []string {
	var held []string
	for k, s := range p.starved {
		if k.pool == pool && s.held != nil {
			held = append(held, s.held.server.id)
		}
	}
	slices.Sort(held)
	return held
}

// TaskKeys returns the keys of the tasks reserved on a server, sorted.
func (p *Placer) TaskKeys(server string) []string {
	st, ok := p.servers[server]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(st.reservations))
}

// neverFits reports whether the pool has servers and the shape exceeds the capacity of each of them, used or not.
func (p *Placer) neverFits(pool string, shape provider.Shape) bool {
	for _, st := range p.pools[pool] {
		if shape.FitsIn(st.server.shape) {
			return false
		}
	}
	return len(p.pools[pool]) > 0
}

// urgentReserve returns how many free slots of a pool are reserved for urgent work.
func (p *Placer) urgentReserve(pool string) int {
	slots := p.Capacity(pool).Slots()
	if slots < minUrgentReservePoolSlots {
		return 0
	}
	return max(slots/urgentReserveDivisor, 1)
}

// bestFit returns the server with the fewest free slots in the least loaded rack that has a server with enough free
// capacity, nil if there is none. Servers with accelerators are considered only if withAccelerators is set.
func (p *Placer) bestFit(pool string, shape provider.Shape, class queue.Class, withAccelerators bool) *serverState {
	racks := make(map[string]rackLoad)
	for _, st := range p.pools[pool] {
		if p.inRotation(st) {
			racks[st.server.rack] = racks[st.server.rack].plus(st)
		}
	}

	var best *serverState
	for _, st := range p.pools[pool] {
		if p.exclusion(st, shape, class) != ExclusionNone || (!withAccelerators && st.server.shape.Accelerators() > 0) {
			continue
		}
		if best == nil || preferServer(st, best, racks) {
			best = st
		}
	}
	return best
}

// rackLoad is the use of one rack's servers in rotation, in slots.
type rackLoad struct{ reservedSlots, slots int }

func (l rackLoad) plus(st *serverState) rackLoad {
	return rackLoad{reservedSlots: l.reservedSlots + st.reserved.Slots(), slots: l.slots + st.server.shape.Slots()}
}

// preferServer reports whether a is the better fit: in the less loaded rack, or with fewer free slots in the same rack.
// Racks with equal loads are ordered by name.
func preferServer(a, b *serverState, racks map[string]rackLoad) bool {
	if a.server.rack != b.server.rack {
		la, lb := racks[a.server.rack], racks[b.server.rack]
		if l, r := la.reservedSlots*lb.slots, lb.reservedSlots*la.slots; l != r {
			return l < r
		}
		if a.server.rack != b.server.rack {
			return a.server.rack < b.server.rack
		}
	}
	return a.free().Slots() < b.free().Slots()
}

// schedulable reports whether a server may be selected for tasks and is in the zone of the placer.
func (p *Placer) schedulable(st *serverState) bool {
	return st.server.schedulable && (p.Zone == "" || st.server.zone == p.Zone)
}

func (p *Placer) inRotation(st *serverState) bool { return p.schedulable(st) && !st.outOfRotation }

// ensureServer returns the state of a server. It adds an unregistered one if the server is unknown.
func (p *Placer) ensureServer(server string) *serverState {
	st, ok := p.servers[server]
	if ok {
		return st
	}
	if p.servers == nil {
		p.servers = make(map[string]*serverState)
		p.pools = make(map[string][]*serverState)
	}
	st = &serverState{server: Server{id: server}, reservations: make(map[string]*reservation)}
	p.servers[server] = st
	return st
}

func (p *Placer) addToPool(st *serverState, pool string) {
	all := append(p.pools[pool], st)
	slices.SortFunc(all, byID)
	p.pools[pool] = all
}

func (p *Placer) removeFromPool(st *serverState) {
	pool := st.server.pool
	st.outOfRotation, st.results = false, nil
	p.pools[pool] = slices.DeleteFunc(p.pools[pool], func(o *serverState) bool { return o == st })
	if len(p.pools[pool]) == 0 {
		delete(p.pools, pool)
	}
	p.enforceOutLimit(pool)
}

func atLeastOneSlot(s provider.Shape) provider.Shape {
	if s.Slots() > 0 {
		return s
	}
	return provider.NewShape(s.Processors(), s.MemoryMiB(), s.Accelerators(), 1)
}
