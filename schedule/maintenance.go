package schedule

import (
	"math"
	"sort"
	"time"
)

const (
	drainTime = 2500 * time.Millisecond // from when a server gets no new work until it is idle
	// idleReserve is the share of a wave's time that the maintenance of idle VMs leaves unplanned, for outages of the
	// store and leader changes.
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
	// Requested marks a VM whose maintenance was requested, with an outcome that isn't known yet.
	Requested bool
	// Runs is the number of runs on the VM. HasLongRunning reports whether some of them are of long-running tasks.
	Runs           int
	HasLongRunning bool
	// Draining marks a VM that gets no new work.
	Draining bool
	// Blocked marks a VM that can't go into maintenance now, because it is moving to another pool or isn't up.
	Blocked bool
}

// MaintenanceWave is the state of a maintenance wave.
type MaintenanceWave struct {
	// VMs are the VMs of the wave whose maintenance hasn't started.
	VMs []MaintenanceVM
	// MaxConcurrent is the largest number of VMs of the wave that may be down at the same time, Down the number that are.
	MaxConcurrent, Down int
	// CapacityShortage reports whether a pool has fewer servers than it needs.
	CapacityShortage bool
	// TimeLeft is the time until the deadline of the wave, MaintenanceTime the time that the maintenance of one VM takes.
	TimeLeft, MaintenanceTime time.Duration
	// TimeLimit is the time from the start of the wave to its deadline.
	TimeLimit time.Duration
}

// MaintenancePlan holds the names of VMs for each kind of action.
type MaintenancePlan struct {
	MigrateLongRunning []string // migrate the long-running tasks; the VM may get other work
	Drain              []string // drain: no new work
	Start              []string // start maintenance
}

// PlanMaintenance decides what to do next with the VMs of a wave.
//
// Half of the fleet may be due for maintenance while each pool in turn needs all of its servers. The plan therefore
// follows these rules:
//   - Idle VMs go into maintenance at once. During a capacity shortage they go only as fast as the deadline requires.
//   - Long-running tasks are migrated from the start of the wave, because few tasks of a step may be unavailable at the
//     same time. The VM continues with other work.
//   - Busy VMs are drained only as fast as the deadline requires, those with the fewest runs first. During a capacity
//     shortage draining starts late in the wave.
func PlanMaintenance(m MaintenanceWave) MaintenancePlan {
	var plan MaintenancePlan
	var busy []MaintenanceVM
	free := max(m.MaxConcurrent, 1) - m.Down
	if m.CapacityShortage {
		free = min(max(m.MaxConcurrent, 1), m.concurrency(len(m.VMs)+m.Down, m.MaintenanceTime, idleReserve)) - m.Down
	}
	draining := 0
	for _, vm := range m.VMs {
		if vm.HasLongRunning && !vm.Blocked && !vm.Requested {
			plan.MigrateLongRunning = append(plan.MigrateLongRunning, vm.VM)
		}
		switch {
		case vm.Requested || vm.Blocked:
		case vm.Runs == 0 && free > 0:
			plan.Start = append(plan.Start, vm.VM)
			free--
		case vm.Draining:
			plan.Drain = append(plan.Drain, vm.VM)
			draining++
		default:
			busy = append(busy, vm)
		}
	}
	if m.CapacityShortage && float64(m.TimeLeft) > drainStartShare*float64(m.TimeLimit) {
		return plan
	}
	maxDraining := min(m.MaxConcurrent, m.concurrency(len(busy)+draining, m.MaintenanceTime+drainTime, drainReserve))
	sort.SliceStable(busy, func(a, b int) bool { return busy[a].Runs < busy[b].Runs })
	for _, vm := range busy {
		if draining >= maxDraining {
			break
		}
		plan.Drain = append(plan.Drain, vm.VM)
		draining++
	}
	return plan
}

// concurrency returns how many VMs have to be handled at the same time to finish them all before the deadline. Each
// takes the time perVM. Reserve is the share of the wave's time to leave unplanned.
func (m MaintenanceWave) concurrency(vms int, perVM time.Duration, reserve float64) int {
	rounds := (float64(m.TimeLeft) - reserve*float64(m.TimeLimit)) / float64(perVM)
	if rounds <= 1 {
		return vms
	}
	return int(math.Ceil(float64(vms) / rounds))
}
