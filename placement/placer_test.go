package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

var start = time.Unix(1000, 0)

type task struct {
	server string
	shape  provider.Shape
	info   placement.PreemptionInfo
}

// model mirrors the servers and tasks that were passed to the placer.
type model struct {
	placer  placement.Placer
	servers map[string]placement.Server
	tasks   map[string]task
	now     time.Time
	serial  int
}

func (m *model) free(server string) provider.Shape {
	free := m.servers[server].Shape()
	for _, t := range m.tasks {
		if t.server == server {
			free = free.Minus(t.shape)
		}
	}
	return free
}

// candidates returns the ids of the servers of a pool that are schedulable and in rotation, sorted.
func (m *model) candidates(pool string) []string {
	var ids []string
	for id, s := range m.servers {
		if s.Pool() == pool && s.Schedulable() && s.Zone() == "z1" &&
			!slices.Contains(m.placer.OutOfRotation(pool), id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// totals returns the free slots and the total slots of the candidates of a pool.
func (m *model) totals(pool string) (free, capacity int) {
	for _, id := range m.candidates(pool) {
		free += max(m.free(id).Slots(), 0)
		capacity += m.servers[id].Shape().Slots()
	}
	return free, capacity
}

func drawShape(r *rapid.T) provider.Shape {
	return provider.NewShape(
		rapid.IntRange(1, 9).Draw(r, "processors"), 1,
		rapid.SampledFrom([]int{0, 0, 1}).Draw(r, "acc"), rapid.IntRange(1, 3).Draw(r, "slots"),
	)
}

func drawPool(r *rapid.T) string { return rapid.SampledFrom([]string{"p", "q"}).Draw(r, "pool") }

func drawServer(r *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 11).Draw(r, "server")) }

func (m *model) setServer(r *rapid.T) {
	id := drawServer(r)
	zone := rapid.SampledFrom([]string{"z1", "z1", "z1", "z2"}).Draw(r, "zone")
	rack := rapid.SampledFrom([]string{"r1", "r2"}).Draw(r, "rack")
	shape := provider.NewShape(8, 8, rapid.SampledFrom([]int{0, 0, 2}).Draw(r, "acc"), 8)
	s := placement.NewServer(id, zone, rack, drawPool(r), shape, rapid.IntRange(0, 5).Draw(r, "usable") > 0)
	m.placer.SetServer(s)
	m.servers[id] = s
}

func (m *model) remove(r *rapid.T) {
	id := drawServer(r)
	m.placer.RemoveServer(id)
	delete(m.servers, id)
	for k, t := range m.tasks {
		if t.server == id {
			delete(m.tasks, k)
		}
	}
}

func (m *model) choose(r *rapid.T) {
	pool, shape, class := drawPool(r), drawShape(r), queue.Class(rapid.IntRange(0, 2).Draw(r, "class"))
	entry := rapid.SampledFrom([]string{"e", "f"}).Draw(r, "entry")
	free, capacity := m.totals(pool)
	reserved := 0
	if capacity >= 8 {
		reserved = max(capacity/16, 1)
	}
	needsReserve := class != queue.ClassUrgent && free-shape.Slots() < reserved
	fits := false
	for _, id := range m.candidates(pool) {
		fits = fits || (shape.FitsIn(m.free(id)) && !slices.Contains(m.placer.HeldServers(pool), id))
	}
	out := m.placer.OutOfRotation(pool)

	assessment := m.placer.Assess(pool, entry, shape, class, m.now)
	id, outcome := m.placer.SelectServer(pool, entry, shape, class, m.now)
	assert.Equal(r, assessment.Outcome(), outcome)
	m.exclusions(r, assessment, pool, shape)
	switch outcome.(type) {
	case placement.NeverFits:
		for _, s := range m.servers {
			assert.Assert(r, s.Pool() != pool || !shape.FitsIn(s.Shape()))
		}
	case placement.NoCapacity:
		assert.Assert(r, needsReserve || !fits)
	case placement.Selected:
		s := m.servers[id]
		probe := slices.Contains(out, id)
		assert.Assert(r, s.Pool() == pool && s.Zone() == "z1" && s.Schedulable() && !needsReserve)
		assert.Assert(r, shape.FitsIn(m.free(id)), "the shape exceeds the free capacity of the server")
		assert.Assert(r, !probe || class != queue.ClassUrgent)
		m.avoidsAccelerators(r, id, shape, probe)
		m.reserve(r, id, shape, class)
	}
}

// exclusions checks the reasons of an assessment against the servers and tasks of the model.
func (m *model) exclusions(r *rapid.T, a placement.Assessment, pool string, shape provider.Shape) {
	for id, e := range a.Exclusions() {
		s := m.servers[id]
		assert.Equal(r, s.Pool(), pool)
		assert.Equal(r, e == placement.ExclusionNotSchedulable, !s.Schedulable() || s.Zone() != "z1")
		if slices.Contains(m.candidates(pool), id) {
			assert.Equal(r, e == placement.ExclusionTooSmall, !shape.FitsIn(s.Shape()))
			assert.Equal(r, e == placement.ExclusionTooSmall || e == placement.ExclusionNoFreeCapacity, !shape.FitsIn(m.free(id)))
		}
	}
	if o, ok := a.Outcome().(placement.Selected); ok {
		assert.Equal(r, a.Exclusions()[o.Server()] == placement.ExclusionNone, !a.Probe())
	}
}

// avoidsAccelerators checks that a server with accelerators is chosen for a shape without accelerators only if no other
// server has enough free capacity.
func (m *model) avoidsAccelerators(r *rapid.T, chosen string, shape provider.Shape, probe bool) {
	if probe || shape.Accelerators() > 0 || m.servers[chosen].Shape().Accelerators() == 0 {
		return
	}
	for _, id := range m.candidates(m.servers[chosen].Pool()) {
		other := m.servers[id].Shape().Accelerators() == 0 && shape.FitsIn(m.free(id))
		assert.Assert(r, !other, "%s has no accelerators and enough free capacity", id)
	}
}

func (m *model) reserve(r *rapid.T, server string, shape provider.Shape, class queue.Class) {
	m.serial++
	k := fmt.Sprint("t", m.serial)
	info := placement.NewPreemptionInfo(
		class, rapid.Bool().Draw(r, "idempotent"), rapid.Bool().Draw(r, "checkpointable"), m.now,
	)
	m.placer.Reserve(server, k, shape)
	m.placer.SetPreemptionInfo(server, k, info)
	m.tasks[k] = task{server: server, shape: shape, info: info}
}

func (m *model) end(r *rapid.T) {
	k := fmt.Sprint("t", rapid.IntRange(0, m.serial).Draw(r, "task"))
	m.placer.Release(m.tasks[k].server, k)
	delete(m.tasks, k)
}

func (m *model) observe(r *rapid.T) {
	s := drawServer(r)
	entry := rapid.SampledFrom([]string{"e", "f"}).Draw(r, "entry")
	for range rapid.IntRange(1, 20).Draw(r, "times") {
		m.placer.RecordResult(
			s, entry, rapid.IntRange(0, 2).Draw(r, "ok") > 0 && s != "s1" && s != "s2" && s != "s3", m.now,
		)
	}
}

// victims checks that a plan frees enough capacity, that each of its victims is needed, and that it preempts only tasks
// that may be preempted.
func (m *model) victims(r *rapid.T) {
	pool, shape := drawPool(r), drawShape(r)
	class := queue.Class(rapid.IntRange(0, 1).Draw(r, "class"))
	plan, ok := m.placer.PlanPreemption(pool, shape, class)
	if !ok {
		for _, id := range m.candidates(pool) {
			free := m.free(id)
			for _, t := range m.tasks {
				if t.server == id && t.info.Class() > class {
					free = free.Plus(freed(t, strongest(t)))
				}
			}
			assert.Assert(r, !shape.FitsIn(free), "preemption on %s could free enough capacity", id)
		}
		return
	}
	assert.Assert(r, slices.Contains(m.candidates(pool), plan.Server()))
	free := m.free(plan.Server())
	for _, v := range plan.Victims() {
		t := m.tasks[v.Key()]
		assert.Equal(r, t.server, plan.Server())
		assert.Assert(r, t.info.Class() > class)
		assert.Assert(r, v.Signal() != provider.SignalStop || t.info.Idempotent())
		assert.Assert(r, v.Signal() != provider.SignalCheckpoint || t.info.Checkpointable())
		free = free.Plus(freed(t, v.Signal()))
	}
	assert.Assert(r, shape.FitsIn(free))
	for _, v := range plan.Victims() {
		assert.Assert(r, !shape.FitsIn(free.Minus(freed(m.tasks[v.Key()], v.Signal()))),
			"%s need not be preempted", v.Key())
	}
}

// strongest returns the signal that frees the most capacity of a task.
func strongest(t task) provider.Signal {
	if t.info.Checkpointable() || t.info.Idempotent() {
		return provider.SignalStop
	}
	return provider.SignalThrottle
}

// freed returns the capacity that a signal to a task frees.
func freed(t task, s provider.Signal) provider.Shape {
	if s == provider.SignalThrottle {
		return provider.NewShape(t.shape.Processors()/2, 0, 0, 0)
	}
	return t.shape
}

// Guards against servers chosen beyond their capacity or outside of the requested pool and zone, non-urgent work in the
// slots reserved for urgent work, preemption that isn't allowed or not needed, more than a quarter of a pool out of
// rotation, and an assessment that differs from what SelectServer does.
func TestPlacerAgreesWithModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &model{servers: make(map[string]placement.Server), tasks: make(map[string]task), now: start}
		m.placer.Zone = "z1"
		for range 12 {
			m.setServer(r)
		}
		r.Repeat(map[string]func(*rapid.T){
			"set server": m.setServer,
			"remove":     m.remove,
			"choose":     m.choose,
			"choose 2":   m.choose,
			"choose 3":   m.choose,
			"end":        m.end,
			"observe":    m.observe,
			"victims":    m.victims,
			"pass time": func(r *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				for _, p := range []string{"p", "q"} {
					free, capacity := m.totals(p)
					assert.Equal(r, m.placer.FreeSlots(p), free)
					assert.Equal(r, m.placer.Capacity(p).Slots(), capacity)
					n := 0
					for _, s := range m.servers {
						if s.Pool() == p {
							n++
						}
					}
					assert.Assert(r, 4*len(m.placer.OutOfRotation(p)) <= n)
				}
			},
		})
	})
}
