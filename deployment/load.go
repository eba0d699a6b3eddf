package deployment

import (
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
)

// loadInterval is the time between two log lines on the load of the controller.
const loadInterval = time.Second

// controllerLoad measures what the controller spends: it tells a slow event loop from slow requests, and both from a
// process that gets too little processor time. It isn't safe for concurrent use.
type controllerLoad struct {
	since     time.Time
	processor time.Duration // processor time of the process at since
	events    int
	polls     int
	starts    int
	other     int           // other requests, and commits
	busy      time.Duration // time in the control state
	delay     time.Duration // longest time that an event waited for the control state
}

// recordBatch records a batch of events that waited for delay and took busy to handle.
func (l *controllerLoad) recordBatch(events int, delay, busy time.Duration) {
	l.events += events
	l.busy += busy
	l.delay = max(l.delay, delay)
}

func (l *controllerLoad) recordEffect(e fleet.Effect) {
	switch e.(type) {
	case fleet.Poll:
		l.polls++
	case fleet.Start:
		l.starts++
	default:
		l.other++
	}
}

// log logs the load since the last line every loadInterval.
func (l *controllerLoad) log(vm string, processors float64, now time.Time) {
	if now.Sub(l.since) < loadInterval {
		return
	}
	used := processorTime()
	if !l.since.IsZero() {
		klog.InfoS("Controller load", "vm", vm, "period", now.Sub(l.since), "events", l.events, "polls", l.polls,
			"starts", l.starts, "other-requests", l.other, "state-busy", l.busy, "longest-event-delay", l.delay,
			"processor-time", used-l.processor, "processors", processors)
	}
	*l = controllerLoad{since: now, processor: used}
}

// processorTime returns the processor time that the process has used, in user and kernel mode, or 0 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		klog.InfoS("Failed to read the processor time", "error", err.Error())
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
