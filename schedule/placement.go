package schedule

import "github.com/pistachiolead/pistachiolead/workload"

// Server is a backend server that may take a task.
type Server struct {
	ID       string
	Zone     string
	Rack     string
	Kind     string
	Capacity workload.Resources
	Free     workload.Resources
	// SameStep is the number of runs of the task's step that the server has, RackSameStep that of its rack.
	SameStep     int
	RackSameStep int
	// Leaving servers are due for maintenance, and are used last.
	Leaving bool
	// Failures counts runs that failed in a row.
	Failures int
	// Avoid tells that the task failed there before.
	Avoid bool
	// Barred servers may not run the step.
	Barred bool
	// Lasting tells that the server has tasks that last.
	Lasting bool
	// Interference is the number of runs there that the task would disturb or be disturbed by.
	Interference int
}

// Choose returns the index of the server for a task, or -1 if none may take it.
//
// Load pattern: demand moves from pool to pool within seconds. Tasks are packed onto the servers that are used most, so
// that others run empty and can follow the demand; near their data, and away from servers that failed the task.
func Choose(step workload.Step, servers []Server) int {
	best := -1
	for i := range servers {
		if !fits(step, &servers[i]) {
			continue
		}
		if best < 0 || better(step, &servers[i], &servers[best]) {
			best = i
		}
	}
	return best
}

func fits(step workload.Step, s *Server) bool {
	if s.Barred || !step.Reserves().FitsIn(s.Free) {
		return false
	}
	if step.PerServer() > 0 && s.SameStep >= step.PerServer() {
		return false
	}
	return step.Label() == "" || step.Label() == s.Kind || step.Label() == s.Rack
}

func better(step workload.Step, a, b *Server) bool {
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
