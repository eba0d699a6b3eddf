package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Schedule spreads the maintenance of a fleet over a period, so that every VM is maintained once in each period.
type Schedule struct {
	// Period is the time between two roll-outs, DefaultPeriod if it is 0.
	Period time.Duration
	// Began is the beginning of the first period.
	Began time.Time
}

// Rollout returns the name of the roll-out of the current period.
func (s Schedule) Rollout(now time.Time) string { return fmt.Sprint("period-", s.number(now)) }

// Due returns a function for Planner.Needs. Racks fall due one after the other, all VMs of a rack at once, over the
// first four fifths of the period.
func (s Schedule) Due(f Fleet, now time.Time) func(vm string) bool {
	type place struct{ zone, rack string }
	var racks []place
	for _, v := range f.vms {
		racks = append(racks, place{v.zone, v.rack})
	}
	slices.SortFunc(racks, func(a, b place) int { return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rack, b.rack)) })
	racks = slices.Compact(racks)
	begun := s.Began.Add(time.Duration(s.number(now)) * s.period())
	span := s.period() * scheduleNumerator / scheduleDenominator
	due := make(map[place]bool, len(racks))
	for i, r := range racks {
		due[r] = !now.Before(begun.Add(span * time.Duration(i) / time.Duration(len(racks))))
	}
	return func(vm string) bool {
		v, ok := f.VM(vm)
		return ok && due[place{v.zone, v.rack}]
	}
}

// Shortest returns the shortest time that a roll-out over the whole fleet takes within the budgets, from the time that a
// VM is out. It returns false if a pool with VMs has a budget of 0.
func Shortest(f Fleet, out time.Duration) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, q := range f.pools {
		n := len(f.byPool[q.Name()])
		if n > 0 && q.Budget() == 0 {
			return 0, false
		}
		if n > 0 {
			longest = max(longest, time.Duration((n+q.Budget()-1)/q.Budget())*out)
		}
	}
	return longest, true
}

func (s Schedule) number(now time.Time) int { return int(now.Sub(s.Began) / s.period()) }

func (s Schedule) period() time.Duration { return cmp.Or(s.Period, DefaultPeriod) }
