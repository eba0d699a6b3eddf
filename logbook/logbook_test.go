package logbook_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/logbook"
	"github.com/pistachiolead/pistachiolead/timer"
)

// output records the writes that it gets.
type output struct{ writes []string }

func (o *output) Write(data []byte) (int, error) {
	o.writes = append(o.writes, string(data))
	return len(data), nil
}

func (o *output) String() string { return strings.Join(o.writes, "") }

func line(site, message string) []byte {
	return fmt.Appendf(nil, "I1205 10:00:00.000000    4711 %s] %q\n", site, message)
}

// Guards against the line of a decision that is dropped because of the lines of its consequences.
func TestRareLineSurvivesFlood(t *testing.T) {
	o := &output{}
	w := &logbook.Writer{Output: o, Clock: timer.NewManual(time.Unix(1000, 0))}
	for n := range 3000 {
		_, _ = w.Write(line("reports.go:87", fmt.Sprintf("Run lost %d", n)))
		if n%100 == 0 {
			w.Flush()
		}
	}
	for n := range 100 {
		_, _ = w.Write(line("jobs.go:47", fmt.Sprintf("Job ended %d", n)))
	}
	w.Flush()
	assert.Equal(t, strings.Count(o.String(), "Job ended"), 100)
	assert.Assert(t, len(o.String()) < 110<<10, "%d bytes", len(o.String()))
}

// Guards against dropped lines that can't be told from lines that weren't logged.
func TestDroppedLinesAreCountedBySite(t *testing.T) {
	o := &output{}
	w := &logbook.Writer{Output: o, Clock: timer.NewManual(time.Unix(1000, 0))}
	message := strings.Repeat("x", 1000)
	for n := range 160 {
		_, _ = w.Write(line(fmt.Sprintf("reports.go:%d", n%4), message))
	}
	for range 5 {
		_, _ = w.Write(line("runs.go:144", message))
	}
	w.Flush()
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	last := lines[len(lines)-1]
	assert.Assert(t, strings.HasPrefix(last, fmt.Sprintf("log lines dropped: %d reports.go:", 165-(len(lines)-1))), last)
	assert.Assert(t, strings.HasSuffix(last, " runs.go:144=4"), last)
}

// Guards against a reader of a pipe that gets the first bytes of a long write only.
func TestWritesAreShortAndEndWithLines(t *testing.T) {
	o := &output{}
	w := &logbook.Writer{Output: o, Clock: timer.NewManual(time.Unix(1000, 0))}
	for n := range 300 {
		_, _ = w.Write(line(fmt.Sprintf("runs.go:%d", n%3), strings.Repeat("x", n)))
	}
	_, _ = w.Write(line("runs.go:144", strings.Repeat("y", 10000)))
	w.Flush()
	assert.Equal(t, strings.Count(o.String(), "\n"), 301)
	for _, written := range o.writes {
		assert.Assert(t, len(written) <= 4096, "%d bytes in one write", len(written))
		assert.Assert(t, strings.HasSuffix(written, "\n") || strings.Contains(written, "yyy"))
	}
}
