package fleet

import (
	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// maxRequirements bounds the requirements of a pool for which VMs are looked for at a time.
const maxRequirements = 32

// requirement is what a VM needs to run a task.
type requirement struct {
	label    string
	reserves workload.Resources
}

func (r requirement) satisfiedBy(kind, rack string, capacity workload.Resources) bool {
	return (r.label == "" || r.label == kind || r.label == rack) && r.reserves.FitsIn(capacity)
}

// requirement returns what a VM needs to run a task of the step.
func (st *step) requirement() requirement {
	return requirement{label: st.spec.Label(), reserves: st.spec.Reserves()}
}

// noteLack notes which servers the pool lacks for a step of which a task fits on none of its servers now. Tasks that end wait for the
// servers that may run them, unless the pool has none.
func (s *State) noteLack(st *step, p *placementPool) {
	pool := s.poolOf(st.tasks[0].job)
	switch {
	case st.spec.LongRunning():
		s.noteShortage(st, pool, st.missingServers())
	case st.spec.Label() != "" && !p.hasServerFor(st.spec):
		s.noteRequirement(st, pool, 1)
	}
}

// noteShortage notes that long-running tasks of a step need more servers. Servers without the label that they require would be no use.
func (s *State) noteShortage(st *step, pool string, servers int) {
	if st.spec.Label() == "" {
		s.longRunningShortage[pool] += servers
		return
	}
	s.noteRequirement(st, pool, servers)
}

// noteRequirement notes that a step needs more servers with its label. What several steps need isn't added up, as one server may run tasks
// of all of them.
func (s *State) noteRequirement(st *step, pool string, servers int) {
	r := st.requirement()
	lacks := s.lacks[pool]
	if lacks == nil {
		lacks = make(map[requirement]int)
		s.lacks[pool] = lacks
	}
	if _, known := lacks[r]; known || len(lacks) < maxRequirements {
		lacks[r] = max(lacks[r], servers)
	}
}

// hasServerFor reports whether a server of the pool may run a task of the step, now or later.
func (p *placementPool) hasServerFor(spec workload.Step) bool {
	for _, v := range p.servers {
		if schedule.HasLabel(spec, v.reg.Kind, v.reg.Rack) && spec.Reserves().FitsIn(v.reg.Capacity) {
			return true
		}
	}
	return false
}

// vmsLacking returns the VMs of other pools that satisfy what a pool lacks servers for, less those that are moving into it.
func (s *State) vmsLacking(pool string) []schedule.Lack {
	var lacks []schedule.Lack
	for r, servers := range s.lacks[pool] {
		found := schedule.Lack{VMs: make(map[string]bool), Count: servers}
		for name, vm := range s.vms {
			if !r.satisfiedBy(vm.Kind, vm.Rack, vm.Capacity) {
				continue
			}
			if m, moving := s.moves[name]; moving && m.pool == pool {
				found.Count--
			} else if vm.Pool != pool {
				found.VMs[name] = true
			}
		}
		if found.Count > 0 && len(found.VMs) > 0 {
			lacks = append(lacks, found)
		}
	}
	return lacks
}

// loadWithoutVM returns the load of pending tasks of a job that no VM may run at present, as those with the label that they require are lost
// or their zones are evacuated. A pool doesn't grow for them. The known answers by requirement are kept in satisfied.
func (s *State) loadWithoutVM(j *job, capacity workload.Resources, satisfied map[requirement]bool) float64 {
	total := 0.0
	for _, occurrence := range j.open {
		for number := range j.spec.Steps() {
			st := j.steps[[2]int{occurrence, number}]
			if st.spec.Label() == "" || st.unassigned <= st.givenUp || !j.dependenciesDone(occurrence, st) {
				continue
			}
			r := st.requirement()
			if _, known := satisfied[r]; !known {
				satisfied[r] = s.hasVMFor(r)
			}
			if !satisfied[r] {
				total += float64(st.unassigned-st.givenUp) * r.reserves.DominantShare(capacity)
			}
		}
	}
	return total
}

// hasVMFor reports whether a VM of any pool satisfies a requirement.
func (s *State) hasVMFor(r requirement) bool {
	for _, vm := range s.vms {
		if vm.State != backend.VMDown && !s.evacuatedZones[vm.Zone] && r.satisfiedBy(vm.Kind, vm.Rack, vm.Capacity) {
			return true
		}
	}
	return false
}
