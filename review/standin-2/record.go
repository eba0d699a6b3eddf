//go:build review2

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, each line with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf("%8.3f ", time.Since(r.start).Seconds())
	fmt.Printf(format+"\n", values...)
}
