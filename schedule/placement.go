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
	// SameStep is the number of runs of the task's step on the server, RackSameStep the number on its rack.
	SameStep     int
	RackSameStep int
	// Leaving marks a server that is due for maintenance. It is used last.
	Leaving bool
	// Failures is the number of consecutive failed runs on the server.
	Failures int
	// Avoid marks a server on which the task has failed before. It is used only if no other server fits.
	Avoid bool
	// Barred marks a server that may not run the step.
	Barred bool
	// Lasting marks a server with long-running tasks.
	Lasting bool
	// Interference is the number of runs on the server that would slow the task down, or that the task would slow down.
	Interference int
}

// Choose returns the index of the best server for a task of the step, or -1 if the task fits on none.
//
// Demand moves from pool to pool within seconds. Choose packs tasks onto the servers with the highest utilization, so
// that other servers become idle and their VMs can move to another pool. Before utilization it prefers servers on which
// the task hasn't failed and servers on the rack of the task's data.
func Choose(step workload.Step, servers []Server) int {
	best := -1
	for i := range servers {
		if !fits(step, &servers[i]) {
			continue
		}
		if best < 0 || preferable(step, &servers[i], &servers[best]) {
			best = i
		}
	}
	return best
}

// fits reports whether the server has the capacity for a task of the step and satisfies its constraints.
func fits(step workload.Step, s *Server) bool {
	if s.Barred || !step.Reserves().FitsIn(s.Free) {
		return false
	}
	if step.PerServer() > 0 && s.SameStep >= step.PerServer() {
		return false
	}
	return step.Label() == "" || step.Label() == s.Kind || step.Label() == s.Rack
}

// preferable reports whether server a is a better choice than b.
func preferable(step workload.Step, a, b *Server) bool {
	if a.Avoid != b.Avoid {
		return !a.Avoid
	}
	if step.LongRunning() && a.Leaving != b.Leaving {
		return !a.Leaving
	}
	if near := step.DataRack(); near != "" && (a.Rack == near) != (b.Rack == near) {
		return a.Rack == near
	}
	if a.Failures != b.Failures {
		return a.Failures < b.Failures
	}
	if a.Interference != b.Interference {
		return a.Interference < b.Interference
	}
	if step.SameRack() && a.RackSameStep != b.RackSameStep {
		return a.RackSameStep > b.RackSameStep
	}
	if step.LongRunning() && a.Lasting != b.Lasting {
		return a.Lasting
	}
	if step.LongRunning() && a.RackSameStep != b.RackSameStep {
		return a.RackSameStep < b.RackSameStep
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	useA, useB := a.Capacity.Minus(a.Free).ShareOf(a.Capacity), b.Capacity.Minus(b.Free).ShareOf(b.Capacity)
	if useA != useB {
		return useA > useB
	}
	return a.ID < b.ID
}
