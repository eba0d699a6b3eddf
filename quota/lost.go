package quota

// LostEnded counts off n lost tasks that have provably ended or whose slots their new owner has moved: no other holder
// has uncovered tasks, and the row was read since. It counts off fewer if fewer are left.
func (l *Ledger) LostEnded(team string, n int) {
	a := l.account(team)
	n = min(n, a.lost)
	a.lost -= n
	a.running -= n
}

// Regained counts n lost tasks as running again, because this holder acquired their server again and no other holder
// owned it in between. It counts fewer if fewer are left.
func (l *Ledger) Regained(team string, n int) int {
	a := l.account(team)
	n = min(n, a.lost)
	a.lost -= n
	return n
}
