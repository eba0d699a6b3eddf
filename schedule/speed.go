package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// NormalSpeed is the speed of a server that runs tasks as fast as the other servers do.
	NormalSpeed = 1.0
	// maxSlowSpeed is the speed up to which a server counts as slow. Runs of one step differ by less than a factor of two.
	maxSlowSpeed = 0.5
	// SpeedSampleLife is how long a sample counts. Servers become slow for about 10 s, and one without runs gives no new samples, so it
	// is used again after this time.
	SpeedSampleLife = 4 * time.Second

	// minStepPeers is the number of other servers from which on the speed of a run is compared with their runs of the same step.
	minStepPeers = 2
	// minQueueSamples is the number of steps of a queue from which on a run is compared with their median.
	// The first steps to be measured are the shortest ones, so a median of few would be too high.
	minQueueSamples = 32
	// queueTolerance raises the speeds that are compared with the queue. Tasks take up to 1.9 times as long as declared, and those that do
	// are measured more often: without it a sound server was found to be slow in 12 of 40 plays.
	queueTolerance = 1.5
	// peerWeight and queueWeight are the weights of the two kinds of samples, and minEvidence the weight that makes a server slow: two
	// runs that are compared with runs of their steps, or four steps that are compared with their queue. Durations are declared up to
	// ten times too short for a step as a whole, and about a fifth of the steps seem to be half as fast as the median by that. Four of
	// these by chance are 1 in 400.
	peerWeight, queueWeight = 2, 1
	minEvidence             = 4
	// slowShare is the share of a server's samples, by weight, of which more have to be slow.
	slowShare = 0.75
)

// SpeedSample is the progress of a run on a server, relative to what is usual elsewhere.
type SpeedSample struct {
	// Step identifies the step of the run.
	Step any
	// Speed is the progress divided by that of the runs that it is compared with.
	Speed float64
	// SameStep marks a sample that is compared with runs of the same step on other servers, otherwise with those of the queue.
	SameStep bool
}

// RelativeSpeed returns the speed of a run relative to others: those of the same step on other servers if there are enough, as errors
// of the declared duration cancel out, otherwise those of the queue. All speeds are ratios of observed to declared progress. It reports
// false if there is too little to compare with.
func RelativeSpeed(speed float64, step []float64, queueMedian float64, queueSamples int) (relative float64, sameStep, known bool) {
	if len(step) >= minStepPeers {
		return speed / Median(step), true, true
	}
	if queueSamples >= minQueueSamples && queueMedian > 0 {
		return queueTolerance * speed / queueMedian, false, true
	}
	return 0, false, false
}

// Median returns the median of speeds, the higher one of two, or 0 if there are none. It sorts the speeds.
func Median(speeds []float64) float64 {
	if len(speeds) == 0 {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// ServerSpeed returns the speed of a server by the samples of its latest runs. It is NormalSpeed unless several runs, of which fewer
// than a quarter were faster, show that the server is at least two times slower than others. One odd run doesn't suffice.
func ServerSpeed(samples []SpeedSample) float64 {
	sorted := slices.Clone(samples)
	slices.SortStableFunc(sorted, func(a, b SpeedSample) int { return cmp.Compare(a.Speed, b.Speed) })
	total := 0
	for i := range sorted {
		total += sampleWeight(sorted, i)
	}
	if total < minEvidence {
		return NormalSpeed
	}
	below := 0
	for i := range sorted {
		below += sampleWeight(sorted, i)
		if float64(below) > slowShare*float64(total) {
			return speedOrNormal(sorted[i].Speed)
		}
	}
	return NormalSpeed
}

// IsSlow reports whether a server of the given speed, or a run, counts as slow.
func IsSlow(speed float64) bool { return speed <= maxSlowSpeed }

func speedOrNormal(speed float64) float64 {
	if IsSlow(speed) {
		return speed
	}
	return NormalSpeed
}

// sampleWeight returns the weight of a sample, of those that are sorted by speed. The runs of one step that are compared with the queue
// are off by the same factor, and only the fastest counts.
func sampleWeight(sorted []SpeedSample, i int) int {
	if sorted[i].SameStep {
		return peerWeight
	}
	for _, faster := range sorted[i+1:] {
		if !faster.SameStep && faster.Step == sorted[i].Step {
			return 0
		}
	}
	return queueWeight
}

// SuitsSlowServer reports whether a task may run on a slow server while servers of normal speed exist but are full. It may if that
// doesn't make its job late, or later than its hard deadline. Such a run takes several times as long, and the capacity of the
// other servers becomes free much sooner.
func SuitsSlowServer(submitted time.Time, objective, remaining, declared time.Duration, speed float64, now time.Time) bool {
	outlook := Outlook(submitted, objective, remaining, now)
	longer := time.Duration(float64(declared) * (NormalSpeed/max(speed, minSpeed) - NormalSpeed))
	return outlook == Expired || Outlook(submitted, objective, remaining+longer, now) == outlook
}

// HasNormalServer reports whether a server of normal speed could run a task of the step if it were empty.
func HasNormalServer(step workload.Step, servers []Server) bool {
	for i := range servers {
		s := &servers[i]
		if !s.Slow && !s.Excluded && step.Reserves().FitsIn(s.Capacity) && HasLabel(step, s.Kind, s.Rack) {
			return true
		}
	}
	return false
}

// minSpeed bounds the time that a slow server is expected to take. A server may make no progress at all.
const minSpeed = 0.01
