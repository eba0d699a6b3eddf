package metrics

import (
	"bufio"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// droppedSeriesMetric counts the series that weren't written because of maxSeries or a conflict of names.
const droppedSeriesMetric = namePrefix + "_metrics_dropped_series_total"

func (r *reporter) writeText(w io.Writer) error {
	b := bufio.NewWriter(w)
	r.mu.Lock()
	names := make([]string, 0, len(r.families))
	for n := range r.families {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r.families[n].write(b, n)
	}
	r.mu.Unlock()

	writeType(b, droppedSeriesMetric, typeCounter)
	writeSample(b, droppedSeriesMetric, "", strconv.FormatInt(r.droppedSeries.Load(), 10))
	// The buffer stores the first error of w and Flush returns it.
	return b.Flush()
}

func (f *family) write(b *bufio.Writer, name string) {
	writeType(b, name, f.kind)
	labels := make([]string, 0, len(f.series))
	for l := range f.series {
		labels = append(labels, l)
	}
	sort.Strings(labels)
	for _, l := range labels {
		s := f.series[l]
		switch f.kind {
		case typeCounter:
			writeSample(b, name, l, strconv.FormatInt(s.count.Load(), 10))
		case typeGauge:
			writeSample(b, name, l, formatFloat(math.Float64frombits(s.gaugeBits.Load())))
		case typeHistogram:
			s.writeHistogram(b, name, l)
		}
	}
}

func (s *series) writeHistogram(b *bufio.Writer, name, labels string) {
	total := int64(0)
	for i := range s.buckets {
		bound := "+Inf"
		if i < len(s.bounds) {
			bound = formatFloat(s.bounds[i])
		}
		total += s.buckets[i].Load()
		writeSample(b, name+"_bucket", joinLabels(labels, `le="`+bound+`"`), strconv.FormatInt(total, 10))
	}
	if s.hasSum.Load() {
		writeSample(b, name+"_sum", labels, formatFloat(time.Duration(s.sumNanoseconds.Load()).Seconds()))
	}
	// The count equals that of the last bucket, even if samples are added while the histogram is written.
	writeSample(b, name+"_count", labels, strconv.FormatInt(total, 10))
}

func writeType(b *bufio.Writer, name string, kind familyType) {
	_, _ = b.WriteString("# TYPE " + name + " " + string(kind) + "\n")
}

func writeSample(b *bufio.Writer, name, labels, value string) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	_, _ = b.WriteString(name + labels + " " + value + "\n")
}

func formatFloat(v float64) string {
	switch {
	case math.IsInf(v, 1):
		return "+Inf"
	case math.IsInf(v, -1):
		return "-Inf"
	default:
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
}

// formatLabels returns the tags as labels of the text format, sorted by tag name.
func formatLabels(tags map[string]string) string {
	names := make([]string, 0, len(tags))
	for k := range tags {
		names = append(names, k)
	}
	sort.Strings(names)
	labels := ""
	used := make(map[string]bool, len(tags))
	for _, k := range names {
		name := labelName(k)
		for used[name] {
			// Different tag names can result in the same label name, which must be unique in a series.
			name += "2"
		}
		used[name] = true
		labels = joinLabels(labels, name+`="`+escapeLabelValue(tags[k])+`"`)
	}
	return labels
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

// labelName returns a valid label name for the name of a tag.
func labelName(key string) string {
	key = sanitize(key)
	// Prometheus reserves names that start with two underscores, and le for the bounds of buckets. A name must not
	// start with a digit.
	if key == "" || key == "le" || (key[0] >= '0' && key[0] <= '9') || strings.HasPrefix(key, "__") {
		return "tag_" + key
	}
	return key
}

// escapeLabelValue escapes a label value for the text format, and replaces invalid UTF-8.
func escapeLabelValue(value string) string {
	return strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`).Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// sanitize replaces all characters that the names of metrics and labels must not contain by '_'.
func sanitize(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
