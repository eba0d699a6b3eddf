package metrics

import (
	"math"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter stores the values that the tally scope reports, by metric name and labels.
type reporter struct {
	mu            sync.Mutex
	families      map[string]*family
	seriesCount   int
	droppedSeries atomic.Int64
}

var _ tally.CachedStatsReporter = (*reporter)(nil)

// Capabilities implements tally.CachedStatsReporter.
func (*reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.CachedStatsReporter.
func (*reporter) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *reporter) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.allocate(withSuffix(name, "_total"), typeCounter, tags, nil)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *reporter) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.allocate(name, typeGauge, tags, nil)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *reporter) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	s := r.allocate(withSuffix(name, "_seconds"), typeHistogram, tags, timerBuckets())
	s.hasSum.Store(true)
	return s
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *reporter) AllocateHistogram(name string, tags map[string]string, buckets tally.Buckets) tally.CachedHistogram {
	if d, ok := buckets.(tally.DurationBuckets); ok {
		bounds := make([]float64, 0, len(d))
		for _, b := range d {
			bounds = append(bounds, b.Seconds())
		}
		return r.allocate(withSuffix(name, "_seconds"), typeHistogram, tags, bounds)
	}
	return r.allocate(name, typeHistogram, tags, buckets.AsValues())
}

// allocate returns the series of a name and tags. If there are maxSeries already, or the name is in use for another
// type or other buckets, it counts a dropped series and returns one that is never written.
func (r *reporter) allocate(name string, kind familyType, tags map[string]string, bounds []float64) *series {
	name = sanitize(name)
	labels := formatLabels(tags)
	created := newSeries(bounds)

	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.families[name]
	if f == nil {
		f = &family{kind: kind, bounds: created.bounds, series: make(map[string]*series)}
	}
	if f.kind != kind || !equalBounds(f.bounds, created.bounds) || r.conflictsWithSamples(name, kind) {
		r.droppedSeries.Add(1)
		return created
	}
	if s := f.series[labels]; s != nil {
		return s
	}
	if r.seriesCount >= maxSeries {
		r.droppedSeries.Add(1)
		return created
	}
	r.seriesCount++
	r.families[name] = f
	f.series[labels] = created
	return created
}

// conflictsWithSamples reports whether a sample of a histogram (_bucket, _sum or _count) would have the name of another
// family. The histogram may be the new family of the given name and kind, or one that exists.
func (r *reporter) conflictsWithSamples(name string, kind familyType) bool {
	for _, suffix := range []string{"_bucket", "_sum", "_count"} {
		if kind == typeHistogram && r.families[name+suffix] != nil {
			return true
		}
		base, ok := strings.CutSuffix(name, suffix)
		if h := r.families[base]; ok && h != nil && h.kind == typeHistogram {
			return true
		}
	}
	return false
}

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }

type familyType string

const (
	typeCounter   familyType = "counter"
	typeGauge     familyType = "gauge"
	typeHistogram familyType = "histogram"
)

// family holds the series of one metric name by their labels.
type family struct {
	kind   familyType
	bounds []float64
	series map[string]*series
}

// series holds the value of one metric name and set of labels. Which fields are in use depends on the type of the
// metric.
type series struct {
	count atomic.Int64
	// gaugeBits is the value of a gauge as by math.Float64bits.
	gaugeBits atomic.Uint64
	// buckets has a count for each upper bound and one for values above the last bound.
	bounds  []float64
	buckets []atomic.Int64
	// hasSum is set for timers, for which sumNanoseconds is kept.
	hasSum         atomic.Bool
	sumNanoseconds atomic.Int64
}

// newSeries returns a series with the buckets of bounds, or with a single bucket if there are none.
func newSeries(bounds []float64) *series {
	finite := make([]float64, 0, len(bounds))
	for _, b := range bounds {
		// Tally's last bound is the largest value of its type, which means infinity.
		if b < math.MaxFloat64 && b < time.Duration(math.MaxInt64).Seconds() {
			finite = append(finite, b)
		}
	}
	sort.Float64s(finite)
	return &series{bounds: finite, buckets: make([]atomic.Int64, len(finite)+1)}
}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) { s.count.Add(value) }

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) { s.gaugeBits.Store(math.Float64bits(value)) }

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(interval time.Duration) {
	s.bucketFor(interval.Seconds()).Add(1)
	s.sumNanoseconds.Add(int64(interval))
}

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return histogramBucket{count: s.bucketFor(upper)}
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return histogramBucket{count: s.bucketFor(upper.Seconds())}
}

// bucketFor returns the count of the first bucket whose upper bound isn't below the value.
func (s *series) bucketFor(value float64) *atomic.Int64 {
	return &s.buckets[sort.SearchFloat64s(s.bounds, value)]
}

type histogramBucket struct{ count *atomic.Int64 }

// ReportSamples implements tally.CachedHistogramBucket.
func (h histogramBucket) ReportSamples(value int64) { h.count.Add(value) }

// withSuffix returns the name with the suffix, which isn't added twice.
func withSuffix(name, suffix string) string {
	return strings.TrimSuffix(name, suffix) + suffix
}

func equalBounds(a, b []float64) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
