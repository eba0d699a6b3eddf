package fleet

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
)

const (
	fullPace    = 100 // percent of full speed
	unknownPace = -1  // an earlier controller, or a request without a response, may have set it
	// paceInterval is the time between two changes of pace on a server: the reported latency covers the last half
	// second, and a new pace takes 0.1 s to take effect.
	paceInterval = 700 * time.Millisecond
	// colocatedPollWait replaces pollWait for servers with best-effort and latency-sensitive tasks, so that the
	// reported latencies are recent.
	colocatedPollWait = 300 * time.Millisecond
)

// adjustPace sets the pace of the best-effort tasks of a server by the latency of its latency-sensitive tasks.
func (s *State) adjustPace(v *server, now time.Time) {
	if v.failedPolls > 0 || v.needsToken || !now.Before(s.termEndsAt) || now.Sub(v.paceSetAt) < paceInterval {
		return
	}
	latencies, bestEffort := v.colocated()
	for _, a := range bestEffort {
		if a.paceInFlight || a.phase != running || a.stopRequested {
			continue
		}
		percent := schedule.PlanPace(latencies, max(a.pace, 0))
		if percent == a.pace {
			continue
		}
		a.paceInFlight, a.paceToken, v.paceSetAt = true, s.tokenFor(v), now
		klog.InfoS("Setting pace of best-effort task", "run", a.id(), "server", v.id, "percent", percent,
			"previous", a.pace, "latency-sensitive", len(latencies), "report-age", now.Sub(v.clockAt))
		s.emit(Pace{Target: v.target(), Run: a.id(), Percent: percent, Token: a.paceToken})
	}
}

// colocated returns the latencies of the running latency-sensitive tasks of a server, and its best-effort tasks. It
// returns nothing if there are no best-effort tasks.
func (v *server) colocated() (latencies []schedule.TaskLatency, bestEffort []*attempt) {
	if v.bestEffort == 0 {
		return nil, nil
	}
	for _, a := range v.attempts {
		spec := a.task.step.spec
		switch {
		case spec.BestEffort():
			bestEffort = append(bestEffort, a)
		case spec.LatencyTarget() > 0 && a.phase == running:
			latencies = append(latencies, schedule.TaskLatency{
				TailMS: a.measurement, TargetMS: spec.LatencyTarget().Milliseconds(),
			})
		}
	}
	return latencies, bestEffort
}

func (s *State) paceEnded(e PaceEnded) {
	a, known := s.findAttempt(e.Server, e.Run)
	if !known {
		return
	}
	a.paceInFlight = false
	switch o := e.Outcome.(type) {
	case backend.Accepted:
		a.pace = e.Percent
	case backend.Refused:
		if o.Reason == backend.RefusedStaleToken && a.paceToken == a.server.token {
			s.depose("server-knows-newer-token")
		}
	case backend.OutcomeUnknown, backend.Reported:
		a.pace = unknownPace // the request may still take effect
	}
}
