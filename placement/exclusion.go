package placement

import (
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
)

// Exclusion is why a server of a pool isn't selected for a task in the usual way.
type Exclusion string

// Exclusions, in the order in which they are checked.
const (
	ExclusionNone           Exclusion = ""
	ExclusionNotSchedulable Exclusion = "not-schedulable" // or in another zone
	ExclusionOutOfRotation  Exclusion = "out-of-rotation"
	ExclusionTooSmall       Exclusion = "too-small"
	ExclusionNoFreeCapacity Exclusion = "no-free-capacity"
	ExclusionHeldForOther   Exclusion = "held-for-other-shape"
	ExclusionUrgentReserve  Exclusion = "reserved-for-urgent-work"
)

// Assessment is what SelectServer would return for a task now, and why.
type Assessment struct {
	outcome    SelectOutcome
	probe      bool
	exclusions map[string]Exclusion
}

// Outcome returns the outcome of SelectServer.
func (a Assessment) Outcome() SelectOutcome { return a.outcome }

// Probe reports whether the selected server is out of rotation and gets the task as a probe.
func (a Assessment) Probe() bool { return a.probe }

// Exclusions returns why each server of the pool is excluded, ExclusionNone if it may be selected. Callers must not
// modify the map.
func (a Assessment) Exclusions() map[string]Exclusion { return a.exclusions }

// Assess decides like SelectServer, without any effect on later decisions.
func (p *Placer) Assess(pool, entry string, shape provider.Shape, class queue.Class, now time.Time) Assessment {
	shape = atLeastOneSlot(shape)
	a := Assessment{outcome: NoCapacity{}, exclusions: make(map[string]Exclusion, len(p.pools[pool]))}
	st, c := p.choose(pool, entry, shape, class, now)
	for _, o := range p.pools[pool] {
		e := p.exclusion(o, shape, class)
		if e == ExclusionNone && c == onlyUrgentReserve {
			e = ExclusionUrgentReserve
		}
		a.exclusions[o.server.id] = e
	}
	switch {
	case p.neverFits(pool, shape):
		a.outcome = NeverFits{}
	case st != nil:
		a.outcome, a.probe = Selected{server: st.server.id}, c == chosenProbe
	}
	return a
}

// exclusion returns why a server can't run a task of a shape and class now.
func (p *Placer) exclusion(st *serverState, shape provider.Shape, class queue.Class) Exclusion {
	switch {
	case !p.schedulable(st):
		return ExclusionNotSchedulable
	case st.outOfRotation:
		return ExclusionOutOfRotation
	case !shape.FitsIn(st.server.shape):
		return ExclusionTooSmall
	case !shape.FitsIn(st.free()):
		return ExclusionNoFreeCapacity
	case class != queue.ClassUrgent && p.heldForOtherShape(st, shape):
		return ExclusionHeldForOther
	default:
		return ExclusionNone
	}
}
