package standin

import "math/rand/v2"

// Trigger decides which operations a fault hits: Never, Always, Next or Chance.
type Trigger interface{ trigger() }

// Never hits no operation.
type Never struct{}

// Always hits every operation.
type Always struct{}

// Next hits the next operations and then none.
type Next struct{ count int }

// NewNext returns a trigger that hits the next count operations.
func NewNext(count int) Next { return Next{count: count} }

// Count returns the number of operations to hit.
func (n Next) Count() int { return n.count }

// Chance hits each operation with a probability, drawn from a seeded source.
type Chance struct {
	probability float64
	seed        uint64
}

// NewChance returns a trigger that hits each operation with a probability between 0 and 1.
func NewChance(probability float64, seed uint64) Chance {
	return Chance{probability: probability, seed: seed}
}

// Probability returns the probability of a hit, between 0 and 1.
func (c Chance) Probability() float64 { return c.probability }

// Seed returns the seed of the random source.
func (c Chance) Seed() uint64 { return c.seed }

func (Never) trigger()  {}
func (Always) trigger() {}
func (Next) trigger()   {}
func (Chance) trigger() {}

// armed is a trigger in use. The zero value never hits.
type armed struct {
	trigger Trigger
	left    int
	source  *rand.Rand
}

func arm(t Trigger) armed {
	switch t := t.(type) {
	case Next:
		return armed{trigger: t, left: t.count}
	case Chance:
		return armed{trigger: t, source: rand.New(rand.NewPCG(t.seed, t.seed))}
	default:
		return armed{trigger: t}
	}
}

func (a *armed) hits() bool {
	switch t := a.trigger.(type) {
	case Always:
		return true
	case Next:
		if a.left <= 0 {
			return false
		}
		a.left--
		return true
	case Chance:
		return a.source.Float64() < t.probability
	default:
		return false
	}
}
