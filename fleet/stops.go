package fleet

import (
	"time"

	"k8s.io/klog/v2"
)

// availability is what the controller knows of the other tasks of a long-running task's step.
type availability struct {
	atFullSpeed int
	// The others aren't at full speed: no run of them is known, their runs aren't reported to be at full speed, or their servers
	// don't respond or haven't reported for long enough in this term.
	withoutRun, slow, unknown int
	oldestReport              time.Duration // age of the oldest report that shows one of them at full speed
}

func (o availability) unavailable() int { return o.withoutRun + o.slow + o.unknown }

// othersOf returns the availability of the other tasks of a run's step.
func (s *State) othersOf(a *attempt) availability {
	reportingSince := s.now.Add(-s.StopTime - stopReportMargin)
	var o availability
	for _, t := range a.task.step.tasks {
		switch {
		case t == a.task:
		case t.atFullSpeed(reportingSince):
			o.atFullSpeed++
			for _, other := range t.attempts {
				o.oldestReport = max(o.oldestReport, s.now.Sub(other.server.clockAt))
			}
		case len(t.attempts) == 0:
			o.withoutRun++
		case t.onUnresponsiveServer(reportingSince):
			o.unknown++
		default:
			o.slow++
		}
	}
	return o
}

// onUnresponsiveServer reports whether a server with a run of the task doesn't respond, or has reported to this controller only
// since the given time.
func (t *task) onUnresponsiveServer(reportingSince time.Time) bool {
	for _, a := range t.attempts {
		if a.server.failedPolls > 0 || a.server.confirmedAt.After(reportingSince) {
			return true
		}
	}
	return false
}

// logStop logs a stop request, for a long-running task with the reasons for which it may be stopped.
func (s *State) logStop(a *attempt) {
	spec := a.task.step.spec
	if !spec.LongRunning() || spec.MaxUnavailable() == 0 {
		klog.InfoS("Stopping run", "run", a.id(), "server", a.server.id, "incarnation", a.server.incarnation, "reason", a.stopReason)
		return
	}
	o := s.othersOf(a)
	klog.InfoS("Stopping run", "run", a.id(), "server", a.server.id, "incarnation", a.server.incarnation, "reason", a.stopReason, "reported", a.reported, "speed", a.percent,
		"report-age", s.now.Sub(a.server.clockAt), "others-at-full-speed", o.atFullSpeed, "oldest-report", o.oldestReport,
		"others-without-run", o.withoutRun, "others-slow", o.slow, "others-unknown", o.unknown, "max-unavailable", spec.MaxUnavailable())
}

// lacksReport reports whether no report tells yet whether a long-running task works whose stop request had no response. The server may
// have started it since the stop was decided on, as the start request had no response either.
func (a *attempt) lacksReport() bool {
	return a.stopReason == stopUnanswered && a.task.step.spec.LongRunning() && !a.server.clockAfter.After(a.stopTriedAt)
}
