package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Victim is one running task to preempt, and the signal to send to it.
type Victim struct {
	key    string
	signal provider.Signal
}

// Key returns the key that the task was reserved under.
func (v Victim) Key() string { return v.key }

// Signal returns the signal to send to the task.
func (v Victim) Signal() provider.Signal { return v.signal }

// Preemption is a plan that frees enough capacity on one server for one task of a more urgent class.
type Preemption struct {
	server  string
	victims []Victim
}

// Server returns the id of the server.
func (p Preemption) Server() string { return p.server }

// Victims returns the tasks to preempt, cheapest first. Callers must not modify the slice.
func (p Preemption) Victims() []Victim { return p.victims }

// preemptionOption is one way to preempt one task, and the capacity that it frees.
type preemptionOption struct {
	victim Victim
	freed  provider.Shape
	cost   float64 // seconds of work lost
}

// PlanPreemption returns the cheapest plan that frees capacity for a task of the given shape and class on one server in
// rotation, and reports whether there is one. Only tasks of a less urgent class are preempted. Throttling frees only
// processors; to free more, a task is checkpointed if it can be, and otherwise stopped if it is idempotent.
func (p *Placer) PlanPreemption(pool string, shape provider.Shape, class queue.Class) (Preemption, bool) {
	shape = atLeastOneSlot(shape)
	var best Preemption
	lowest, found := 0.0, false
	for _, st := range p.pools[pool] {
		if !p.inRotation(st) || !shape.FitsIn(st.server.shape) {
			continue
		}
		victims, cost, ok := p.planServer(st, shape, class)
		if ok && (!found || cost < lowest) {
			best, lowest, found = Preemption{server: st.server.id, victims: victims}, cost, true
		}
	}
	return best, found
}

// MarkThrottled records that a task was throttled: half of its processors become free, and it isn't throttled again.
func (p *Placer) MarkThrottled(server, key string) {
	st, ok := p.servers[server]
	if !ok || st.reservations[key] == nil || st.reservations[key].throttled {
		return
	}
	t := st.reservations[key]
	freed := freedByThrottling(t.shape)
	t.throttled = true
	t.shape = t.shape.Minus(freed)
	st.reserved = st.reserved.Minus(freed)
}

// planServer selects the cheapest options of one server until the shape fits, then drops those that aren't needed. It
// returns the victims, the total cost in seconds of lost work, and whether the shape fits.
func (p *Placer) planServer(st *serverState, shape provider.Shape, class queue.Class) ([]Victim, float64, bool) {
	free := st.free()
	var chosen []preemptionOption
	for _, o := range p.preemptionOptions(st, class) {
		if shape.FitsIn(free) || len(chosen) == maxVictims {
			break
		}
		if !coversPartOf(o.freed, shape.Minus(free)) {
			continue
		}
		if i := slices.IndexFunc(chosen, func(c preemptionOption) bool { return c.victim.key == o.victim.key }); i >= 0 {
			free = free.Minus(chosen[i].freed) // o replaces the throttling of the same task
			chosen = slices.Delete(chosen, i, i+1)
		}
		chosen = append(chosen, o)
		free = free.Plus(o.freed)
	}
	if !shape.FitsIn(free) {
		return nil, 0, false
	}

	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].freed); shape.FitsIn(without) {
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

// preemptionOptions returns the ways to preempt the tasks of a server that are less urgent than class, cheapest first.
func (p *Placer) preemptionOptions(st *serverState, class queue.Class) []preemptionOption {
	var options []preemptionOption
	for _, k := range slices.Sorted(maps.Keys(st.reservations)) {
		t := st.reservations[k]
		if t.preemptionInfo == nil || t.preemptionInfo.class <= class {
			continue
		}
		add := func(s provider.Signal, freed provider.Shape, cost float64) {
			v := Victim{key: k, signal: s}
			if t.preemptionInfo.class != queue.ClassArchive {
				cost += waitingCallerCostSeconds
			}
			options = append(options, preemptionOption{victim: v, freed: freed, cost: cost})
		}
		if freed := freedByThrottling(t.shape); !t.throttled && freed.Processors() > 0 {
			add(provider.SignalThrottle, freed, throttleCostSeconds)
		}
		switch {
		case t.preemptionInfo.checkpointable:
			add(provider.SignalCheckpoint, t.shape, checkpointCostSeconds)
		case t.preemptionInfo.idempotent:
			runSeconds := max(p.lastCallTime.Sub(t.preemptionInfo.started).Seconds(), 0)
			add(provider.SignalStop, t.shape, stopCostSeconds+runSeconds)
		}
	}
	slices.SortStableFunc(options, func(a, b preemptionOption) int { return cmp.Compare(a.cost, b.cost) })
	return options
}

// coversPartOf reports whether the freed capacity covers some of the missing capacity.
func coversPartOf(freed, missing provider.Shape) bool {
	return (missing.Processors() > 0 && freed.Processors() > 0) ||
		(missing.MemoryMiB() > 0 && freed.MemoryMiB() > 0) ||
		(missing.Accelerators() > 0 && freed.Accelerators() > 0) ||
		(missing.Slots() > 0 && freed.Slots() > 0)
}

// freedByThrottling returns the capacity that throttling a task frees.
func freedByThrottling(s provider.Shape) provider.Shape {
	return provider.NewShape(s.Processors()/throttleDivisor, 0, 0, 0)
}
