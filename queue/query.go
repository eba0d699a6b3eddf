package queue

// Waiting reports whether requests of a pool wait.
func (q *Queue) Waiting(pool string) bool {
	p, ok := q.pools[pool]
	return ok && p.waiting > 0
}
