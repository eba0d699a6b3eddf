// Package logbook buffers the lines of klog in memory and writes them to an output in the background, so that logging
// never blocks on a slow output. It drops lines if the buffer is full or their rate is too high, and logs their number.
package logbook

import (
	"flag"
	"fmt"
	"io"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	maxBufferedBytes  = 128 << 10              // of lines that aren't written yet
	maxBytesPerSecond = 96 << 10               // bounds the CPU time that a burst of lines costs
	flushInterval     = 100 * time.Millisecond // batches lines into few writes
)

// Writer is a bounded buffer of log lines in front of an output. Its exported fields must be set before use. It is safe
// for concurrent use.
type Writer struct {
	Output io.Writer
	Clock  timer.Clock

	mu          sync.Mutex // guards the fields up to written
	buffer      []byte
	spare       []byte // the array of the last flushed buffer, to be used again
	dropped     int    // lines since the last flush
	windowStart time.Time
	written     int // bytes since windowStart, for the rate limit

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
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.written = now, 0
	}
	if len(w.buffer)+len(line) > maxBufferedBytes || w.written+len(line) > maxBytesPerSecond {
		w.dropped++
		return len(line), nil
	}
	w.written += len(line)
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Flush writes the buffered lines to the output, and a line with the number of dropped ones if there are any.
func (w *Writer) Flush() {
	w.flushLock.Lock()
	defer w.flushLock.Unlock()
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "log lines dropped: %d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.Output.Write(lines) // a failure of the log output can't be logged
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
