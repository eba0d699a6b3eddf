package maintenance_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// evacuationPolicy returns the actions for the tasks of an availability zone that was taken out at the time out. The
// baseline restarts every task that may run again at once.
func evacuationPolicy(
	baseline bool, out time.Time,
) func(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	return func(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
		var actions []maintenance.TaskAction
		for _, v := range f.VMs() {
			if !v.State().OutOfService() {
				continue
			}
			for _, t := range v.Tasks() {
				w := drainWindow
				if baseline {
					t, w = maintenance.NewTask(t.ID(), 0, t.Restartable(), false), 0
				}
				actions = append(actions, maintenance.NewTaskAction(v.ID(), t.ID(), maintenance.ActionFor(t, now.Sub(out), w)))
			}
		}
		return nil, actions
	}
}

// BenchmarkPolicyZone measures an availability zone that is taken out (R15) at a load beyond the capacity: the first
// zone is out for 5 min, then a tenth of its VMs returns each second.
func BenchmarkPolicyZone(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		for name, baseline := range map[string]bool{"baseline": true, "current": false} {
			b.Run(d+"/"+name, func(b *testing.B) {
				for range b.N {
					runZoneOutage(b, d, baseline)
				}
			})
		}
	}
}

func runZoneOutage(b *testing.B, name string, baseline bool) {
	pools, vms := loadDeployment(name)
	s := newSimulation(7, 1.5, pools, vms)
	s.baseline = true // no VM belongs to a wave
	for range 600 {
		s.step(s.noMaintenance, 0)
	}
	var zone []*simVM
	for _, n := range s.vms {
		if n.Zone() == s.vms[0].Zone() {
			zone = append(zone, n)
			n.VM = n.WithState(catalogue.NewVMState(n.Pool(), true, "zone out", "ana", s.now))
		}
	}
	spare := s.pools[slices.IndexFunc(s.pools, catalogue.Pool.Spare)].Name()
	next := evacuationPolicy(baseline, s.now)
	var done, capacity time.Duration
	for i := range 420 {
		if i >= 300 {
			for _, n := range zone[:min(len(zone), (i-299)*(len(zone)+9)/10)] {
				n.VM = n.WithState(catalogue.NewVMState(n.Pool(), false, "", "ana", s.now))
			}
		}
		s.step(next, 0)
		for _, n := range s.vms {
			if !n.State().OutOfService() && n.Pool() != spare {
				capacity += slotsPerVM * tick
				done += time.Duration(len(n.tasks)) * tick
			}
		}
	}
	archive, again := s.archiveJobs, 0
	for id, times := range s.finished {
		again += times - 1
		if s.jobKind[id] == 1 {
			archive--
		}
	}
	for _, n := range s.vms {
		archive -= countArchiveJobs(n.tasks)
	}
	for _, q := range s.queues {
		archive -= countArchiveJobs(q)
	}
	b.ReportMetric(100*float64(done-s.redoneTime)/float64(capacity), "work-percent")
	b.ReportMetric(float64(archive), "archive-lost")
	b.ReportMetric(float64(again), "finished-again")
	b.ReportMetric(s.redoneTime.Seconds(), "s-redone")
}

func countArchiveJobs(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		if strings.HasSuffix(j.entry, "/1") {
			n++
		}
	}
	return n
}
