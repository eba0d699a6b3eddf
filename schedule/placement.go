package schedule

import "github.com/pistachiolead/pistachiolead/workload"

// Server is the state of a backend server as a candidate for one task.
type Server struct {
	ID       string
	Zone     string
	Rack     string
	Kind     string // a label that every server has, like Rack
	Capacity workload.Resources
	Free     workload.Resources
	// SameStepRuns is the number of runs of the task's step on the server, RackSameStepRuns the number on its rack.
	SameStepRuns     int
	RackSameStepRuns int
	// MaintenanceDue marks a server that is due for maintenance. It is used last.
	MaintenanceDue bool
	// ConsecutiveFailures is the number of consecutive failed runs on the server.
	ConsecutiveFailures int
	// TaskFailedBefore marks a server on which the task has failed before. It is used only if no other server fits.
	TaskFailedBefore bool
	// Excluded marks a server that may not run the step.
	Excluded bool
	// HasLongRunning marks a server with long-running tasks.
	HasLongRunning bool
	// InterferingRuns is the number of runs on the server that would slow the task down, or that the task would slow down.
	InterferingRuns int
	// Slow marks a server that is at least two times slower than others at present. Long-running tasks outlast that, and ignore it.
	Slow bool
}

// SelectServer returns the index of the best server for a task of the step, or -1 if the task fits on none.
//
// Demand moves from pool to pool within seconds. SelectServer packs tasks onto the servers with the highest
// utilization, so that other servers become idle and their VMs can move to another pool. Before utilization it prefers
// servers on which the task hasn't failed, servers of normal speed and servers on the rack of the task's data.
func SelectServer(step workload.Step, servers []Server) int {
	best := -1
	var bestOne choice
	for i := range servers {
		if !Fits(step, &servers[i]) {
			continue
		}
		one := choice{server: &servers[i]}
		if best < 0 || preferable(step, &one, &bestOne) {
			best, bestOne = i, one
		}
	}
	return best
}

// StaysBest reports whether the server that SelectServer returned for a task is certainly the best one for the next task of
// the step too. It is if the task fits: a run only raises the server's utilization, unless runs of the step on one server
// or rack count.
func StaysBest(step workload.Step, selected *Server) bool {
	return !step.LongRunning() && !step.SameRack() && Fits(step, selected)
}

// choice is a server with its utilization, which is computed when a comparison needs it.
type choice struct {
	server      *Server
	utilization float64
	computed    bool
}

func (c *choice) use() float64 {
	if !c.computed {
		s := c.server
		c.utilization, c.computed = s.Capacity.Minus(s.Free).DominantShare(s.Capacity), true
	}
	return c.utilization
}

// Obstacle is why a server can't start a task of a step now.
type Obstacle int

// Obstacles, in the order in which they are checked.
const (
	NoObstacle  Obstacle = iota
	Excluded             // for another reason than the following, see Server
	TooSmall             // the server's capacity is too small
	TooManyRuns          // the server has as many runs of the step as it may have
	WrongLabel           // the server lacks the label that the step requires
	NotFree              // the free capacity is too small; it suffices once other runs have ended
)

// ObstacleOf returns why the server can't start a task of the step now, beside the runs of the step that it has.
func ObstacleOf(step workload.Step, s *Server) Obstacle {
	switch {
	case s.Excluded:
		return Excluded
	case !step.Reserves().FitsIn(s.Capacity):
		return TooSmall
	case step.MaxPerServer() > 0 && s.SameStepRuns >= step.MaxPerServer():
		return TooManyRuns
	case !HasLabel(step, s.Kind, s.Rack):
		return WrongLabel
	case !step.Reserves().FitsIn(s.Free):
		return NotFree
	}
	return NoObstacle
}

// Fits reports whether the server can start a task of the step now: it may run the task, and has the free capacity.
func Fits(step workload.Step, s *Server) bool { return ObstacleOf(step, s) == NoObstacle }

// MayRun reports whether the server may run a task of the step beside the runs of the step that it has, now or once other runs have
// ended there.
func MayRun(step workload.Step, s *Server) bool {
	o := ObstacleOf(step, s)
	return o == NoObstacle || o == NotFree
}

// HasLabel reports whether a server of the given kind and rack has the label that a step requires.
func HasLabel(step workload.Step, kind, rack string) bool {
	return step.Label() == "" || step.Label() == kind || step.Label() == rack
}

// preferable reports whether the first server is a better choice than the second one.
func preferable(step workload.Step, first, second *choice) bool {
	a, b := first.server, second.server
	if a.TaskFailedBefore != b.TaskFailedBefore {
		return !a.TaskFailedBefore
	}
	if step.LongRunning() && a.MaintenanceDue != b.MaintenanceDue {
		return !a.MaintenanceDue
	}
	if !step.LongRunning() && a.Slow != b.Slow {
		return !a.Slow
	}
	if near := step.DataRack(); near != "" && (a.Rack == near) != (b.Rack == near) {
		return a.Rack == near
	}
	if a.ConsecutiveFailures != b.ConsecutiveFailures {
		return a.ConsecutiveFailures < b.ConsecutiveFailures
	}
	if a.InterferingRuns != b.InterferingRuns {
		return a.InterferingRuns < b.InterferingRuns
	}
	if step.SameRack() && a.RackSameStepRuns != b.RackSameStepRuns {
		return a.RackSameStepRuns > b.RackSameStepRuns
	}
	if step.LongRunning() && a.HasLongRunning != b.HasLongRunning {
		return a.HasLongRunning
	}
	if step.LongRunning() && a.RackSameStepRuns != b.RackSameStepRuns {
		return a.RackSameStepRuns < b.RackSameStepRuns
	}
	if a.MaintenanceDue != b.MaintenanceDue {
		return !a.MaintenanceDue
	}
	if first.use() != second.use() {
		return first.use() > second.use()
	}
	return a.ID < b.ID
}
