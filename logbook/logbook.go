// Package logbook buffers the lines of klog in memory and writes them to an output in the background, so that logging
// never blocks on a slow output. It drops lines if the buffer is full or their rate is too high, and logs their number and
// where they were logged. Each place in the code may log some lines whatever the rate of the others is, so that a decision
// is found in the log although each of its many consequences has a line as well.
package logbook

import (
	"bytes"
	"cmp"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	maxBufferedBytes  = 128 << 10              // of lines that aren't written yet
	maxBytesPerSecond = 96 << 10               // bounds the CPU time that a burst of lines costs
	flushInterval     = 100 * time.Millisecond // batches lines into few writes
	// maxBytesPerSite bounds what one place in the code may log in a second. reservedBytesPerSite is what it may log although
	// maxBytesPerSecond is exceeded.
	maxBytesPerSite      = maxBytesPerSecond / 3
	reservedBytesPerSite = 2 << 10
	// maxWriteBytes bounds a single write to the output: POSIX systems carry out a write to a pipe whole if it is not longer
	// than PIPE_BUF, and a reader with a small buffer may lose the end of a longer one.
	maxWriteBytes = 4096
	maxSiteBytes  = 100 // of the header of a klog line, up to the place in the code
)

// Writer is a bounded buffer of log lines in front of an output. Its exported fields must be set before use. It is safe
// for concurrent use.
type Writer struct {
	Output io.Writer
	Clock  timer.Clock

	mu          sync.Mutex // guards the fields up to written
	buffer      []byte
	spare       []byte         // the array of the last flushed buffer, to be used again
	dropped     map[string]int // lines since the last flush, by place in the code
	windowStart time.Time
	written     int            // bytes since windowStart, for the rate limit
	writtenBy   map[string]int // of these, by place in the code

	flushLock sync.Mutex // held during a flush
}

var _ io.Writer = (*Writer)(nil)

// RedirectKlog redirects klog to the writer, with lines up to the given verbosity, and starts to flush it regularly.
// Stop ends the regular flushes and flushes the buffer a last time.
func (w *Writer) RedirectKlog(verbosity int) (stop func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
		"v": strconv.Itoa(verbosity),
	} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // impossible: klog defines these flags and accepts these values
		}
	}
	klog.SetOutput(w)
	ticks := w.Clock.Every(flushInterval, func(time.Time) { w.Flush() })
	return func() {
		ticks.Stop()
		klog.Flush()
		w.Flush()
	}
}

// Write buffers a line. It drops and counts the line if the buffer is full or the rate limit is exceeded. It never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := w.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writtenBy == nil {
		w.writtenBy, w.dropped = make(map[string]int), make(map[string]int)
	}
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.written = now, 0
		clear(w.writtenBy)
	}
	site := siteOf(line)
	siteLimit := maxBytesPerSite
	if w.written+len(line) > maxBytesPerSecond {
		siteLimit = reservedBytesPerSite
	}
	if w.writtenBy[site]+len(line) > siteLimit || len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped[site]++
		return len(line), nil
	}
	w.written += len(line)
	w.writtenBy[site] += len(line)
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// siteOf returns the file and line at which klog was called, which end the header of a line, or "" if there is none.
func siteOf(line []byte) string {
	header, _, found := bytes.Cut(line[:min(len(line), maxSiteBytes)], []byte("]"))
	if !found {
		return ""
	}
	return string(header[bytes.LastIndexByte(header, ' ')+1:])
}

// Flush writes the buffered lines to the output, and a line with the number of dropped ones if there are any.
func (w *Writer) Flush() {
	w.flushLock.Lock()
	defer w.flushLock.Unlock()
	w.mu.Lock()
	lines, dropped := w.buffer, droppedLine(w.dropped)
	w.buffer, w.spare = w.spare[:0], nil
	clear(w.dropped)
	w.mu.Unlock()
	lines = append(lines, dropped...)
	for rest := lines; len(rest) > 0; {
		n := wholeLines(rest)
		_, _ = w.Output.Write(rest[:n]) // a failure of the log output can't be logged
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// wholeLines returns the length of the first lines that fit into one write, or maxWriteBytes if the first line is longer.
func wholeLines(lines []byte) int {
	n := min(len(lines), maxWriteBytes)
	if end := bytes.LastIndexByte(lines[:n], '\n'); end >= 0 {
		return end + 1
	}
	return n
}

// droppedLine returns a line with the number of dropped lines, those of the places with the most first, or "" without any.
func droppedLine(dropped map[string]int) string {
	sites := slices.SortedFunc(maps.Keys(dropped), func(a, b string) int {
		return cmp.Or(dropped[b]-dropped[a], strings.Compare(a, b))
	})
	total, list := 0, ""
	for _, site := range sites {
		total += dropped[site]
		list += fmt.Sprintf(" %s=%d", site, dropped[site])
	}
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("log lines dropped: %d%s\n", total, list)
}
