package placement

import (
	"math"
	"time"
)

// Estimator learns a quantity for each entry, such as the run time in seconds or the memory in MiB, from reports.
// Declared values are off by up to 10x, so they are used only until an entry has a few reports. The zero value is ready
// for use.
type Estimator struct {
	// HalfLife is the age at which a report counts half, 10 min if it is 0.
	HalfLife time.Duration

	entries map[string]*distribution
}

// distribution is a histogram with logarithmic buckets and decaying weights.
type distribution struct {
	buckets [estimatorBuckets]weighted
	total   float64
	updated time.Time
}

// weighted is the decayed number and sum of the values in one bucket. A quantile is the mean of its bucket, which is
// exact for entries whose values don't vary.
type weighted struct{ count, sum float64 }

// Observe records a value of an entry. Values of 0 or less count as the smallest one.
func (e *Estimator) Observe(entry string, value float64, now time.Time) {
	if e.entries == nil {
		e.entries = make(map[string]*distribution)
	}
	d, ok := e.entries[entry]
	if !ok {
		d = &distribution{updated: now}
		e.entries[entry] = d
	}
	d.decay(now, e.halfLife())
	b := &d.buckets[bucket(value)]
	b.count++
	b.sum += value
	d.total++
}

// Quantile returns the value that a share q of the entry's reports doesn't exceed, to within about 19%. It returns the
// declared value until the entry has enough reports.
func (e *Estimator) Quantile(entry string, q, declared float64) float64 {
	d, ok := e.entries[entry]
	if !ok || d.total < minSamples {
		return declared
	}
	return d.quantile(0, q)
}

// Remaining returns how much longer a task that has run for the given time is likely to run, at quantile q. It returns
// the declared run time less the elapsed time until the entry has enough reports of tasks that ran as long.
func (e *Estimator) Remaining(entry string, elapsed time.Duration, q float64, declared time.Duration) time.Duration {
	d, ok := e.entries[entry]
	first := bucket(elapsed.Seconds())
	if !ok || d.after(first) < minSamples {
		return max(declared-elapsed, 0)
	}
	return max(time.Duration(d.quantile(first, q)*float64(time.Second))-elapsed, 0)
}

// EndsWithin reports whether a task is likely to end within the window, such as the time left of a drain.
func (e *Estimator) EndsWithin(entry string, elapsed, window, declared time.Duration) bool {
	return e.Remaining(entry, elapsed, endsQuantile, declared) <= window
}

func (e *Estimator) halfLife() time.Duration {
	if e.HalfLife > 0 {
		return e.HalfLife
	}
	return defaultHalfLife
}

// decay lowers the weight of old reports. It stops where the entry would lose its last reports, so that an entry that
// runs once a day keeps what was learned.
func (d *distribution) decay(now time.Time, halfLife time.Duration) {
	passed := now.Sub(d.updated)
	if passed <= 0 {
		return
	}
	d.updated = now
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	if d.total*keep < minSamples {
		keep = min(1, minSamples/max(d.total, minDecayedSamples))
	}
	for i := range d.buckets {
		d.buckets[i].count *= keep
		d.buckets[i].sum *= keep
	}
	d.total *= keep
}

func (d *distribution) after(first int) float64 {
	sum := 0.0
	for _, w := range d.buckets[first:] {
		sum += w.count
	}
	return sum
}

func (d *distribution) quantile(first int, q float64) float64 {
	target := q * d.after(first)
	sum := 0.0
	for i := first; i < estimatorBuckets; i++ {
		sum += d.buckets[i].count
		if sum > 0 && sum >= target*(1-roundingError) {
			return d.buckets[i].sum / d.buckets[i].count
		}
	}
	return 0
}

// bucket returns the index of the bucket that holds the value.
func bucket(value float64) int {
	if value <= smallestEstimate {
		return 0
	}
	i := int(math.Ceil(bucketsPerDouble * math.Log2(value/smallestEstimate)))
	return min(i, estimatorBuckets-1)
}
