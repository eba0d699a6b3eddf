package peer

import (
	"sort"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
)

// numberRow is a row of a numberTable. A table with fewer columns leaves the rest zero.
type numberRow [5]int64

// numberTable holds rows of numbers by name. A row of zeros is the same as a missing row and isn't stored.
//
// The wire format identifies a row by its index among the sorted names that both sides know, and encodes its numbers as
// differences from the base. Names and a message for each row would make up three quarters of a digest.
type numberTable map[string]numberRow

// names returns the names of the rows, sorted.
func (t numberTable) names() []string {
	names := make([]string, 0, len(t))
	for n := range t {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// encodeTable returns the delta from base to next, nil if they are equal.
func encodeTable(base, next numberTable, columns int) *peerwire.Table {
	w := &peerwire.Table{}
	for n := range next {
		if _, ok := base[n]; !ok {
			w.Names = append(w.Names, n)
		}
	}
	sort.Strings(w.Names)

	gap := uint32(0)
	for _, n := range append(base.names(), w.GetNames()...) {
		from, to := base[n], next[n]
		if from == to {
			gap++
			continue
		}
		w.Gaps = append(w.Gaps, gap)
		gap = 0
		for i := range columns {
			w.Differences = append(w.Differences, to[i]-from[i])
		}
	}
	if len(w.GetGaps()) == 0 {
		return nil
	}
	return w
}

// decodeTable returns base with the delta w applied. It returns false if w refers to rows that base doesn't have or has
// a wrong number of differences.
func decodeTable(base numberTable, w *peerwire.Table, columns int) (numberTable, bool) {
	if w == nil {
		return base, true
	}
	next := make(numberTable, len(base)+len(w.GetNames()))
	for n, v := range base {
		next[n] = v
	}
	names := append(base.names(), w.GetNames()...)
	differences := w.GetDifferences()
	if len(differences) != columns*len(w.GetGaps()) {
		return nil, false
	}
	for _, g := range w.GetGaps() {
		if uint64(g) >= uint64(len(names)) {
			return nil, false
		}
		n := names[g]
		names = names[g+1:]
		v := next[n]
		for i := range columns {
			v[i] += differences[i]
		}
		differences = differences[columns:]
		next[n] = v
		if v == (numberRow{}) {
			delete(next, n)
		}
	}
	return next, true
}
