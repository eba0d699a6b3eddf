//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	advisedQueue   = "/advised/"
	decisionTime   = 20 * time.Millisecond
	itemTime       = 2 * time.Millisecond
	ticketValidity = 3 * time.Second
)

// ticket permits the tasks of a step on a worker.
type ticket struct {
	text  string
	until time.Time
}

type adviceCall struct {
	Step    string
	Workers []string
}

// advise answers which of the named workers may run a step: by the policy all but the first machine.
func (w *world) advise(out http.ResponseWriter, in *http.Request) {
	var call adviceCall
	if json.NewDecoder(in.Body).Decode(&call) != nil || len(call.Workers) > 100 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.advice.Lock()
	defer w.advice.Unlock()
	time.Sleep(decisionTime + time.Duration(len(call.Workers))*itemTime)
	good := [][]string{}
	w.mu.Lock()
	defer w.mu.Unlock()
	kinds := make(map[string]int)
	for _, m := range w.machines {
		for _, id := range call.Workers {
			if id != m.worker.id {
				continue
			}
			kinds[m.kind]++
			if m.name == "m-1" {
				continue
			}
			t := ticket{text: fmt.Sprintf("%x-%s", time.Now().UnixNano(), id), until: time.Now().Add(ticketValidity)}
			w.tickets[call.Step+" "+id] = t
			good = append(good, []string{id, t.text})
		}
	}
	w.note("advice for step %s on %d workers, by kind %v: %d may run it", call.Step, len(call.Workers), kinds, len(good))
	answer(out, http.StatusOK, map[string]any{"Good": good, "ValidityMs": ticketValidity.Milliseconds()})
}

// hasTicket reports whether a start carries a valid ticket, if its queue needs one.
func (w *world) hasTicket(o order, worker string) bool {
	if !strings.HasPrefix(o.Task, advisedJobs) {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t, known := w.tickets[o.Task[:strings.LastIndexByte(o.Task, '.')]+" "+worker]
	return known && t.text == o.Ticket && time.Now().Before(t.until)
}
