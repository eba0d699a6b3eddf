//go:build review

package main

import (
	"bytes"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	readyTimeout = 15 * time.Second
	finishTime   = 14 * time.Second // finish_s
	idleWindow   = 3 * time.Second  // LOST: nothing of the job runs for so long
	lastingGrace = 6 * time.Second  // LOST: from the last run of a task that lasts
	sampleTime   = 100 * time.Millisecond
	contactTime  = 3 * time.Second // ContactMs
)

var smallJob = []step{{Count: 2, Cpu: 1000, MemMb: 256, EstimatedMs: 300}}

// submitSmall hands in a job of two short tasks, and reports whether it was accepted.
func (d *deployment) submitSmall(id string, first int) bool {
	d.book.add(id, work{duration: 300 * time.Millisecond})
	accepted := d.submit(id, first, smallJob)
	d.log.printf("client: job %s (2 tasks of 0.3 s on 1 core): accepted %v", id, accepted)
	return accepted
}

// waitCompleted waits until a job is shown as completed.
func (d *deployment) waitCompleted(id string, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		if d.state(id) == "completed" {
			return true
		}
		time.Sleep(sampleTime)
	}
	return false
}

// begin starts a deployment and shows that it completes jobs. The result is nil if it doesn't.
func begin(log *record) *deployment {
	d, err := newDeployment(log, 8, 2)
	if err != nil {
		log.printf("can't build the deployment: %v", err)
		return nil
	}
	if err := d.start(); err != nil {
		log.printf("can't start the system: %v", err)
		d.close()
		return nil
	}
	if !d.waitReady(readyTimeout) {
		log.printf("the nodes aren't ready")
		d.close()
		return nil
	}
	for i := range 3 {
		id := jobID(0, i)
		if !d.submitSmall(id, i) || !d.waitCompleted(id, readyTimeout) {
			log.printf("the deployment doesn't complete jobs before the disruption")
			d.close()
			return nil
		}
	}
	log.printf("the deployment works: 3 jobs are completed")
	return d
}

// traffic hands in small jobs for a time, one each interval. It returns the ids of those that were accepted.
func (d *deployment) traffic(kind int, length, interval time.Duration) []string {
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	for i := 0; i < int(length/interval); i++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := jobID(kind, i)
			if d.submitSmall(id, i) {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		}()
		time.Sleep(interval)
	}
	clients.Wait()
	return accepted
}

// lostJobs checks the rule LOST finishTime after the end of the traffic: it returns the accepted jobs that aren't shown as
// completed and of which nothing runs for idleWindow, though the workers have room for them.
func (d *deployment) lostJobs(accepted []string) []string {
	d.log.printf("the traffic has ended; jobs are asked for in %v", finishTime)
	time.Sleep(finishTime)
	open := make(map[string]string)
	for _, id := range accepted {
		if s := d.state(id); s != "completed" {
			open[id] = s
		}
	}
	d.log.printf("%d of %d accepted jobs are not completed; %d tasks run on all workers", len(open), len(accepted), d.running(""))
	idle := make(map[string]bool)
	for id := range open {
		idle[id] = true
	}
	until := time.Now().Add(idleWindow)
	for len(idle) > 0 && time.Now().Before(until) {
		for id := range idle {
			if d.running(id) > 0 {
				delete(idle, id)
			}
		}
		time.Sleep(sampleTime)
	}
	var lost []string
	for id := range idle {
		if s := d.state(id); s != "completed" && d.running(id) == 0 {
			starts := d.startsOf(id)
			d.log.printf("job %s was accepted, is shown as %q, has had %d starts, and nothing of it has run for %v", id, s, starts, idleWindow)
			lost = append(lost, id)
		}
	}
	return lost
}

// partOf returns the part of the store in which the system keeps the row of a job.
func partOf(id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return "jobs-" + strconv.Itoa(int(h.Sum32()%128))
}

// addHistory fills the store with the rows of jobs that ended before: copies of the rows that the system has written for a
// completed job, under other ids.
func (d *deployment) addHistory(template string, n int) {
	d.store.mu.Lock()
	jobRow := d.store.part("jobs", partOf(template)).rows[template].value
	progressRow := d.store.part("progress", "control").rows[template].value
	d.store.mu.Unlock()
	d.log.printf("rows of the completed job %s: %s and %s", template, jobRow, progressRow)
	ids := make([]string, n)
	byPart := make(map[string][]string)
	for i := range ids {
		ids[i] = jobID(0x100, i)
		byPart[partOf(ids[i])] = append(byPart[partOf(ids[i])], ids[i])
	}
	for part, keys := range byPart {
		d.store.preload("jobs", part, keys, func(key string) []byte {
			return bytes.ReplaceAll(jobRow, []byte(template), []byte(key))
		})
	}
	// The system writes it after the row of its job.
	d.store.preload("progress", "control", ids, func(string) []byte { return progressRow })
	d.log.printf("the store holds the rows of %d such jobs", n)
}

// runHistory kills the leader while the store holds the rows of many completed jobs.
func runHistory(log *record, trouble bool) int {
	const (
		jobs      = 1_010_000 // 17.7 hours of 15.9 jobs a second
		watchTime = 50 * time.Second
		calmAfter = 4 * time.Second // LOST: the calm before idleWindow
	)
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	d.addHistory(jobID(0, 0), jobs)
	id := jobID(1, 0)
	d.book.add(id, work{})
	steps := []step{{Count: 3, Cpu: 1000, MemMb: 256, EstimatedMs: 1000, LongRunning: true}}
	if !d.submit(id, 0, steps) {
		return cannotRun
	}
	time.Sleep(5 * time.Second)
	log.printf("job %s, 3 tasks that last: %d at work, shown as %q", id, d.running(id), d.state(id))
	if d.running(id) == 0 {
		return cannotRun
	}
	began := time.Now()
	if trouble {
		leader := d.leader()
		if leader == nil {
			return cannotRun
		}
		leader.kill("node_kill of the leader; the platform starts it again after 0.5 s")
	}
	var accepted []string
	lastAtWork := time.Now()
	idle := time.Duration(0)
	for i := 0; time.Since(began) < watchTime; i++ {
		now := time.Now()
		if d.running(id) > 0 {
			lastAtWork = now
		}
		due := later(lastAtWork.Add(lastingGrace), began.Add(restartDelay+calmAfter))
		idle = max(idle, now.Sub(due))
		if i%100 == 0 {
			log.printf("%2.0f s later: job %s is shown as %q, %d tasks at work", now.Sub(began).Seconds(), id, d.state(id), d.running(id))
		}
		if i%50 == 20 {
			small := jobID(2, i)
			if d.submitSmall(small, i) {
				accepted = append(accepted, small)
			}
		}
		time.Sleep(sampleTime)
	}
	open := 0
	for _, small := range accepted {
		if d.state(small) != "completed" {
			open++
		}
	}
	log.printf("%d of %d jobs that were accepted meanwhile are not completed", open, len(accepted))
	if idle >= idleWindow {
		log.printf("LOST: tasks that last don't run, with room for them, for %.0f s from %v after their last run, with nothing disturbed since the restart", idle.Seconds(), lastingGrace)
		return broken
	}
	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runLasting runs a job whose tasks last. Their runs end by themselves: done, or failed without the disruption.
func runLasting(log *record, trouble bool) int {
	const (
		count     = 3
		runTime   = 4 * time.Second
		watchTime = 30 * time.Second
	)
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	id := jobID(1, 0)
	w := work{}
	if trouble {
		w.exitsAt = runTime
	} else {
		w.failsAt = runTime
	}
	d.book.add(id, w)
	if !d.submit(id, 0, []step{{Count: count, Cpu: 1000, MemMb: 256, EstimatedMs: 1000, LongRunning: true}}) {
		return cannotRun
	}
	log.printf("client: job %s, %d tasks that last, was accepted", id, count)
	until := time.Now().Add(watchTime)
	lastAtWork := time.Now()
	longest := time.Duration(0)
	for i := 0; time.Now().Before(until); i++ {
		if d.running(id) > 0 {
			lastAtWork = time.Now()
		}
		longest = max(longest, time.Since(lastAtWork))
		if i%50 == 0 {
			starts := d.startsOf(id)
			log.printf("job %s: shown as %q, %d tasks at work, %d starts", id, d.state(id), d.running(id), starts)
		}
		time.Sleep(sampleTime)
	}
	log.printf("the longest time without a task of the job at work: %.1f s; nobody has cancelled it", longest.Seconds())
	if longest >= lastingGrace+idleWindow {
		log.printf("LOST: tasks that last don't run, with room for them, for %v from %v after their last run", idleWindow, lastingGrace)
		return broken
	}
	return held
}

// runRepeat hands in one job that repeats often, beside small jobs.
func runRepeat(log *record, trouble bool) int {
	const interval = 5 * time.Millisecond
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	repetitions := 50
	if trouble {
		repetitions = 9000
	}
	id := jobID(1, 0)
	d.book.add(id, work{duration: 20 * time.Millisecond})
	body := map[string]any{
		"Specification": "spec " + id, "Steps": []step{{Count: 1, Cpu: 100, MemMb: 16, EstimatedMs: 20}},
		"Repetitions": repetitions, "FirstRunMs": time.Now().UnixMilli(), "IntervalMs": interval.Milliseconds(),
	}
	if !d.submitBody(id, 0, body) {
		return cannotRun
	}
	log.printf("client: job %s, one short task that repeats %d times, one each %v, was accepted", id, repetitions, interval)
	var accepted []string
	for i := range 12 {
		accepted = append(accepted, d.traffic(2+i, 5*time.Second, time.Second)...)
		starts := d.startsOf(id)
		log.printf("job %s: shown as %q, %d of %d times started", id, d.state(id), starts, repetitions)
	}
	lost := d.lostJobs(accepted)
	starts := d.startsOf(id)
	log.printf("the job that repeats: shown as %q, %d starts; refused transactions: %v", d.state(id), starts, d.store.refusals)
	if len(lost) > 0 {
		log.printf("LOST: %d accepted jobs of two short tasks don't run", len(lost))
		return broken
	}
	return held
}

// runEvacuate evacuates all zones, and takes them back while the store drops its history.
func runEvacuate(log *record, trouble bool) int {
	const evacuated = 8 * time.Second
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	var keys []string
	for _, zone := range zones {
		key := "evacuate/" + zone
		keys = append(keys, key)
		d.store.put("op", key, map[string]any{})
		log.printf("operator: writes op/%s", key)
	}
	time.Sleep(evacuated)
	d.store.removeAndDrop("op", keys, trouble)
	log.printf("operator: removes the rows of the evacuations, which the store confirms; the store drops its history then: %v", trouble)
	time.Sleep(contactTime)
	accepted := d.traffic(2, 10*time.Second, 500*time.Millisecond)
	if lost := d.lostJobs(accepted); len(lost) > 0 {
		log.printf("LOST: %d accepted jobs of two short tasks don't run", len(lost))
		return broken
	}
	return held
}

// runCancel cancels a job whose submission got no answer, because the store left its writes unanswered.
func runCancel(log *record, trouble bool) int {
	const (
		lateAfter  = 6 * time.Second // platform_lost, how late: 1 to 6 s later
		cancelTime = 3 * time.Second // cancel_ms
		watchTime  = 30 * time.Second
		tries      = 5
	)
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	id := jobID(1, 0)
	d.book.add(id, work{failsAt: 5 * time.Second})
	if trouble {
		d.store.loseWrites("jobs", id, lateAfter)
	}
	body := map[string]any{
		"Specification": "spec " + id,
		"Steps":         []step{{Count: 3, Cpu: 1000, MemMb: 256, EstimatedMs: 1000, LongRunning: true}},
	}
	before := d.store.counts()
	status, _ := d.call(d.nodes[0], http.MethodPost, id, body)
	log.printf("client: POST of job %s, 3 tasks that last: %s", id, answer(status))
	d.store.loseWrites("", "", 0)
	after := d.store.counts()
	log.printf("store: of %d transactions meanwhile, %d are left without an answer and done %v later", after.all-before.all, after.lost, lateAfter)
	time.Sleep(sampleTime)
	var cancelled time.Time
	for try := 0; try < tries && cancelled.IsZero(); try++ {
		status, _ = d.call(d.nodes[(try+1)%len(d.nodes)], http.MethodDelete, id, nil)
		log.printf("client: DELETE of job %s: %s", id, answer(status))
		if status == http.StatusOK || status == http.StatusGone {
			cancelled = time.Now()
		}
	}
	if cancelled.IsZero() {
		return cannotRun
	}
	var started time.Time // the last start
	known := d.startsOf(id)
	for i := 1; time.Since(cancelled) < watchTime; i++ {
		time.Sleep(sampleTime)
		starts := d.startsOf(id)
		if starts > known {
			known, started = starts, time.Now()
		}
		if i%50 == 0 {
			log.printf("%2.0f s after the answer to the DELETE: job shown as %q, %d tasks at work, %d starts",
				time.Since(cancelled).Seconds(), d.state(id), d.running(id), starts)
		}
	}
	if started.IsZero() {
		return held
	}
	late := started.Sub(cancelled)
	log.printf("job %s: the last start %.1f s after the answer to the DELETE", id, late.Seconds())
	// The store answers all calls from the DELETE on. When its last late write is done and ContactMs have passed, all
	// nodes are in touch.
	if late > max(cancelTime, lateAfter+contactTime) {
		log.printf("UNASKED: tasks are started later than cancel_ms (%v) after the job's cancelling was acknowledged", cancelTime)
		return broken
	}
	return held
}
