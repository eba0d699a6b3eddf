package queue

// HasWaiting reports whether a pool has waiting requests.
func (q *Queue) HasWaiting(pool string) bool {
	p, ok := q.pools[pool]
	return ok && p.waiting > 0
}

// WaitingCount returns the number of waiting requests of a class in a pool.
func (q *Queue) WaitingCount(pool string, class Class) int {
	p, ok := q.pools[pool]
	if !ok {
		return 0
	}
	n := 0
	for k, s := range p.subqueues {
		if k.class == class {
			n += s.requests.Len()
		}
	}
	return n
}
