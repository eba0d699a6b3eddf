package placement

import (
	"math"
	"time"
)

// Estimator learns one quantity for each catalogue entry, such as the run time in seconds or the memory in MiB, from
// reports about its tasks. Declared values are off by up to 10x, so they are used only until an entry has 3 reports.
// The zero value is ready for use.
type Estimator struct {
	// HalfLife is the time in which the weight of a report halves, 10 min if it is 0.
	HalfLife time.Duration

	entries map[string]*distribution
}

// distribution is a histogram with logarithmic buckets and exponentially decaying weights.
type distribution struct {
	buckets     [bucketCount]bucket
	totalWeight float64
	updated     time.Time
}

// bucket is the decayed count and sum of the values in one bucket. A quantile is the mean of its bucket, which is exact
// for entries whose values don't vary.
type bucket struct{ count, sum float64 }

// Observe records a reported value of a catalogue entry. Values below 0.001 count towards the lowest bucket.
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
	b := &d.buckets[bucketIndex(value)]
	b.count++
	b.sum += value
	d.totalWeight++
}

// Quantile returns the q-quantile of the entry's reported values, q from 0 to 1, to within about 19%. It returns the
// declared value until the entry has 3 reports.
func (e *Estimator) Quantile(entry string, q, declared float64) float64 {
	d, ok := e.entries[entry]
	if !ok || d.totalWeight < minReports {
		return declared
	}
	return d.quantile(0, q)
}

// Remaining returns the q-quantile of the remaining run time of a task that has run for the elapsed time. The values of
// the entry must be run times in seconds. Until there are 3 reports of tasks that ran at least as long, it returns the
// declared run time less the elapsed time, but not less than 0.
func (e *Estimator) Remaining(entry string, elapsed time.Duration, q float64, declared time.Duration) time.Duration {
	d, ok := e.entries[entry]
	first := bucketIndex(elapsed.Seconds())
	if !ok || d.weightFrom(first) < minReports {
		return max(declared-elapsed, 0)
	}
	return max(time.Duration(d.quantile(first, q)*float64(time.Second))-elapsed, 0)
}

// EndsWithin reports whether a task ends within the window, such as the time left of a drain, with a likelihood of 90%.
func (e *Estimator) EndsWithin(entry string, elapsed, window, declared time.Duration) bool {
	return e.Remaining(entry, elapsed, completionQuantile, declared) <= window
}

func (e *Estimator) halfLife() time.Duration {
	if e.HalfLife > 0 {
		return e.HalfLife
	}
	return defaultReportHalfLife
}

// decay lowers the weight of old reports. The total weight never decays below that of 3 reports, so that the estimate
// of an entry that runs once a day isn't lost.
func (d *distribution) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(d.updated)
	if elapsed <= 0 {
		return
	}
	d.updated = now
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	if d.totalWeight*factor < minReports {
		factor = min(1, minReports/max(d.totalWeight, minTotalWeight))
	}
	for i := range d.buckets {
		d.buckets[i].count *= factor
		d.buckets[i].sum *= factor
	}
	d.totalWeight *= factor
}

// weightFrom returns the weight of the values in the first-th bucket and all higher ones.
func (d *distribution) weightFrom(first int) float64 {
	sum := 0.0
	for _, w := range d.buckets[first:] {
		sum += w.count
	}
	return sum
}

// quantile returns the q-quantile of the values in the first-th bucket and all higher ones.
func (d *distribution) quantile(first int, q float64) float64 {
	target := q * d.weightFrom(first)
	sum := 0.0
	for i := first; i < bucketCount; i++ {
		sum += d.buckets[i].count
		if sum > 0 && sum >= target*(1-weightSumTolerance) {
			return d.buckets[i].sum / d.buckets[i].count
		}
	}
	return 0
}

// bucketIndex returns the index of the bucket that holds the value.
func bucketIndex(value float64) int {
	if value <= minBucketValue {
		return 0
	}
	i := int(math.Ceil(bucketsPerDoubling * math.Log2(value/minBucketValue)))
	return min(i, bucketCount-1)
}
