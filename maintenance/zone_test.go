package maintenance_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/maintenance"
)

// leave returns the actions for the tasks of an availability zone that went out at the time. The baseline stops
// everything that may run again.
func leave(baseline bool, out time.Time) func(maintenance.Fleet, time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
	return func(f maintenance.Fleet, now time.Time) ([]maintenance.Step, []maintenance.TaskAction) {
		var actions []maintenance.TaskAction
		for _, v := range f.VMs() {
			if !v.State().Out() {
				continue
			}
			for _, t := range v.Tasks() {
				w := window
				if baseline {
					t, w = maintenance.NewTask(t.ID(), 0, t.Restartable(), false), 0
				}
				actions = append(actions, maintenance.NewTaskAction(v.ID(), t.ID(), maintenance.Decide(t, now.Sub(out), w)))
			}
		}
		return nil, actions
	}
}

// BenchmarkPolicyZone measures R15 at a load beyond the capacity: the first availability zone is out for 5 min and
// returns a tenth of its VMs a second.
func BenchmarkPolicyZone(b *testing.B) {
	for _, d := range []string{"omotnica", "harmattan", "target"} {
		for name, baseline := range map[string]bool{"baseline": true, "current": false} {
			b.Run(d+"/"+name, func(b *testing.B) {
				for range b.N {
					leaveAndReturn(b, d, baseline)
				}
			})
		}
	}
}

func leaveAndReturn(b *testing.B, name string, baseline bool) {
	pools, vms := deployment(name)
	w := newWorld(7, 1.5, pools, vms)
	w.baseline = true // no VM is of a wave
	for range 600 {
		w.step(w.idle, 0)
	}
	var zone []*node
	for _, n := range w.nodes {
		if n.Zone() == w.nodes[0].Zone() {
			zone = append(zone, n)
			n.VM = n.WithState(catalogue.NewVMState(n.Pool(), true, "zone out", "ana", w.now))
		}
	}
	spare := w.pools[slices.IndexFunc(w.pools, catalogue.Pool.Spare)].Name()
	next := leave(baseline, w.now)
	var done, capacity time.Duration
	for i := range 420 {
		if i >= 300 {
			for _, n := range zone[:min(len(zone), (i-299)*(len(zone)+9)/10)] {
				n.VM = n.WithState(catalogue.NewVMState(n.Pool(), false, "", "ana", w.now))
			}
		}
		w.step(next, 0)
		for _, n := range w.nodes {
			if !n.State().Out() && n.Pool() != spare {
				capacity += slots * tick
				done += time.Duration(len(n.tasks)) * tick
			}
		}
	}
	archive, again := w.archive, 0
	for id, times := range w.finished {
		again += times - 1
		if w.kindOf[id] == 1 {
			archive--
		}
	}
	for _, n := range w.nodes {
		archive -= countArchive(n.tasks)
	}
	for _, q := range w.queues {
		archive -= countArchive(q)
	}
	b.ReportMetric(100*float64(done-w.redone)/float64(capacity), "work-percent")
	b.ReportMetric(float64(archive), "archive-lost")
	b.ReportMetric(float64(again), "finished-again")
	b.ReportMetric(w.redone.Seconds(), "s-redone")
}

func countArchive(jobs []*job) int {
	n := 0
	for _, j := range jobs {
		if strings.HasSuffix(j.entry, "/1") {
			n++
		}
	}
	return n
}
