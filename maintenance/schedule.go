package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Schedule spreads the maintenance of a fleet over a period, so that every VM is maintained once in each period.
type Schedule struct {
	// Period is the time between the starts of two roll-outs, DefaultRolloutPeriod if it is 0.
	Period time.Duration
	// Start is the start of the first period.
	Start time.Time
}

// Rollout returns the name of the roll-out in the period that contains now: "period-" and its number from 0.
func (s Schedule) Rollout(now time.Time) string { return fmt.Sprint("period-", s.periodNumber(now)) }

// Due returns a function for Planner.Due. Racks become due one after the other over the first four fifths of the
// period, all VMs of a rack at once.
func (s Schedule) Due(f Fleet, now time.Time) func(vm string) bool {
	type rack struct{ zone, rack string }
	var racks []rack
	for _, v := range f.vms {
		racks = append(racks, rack{v.zone, v.rack})
	}
	slices.SortFunc(racks, func(a, b rack) int { return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.rack, b.rack)) })
	racks = slices.Compact(racks)
	periodStart := s.Start.Add(time.Duration(s.periodNumber(now)) * s.period())
	span := s.period() * scheduleNumerator / scheduleDenominator
	due := make(map[rack]bool, len(racks))
	for i, r := range racks {
		due[r] = !now.Before(periodStart.Add(span * time.Duration(i) / time.Duration(len(racks))))
	}
	return func(vm string) bool {
		v, ok := f.VM(vm)
		return ok && due[rack{v.zone, v.rack}]
	}
}

// MinRolloutDuration returns the shortest time in which a roll-out can maintain the whole fleet within the
// availability budgets, if each VM is out for the duration outage. It returns false if a pool that has VMs has a budget
// of 0.
func MinRolloutDuration(f Fleet, outage time.Duration) (time.Duration, bool) {
	longest := time.Duration(0)
	for _, q := range f.pools {
		n := len(f.byPool[q.Name()])
		if n > 0 && q.Budget() == 0 {
			return 0, false
		}
		if n > 0 {
			longest = max(longest, time.Duration((n+q.Budget()-1)/q.Budget())*outage)
		}
	}
	return longest, true
}

func (s Schedule) periodNumber(now time.Time) int { return int(now.Sub(s.Start) / s.period()) }

func (s Schedule) period() time.Duration { return cmp.Or(s.Period, DefaultRolloutPeriod) }
