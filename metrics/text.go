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

const droppedName = prefix + "_metrics_dropped_series_total"

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

	writeType(b, droppedName, typeCounter)
	writeSample(b, droppedName, "", strconv.FormatInt(r.dropped.Load(), 10))
	// The buffer keeps the first error of w.
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
			writeSample(b, name, l, formatFloat(math.Float64frombits(s.gauge.Load())))
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
	if s.timed.Load() {
		writeSample(b, name+"_sum", labels, formatFloat(time.Duration(s.sum.Load()).Seconds()))
	}
	// The count is that of the last bucket, also if samples arrive during the writing.
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

// formatLabels returns the tags in order, as in the text format.
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
			// Different tags can become the same label.
			name += "2"
		}
		used[name] = true
		labels = joinLabels(labels, name+`="`+escape(tags[k])+`"`)
	}
	return labels
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func labelName(key string) string {
	key = sanitize(key)
	// Names that start with two underscores, and the bounds of buckets, are reserved.
	if key == "" || key == "le" || (key[0] >= '0' && key[0] <= '9') || strings.HasPrefix(key, "__") {
		return "tag_" + key
	}
	return key
}

func escape(value string) string {
	return strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`).Replace(strings.ToValidUTF8(value, "\uFFFD"))
}

// sanitize replaces all characters that names must not have.
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
