package standin

import "math/rand/v2"

// Trigger selects the operations that a fault affects: Never, Always, Next or Random.
type Trigger interface{ trigger() }

// Never selects no operation.
type Never struct{}

// Always selects every operation.
type Always struct{}

// Next selects a number of operations, beginning with the next one.
type Next struct{ count int }

// NewNext returns a trigger that selects the next count operations.
func NewNext(count int) Next { return Next{count: count} }

// Count returns the number of operations to select.
func (n Next) Count() int { return n.count }

// Random selects each operation at random with a probability, from a seeded source.
type Random struct {
	probability float64
	seed        uint64
}

// NewRandom returns a trigger that selects each operation with a probability between 0 and 1.
func NewRandom(probability float64, seed uint64) Random {
	return Random{probability: probability, seed: seed}
}

// Probability returns the probability with which an operation is selected, between 0 and 1.
func (c Random) Probability() float64 { return c.probability }

// Seed returns the seed of the random source.
func (c Random) Seed() uint64 { return c.seed }

func (Never) trigger()  {}
func (Always) trigger() {}
func (Next) trigger()   {}
func (Random) trigger() {}

// activeTrigger is a trigger with the state that it needs while a fault is set. The zero value selects nothing.
type activeTrigger struct {
	trigger   Trigger
	remaining int
	random    *rand.Rand
}

// activate returns a trigger with its initial state.
func activate(t Trigger) activeTrigger {
	switch t := t.(type) {
	case Next:
		return activeTrigger{trigger: t, remaining: t.count}
	case Random:
		return activeTrigger{trigger: t, random: rand.New(rand.NewPCG(t.seed, t.seed))}
	default:
		return activeTrigger{trigger: t}
	}
}

// hits reports whether the trigger selects the next operation, and advances its state.
func (a *activeTrigger) hits() bool {
	switch t := a.trigger.(type) {
	case Always:
		return true
	case Next:
		if a.remaining <= 0 {
			return false
		}
		a.remaining--
		return true
	case Random:
		return a.random.Float64() < t.probability
	default:
		return false
	}
}
