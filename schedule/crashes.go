package schedule

import "math"

// Crashes is what is known of the backend servers that were lost while they ran a task. For a long-running task only those
// count that were lost before a run of the task had survived its start: a task that is at work for days is on many servers
// that crash, and by the users' rules it is restarted however it ends.
type Crashes struct {
	// LongRunning says that the task is long-running.
	LongRunning bool
	// Confirmed is the number of servers that certainly crashed. Certain is the number of these that had certainly started
	// the task, and Isolated the number of these in turn on which no run of another job was starting.
	Confirmed, Certain, Isolated int
	// Unresolved is the number of servers that were lost and may have crashed, or may only be partitioned.
	Unresolved int
	// AtStart says that a server was lost before it had reported the run, so that the start may have caused it.
	AtStart bool
	// Expected is the number of confirmed crashes that are expected of any servers in the time that the runs were there: the sum
	// of the probabilities that a server on which no run is starting crashes in that time.
	Expected float64
}

const (
	// suspiciousCrashes is the number of crashes from which on a task is started isolated.
	suspiciousCrashes = 2
	// minCrashesToFail is the number of crashes from which on a task may be given up. By the users' rules a task may be given up
	// once two servers have crashed under it.
	minCrashesToFail = 2
	// maxCrashes is the number of crashes after which a task is started only once their cause is known. By the users'
	// rules it may be started less than three times after as many crashes.
	maxCrashes = 3
	// minLongRunningCrashes and minLongRunningIsolated are the numbers of certain and of isolated crashes in turn from which on
	// a long-running task is given up. Nothing starts it again until its job is cancelled, so it takes more than chance.
	minLongRunningCrashes  = 3
	minLongRunningIsolated = 2
	// maxCoincidence is the largest probability of the crashes under a task that doesn't crash servers with which it is given up.
	// maxCoincidenceAtLimit holds one crash before crashLimit, as a crash may have been missed.
	maxCoincidence        = 1e-4
	maxCoincidenceAtLimit = 5e-4
	// crashLimit is the number of crashes after which a task isn't started again: by its next start the rule would be broken.
	crashLimit = maxCrashes + 2
)

// Coincidence returns the probability that as many servers crash one after the other under a task that doesn't crash them, in as
// little time. The probability of a crash until a run is as old as the one that was lost is uniform between 0 and 1 then, and that
// the sum of n such values is below x is x^n/n!.
func (c Crashes) Coincidence() float64 {
	p := 1.0
	for n := range c.Confirmed {
		p *= c.Expected / float64(n+1)
	}
	return math.Min(p, 1)
}

// unexplained returns how many of a number of crashes exceed those that are expected of any servers.
func (c Crashes) unexplained(crashes int) int { return crashes - int(c.Expected) }

// suspected returns the number of crashes that the task may have caused, including those of which isn't known yet whether the
// server crashed.
func (c Crashes) suspected() int { return c.unexplained(c.Confirmed + c.Unresolved) }

// NeedsIsolation reports whether the next run of a task has to be isolated: until the run has survived its start, its
// server starts no run of another job. RaisesAlert has returned true for another task a short time ago if alert is set.
//
// A task that crashes each server that starts it takes all runs on these servers with it. It can't be told from its
// neighbors there. Isolated starts tell them apart: the run survives, or the crash is certainly its own. A single crash is
// mostly a fault of the server, unless tasks that crash servers are about. A task that may be started only a few times more is
// isolated even if its crashes are expected, as its neighbors' crashes would count as its own.
func NeedsIsolation(c Crashes, alert bool) bool {
	if c.suspected() >= suspiciousCrashes || AwaitsCalm(c) {
		return true
	}
	return alert && c.AtStart && c.unexplained(c.Confirmed) > 0
}

// RaisesAlert reports whether crashes under a task are a sign that tasks crash servers.
func RaisesAlert(c Crashes) bool { return c.AtStart && c.unexplained(c.Confirmed) >= suspiciousCrashes }

// IsIsolatedThroughout reports whether runs of a task are isolated until they end, not only while they start.
func IsIsolatedThroughout(c Crashes) bool { return c.Confirmed+c.Unresolved >= maxCrashes }

// CauseWait is how long a task waits until it is known whether the lost servers crashed.
type CauseWait uint8

// The kinds of CauseWait.
const (
	NoWait CauseWait = iota
	BoundedWait
	UnboundedWait
)

// AwaitsCause returns how long a task isn't started because it isn't known whether servers crashed under it.
func AwaitsCause(c Crashes) CauseWait {
	switch total := c.Confirmed + c.Unresolved; {
	case c.Unresolved == 0 || total < maxCrashes:
		return NoWait
	case total < crashLimit:
		return BoundedWait
	}
	return UnboundedWait
}

// AwaitsCalm reports whether a task is started only once servers don't crash at once whatever runs on them: by the users' rules it
// may be started only a few times more, and a crash among others wouldn't tell whether it crashes servers.
func AwaitsCalm(c Crashes) bool { return c.Confirmed+c.Unresolved >= maxCrashes }

// GivesUp reports whether a task is given up because it crashes servers: if the crashes under it are no coincidence, or if by the
// users' rules it may not be started again.
func GivesUp(c Crashes) bool {
	nearLimit := c.Certain > maxCrashes && c.Isolated >= minLongRunningIsolated && c.Coincidence() <= maxCoincidenceAtLimit
	if c.Confirmed >= crashLimit || nearLimit {
		return true
	}
	if c.Coincidence() > maxCoincidence {
		return false
	}
	if c.LongRunning {
		return c.Isolated >= minLongRunningIsolated && c.Certain >= minLongRunningCrashes
	}
	return c.Isolated > 0 && c.Certain >= minCrashesToFail
}
