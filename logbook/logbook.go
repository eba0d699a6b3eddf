// Package logbook writes the log without ever blocking: lines beyond what the output takes are dropped and counted.
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
	maxBuffered   = 128 << 10              // bytes of lines that wait for the output
	maxPerSecond  = 96 << 10               // bytes a second, so that a storm costs bounded processor time
	flushInterval = 100 * time.Millisecond // gathers lines into few writes
)

// Book is a bounded buffer of log lines before an output.
type Book struct {
	Output io.Writer
	Timer  timer.Service

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	window  time.Time
	written int

	flushing sync.Mutex
}

var _ io.Writer = (*Book)(nil)

// Open makes klog write to the book, with lines up to the given verbosity.
func (b *Book) Open(verbosity int) (closeBook func()) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true",
		"v": strconv.Itoa(verbosity),
	} {
		if err := flags.Set(name, value); err != nil {
			panic(err) // the flags exist and take these values
		}
	}
	klog.SetOutput(b)
	ticks := b.Timer.Every(flushInterval, func(time.Time) { b.Flush() })
	return func() {
		ticks.Stop()
		klog.Flush()
		b.Flush()
	}
}

// Write takes a line, or drops it if too many wait.
func (b *Book) Write(line []byte) (int, error) {
	now := b.Timer.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.window) >= time.Second {
		b.window, b.written = now, 0
	}
	if len(b.buffer)+len(line) > maxBuffered || b.written+len(line) > maxPerSecond {
		b.dropped++
		return len(line), nil
	}
	b.written += len(line)
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// Flush writes what waits to the output.
func (b *Book) Flush() {
	b.flushing.Lock()
	defer b.flushing.Unlock()
	b.mu.Lock()
	lines, dropped := b.buffer, b.dropped
	b.buffer, b.spare, b.dropped = b.spare[:0], nil, 0
	b.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "log lines dropped: %d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = b.Output.Write(lines) // there is nowhere else to report it
	}
	b.mu.Lock()
	b.spare = lines
	b.mu.Unlock()
}
