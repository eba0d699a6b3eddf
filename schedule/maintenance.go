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
	// emptyFrom is the part of a wave's time that is left when busy VMs are emptied although servers are scarce. Until
	// then most become idle by themselves, as bursts move on.
	emptyFrom = 0.65
	// emptyReserve is maintenanceReserve for emptying busy VMs, which takes room from other work.
	emptyReserve = 0.2
)

// MaintenanceVM is a VM whose maintenance hasn't begun.
type MaintenanceVM struct {
	VM string
	// Ordered tells that the outcome of an order is awaited.
	Ordered bool
	// Running is the number of runs on it. Lasting tells that some of them don't end by themselves.
	Running int
	Lasting bool
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

// MaintenancePlan tells which VMs to relieve of tasks that last, which to empty, and which to maintain now.
type MaintenancePlan struct {
	Relieve []string
	Empty   []string
	Begin   []string
}

// PlanMaintenance decides which VMs of a wave come next.
//
// Load pattern: half of the fleet is due while each pool in turn needs all it has. VMs that run nothing are maintained
// at once, unless a pool lacks servers: then only as fast as the time left demands. Tasks that last are moved from the
// start, as few of a step may be away at once; the VM goes on with other work. Busy VMs are emptied only as fast as the
// time left demands, those with the least work first, and not at all in the first part of the wave if servers are scarce.
func PlanMaintenance(m Maintenance) MaintenancePlan {
	var plan MaintenancePlan
	var busy []MaintenanceVM
	free := max(m.AtOnce, 1) - m.Down
	if m.Scarce {
		free = min(max(m.AtOnce, 1), m.pace(len(m.VMs)+m.Down, m.Duration, maintenanceReserve)) - m.Down
	}
	emptying := 0
	for _, vm := range m.VMs {
		if vm.Lasting && !vm.Blocked && !vm.Ordered {
			plan.Relieve = append(plan.Relieve, vm.VM)
		}
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
	if m.Scarce && float64(m.TimeLeft) > emptyFrom*float64(m.Within) {
		return plan
	}
	atOnce := min(m.AtOnce, m.pace(len(busy)+emptying, m.Duration+emptyTime, emptyReserve))
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
func (m Maintenance) pace(vms int, each time.Duration, reserve float64) int {
	rounds := (float64(m.TimeLeft) - reserve*float64(m.Within)) / float64(each)
	if rounds <= 1 {
		return vms
	}
	return int(math.Ceil(float64(vms) / rounds))
}
