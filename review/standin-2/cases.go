//go:build review2

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Names of entry processes. After a leader has resigned the second one takes over sooner than the first one, by the hashes of
// their names.
const (
	firstEntry  = "frontend-zg-b-3"
	secondEntry = "frontend-zg-d-1"
	fastEntry   = "frontend-zg-c-1"
)

const finishTime = 14 * time.Second // finish_s

var large = resources{CPU: 64_000, MemMB: 256_000}

// watch follows a job: when something of it ran last, and the longest time without.
type watch struct {
	d         *deployment
	id, path  string
	lastRun   time.Time
	longest   time.Duration
	completed bool
}

// observe watches a job for a time, or until it is completed.
func (w *watch) observe(t time.Duration) {
	w.lastRun = time.Now()
	for until, asked := time.Now().Add(t), time.Now(); time.Now().Before(until) && !w.completed; time.Sleep(20 * time.Millisecond) {
		if w.d.fleet.running(w.id) > 0 {
			w.lastRun = time.Now()
		}
		w.longest = max(w.longest, time.Since(w.lastRun))
		if time.Since(asked) > time.Second {
			asked = time.Now()
			w.completed = w.d.state(w.path) == "completed"
		}
	}
}

// rowLimit loses the worker on which 400 tasks of one job run. All other workers are free.
func rowLimit(d *deployment) (bool, error) {
	for i := range 8 {
		if _, err := d.fleet.addMachine("presses", "zg-a", fmt.Sprintf("r1-%d", 1+i/4), large); err != nil {
			return false, err
		}
	}
	if err := d.begin(2, 2, "presses"); err != nil {
		return false, err
	}
	wide := watch{d: d, id: "5c0e7a21d94b36f8", path: "/puxa0/5c0e7a21d94b36f8"}
	if err := d.submit(wide.path, job(400, 100, 6*time.Second, 0, map[string]any{"Checkpointing": true})); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	d.record.say("%d tasks of the job run", d.fleet.running(wide.id))
	if d.trouble {
		w := d.fleet.workerWith()
		w.crash()
		go func() {
			time.Sleep(3 * time.Second)
			_ = w.boot()
			d.fleet.register(w)
		}()
	}
	wide.observe(60 * time.Second)
	still := time.Since(wide.lastRun)
	d.record.say("completed: %t, %d of 400 tasks done, nothing of it has run for %.1f s, longest pause %.1f s",
		wide.completed, d.fleet.done(wide.id), still.Seconds(), wide.longest.Seconds())
	return !wide.completed && still > 3*time.Second, nil
}

// listLag crashes an idle worker that starts again at once under its id, while the list of machines is somewhat old. Jobs come
// before and after.
func listLag(d *deployment) (bool, error) {
	d.fleet.listLag = 800 * time.Millisecond
	var first *worker
	for i := range 8 {
		w, err := d.fleet.addMachine("presses", "zg-a", fmt.Sprintf("r1-%d", 1+i/4), resources{CPU: 8000, MemMB: 16000})
		if err != nil {
			return false, err
		}
		if first == nil {
			first = w
		}
	}
	if err := d.begin(2, 1, "presses"); err != nil {
		return false, err
	}
	number := 0
	submit := func(jobs int) error {
		for range jobs {
			id := fmt.Sprintf("5c0e7a21d94b%04x", number)
			number++
			if err := d.submit("/puxa0/"+id, job(4, 1000, 3*time.Second, 0, nil)); err != nil {
				return err
			}
		}
		return nil
	}
	if err := submit(4); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if d.trouble {
		first.crash()
	}
	time.Sleep(500 * time.Millisecond)
	if d.trouble {
		if err := first.boot(); err != nil {
			return false, err
		}
		d.fleet.register(first)
	}
	time.Sleep(150 * time.Millisecond)
	if err := submit(6); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	d.record.say("%d breaks of TWICE", len(d.fleet.brokenRules()))
	return len(d.fleet.brokenRules()) > 0, nil
}

// lostRelay loses an entry process for good that relays requests, while many jobs come at once. Another one joins.
func lostRelay(d *deployment) (bool, error) {
	const jobs, tasks, senders = 160, 24, 16
	d.cpu = 0.192
	for i := range 60 {
		if _, err := d.fleet.addMachine("presses", "zg-a", fmt.Sprintf("r1-%d", 1+i/4), large); err != nil {
			return false, err
		}
	}
	if err := d.begin(2, 1, "presses"); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // the leader connects to its relay
	leader := d.leader()
	var relay *entry
	for _, e := range d.entries {
		if e != leader {
			relay = e
		}
	}
	if d.trouble {
		d.record.say("entry process %s, the relay of the leader %s, falls silent for good", relay.name, leader.name)
		if err := relay.process.Process.Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	numbers, answers := make(chan int, jobs), make(chan string, jobs)
	for range senders {
		go func() {
			for n := range numbers {
				id := fmt.Sprintf("5c0e7a21d94b%04x", n)
				if status, _ := d.call(leader, http.MethodPost, "/puxa0/"+id, job(tasks, 1000, 2*time.Second, 4000, nil)); status != http.StatusOK {
					id = ""
				}
				answers <- id
			}
		}()
	}
	for n := range jobs {
		numbers <- n
	}
	close(numbers)
	var accepted []string
	for range jobs {
		if id := <-answers; id != "" {
			accepted = append(accepted, id)
		}
	}
	d.record.say("%d of %d jobs accepted", len(accepted), jobs)
	time.Sleep(2 * time.Second)
	if err := d.startEntry(); err != nil {
		return false, err
	}
	// From finish_s after the end of the traffic on, each job that has a task left has something running at least each 3 s.
	time.Sleep(finishTime)
	lastRun, lost := make(map[string]time.Time), make(map[string]bool)
	for began := time.Now(); time.Since(began) < 25*time.Second; time.Sleep(50 * time.Millisecond) {
		for _, id := range accepted {
			if lastRun[id].IsZero() || d.fleet.running(id) > 0 || d.fleet.done(id) == tasks {
				lastRun[id] = time.Now()
			}
			lost[id] = lost[id] || time.Since(lastRun[id]) > 3*time.Second
		}
	}
	open, idle := 0, 0
	for _, id := range accepted {
		if _, answer := d.call(leader, http.MethodGet, "/puxa0/"+id, nil); answer["State"] != "completed" {
			open++
		}
		if lost[id] {
			idle++
		}
	}
	d.record.say("%d jobs had nothing running for 3 s; %d jobs aren't completed in the end", idle, open)
	return idle > 0, nil
}

// manyQueues kills the leader while a job waits in each of many queues, and hands in two more jobs at each. The pool can run few of
// them at a time.
func manyQueues(d *deployment) (bool, error) {
	for i := range 8 {
		if _, err := d.fleet.addMachine("presses", "zg-a", fmt.Sprintf("r1-%d", 1+i/4), large); err != nil {
			return false, err
		}
	}
	const queues = 118
	if err := d.begin(3, queues, "presses"); err != nil {
		return false, err
	}
	submit := func(round int) error {
		for n := range queues {
			path := fmt.Sprintf("/puxa%d/5c0e7a21d9%02x%04x", n, round, n)
			if err := d.submit(path, job(1, large.CPU, 60*time.Second, 0, nil)); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}
	if err := submit(0); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if d.trouble {
		killed := d.leader()
		d.record.say("SIGKILL to the leader %s", killed.name)
		if err := d.kill(killed); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	for round := range 2 {
		if err := submit(round + 1); err != nil {
			return false, err
		}
	}
	broken := false
	for range 3 {
		time.Sleep(6 * time.Second)
		wrong := 0
		for n := range queues {
			_, answer := d.call(d.entries[n%len(d.entries)], http.MethodGet, fmt.Sprintf("/puxa%d/", n), nil)
			waits := 0
			for round := range 3 {
				if id := fmt.Sprintf("5c0e7a21d9%02x%04x", round, n); d.fleet.running(id)+d.fleet.done(id) == 0 {
					waits++
				}
			}
			if waiting, given := answer["Waiting"].(float64); given && 2*waiting < float64(waits) {
				wrong++
			}
		}
		d.record.say("%d of %d queues give under half of the jobs that wait", wrong, queues)
		broken = broken || wrong > 0
	}
	return broken, nil
}

// twoHandOvers adds an entry process on a faster machine, to which the leader hands over, and stops it a moment later. Meanwhile
// the demand of two queues rises and falls by turns, so that machines move between their pools.
func twoHandOvers(d *deployment) (bool, error) {
	d.fleet.spare = "desk"
	for i, pool := range []string{"presses", "proofs", "desk"} {
		for n := range []int{3, 3, 30}[i] {
			if _, err := d.fleet.addMachine(pool, "zg-a", fmt.Sprintf("r%d-%d", i+1, 1+n/4), resources{CPU: 8000, MemMB: 16000}); err != nil {
				return false, err
			}
		}
	}
	d.names = []string{firstEntry}
	if err := d.begin(1, 2, "presses", "proofs", "desk"); err != nil {
		return false, err
	}
	if err := d.startNamed(secondEntry, d.cpu); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // both are in touch
	number := 0
	submit := func(queue, count int, works time.Duration) {
		number++
		path := fmt.Sprintf("/puxa%d/5c0e7a21d94b%04x", queue, number)
		_, _ = d.call(d.entries[1], http.MethodPost, path, job(count, 8000, works, 0, nil))
	}
	if d.trouble {
		if err := d.startNamed(fastEntry, 0.8); err != nil {
			return false, err
		}
		d.await(func() bool { _, known := d.store.Get("control", "control", "claim"); return known })
	}
	submit(0, 9, 350*time.Millisecond)
	if d.trouble {
		d.await(func() bool { l := d.leader(); return l != nil && l.name == fastEntry })
		d.record.say("the leader is %s", fastEntry)
	} else {
		time.Sleep(500 * time.Millisecond)
	}
	submit(1, 5, 300*time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	if d.trouble {
		d.record.say("SIGTERM to %s", fastEntry)
		_ = d.entries[2].process.Process.Signal(syscall.SIGTERM)
		d.await(func() bool { l := d.leader(); return l != nil && l.name != fastEntry })
		d.record.say("the leader is %s", d.leader().name)
	} else {
		time.Sleep(400 * time.Millisecond)
	}
	submit(1, 16, 3*time.Second)
	time.Sleep(10 * time.Second)
	d.record.say("%d breaks of ONE", len(d.fleet.brokenRules()))
	return len(d.fleet.brokenRules()) > 0, nil
}
