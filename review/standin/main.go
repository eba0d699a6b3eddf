//go:build review

// Command standin runs the script cases of the review: it starts entry VMs as the deploy file does, with stand-ins of the
// platform, workers and clients around them. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2

	maxTime = 116 * time.Second // of a case
)

// cases are the scripts by name. Trouble says whether the disruption takes place.
var cases = map[string]func(log *record, trouble bool) int{
	"repeat":   runRepeat,
	"history":  runHistory,
	"lasting":  runLasting,
	"cancel":   runCancel,
	"evacuate": runEvacuate,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannotRun)
	}
	log, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, disruption: %v", os.Args[1], trouble)
	go endEarly(log)
	result := cases[os.Args[1]](log, trouble)
	log.printf("result %d (0: the rule held, 1: it was broken, 2: the case couldn't run)", result)
	os.Exit(result)
}

// endEarly ends the processes that the case has started when the script is stopped or takes too long.
func endEarly(log *record) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case s := <-stopped:
		log.printf("stopped by %v", s)
	case <-time.After(maxTime):
		log.printf("stopped after %v", maxTime)
	}
	killAll()
	os.Exit(cannotRun)
}
