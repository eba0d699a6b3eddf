package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// minMeasuredTasks is the number of tasks of a pool from which on their declared durations count as confirmed. The mean of
	// durations that are off by up to half is then off by about a tenth.
	minMeasuredTasks = 20
	// maxMeasuredTasks is the number of tasks from which on earlier ones count half.
	maxMeasuredTasks = 1024
)

// Durations is what tasks of a pool have taken, as the term row holds it: their number, and the sums of their declared and their
// measured durations in milliseconds.
type Durations [3]int64

func (d *Durations) add(declared, measured time.Duration) {
	d[0]++
	d[1] += declared.Milliseconds()
	d[2] += measured.Milliseconds()
	if d[0] >= maxMeasuredTasks {
		for i := range d {
			d[i] /= 2
		}
	}
}

// share returns the measured share of declared durations, 1 at most: a slow server makes no task longer elsewhere. It is 0 until
// enough tasks have been measured.
func (d *Durations) share() float64 {
	if d == nil || d[0] < minMeasuredTasks || d[1] <= 0 {
		return 0
	}
	return min(float64(d[2])/float64(d[1]), 1)
}

// recordDuration records what a run took that is done. Runs that an earlier controller or another server began aren't measured.
func (s *State) recordDuration(a *attempt, now time.Time) {
	spec := a.task.step.spec
	if a.phase != running || a.ranBefore > 0 || a.checkpoint != "" || a.task.record.Done || spec.LongRunning() || spec.BestEffort() {
		return
	}
	pool := s.poolOf(a.task.job)
	if s.durations[pool] == nil {
		s.durations[pool] = &Durations{}
	}
	s.durations[pool].add(spec.DeclaredDuration(), now.Sub(a.startedAt))
}

func (s *State) restoreDurations() {
	s.durations = make(map[string]*Durations, len(s.Term.Durations))
	for pool, d := range s.Term.Durations {
		s.durations[pool] = &d
	}
}

// storedDurations returns the durations of at most maxForecastPools pools of the configuration.
func (s *State) storedDurations() map[string]Durations {
	if s.directory == nil {
		return s.Term.Durations
	}
	stored := make(map[string]Durations)
	for _, pool := range slices.Sorted(maps.Keys(s.directory.Pools())) {
		if d := s.durations[pool]; d != nil && len(stored) < maxForecastPools {
			stored[pool] = *d
		}
	}
	return stored
}

// inherit takes over a run of an earlier controller when its server first reports it.
func (a *attempt) inherit(percent int) {
	if spec := a.task.step.spec; a.phase == restored && !spec.LongRunning() {
		a.ranBefore = spec.DeclaredDuration() * time.Duration(percent) / 100
	}
}

// ran returns for how long a run has run, or by its progress would have, also under earlier controllers.
func (a *attempt) ran(now time.Time) time.Duration { return max(now.Sub(a.startedAt), 0) + a.ranBefore }
