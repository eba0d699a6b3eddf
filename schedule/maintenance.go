package schedule

import (
	"math"
	"sort"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond // from when a server gets no new work until it is idle
	// idleReserve is the share of a wave's time that the maintenance of idle VMs leaves unplanned, for outages of the
	// store and changes of the leader.
	idleReserve = 0.4
	// drainStartShare is the share of a wave's time that is left when the draining of busy VMs starts during a capacity
	// shortage. Most VMs become idle by themselves before that, as bursts move on.
	drainStartShare = 0.65
	// drainReserve is the share of a wave's time that the draining of busy VMs leaves unplanned. It is smaller than
	// idleReserve because draining takes capacity from other work.
	drainReserve = 0.2
)

// MaintenanceVM is a VM of a wave whose maintenance hasn't started.
type MaintenanceVM struct {
	VM string
	// Ordered marks a VM whose maintenance was requested, with an outcome that isn't known yet.
	Ordered bool
	// Running is the number of runs on the VM. Lasting reports whether some of them are of long-running tasks.
	Running int
	Lasting bool
	// Emptying marks a VM that gets no new work.
	Emptying bool
	// Blocked marks a VM that can't go into maintenance now, because it is moving to another pool or isn't up.
	Blocked bool
}

// Maintenance is the state of a maintenance wave.
type Maintenance struct {
	// VMs are the VMs of the wave whose maintenance hasn't started.
	VMs []MaintenanceVM
	// AtOnce is the largest number of VMs of the wave that may be down at the same time, Down the number that are.
	AtOnce, Down int
	// Scarce reports whether a pool has fewer servers than it needs.
	Scarce bool
	// TimeLeft is the time until the deadline of the wave, Duration the time that the maintenance of one VM takes.
	TimeLeft, Duration time.Duration
	// Within is the time from the start of the wave to its deadline.
	Within time.Duration
}

// MaintenancePlan holds the names of VMs for each kind of action.
type MaintenancePlan struct {
	Relieve []string // migrate the long-running tasks; the VM may get other work
	Empty   []string // drain: no new work
	Begin   []string // start maintenance
}

// PlanMaintenance decides what to do next with the VMs of a wave.
//
// Half of the fleet may be due for maintenance while each pool in turn needs all of its servers:
//   - Idle VMs go into maintenance at once. During a capacity shortage they go only as fast as the deadline requires.
//   - Long-running tasks are migrated from the start of the wave, because few tasks of a step may be unavailable at the
//     same time. The VM continues with other work.
//   - Busy VMs are drained only as fast as the deadline requires, those with the fewest runs first. During a capacity
//     shortage draining starts late in the wave.
func PlanMaintenance(m Maintenance) MaintenancePlan {
	var plan MaintenancePlan
	var busy []MaintenanceVM
	free := max(m.AtOnce, 1) - m.Down
	if m.Scarce {
		free = min(max(m.AtOnce, 1), m.concurrency(len(m.VMs)+m.Down, m.Duration, idleReserve)) - m.Down
	}
	draining := 0
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
			draining++
		default:
			busy = append(busy, vm)
		}
	}
	if m.Scarce && float64(m.TimeLeft) > drainStartShare*float64(m.Within) {
		return plan
	}
	maxDraining := min(m.AtOnce, m.concurrency(len(busy)+draining, m.Duration+drainTime, drainReserve))
	sort.SliceStable(busy, func(a, b int) bool { return busy[a].Running < busy[b].Running })
	for _, vm := range busy {
		if draining >= maxDraining {
			break
		}
		plan.Empty = append(plan.Empty, vm.VM)
		draining++
	}
	return plan
}

// concurrency returns how many VMs have to be handled at the same time to finish them all before the deadline. Each
// takes the time perVM. Reserve is the share of the wave's time to leave unplanned.
func (m Maintenance) concurrency(vms int, perVM time.Duration, reserve float64) int {
	rounds := (float64(m.TimeLeft) - reserve*float64(m.Within)) / float64(perVM)
	if rounds <= 1 {
		return vms
	}
	return int(math.Ceil(float64(vms) / rounds))
}
