package quota

// ReleaseLost stops counting n lost tasks, or all lost tasks if there are fewer. The caller must know that they have
// ended or that their slots were moved: no other holder reports uncovered tasks, and the row was read after these
// reports.
func (l *Ledger) ReleaseLost(team string, n int) {
	a := l.account(team)
	n = min(n, a.lost)
	a.lost -= n
	a.running -= n
}

// RegainLost counts n lost tasks, or all if there are fewer, as running on this holder again, and returns how many it
// counted. The caller must know that this holder acquired their server again and that no other holder owned it in
// between.
func (l *Ledger) RegainLost(team string, n int) int {
	a := l.account(team)
	n = min(n, a.lost)
	a.lost -= n
	return n
}
