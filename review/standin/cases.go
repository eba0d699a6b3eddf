//go:build review

package main

import (
	"bytes"
	"hash/fnv"
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
			starts, _, _ := d.counts(id)
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
	d.store.preload("progress", "control", ids, func(string) []byte { return progressRow })
	for part, keys := range byPart {
		d.store.preload("jobs", part, keys, func(key string) []byte {
			return bytes.ReplaceAll(jobRow, []byte(template), []byte(key))
		})
	}
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
			starts, _, _ := d.counts(id)
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
		starts, _, _ := d.counts(id)
		log.printf("job %s: shown as %q, %d of %d times started", id, d.state(id), starts, repetitions)
	}
	lost := d.lostJobs(accepted)
	starts, _, _ := d.counts(id)
	log.printf("the job that repeats: shown as %q, %d starts; refused transactions: %v", d.state(id), starts, d.store.refusals)
	if len(lost) > 0 {
		log.printf("LOST: %d accepted jobs of two short tasks don't run", len(lost))
		return broken
	}
	return held
}

// runCrashes crashes workers one after the other, each time the one that runs the first task of a job that lasts.
func runCrashes(log *record, trouble bool) int {
	const (
		count   = 4
		mayMiss = 1
		crashes = 5
		downFor = 2 * time.Second
		calm    = 5 * time.Second // at work between two crashes
	)
	d := begin(log)
	if d == nil {
		return cannotRun
	}
	defer d.close()
	id := jobID(1, 0)
	d.book.add(id, work{})
	steps := []step{{
		Count: count, Cpu: 1000, MemMb: 256, EstimatedMs: 1000, LongRunning: true, AntiAffinity: 1, MayMiss: mayMiss,
	}}
	if !d.submit(id, 0, steps) {
		return cannotRun
	}
	log.printf("client: job %s, %d tasks that last, on workers of their own, of which %d may be missed, was accepted", id, count, mayMiss)
	first := id + ".0.0.0"
	for n := range crashes {
		if !d.waitAtWork(id, count, 20*time.Second) {
			break
		}
		time.Sleep(calm)
		for _, v := range d.workers {
			if trouble && v.hasRun(first) {
				log.printf("crash %d of %d, of the worker that runs %s", n+1, crashes, first)
				v.crash(downFor)
			}
		}
	}
	time.Sleep(restartDelay + lastingGrace + idleWindow)
	_, stopped, failed := d.counts(id)
	log.printf("job %s: shown as %q, %d tasks at work, %d tasks were stopped, %d runs have ended failed, nobody has cancelled it",
		id, d.state(id), d.running(id), stopped, failed)
	if d.state(id) == "failed" && failed == 0 {
		log.printf("LOST: the job is shown as failed, and no run of it has ended failed")
	}
	if stopped > mayMiss {
		log.printf("AVAIL: %d tasks at work on sound workers were stopped together, and %d of the step may be away", stopped, mayMiss)
		return broken
	}
	return held
}

// waitAtWork waits until so many tasks of a job run.
func (d *deployment) waitAtWork(id string, count int, timeout time.Duration) bool {
	until := time.Now().Add(timeout)
	for time.Now().Before(until) {
		if d.running(id) == count {
			return true
		}
		time.Sleep(sampleTime)
	}
	return false
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
