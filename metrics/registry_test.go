package metrics_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/metrics"
)

var (
	typeLine = regexp.MustCompile(`^# TYPE (pistachiolead_[a-zA-Z0-9_]+) (counter|gauge|histogram)$`)
	sample   = regexp.MustCompile(`^([a-zA-Z0-9_]+)(?:\{(.*)\})? (\S+)$`)
	label    = regexp.MustCompile(`^([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\\n]|\\["\\n])*)"(?:,|$)`)
)

// parse parses the text format strictly and returns the values of the samples by name and labels.
func parse(text string) (map[string]float64, error) {
	samples, seen := map[string]float64{}, map[string]bool{}
	family, kind := "", ""
	lines := bufio.NewScanner(strings.NewReader(text))
	if !strings.HasSuffix(text, "\n") {
		return nil, fmt.Errorf("parse metrics: the last line doesn't end with a newline")
	}
	for lines.Scan() {
		line := lines.Text()
		if m := typeLine.FindStringSubmatch(line); m != nil {
			family, kind = m[1], m[2]
			if seen[family] {
				return nil, fmt.Errorf("parse metrics: two TYPE lines for %s", family)
			}
			seen[family] = true
			continue
		}
		m := sample.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("parse metrics: line %q is neither a TYPE line nor a sample", line)
		}
		suffix, ok := strings.CutPrefix(m[1], family)
		if !ok || (kind != "histogram" && suffix != "") || (kind == "counter" && !strings.HasSuffix(m[1], "_total")) ||
			(kind == "histogram" && suffix != "_bucket" && suffix != "_sum" && suffix != "_count") {
			return nil, fmt.Errorf("parse metrics: sample %q has a wrong name for the %s %s", line, kind, family)
		}
		names := map[string]bool{}
		for rest := m[2]; rest != ""; {
			l := label.FindStringSubmatch(rest)
			if l == nil || names[l[1]] {
				return nil, fmt.Errorf("parse metrics: labels of %q are malformed or duplicate", line)
			}
			names[l[1]] = true
			rest = rest[len(l[0]):]
		}
		v, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, fmt.Errorf("parse metrics: value of %q: %w", line, err)
		}
		key := m[1] + "{" + m[2] + "}"
		if _, ok := samples[key]; ok {
			return nil, fmt.Errorf("parse metrics: two samples of %s", key)
		}
		samples[key] = v
	}
	return samples, lines.Err()
}

// export returns the values of the samples that the registry writes.
func export(r *metrics.Registry) (map[string]float64, error) {
	var text strings.Builder
	if err := r.WriteText(&text); err != nil {
		return nil, err
	}
	return parse(text.String())
}

// Guards against values that are missing from the output, and against histograms whose buckets aren't cumulative.
func TestWriteText(t *testing.T) {
	r := metrics.New(0)
	s := r.Scope().Tagged(map[string]string{"zone": "a\"\\\n"}).SubScope("entry-vm")
	s.Counter("starts").Inc(2)
	s.Counter("starts").Inc(3)
	s.Gauge("queued").Update(2.5)
	s.Timer("wait").Record(1500 * time.Millisecond)
	s.Timer("wait").Record(time.Hour)
	h := s.Histogram("size", tally.ValueBuckets{1, 10})
	d := s.Histogram("run", tally.DurationBuckets{time.Second})
	for _, v := range []float64{0.5, 10, 11, 12} {
		h.RecordValue(v)
	}
	d.RecordDuration(time.Minute)
	assert.NilError(t, r.Close())

	got, err := export(r)
	assert.NilError(t, err)
	zone := `zone="a\"\\\n"`
	for name, want := range map[string]float64{
		"starts_total{" + zone + "}":                  5,
		"queued{" + zone + "}":                        2.5,
		"wait_seconds_bucket{" + zone + `,le="1"}`:    0,
		"wait_seconds_bucket{" + zone + `,le="1.9"}`:  1,
		"wait_seconds_bucket{" + zone + `,le="60"}`:   1,
		"wait_seconds_bucket{" + zone + `,le="+Inf"}`: 2,
		"wait_seconds_sum{" + zone + "}":              3601.5,
		"wait_seconds_count{" + zone + "}":            2,
		"size_bucket{" + zone + `,le="1"}`:            1,
		"size_bucket{" + zone + `,le="10"}`:           2,
		"size_bucket{" + zone + `,le="+Inf"}`:         4,
		"size_count{" + zone + "}":                    4,
		"run_seconds_bucket{" + zone + `,le="1"}`:     0,
		"run_seconds_bucket{" + zone + `,le="+Inf"}`:  1,
	} {
		v, ok := got["pistachiolead_entry_vm_"+name]
		assert.Assert(t, ok, "%s in %v", name, got)
		assert.Equal(t, v, want, name)
	}
}

// Guards against names, tags and values whose characters make the output invalid.
func TestWriteTextIsAlwaysValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := metrics.New(0)
		for range rapid.IntRange(0, 8).Draw(t, "metrics") {
			s := r.Scope().Tagged(rapid.MapOfN(rapid.String(), rapid.String(), 0, 3).Draw(t, "tags"))
			name := rapid.SampledFrom([]string{"x", "x_total", "9", "a-b", "ä", "x_seconds", "x_count", "x_seconds_sum"}).Draw(t, "name")
			switch rapid.IntRange(0, 3).Draw(t, "type") {
			case 0:
				s.Counter(name).Inc(1)
			case 1:
				s.Gauge(name).Update(rapid.SampledFrom([]float64{0, -1.5, math.Inf(1), math.NaN()}).Draw(t, "value"))
			case 2:
				s.Timer(name).Record(time.Second)
			default:
				s.Histogram(name, tally.MustMakeLinearValueBuckets(0, 1, 3)).RecordValue(1)
			}
		}
		assert.NilError(t, r.Close())
		_, err := export(r)
		assert.NilError(t, err)
	})
}

// Guards against different tags or metrics that have the same name in the output: both "?" and "ä" are exported as "_".
func TestWriteTextAvoidsNameCollisions(t *testing.T) {
	r := metrics.New(0)
	r.Scope().Tagged(map[string]string{"?": "1", "ä": "2"}).Counter("x").Inc(1)
	r.Scope().Gauge("y_seconds_count").Update(7)
	r.Scope().Timer("y").Record(time.Second)
	assert.NilError(t, r.Close())
	got, err := export(r)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, map[string]float64{
		`pistachiolead_x_total{_="1",_2="2"}`:          1,
		"pistachiolead_y_seconds_count{}":              7,
		"pistachiolead_metrics_dropped_series_total{}": 1,
	})
}

// Guards against memory use that grows without limit with the number of tag values (R28), and against lost errors of
// the writer.
func TestSeriesAreBounded(t *testing.T) {
	r := metrics.New(0)
	for i := range 10_005 {
		r.Scope().Tagged(map[string]string{"id": strconv.Itoa(i)}).Counter("requests").Inc(1)
	}
	assert.NilError(t, r.Close())
	got, err := export(r)
	assert.NilError(t, err)
	assert.DeepEqual(t, []float64{float64(len(got)), got["pistachiolead_metrics_dropped_series_total{}"]}, []float64{10_001, 5})

	reader, writer := io.Pipe()
	assert.NilError(t, reader.Close())
	assert.ErrorIs(t, r.WriteText(writer), io.ErrClosedPipe)
}
