//go:build review3

package main

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// deploy starts three entries and the given number of machines, and waits until a job is done. The machines are of the kind "a" and
// each on a rack of its own, but the last ones, which are of the kind "b" and share a rack. The capacities are in thousandths of a core.
func (w *world) deploy(machines, kindB int, cpuA, cpuB int64) error {
	w.configure()
	for i := range machines {
		kind, rack, cpu := "a", fmt.Sprintf("r1-%d", i+1), cpuA
		if i >= machines-kindB {
			kind, rack, cpu = "b", "r2-1", cpuB
		}
		if err := w.addMachine(fmt.Sprintf("m-%d", i+1), []string{"za", "zb"}[i%2], kind, rack, cpu); err != nil {
			return err
		}
	}
	for i, zone := range []string{"za", "zb", "za"} {
		if err := w.addEntry(fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	const first = "00000000000000aa"
	if err := w.submit(first, 300*time.Millisecond, map[string]any{"Count": 3, "Cpu": 500, "MemMb": 256}); err != nil {
		return err
	}
	if state := w.await(first, 15*time.Second, "completed"); state != "completed" {
		return errors.New("the first job is " + state)
	}
	return nil
}

// lateUpkeep: the machine that leads sends the first order for upkeep of a wave, which gets no answer and is carried out 9 s later. The
// leader is killed. The next one goes on with the wave.
func lateUpkeep(w *world, trouble bool) error {
	const (
		late      = 9 * time.Second
		restartIn = 3500 * time.Millisecond
		job       = "00000000000000b1"
	)
	w.atMost = 1
	if err := w.deploy(6, 1, 8000, 8000); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	first := make(chan [2]string, 1)
	var seen atomic.Bool
	w.mu.Lock()
	w.holdUpkeep = func(holder, machine string) time.Duration {
		if seen.Swap(true) {
			return 0
		}
		first <- [2]string{holder, machine}
		if trouble {
			return late
		}
		return 0
	}
	w.mu.Unlock()
	w.note("sent: wave 1 of m-1 to m-5, AtMost 1")
	w.store.Put("op", "wave/1", map[string]any{
		"Wave": 1, "Machines": []string{"m-1", "m-2", "m-3", "m-4", "m-5"}, "FinishByS": 60, "AtMost": 1,
	})
	var holder, target string
	select {
	case f := <-first:
		holder, target = f[0], f[1]
	case <-time.After(20 * time.Second):
		return errors.New("no order for upkeep")
	}
	if trouble {
		e := w.entry(holder)
		if e == nil {
			return errors.New("unknown holder " + holder)
		}
		w.kill(e)
		time.AfterFunc(restartIn, func() { _ = w.start(e) })
	}
	w.mu.Lock()
	rack := w.machine(target).rack
	w.mu.Unlock()
	if err := w.submit(job, 10*time.Second, map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 256, "Requirements": rack}); err != nil {
		return err
	}
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if value, ok := w.store.Get("status", "", "wave/1"); ok && string(value) != "" && contains(value, "completed") {
			w.note("status/wave/1: %s", value)
			return nil
		}
	}
	return errors.New("the wave isn't completed in 60 s")
}

func contains(value []byte, text string) bool {
	for i := 0; i+len(text) <= len(value); i++ {
		if string(value[i:i+len(text)]) == text {
			return true
		}
	}
	return false
}

// wideAdvice: a service of 28 workers, three of which are of a smaller kind, gets seven empty workers more (.25). Then a job comes that
// requires the smaller kind, on a queue with a recommendation service whose policy allows all workers but one.
func wideAdvice(w *world, trouble bool) error {
	const (
		job      = advisedJobs + "1"
		added    = 7
		finish   = 14 * time.Second // finish_s of the settings
		judgedIn = 3 * time.Second
	)
	if err := w.deploy(28, 3, 16000, 8000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for i := range added {
		if trouble {
			if err := w.addMachine(fmt.Sprintf("m-%d", 29+i), []string{"za", "zb"}[i%2], "a", fmt.Sprintf("r1-%d", 29+i), 16000); err != nil {
				return err
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	if err := w.submit(job, time.Second, map[string]any{"Count": 1, "Cpu": 1000, "MemMb": 256, "Requirements": "b"}); err != nil {
		return err
	}
	if state := w.await(job, finish+judgedIn, "completed"); state != "completed" {
		w.breaks("job %s is %q and nothing of it has run, %s after the end of the traffic; all three workers of the kind it requires are idle and allowed",
			job, state, finish+judgedIn)
		w.await(job, 30*time.Second, "completed")
	}
	return nil
}

// lostRack: a service has twelve workers of the kind "a" and two larger ones of the kind "b" on one rack. Twelve jobs that last require
// the kind "b" and run there. The rack is lost for good. Then a job comes that fits on each of the twelve workers, which are idle.
func lostRack(w *world, trouble bool) error {
	const (
		job      = "00000000000000e1"
		lasting  = 12
		finish   = 14 * time.Second // finish_s of the settings
		judgedIn = 3 * time.Second
	)
	if err := w.deploy(14, 2, 4000, 16000); err != nil {
		return err
	}
	for i := range lasting {
		id := fmt.Sprintf("00000000000000f%x", i)
		step := map[string]any{"Count": 1, "Cpu": 2500, "MemMb": 256, "LongRunning": true, "Requirements": "b"}
		if err := w.submit(id, 0, step); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	w.mu.Lock()
	rack := []*worker{w.machine("m-13").worker, w.machine("m-14").worker}
	w.mu.Unlock()
	if n := rack[0].runCount() + rack[1].runCount(); n != lasting {
		return fmt.Errorf("%d of %d tasks that last run", n, lasting)
	}
	if trouble {
		for _, v := range rack {
			v.lose()
		}
	}
	time.Sleep(20 * time.Second) // the leases of the lost workers are over then
	if err := w.submit(job, time.Second, map[string]any{"Count": 1, "Cpu": 2000, "MemMb": 256}); err != nil {
		return err
	}
	if state := w.await(job, finish+judgedIn, "completed"); state != "completed" {
		w.breaks("job %s is %q and nothing of it has run, %s after the end of the traffic; twelve workers that it fits on are idle",
			job, state, finish+judgedIn)
		w.await(job, 30*time.Second, "completed")
	}
	return nil
}

// twoLateOrders: a worker leaves two orders without an answer that are carried out some 2 to 3 s later: a look that takes note of the ends
// seen so far, and the start of a task. It crashes meanwhile and starts again under its id, and takes both in its new life.
func twoLateOrders(w *world, trouble bool) error {
	const (
		first  = "00000000000000a1"
		job    = "00000000000000a2"
		length = 100 * time.Millisecond
		least  = 2 * time.Second // lateness of the orders
	)
	if err := w.deploy(7, 1, 8000, 8000); err != nil {
		return err
	}
	requiresB := func(count int) map[string]any {
		return map[string]any{"Count": count, "Cpu": 500, "MemMb": 256, "Requirements": "b"}
	}
	if err := w.submit(first, 300*time.Millisecond, requiresB(3)); err != nil {
		return err
	}
	if state := w.await(first, 10*time.Second, "completed"); state != "completed" {
		return errors.New("the first job of the worker is " + state)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := w.crashBetween(job, length, least, requiresB(1)); err != nil {
			return err
		}
	} else if err := w.submit(job, length, requiresB(1)); err != nil {
		return err
	}
	if state := w.await(job, 40*time.Second, "completed"); state != "completed" {
		w.note("job %s is %q", job, state)
	}
	time.Sleep(2 * time.Second)
	w.judgeTwice()
	return nil
}

// crashBetween hands a job in while the worker m-7 leaves a look and a start without an answer, crashes the worker and starts it again, and
// has both carried out then.
func (w *world) crashBetween(job string, length, least time.Duration, step map[string]any) error {
	w.mu.Lock()
	v := w.machine("m-7").worker
	w.mu.Unlock()
	looks, starts := make(chan order, 1), make(chan order, 1)
	v.mu.Lock()
	v.keep = func(path string, o order) bool {
		switch {
		case path == "/api/hold" && o.LastSeen > 0 && len(looks) == 0:
			looks <- o
		case path == "/api/run-start" && o.Task[:len(job)] == job && len(starts) == 0:
			starts <- o
		default:
			return false
		}
		w.note("%s: %s %s run %d, LastSeen %d, gets no answer", v.id, path, o.Task, o.Run, o.LastSeen)
		return true
	}
	v.mu.Unlock()
	for len(looks) == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := w.submit(job, length, step); err != nil {
		return err
	}
	for until := time.Now().Add(time.Second); len(starts) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return errors.New("the task isn't started on the worker")
		}
	}
	sent := time.Now()
	time.Sleep(100 * time.Millisecond)
	v.silence()
	v.mu.Lock()
	v.keep = nil
	v.mu.Unlock()
	time.Sleep(time.Until(sent.Add(least)))
	<-v.drain() // the worker is back just after a call that it doesn't answer
	v.back()
	o := <-starts
	reason, _ := v.start(o)
	w.note("late by %.3f s: start of %s run %d: %q", time.Since(sent).Seconds(), o.Task, o.Run, reason)
	time.Sleep(length + 30*time.Millisecond)
	o = <-looks
	o.WaitMs = 0
	reason, _ = v.hold(o)
	w.note("late by %.3f s: look with LastSeen %d: %q", time.Since(sent).Seconds(), o.LastSeen, reason)
	return nil
}
