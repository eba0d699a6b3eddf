package intake

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// maxForecastAge is the age of a forecast from which on it isn't used. The leader renews it several times a second, so an
	// older one is of a leader that was lost, or that the store doesn't respond to.
	maxForecastAge = 2500 * time.Millisecond
	// forecastLag is how old a forecast usually is when an entry VM first reads it: it is made each 0.25 s, and stored and read
	// about as often. A wait is taken for that much shorter, as a wrong refusal is worse than a late job.
	forecastLag = 500 * time.Millisecond
)

// Forecast is what is known of the leader's forecast.
type Forecast struct {
	// Waits are the least times that new jobs wait, by pool.
	Waits map[string]fleet.Wait
	// Version is that of the term row that holds the forecast, Since when this entry VM first read it.
	Version uint64
	Since   time.Time
}

// Lateness is how much too late a job would be.
type Lateness struct {
	Wait, Path, HardDeadline, Age time.Duration
}

// By returns the time by which the job would end after its hard deadline.
func (l Lateness) By() time.Duration { return l.Wait + l.Path - l.HardDeadline }

// EndsTooLate reports whether a job that arrives now certainly ends after its hard deadline, and how much too late it would be.
// While there is no forecast for its pool, or only an old one, nothing is certain.
func EndsTooLate(j *workload.Job, f Forecast, now time.Time) (Lateness, bool) {
	age := max(now.Sub(f.Since), 0)
	w, waits := f.Waits[j.Pool()]
	if !waits || age > maxForecastAge {
		return Lateness{}, false
	}
	wait, late := w.For(j, age+forecastLag)
	return Lateness{
		Wait: wait, Path: j.CriticalPath(), HardDeadline: schedule.HardDeadline(j.Objective()), Age: age,
	}, late
}

// refuseLate returns nil unless the job certainly ends after its hard deadline.
func (h *Handler) refuseLate(c Call, j *workload.Job) Outcome {
	if h.Forecast == nil {
		return nil
	}
	lateness, late := EndsTooLate(j, h.Forecast(), h.Clock.Now())
	if !late {
		return nil
	}
	return h.refuseForGood(c, j.ID(), func() Outcome {
		after := spread(lateness.By())
		h.Scope.Tagged(map[string]string{"queue": j.Queue()}).Counter("refused-late").Inc(1)
		klog.InfoS("Call refused", "call", c.ID, "reason", "no-capacity-in-time", "queue", j.Queue(), "pool", j.Pool(),
			"wait", lateness.Wait, "path", lateness.Path, "hard-deadline", lateness.HardDeadline, "age", lateness.Age,
			"retry-after", after)
		return Full{RetryAfter: after}
	})
}

// refuseWhileFull returns nil if the leader has room for new jobs. A job that is stored already stays accepted.
func (h *Handler) refuseWhileFull(c Call, id string) Outcome {
	if h.FullFor == nil {
		return nil
	}
	fullFor := h.FullFor()
	if fullFor == 0 {
		return nil
	}
	return h.refuseForGood(c, id, func() Outcome {
		after := spread(fullFor)
		h.Scope.Counter("refused-full").Inc(1)
		klog.InfoS("Call refused", "call", c.ID, "reason", "no-room", "retry-after", after)
		return Full{RetryAfter: after}
	})
}

// refuseAgain refuses a job because it was refused when this call may already have arrived: the caller may have been told that no
// earlier call has an effect.
func (h *Handler) refuseAgain(c Call, id string) Outcome {
	return h.refuseForGood(c, id, func() Outcome {
		after := spread(retryAfter)
		h.Scope.Counter("refused").Inc(1)
		klog.InfoS("Call refused", "call", c.ID, "reason", "refused-meanwhile", "retry-after", after)
		return Full{RetryAfter: after}
	})
}

// refuseForGood stores the refusal of a job, and then returns what refuse returns. A job that is stored stays accepted.
func (h *Handler) refuseForGood(c Call, id string, refuse func() Outcome) Outcome {
	switch out := h.storeRefusal(c, id).(type) {
	case provider.Committed:
		return refuse()
	case provider.Conflict:
		klog.InfoS("Job already accepted", "call", c.ID, "job", id, "version", out.Row().Version())
		return Accepted{}
	case provider.Unavailable:
		return h.refusalUnknown(c, id, out.Reason())
	case provider.OutcomeUnknown:
		return h.refusalUnknown(c, id, out.Reason())
	case provider.Rejected:
		return h.refusalUnknown(c, id, out.Reason())
	}
	return OutcomeUnknown{Reason: "unexpected outcome"}
}

// refusalUnknown answers a call whose refusal may not be stored. It isn't said that the job never runs, as an earlier call may still
// store it.
func (h *Handler) refusalUnknown(c Call, id, reason string) Outcome {
	klog.InfoS("Outcome of storing the refusal is unknown", "call", c.ID, "job", id, "reason", reason)
	return OutcomeUnknown{Reason: "the refusal may not be stored: " + reason}
}

// spread returns a time from d to 2 d, so that callers return one after another instead of all at once.
func spread(d time.Duration) time.Duration {
	return time.Duration((1 + rand.Float64()) * float64(d))
}
