package workload

// Resources is an amount of CPU, memory and accelerators. The zero value is nothing.
type Resources struct {
	milliCores   int64
	memoryMB     int64
	accelerators int64
}

// NewResources returns an amount of CPU in thousandths of a core, memory in megabytes, and accelerators in units.
func NewResources(milliCores, memoryMB, accelerators int64) Resources {
	return Resources{milliCores: milliCores, memoryMB: memoryMB, accelerators: accelerators}
}

// MilliCores returns the CPU in thousandths of a core.
func (r Resources) MilliCores() int64 { return r.milliCores }

// MemoryMB returns the memory in megabytes.
func (r Resources) MemoryMB() int64 { return r.memoryMB }

// Accelerators returns the number of accelerators.
func (r Resources) Accelerators() int64 { return r.accelerators }

// Plus returns the sum r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.milliCores + o.milliCores, r.memoryMB + o.memoryMB, r.accelerators + o.accelerators}
}

// Minus returns the difference r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.milliCores - o.milliCores, r.memoryMB - o.memoryMB, r.accelerators - o.accelerators}
}

// Min returns the lesser amount of each resource of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.milliCores, o.milliCores), min(r.memoryMB, o.memoryMB), min(r.accelerators, o.accelerators)}
}

// Times returns the product n * r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.milliCores * n, r.memoryMB * n, r.accelerators * n}
}

// FitsIn reports whether no resource exceeds the free amount.
func (r Resources) FitsIn(free Resources) bool {
	return r.milliCores <= free.milliCores && r.memoryMB <= free.memoryMB && r.accelerators <= free.accelerators
}

// WithinLimit reports whether no resource exceeds its limit. A limit of 0 means that the resource has none.
func (r Resources) WithinLimit(limit Resources) bool {
	return (limit.milliCores == 0 || r.milliCores <= limit.milliCores) &&
		(limit.memoryMB == 0 || r.memoryMB <= limit.memoryMB) &&
		(limit.accelerators == 0 || r.accelerators <= limit.accelerators)
}

// DominantShare returns the dominant share: the largest ratio of a resource to the capacity. Resources without capacity
// are ignored.
func (r Resources) DominantShare(capacity Resources) float64 {
	share := 0.0
	for _, pair := range [][2]int64{
		{r.milliCores, capacity.milliCores},
		{r.memoryMB, capacity.memoryMB},
		{r.accelerators, capacity.accelerators},
	} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
