package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
)

const (
	fullPace    = 100 // percent
	unknownPace = -1  // a controller before this one may have set it
	// paceInterval is the time between two changes of a server's pace: a figure covers half a second, and a pace takes
	// 0.1 s to act.
	paceInterval = 700 * time.Millisecond
	// sharedWait replaces lookWait at servers with filling and serving tasks, so that figures are recent.
	sharedWait = 300 * time.Millisecond
)

// pace sets how fast the filling tasks of a server work beside those that serve.
func (s *State) pace(v *server, now time.Time) {
	if v.missed > 0 || !now.Before(s.termUntil) || now.Sub(v.pacedAt) < paceInterval {
		return
	}
	serving, fillers := v.sharing()
	for _, a := range fillers {
		if a.pacing || a.phase != running || a.stopWanted {
			continue
		}
		want := schedule.PlanPace(serving, max(a.pace, 0))
		if want == a.pace {
			continue
		}
		a.pacing, v.pacedAt = true, now
		klog.InfoS("Filling task paced", "run", a.id(), "server", v.id, "percent", want, "was", a.pace,
			"serving", len(serving), "report-age", now.Sub(v.clockAt))
		s.emit(Pace{Target: v.target(), Run: a.id(), Percent: want, Token: s.Token})
	}
}

// sharing returns the serving tasks of a server that are at work, and its filling tasks.
func (v *server) sharing() (serving []schedule.TaskLatency, fillers []*attempt) {
	for _, a := range v.attempts {
		spec := a.task.step.spec
		switch {
		case spec.BestEffort():
			fillers = append(fillers, a)
		case spec.LatencyTarget() > 0 && a.phase == running:
			serving = append(serving, schedule.TaskLatency{TailMS: a.figure, TargetMS: spec.LatencyTarget().Milliseconds()})
		}
	}
	return serving, fillers
}

func (s *State) paceEnded(e PaceEnded) {
	a, known := s.attempt(e.Server, e.Run)
	if !known {
		return
	}
	a.pacing = false
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		a.pace = e.Percent
	case backend.Refused:
		if o.Reason == backend.RefusedStaleToken {
			s.depose("server-knows-newer-token")
		}
	case backend.OutcomeUnknown, backend.Reported:
		a.pace = unknownPace // it may be set late
	}
}
