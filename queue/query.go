package queue

// Waiting reports whether requests of a pool wait.
func (q *Queue) Waiting(pool string) bool {
	p, ok := q.pools[pool]
	return ok && p.waiting > 0
}

// WaitingOf returns the number of requests of a class that wait for a pool.
func (q *Queue) WaitingOf(pool string, class Class) int {
	p, ok := q.pools[pool]
	if !ok {
		return 0
	}
	n := 0
	for k, l := range p.lanes {
		if k.class == class {
			n += l.items.Len()
		}
	}
	return n
}
