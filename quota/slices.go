// Package quota enforces the limit of running tasks of each team across all entry VMs, and the limit of absent VMs of
// each pool.
//
// The table row slice/<team> maps each entry VM, called a holder here, to its slice of the team's limit, in slots of
// one task each. Conditional writes keep the sum within the limit. Each holder starts tasks within its slice without
// access to the table. The input of a Ledger is the limits, the rows as read from the table, and the tasks that start
// and end; its output is whether a task may start, and new values of rows. The package does no I/O: callers commit
// these values.
//
// The guarantee: let v be the table version of a holder's copies of the limit and the row. The holder starts no task
// of the team while the number of tasks running for it, on all holders together, is at or above the largest limit in
// force at any time since v. If the copy of the limit is newer than that of the row, v is the version of the row.
package quota

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Slices is the content of the row slice/<team>: the number of slots of each holder, and for each pair of holders the
// total number of slots that were ever moved between them together with running tasks. It is immutable.
type Slices struct {
	slots map[string]int
	moved map[string]map[string]int // by former holder, then by new holder
}

type slicesWire struct {
	Slots map[string]int            `json:"slots,omitempty"`
	Moved map[string]map[string]int `json:"moved,omitempty"`
}

// DecodeSlices parses the value of a row. An empty value has no holders. It returns an error if the value isn't valid
// JSON or if a holder has a negative number of slots.
func DecodeSlices(data []byte) (Slices, error) {
	if len(data) == 0 {
		return Slices{}, nil
	}
	var w slicesWire
	if err := json.Unmarshal(data, &w); err != nil {
		return Slices{}, errors.Wrap(err, "decode slices")
	}
	for h, n := range w.Slots {
		if n < 0 {
			return Slices{}, errors.Errorf("decode slices: holder %q has %d slots, want 0 or more", h, n)
		}
	}
	return Slices{slots: w.Slots, moved: w.Moved}, nil
}

// Encode returns the value of the row.
func (s Slices) Encode() []byte {
	data, err := json.Marshal(slicesWire{Slots: s.slots, Moved: s.moved})
	if err != nil {
		panic(err) // can't happen: maps of strings to integers always encode
	}
	return data
}

// TotalSlots returns the total slots of all holders.
func (s Slices) TotalSlots() int {
	sum := 0
	for _, n := range s.slots {
		sum += n
	}
	return sum
}

// SlotsOf returns the slots of one holder, 0 if it isn't in the row.
func (s Slices) SlotsOf(holder string) int { return s.slots[holder] }

// Moved returns the total number of slots that were ever moved from one holder to another.
func (s Slices) Moved(from, to string) int { return s.moved[from][to] }

// MovedFrom returns the total number of slots that were ever moved from a holder to all others.
func (s Slices) MovedFrom(holder string) int {
	sum := 0
	for _, n := range s.moved[holder] {
		sum += n
	}
	return sum
}

// Holders returns the holders that have slots or from which slots were moved, sorted.
func (s Slices) Holders() []string {
	holders := slices.AppendSeq(slices.Collect(maps.Keys(s.slots)), maps.Keys(s.moved))
	slices.Sort(holders)
	return slices.Compact(holders)
}

// WithSlots returns a copy in which the holder has n slots.
func (s Slices) WithSlots(holder string, n int) Slices {
	return Slices{slots: withSlots(s.slots, holder, n), moved: s.moved}
}

// WithoutHolder returns a copy without the slots of the holder and without the record of the moves from it.
func (s Slices) WithoutHolder(holder string) Slices {
	moved := maps.Clone(s.moved)
	delete(moved, holder)
	return Slices{slots: withSlots(s.slots, holder, 0), moved: moved}
}

// Move returns a copy with n slots moved from one holder to another, or fewer if the first has fewer. The move is
// recorded so that both holders can distinguish it from other changes of their slots.
func (s Slices) Move(from, to string, n int) Slices {
	n = min(n, s.slots[from])
	if n <= 0 || from == to {
		return s
	}
	moved := maps.Clone(s.moved)
	if moved == nil {
		moved = make(map[string]map[string]int)
	}
	moved[from] = withSlots(s.moved[from], to, s.moved[from][to]+n)
	return Slices{slots: withSlots(withSlots(s.slots, from, s.slots[from]-n), to, s.slots[to]+n), moved: moved}
}

// Equal reports whether s and o have the same content.
func (s Slices) Equal(o Slices) bool {
	return maps.Equal(s.slots, o.slots) && maps.EqualFunc(s.moved, o.moved, maps.Equal[map[string]int, map[string]int])
}

// withSlots returns a copy of m with the value n at key, and without the key if n is 0.
func withSlots(m map[string]int, key string, n int) map[string]int {
	m = maps.Clone(m)
	if m == nil {
		m = make(map[string]int)
	}
	if n == 0 {
		delete(m, key)
		return m
	}
	m[key] = n
	return m
}
