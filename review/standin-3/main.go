//go:build review3

// Command standin-3 plays the scripts of the third review: it starts a small deployment on loopback addresses, with the system's own
// program as separate processes, and judges one rule by what clients, workers and the platform see.
//
// Usage: standin-3 SCENARIO FOLDER. The record is written to FOLDER/record.txt. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var scenarios = map[string]func(*world, bool) error{
	"late-upkeep":     lateUpkeep,
	"two-late-orders": twoLateOrders,
	"lost-rack":       lostRack,
	"wide-advice":     wideAdvice,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO FOLDER")
		return 2
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.end()
		os.Exit(2)
	}()
	defer w.end()
	if err := scenarios[os.Args[1]](w, os.Getenv("TROUBLE") != "0"); err != nil {
		w.note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if len(w.broken) > 0 {
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
