package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Victim is one running task and the signal that makes room.
type Victim struct {
	key    string
	signal provider.Signal
}

// Key returns the key that the task was reserved under.
func (v Victim) Key() string { return v.key }

// Signal returns what to ask of the task.
func (v Victim) Signal() provider.Signal { return v.signal }

// Interruption is a plan that makes room for one piece of urgent work on one server.
type Interruption struct {
	server  string
	victims []Victim
}

// Server returns the id of the server.
func (i Interruption) Server() string { return i.server }

// Victims returns the tasks to interrupt, cheapest first. Callers must not modify the slice.
func (i Interruption) Victims() []Victim { return i.victims }

// option is one way to interrupt one task.
type option struct {
	victim Victim
	gain   provider.Shape
	cost   float64 // seconds of work lost
}

// Victims plans the cheapest interruption that makes room for work of the given shape and class, and reports whether
// there is one. Tasks of the same or a higher class are never interrupted; a task is throttled if only processors are
// short, checkpointed if it can be, and stopped only if it is idempotent.
func (c *Chooser) Victims(pool string, shape provider.Shape, class queue.Class) (Interruption, bool) {
	shape = atLeastOneSlot(shape)
	var best Interruption
	lowest, found := 0.0, false
	for _, st := range c.pools[pool] {
		if !c.inRotation(st) || !shape.Fits(st.server.shape) {
			continue
		}
		victims, cost, ok := c.plan(st, shape, class)
		if ok && (!found || cost < lowest) {
			best, lowest, found = Interruption{server: st.server.id, victims: victims}, cost, true
		}
	}
	return best, found
}

// Throttled records that a task was throttled: part of its processors is free and it isn't throttled again.
func (c *Chooser) Throttled(server, key string) {
	st, ok := c.servers[server]
	if !ok || st.tasks[key] == nil || st.tasks[key].throttled {
		return
	}
	t := st.tasks[key]
	gain := throttleGain(t.shape)
	t.throttled = true
	t.shape = t.shape.Minus(gain)
	st.used = st.used.Minus(gain)
}

// plan interrupts the cheapest tasks of one server until the shape fits, then drops those that turned out unnecessary.
func (c *Chooser) plan(st *state, shape provider.Shape, class queue.Class) ([]Victim, float64, bool) {
	free := st.free()
	var chosen []option
	for _, o := range c.options(st, class) {
		if shape.Fits(free) || len(chosen) == maxVictims {
			break
		}
		if !helps(o.gain, shape.Minus(free)) {
			continue
		}
		if i := slices.IndexFunc(chosen, func(p option) bool { return p.victim.key == o.victim.key }); i >= 0 {
			free = free.Minus(chosen[i].gain) // a throttled task that is stopped after all
			chosen = slices.Delete(chosen, i, i+1)
		}
		chosen = append(chosen, o)
		free = free.Plus(o.gain)
	}
	if !shape.Fits(free) {
		return nil, 0, false
	}

	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].gain); shape.Fits(without) {
			free = without
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	cost := 0.0
	victims := make([]Victim, 0, len(chosen))
	for _, o := range chosen {
		cost += o.cost
		victims = append(victims, o.victim)
	}
	return victims, cost, true
}

// options returns the ways to interrupt the tasks of a server, cheapest first.
func (c *Chooser) options(st *state, class queue.Class) []option {
	var options []option
	for _, k := range slices.Sorted(maps.Keys(st.tasks)) {
		t := st.tasks[k]
		if t.traits == nil || t.traits.class <= class {
			continue
		}
		add := func(s provider.Signal, gain provider.Shape, cost float64) {
			v := Victim{key: k, signal: s}
			if t.traits.class != queue.Archive {
				cost += costWaitingCaller
			}
			options = append(options, option{victim: v, gain: gain, cost: cost})
		}
		if gain := throttleGain(t.shape); !t.throttled && gain.Processors() > 0 {
			add(provider.SignalThrottle, gain, costThrottle)
		}
		switch {
		case t.traits.checkpointable:
			add(provider.SignalCheckpoint, t.shape, costCheckpoint)
		case t.traits.idempotent:
			done := max(c.latest.Sub(t.traits.started).Seconds(), 0)
			add(provider.SignalStop, t.shape, costStop+done)
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.cost, b.cost) })
	return options
}

// helps reports whether a gain covers some of what is missing.
func helps(gain, missing provider.Shape) bool {
	return (missing.Processors() > 0 && gain.Processors() > 0) ||
		(missing.MemoryMiB() > 0 && gain.MemoryMiB() > 0) ||
		(missing.Accelerators() > 0 && gain.Accelerators() > 0) ||
		(missing.Slots() > 0 && gain.Slots() > 0)
}

// throttleGain returns what a task gives up when it is throttled.
func throttleGain(s provider.Shape) provider.Shape {
	return provider.NewShape(s.Processors()/throttleDivisor, 0, 0, 0)
}
