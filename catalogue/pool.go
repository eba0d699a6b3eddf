package catalogue

// Pool is a set of backend servers that run the same entries.
type Pool struct {
	name   string
	spare  bool
	budget int
}

// NewPool returns a pool. The budget is the largest number of its VMs that may be unavailable at the same time.
func NewPool(name string, spare bool, budget int) Pool {
	return Pool{name: name, spare: spare, budget: budget}
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Spare reports whether this is the pool of the spare VMs. A catalogue has exactly one.
func (p Pool) Spare() bool { return p.spare }

// Budget returns the availability budget: the largest number of the pool's VMs that may be unavailable at the same
// time.
func (p Pool) Budget() int { return p.budget }
