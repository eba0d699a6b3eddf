package schedule

const (
	fullPace  = 100  // percent
	paceStep  = 25   // percent by which a pace rises at a time
	paceNear  = 0.85 // of a target: from here on fillers are slowed down, as the figure is half a second old
	paceUnder = 0.6  // of a target: below it there is room for more
)

// Serving is a task that serves its own users.
type Serving struct {
	// Tail and Target are the tail of the response times and its bound, in milliseconds.
	Tail, Target int64
}

// PlanPace returns the share, in percent, at which the filling tasks of a server are to work, from the share at which
// they work now.
//
// Load pattern: filling tasks disturb the tasks that serve beside them by amounts that change within seconds. They stop
// at once when a target is missed, slow down when it is near, and speed up again step by step.
func PlanPace(serving []Serving, pace int) int {
	worst := 0.0
	for _, t := range serving {
		if t.Target > 0 {
			worst = max(worst, float64(t.Tail)/float64(t.Target))
		}
	}
	switch {
	case worst > 1:
		return 0
	case worst > paceNear:
		return pace / 2
	case worst < paceUnder:
		return min(pace+paceStep, fullPace)
	}
	return pace
}
