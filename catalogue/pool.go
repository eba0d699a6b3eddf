package catalogue

// Pool is a set of backend servers that run the same entries.
type Pool struct {
	name   string
	spare  bool
	budget int
}

// NewPool returns a pool. The budget is the number of its VMs that may be absent at once.
func NewPool(name string, spare bool, budget int) Pool {
	return Pool{name: name, spare: spare, budget: budget}
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Spare reports whether the pool holds the spare VMs. Exactly one pool of a catalogue does.
func (p Pool) Spare() bool { return p.spare }

// Budget returns the availability budget: how many VMs of the pool may be absent at once.
func (p Pool) Budget() int { return p.budget }
