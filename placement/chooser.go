// Package placement chooses the backend server for each piece of work, takes failing servers out of rotation, plans
// what to interrupt for urgent work, and learns sizes and run times.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Chooser knows the backend servers and what is reserved on them. All servers of a pool are set, those that other entry
// VMs own as not usable, so that what never fits and the quarter that may be out of rotation refer to the whole pool. It
// isn't safe for concurrent use. The zero value is ready for use.
type Chooser struct {
	// Zone is the availability zone whose servers are given work, empty for all.
	Zone string
	// OutElsewhere returns how many servers of a pool other entry VMs have out of rotation, from their digests. It may
	// be nil.
	OutElsewhere func(pool string) int

	servers   map[string]*state
	pools     map[string][]*state // in order of ids
	shortages map[shortageKey]*shortage
	latest    time.Time // of the calls that carry a time
}

// state is one server with its reservations.
type state struct {
	server  Server
	known   bool // false for a server that has reservations but wasn't set
	used    provider.Shape
	tasks   map[string]*task
	history history

	out    bool
	outAt  time.Time
	probed time.Time
}

type task struct {
	shape     provider.Shape
	traits    *Traits
	throttled bool
}

func (s *state) free() provider.Shape { return s.server.shape.Minus(s.used) }

// SetServer adds a server or replaces what is known of it. Reservations are kept.
func (c *Chooser) SetServer(s Server) {
	st := c.state(s.id)
	if st.known && st.server.pool != s.pool {
		c.leavePool(st)
	}
	if !st.known || st.server.pool != s.pool {
		c.joinPool(st, s.pool)
	}
	st.server, st.known = s, true
	c.limitOut(s.pool)
}

// Remove forgets a server and its reservations.
func (c *Chooser) Remove(server string) {
	st, ok := c.servers[server]
	if !ok {
		return
	}
	delete(c.servers, server)
	if st.known {
		c.leavePool(st)
	}
}

// Reserve counts a task on a server, whether or not it fits: tasks that were taken over with a server are counted too.
// A task that is reserved there already is left as it is.
func (c *Chooser) Reserve(server, key string, shape provider.Shape) {
	st := c.state(server)
	if _, ok := st.tasks[key]; ok {
		return
	}
	shape = atLeastOneSlot(shape)
	st.tasks[key] = &task{shape: shape}
	st.used = st.used.Plus(shape)
}

// Describe sets what may be done to a reserved task. A task without traits is never interrupted.
func (c *Chooser) Describe(server, key string, t Traits) {
	if st, ok := c.servers[server]; ok && st.tasks[key] != nil {
		st.tasks[key].traits = &t
	}
}

// Free ends a reservation. It does nothing if there is none.
func (c *Chooser) Free(server, key string) {
	st, ok := c.servers[server]
	if !ok || st.tasks[key] == nil {
		return
	}
	st.used = st.used.Minus(st.tasks[key].shape)
	delete(st.tasks, key)
	if !st.known && len(st.tasks) == 0 {
		delete(c.servers, server)
	}
}

// Choose returns a server of the pool with room for the work, and reserves nothing. Servers out of rotation are chosen
// only for one probe every 10 s, and not for urgent work. When a shape has found no room for 2 s, a server is held for it:
// other shapes are not given its slots, unless they are urgent.
func (c *Chooser) Choose(pool, entry string, shape provider.Shape, class queue.Class, now time.Time) (string, Outcome) {
	c.latest = now
	shape = atLeastOneSlot(shape)
	if c.neverFits(pool, shape) {
		return "", NeverFits{}
	}
	kept := class != queue.Urgent && c.FreeSlots(pool)-shape.Slots() < c.reserved(pool)
	if class != queue.Urgent && !kept {
		if st := c.probe(pool, entry, shape, now); st != nil {
			st.probed = now
			return st.server.id, Chosen{server: st.server.id}
		}
	}

	best := c.fit(pool, shape, class, shape.Accelerators() > 0)
	if best == nil && shape.Accelerators() == 0 {
		best = c.fit(pool, shape, class, true)
	}
	if best == nil {
		c.refused(pool, shape, now)
		return "", NoRoom{}
	}
	if kept {
		return "", NoRoom{}
	}
	c.placed(pool, shape)
	return best.server.id, Chosen{server: best.server.id}
}

// FreeSlots returns the free slots of the servers of a pool that may be given work, those reserved for urgent work
// included.
func (c *Chooser) FreeSlots(pool string) int {
	free := 0
	for _, st := range c.pools[pool] {
		if c.inRotation(st) {
			free += max(st.free().Slots(), 0)
		}
	}
	return free
}

// Capacity returns the capacity of the servers of a pool that may be given work.
func (c *Chooser) Capacity(pool string) provider.Shape {
	var sum provider.Shape
	for _, st := range c.pools[pool] {
		if c.inRotation(st) {
			sum = sum.Plus(st.server.shape)
		}
	}
	return sum
}

// Held returns the servers of a pool that are held for shapes that find no room, in order of their ids.
func (c *Chooser) Held(pool string) []string {
	var held []string
	for k, s := range c.shortages {
		if k.pool == pool && s.held != nil {
			held = append(held, s.held.server.id)
		}
	}
	slices.Sort(held)
	return held
}

// Tasks returns the keys of the tasks reserved on a server in sorted order.
func (c *Chooser) Tasks(server string) []string {
	st, ok := c.servers[server]
	if !ok {
		return nil
	}
	return slices.Sorted(maps.Keys(st.tasks))
}

func (c *Chooser) neverFits(pool string, shape provider.Shape) bool {
	for _, st := range c.pools[pool] {
		if shape.Fits(st.server.shape) {
			return false
		}
	}
	return len(c.pools[pool]) > 0
}

// reserved returns how many free slots of a pool are kept for urgent work.
func (c *Chooser) reserved(pool string) int {
	slots := c.Capacity(pool).Slots()
	if slots < minReservePool {
		return 0
	}
	return max(slots/reserveDivisor, 1)
}

// fit returns the server with the fewest slots left over in the least loaded rack with room. Servers with accelerators
// are considered only if accelerated is set.
func (c *Chooser) fit(pool string, shape provider.Shape, class queue.Class, accelerated bool) *state {
	racks := make(map[string]load)
	for _, st := range c.pools[pool] {
		if c.inRotation(st) {
			racks[st.server.rack] = racks[st.server.rack].plus(st)
		}
	}

	var best *state
	for _, st := range c.pools[pool] {
		if !c.inRotation(st) || !shape.Fits(st.free()) || (!accelerated && st.server.shape.Accelerators() > 0) {
			continue
		}
		if class != queue.Urgent && c.heldForOther(st, shape) {
			continue
		}
		if best == nil || better(st, best, racks) {
			best = st
		}
	}
	return best
}

// load is the use of one rack.
type load struct{ used, slots int }

func (l load) plus(st *state) load {
	return load{used: l.used + st.used.Slots(), slots: l.slots + st.server.shape.Slots()}
}

func better(a, b *state, racks map[string]load) bool {
	if a.server.rack != b.server.rack {
		la, lb := racks[a.server.rack], racks[b.server.rack]
		if l, r := la.used*lb.slots, lb.used*la.slots; l != r {
			return l < r
		}
		if a.server.rack != b.server.rack {
			return a.server.rack < b.server.rack
		}
	}
	return a.free().Slots() < b.free().Slots()
}

func (c *Chooser) usable(st *state) bool {
	return st.server.usable && (c.Zone == "" || st.server.zone == c.Zone)
}

func (c *Chooser) inRotation(st *state) bool { return c.usable(st) && !st.out }

func (c *Chooser) state(server string) *state {
	st, ok := c.servers[server]
	if ok {
		return st
	}
	if c.servers == nil {
		c.servers = make(map[string]*state)
		c.pools = make(map[string][]*state)
	}
	st = &state{server: Server{id: server}, tasks: make(map[string]*task)}
	c.servers[server] = st
	return st
}

func (c *Chooser) joinPool(st *state, pool string) {
	all := append(c.pools[pool], st)
	slices.SortFunc(all, byID)
	c.pools[pool] = all
}

func (c *Chooser) leavePool(st *state) {
	pool := st.server.pool
	st.out, st.history = false, nil
	c.pools[pool] = slices.DeleteFunc(c.pools[pool], func(o *state) bool { return o == st })
	if len(c.pools[pool]) == 0 {
		delete(c.pools, pool)
	}
	c.limitOut(pool)
}

func atLeastOneSlot(s provider.Shape) provider.Shape {
	if s.Slots() > 0 {
		return s
	}
	return provider.NewShape(s.Processors(), s.MemoryMiB(), s.Accelerators(), 1)
}
