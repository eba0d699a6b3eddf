package schedule

import "time"

const (
	// copyFactor is how many times longer than a new run elsewhere a run has to be expected to last for a copy of its task, or for its
	// move. Estimates of two runs differ by less.
	copyFactor = 2
	// DefaultCopyPercent is the share of the servers of a pool that may have copies at a time, and from which a run is moved in a
	// second, in percent.
	DefaultCopyPercent = 5
)

// Straggler is a run that may be slower than others.
type Straggler struct {
	// Done is the share of its work that is done.
	Done float64
	// Rate is the share that it does in a second, UsualRate that of other runs elsewhere.
	Rate, UsualRate float64
}

// left returns the expected time until the run ends.
func (s Straggler) left() time.Duration { return duration(1-s.Done, s.Rate) }

// leftElsewhere returns the expected time until a new run on another server ends that begins with the given share done.
func (s Straggler) leftElsewhere(done float64) time.Duration {
	return startDelay + duration(1-done, s.UsualRate)
}

func duration(share, rate float64) time.Duration {
	const longest = 24 * time.Hour
	if rate <= 0 || share/rate > longest.Seconds() {
		return longest
	}
	return time.Duration(share / rate * float64(time.Second))
}

// WorthCopying reports whether a run is expected to take at least copyFactor times as long as a copy that begins with the given share
// of the work done.
func (s Straggler) WorthCopying(done float64) bool {
	return s.left() >= copyFactor*s.leftElsewhere(done)
}

// WorthMoving reports whether a run that saves its checkpoint when it is stopped is to be moved to another server. It is if the job
// ends late, or too late, because of it, and wouldn't otherwise. StopTime is how long it takes to stop, and later the
// duration of the steps after it.
func (s Straggler) WorthMoving(submitted time.Time, objective, stopTime, later time.Duration, now time.Time) bool {
	moved := stopTime + s.leftElsewhere(s.Done)
	return s.left() >= copyFactor*moved &&
		Outlook(submitted, objective, moved+later, now) < Outlook(submitted, objective, s.left()+later, now)
}

// MaxCopyServers returns how many servers of a pool may have copies at a time.
func MaxCopyServers(servers, percent int) int { return servers * percent / 100 }

// MoveInterval returns the shortest time between two moves of runs off slow servers of a pool.
func MoveInterval(servers, percent int) time.Duration {
	return time.Second / time.Duration(max(MaxCopyServers(servers, percent), 1))
}
