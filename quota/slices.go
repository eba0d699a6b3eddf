// Package quota divides team limits and availability budgets among the entry VMs.
//
// The row slice/<team> maps each holder to a number of slots. Its sum is kept within the team's limit by conditional
// writes, and each holder spends its own part from memory. The package is pure: it computes changes of rows, and the
// caller commits them.
//
// The guarantee: a holder whose copies of the limit and the row are of table version v starts no task while the tasks
// running for the team, over all holders, are at or above the largest limit in force at any time since v. A limit that
// is pushed ahead of the row counts from the version of the row.
package quota

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Slices is the content of one team's row: the slots of each holder, and how many slots each holder has ever taken over
// from another together with running tasks. It is immutable.
type Slices struct {
	slots map[string]int
	moved map[string]map[string]int // by former holder, then by new holder
}

type slicesWire struct {
	Slots map[string]int            `json:"slots,omitempty"`
	Moved map[string]map[string]int `json:"moved,omitempty"`
}

// DecodeSlices parses the value of a row. An empty value is an empty row.
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
		panic(err) // maps of strings to integers always encode
	}
	return data
}

// Sum returns the slots of all holders.
func (s Slices) Sum() int {
	sum := 0
	for _, n := range s.slots {
		sum += n
	}
	return sum
}

// Of returns the slots of one holder.
func (s Slices) Of(holder string) int { return s.slots[holder] }

// Moved returns how many slots to has ever taken over from from.
func (s Slices) Moved(from, to string) int { return s.moved[from][to] }

// MovedFrom returns how many slots all other holders have ever taken over from this one.
func (s Slices) MovedFrom(holder string) int {
	sum := 0
	for _, n := range s.moved[holder] {
		sum += n
	}
	return sum
}

// Holders returns the holders in the row in sorted order.
func (s Slices) Holders() []string {
	holders := slices.AppendSeq(slices.Collect(maps.Keys(s.slots)), maps.Keys(s.moved))
	slices.Sort(holders)
	return slices.Compact(holders)
}

// With returns the slices with n slots for the holder.
func (s Slices) With(holder string, n int) Slices {
	return Slices{slots: with(s.slots, holder, n), moved: s.moved}
}

// Without returns the slices with no record of the holder.
func (s Slices) Without(holder string) Slices {
	moved := maps.Clone(s.moved)
	delete(moved, holder)
	return Slices{slots: with(s.slots, holder, 0), moved: moved}
}

// Move returns the slices with n slots moved between holders, or fewer if from has fewer. The move is recorded, so that
// both holders can tell it apart from other changes.
func (s Slices) Move(from, to string, n int) Slices {
	n = min(n, s.slots[from])
	if n <= 0 || from == to {
		return s
	}
	moved := maps.Clone(s.moved)
	if moved == nil {
		moved = make(map[string]map[string]int)
	}
	moved[from] = with(s.moved[from], to, s.moved[from][to]+n)
	return Slices{slots: with(with(s.slots, from, s.slots[from]-n), to, s.slots[to]+n), moved: moved}
}

// Equal reports whether both have the same content.
func (s Slices) Equal(o Slices) bool {
	return maps.Equal(s.slots, o.slots) && maps.EqualFunc(s.moved, o.moved, maps.Equal[map[string]int, map[string]int])
}

func with(m map[string]int, key string, n int) map[string]int {
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
