package schedule

import (
	"math"
	"sort"
	"time"
)

const (
	emptyTime = 2500 * time.Millisecond // until a server that takes no more work is empty
	// maintenanceReserve is the part of a wave's time that is kept for outages of the store and changes of control.
	maintenanceReserve = 0.4
)

// MaintenanceVM is a VM whose maintenance hasn't begun.
type MaintenanceVM struct {
	VM string
	// Ordered tells that the outcome of an order is awaited.
	Ordered bool
	// Running is the number of runs on it.
	Running int
	// Emptying tells that it takes no more work.
	Emptying bool
	// Blocked VMs can't be maintained now.
	Blocked bool
}

// Maintenance is the state of a wave.
type Maintenance struct {
	VMs []MaintenanceVM
	// AtOnce bounds the VMs that are down at once, of which Down are now.
	AtOnce, Down int
	// Scarce tells that a pool lacks servers.
	Scarce bool
	// TimeLeft is the time until all have to be done, Duration how long one takes.
	TimeLeft, Duration time.Duration
	// Within is the time that the whole wave has.
	Within time.Duration
}

// MaintenancePlan tells which VMs to empty, and which to maintain now.
type MaintenancePlan struct {
	Empty []string
	Begin []string
}

// PlanMaintenance decides which VMs of a wave come next.
//
// Load pattern: half of the fleet is due while each pool in turn needs all it has. VMs that run nothing are maintained
// at once, unless a pool lacks servers: then only as fast as the time left demands. Others are emptied only as fast as
// that anyway, those with the fewest runs first, so that a wave takes as little as possible of the room for a burst.
func PlanMaintenance(m Maintenance) MaintenancePlan {
	var plan MaintenancePlan
	var busy []MaintenanceVM
	free := max(m.AtOnce, 1) - m.Down
	if m.Scarce {
		free = min(max(m.AtOnce, 1), m.pace(len(m.VMs)+m.Down, m.Duration)) - m.Down
	}
	emptying := 0
	for _, vm := range m.VMs {
		switch {
		case vm.Ordered || vm.Blocked:
		case vm.Running == 0 && free > 0:
			plan.Begin = append(plan.Begin, vm.VM)
			free--
		case vm.Emptying:
			plan.Empty = append(plan.Empty, vm.VM)
			emptying++
		default:
			busy = append(busy, vm)
		}
	}
	atOnce := min(m.AtOnce, m.pace(len(busy)+emptying, m.Duration+emptyTime))
	sort.SliceStable(busy, func(a, b int) bool { return busy[a].Running < busy[b].Running })
	for _, vm := range busy {
		if emptying >= atOnce {
			break
		}
		plan.Empty = append(plan.Empty, vm.VM)
		emptying++
	}
	return plan
}

// pace is the number of VMs that have to be worked on at the same time, if each takes so long, to be done in time.
func (m Maintenance) pace(vms int, each time.Duration) int {
	rounds := (float64(m.TimeLeft) - maintenanceReserve*float64(m.Within)) / float64(each)
	if rounds <= 1 {
		return vms
	}
	return int(math.Ceil(float64(vms) / rounds))
}
