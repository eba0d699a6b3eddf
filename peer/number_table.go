package peer

import (
	"sort"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
)

// numbers is a row of a table of numbers; a table uses as many as it has columns.
type numbers [5]int64

// numberTable holds rows by name. Rows of zeros aren't kept.
//
// On the wire, a row is a position among the names that both sides know and small differences. Names and the structure
// of a message for each row would be three quarters of a digest.
type numberTable map[string]numbers

func (t numberTable) names() []string {
	names := make([]string, 0, len(t))
	for n := range t {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// encodeTable returns the changes from base to next, nil if there are none.
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

// decodeTable returns base with the changes. It returns false if they don't fit base.
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
		if v == (numbers{}) {
			delete(next, n)
		}
	}
	return next, true
}
