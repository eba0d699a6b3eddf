//go:build review2

// Command standin plays a case of the review: it serves stand-ins of the platform, of its backend servers and of clients, starts
// the project's own entry processes, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime is the time after which a case is ended.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	ruleHeld     = 0
	ruleBroken   = 1
	couldNotPlay = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*deployment) (bool, error){
	"row-limit": rowLimit,
	"list-lag":  listLag,
	"relay":     lostRelay,
	"queues":    manyQueues,
	"hand-over": twoHandOvers,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return couldNotPlay
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotPlay
	}
	d, err := newDeployment(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return couldNotPlay
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			r.say("the case couldn't run: it was ended")
		case <-time.After(maxTime):
			r.say("the case couldn't run: it takes too long")
		}
		d.close()
		os.Exit(couldNotPlay)
	}()
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return couldNotPlay
	case broken:
		r.say("the rule was broken")
		return ruleBroken
	}
	r.say("the rule held")
	return ruleHeld
}
