package schedule

const (
	fullPacePercent = 100
	paceStepPercent = 25 // added to the pace at a time
	// slowDownRatio is the ratio of tail latency to target above which the pace is halved. It is below 1 because the
	// reported latency is half a second old.
	slowDownRatio = 0.85
	speedUpRatio  = 0.6 // the ratio of tail latency to target below which the pace rises
)

// TaskLatency is the latency of a latency-sensitive task, which serves users of its own.
type TaskLatency struct {
	// TailMS is the tail latency that the task reported, TargetMS the bound for it. Both are in milliseconds. A TargetMS
	// of 0 means that there is no bound.
	TailMS, TargetMS int64
}

// PlanPace returns the pace for the best-effort tasks of a server: their speed in percent of full speed. Latencies
// are those of the latency-sensitive tasks on the same server, pace is the current pace.
//
// Best-effort tasks slow latency-sensitive tasks down by amounts that change within seconds. They therefore stop at
// once when a target is missed, halve their pace when the latency is near the target, and speed up step by step.
func PlanPace(latencies []TaskLatency, pace int) int {
	worst := 0.0
	for _, t := range latencies {
		if t.TargetMS > 0 {
			worst = max(worst, float64(t.TailMS)/float64(t.TargetMS))
		}
	}
	switch {
	case worst > 1:
		return 0
	case worst > slowDownRatio:
		return pace / 2
	case worst < speedUpRatio:
		return min(pace+paceStepPercent, fullPacePercent)
	}
	return pace
}
