package soak_test

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// finishTime is the time after all faults from which on a task may wait for a server that is lost for maxIdleTime at most.
	finishTime  = 14 * time.Second
	maxIdleTime = 3 * time.Second
)

// losses are the losses of servers for good.
type losses struct {
	random       *rand.Rand
	planned      []plannedFault
	servers      []string             // lost so far
	signals      int                  // to leaders
	calmSince    time.Time            // when all faults had ended
	waitingSince map[string]time.Time // tasks that wait for lost servers
}

// plannedFault is a fault that is due while faults are injected.
type plannedFault struct {
	at     time.Time
	inject func()
}

func (b *testbed) injectLater(maxMS int, inject func()) {
	b.losses.planned = append(b.losses.planned, plannedFault{clock.Now().Add(time.Duration(b.losses.random.IntN(maxMS)) * time.Millisecond), inject})
}

func (b *testbed) injectPlanned() {
	planned := b.losses.planned
	b.losses.planned = nil
	for _, p := range planned {
		if clock.Now().Before(p.at) {
			b.losses.planned = append(b.losses.planned, p)
			continue
		}
		p.inject()
	}
}

// loseServer loses a VM for good now and then, with or without silence, and half of them with start requests that have no response.
// The leader may be killed, stopped or suspended about then.
func (b *testbed) loseServer() {
	if b.losses.random.IntN(5) != 0 {
		return
	}
	n := b.losses.random.IntN(len(b.servers))
	if b.losses.random.IntN(2) == 0 {
		b.servers[n].HoldRequests(1+b.losses.random.IntN(6), true)
	}
	silent, replaceAfter := b.losses.random.IntN(2) == 0, time.Duration(300+b.losses.random.IntN(2000))*time.Millisecond
	b.injectLater(400, func() {
		if lost, next := b.platform.LoseVM(b.servers[n], silent, replaceAfter); lost != nil {
			b.losses.servers, b.servers[n] = append(b.losses.servers, lost.ID), next
		}
	})
	if signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGSTOP, 0}[b.losses.random.IntN(4)]; signal != 0 {
		b.injectLater(400, func() { b.signalLeader(signal) })
	}
}

// signalLeader kills the leader and starts it again, or sends it another signal.
func (b *testbed) signalLeader(s syscall.Signal) {
	row, _ := b.store.Get("control", "control", "term")
	var term struct{ Holder string }
	_ = json.Unmarshal(row, &term) // no leader if there is no term
	for _, v := range b.entryVMs {
		if v.name != term.Holder {
			continue
		}
		b.losses.signals++
		switch s {
		case syscall.SIGKILL:
			b.kill(v)
			b.start(v)
		default:
			b.signal(v, s)
			v.suspended = v.suspended || s == syscall.SIGSTOP
		}
	}
}

// waitingTasks returns the tasks of accepted jobs that run nowhere, and of which all runs that may exist are on servers that were lost.
func (b *testbed) waitingTasks() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var waiting []string
	for id, result := range b.jobs {
		row, _ := b.store.Get("progress", "control", id)
		p, err := workload.DecodeProgress(row)
		if result != accepted || b.finished[id] || err != nil || p.State.Final() {
			continue
		}
		for name, record := range p.Tasks {
			var servers []string
			for _, a := range record.Assignments {
				servers = append(servers, a.Server)
			}
			for _, l := range record.LateStarts {
				servers = append(servers, l.Server)
			}
			onLost := len(servers) > 0 && !slices.ContainsFunc(servers, func(s string) bool { return !slices.Contains(b.losses.servers, s) })
			if onLost && !record.Done && !b.observer.Runs(id+"."+name) {
				waiting = append(waiting, id+"."+name)
			}
		}
	}
	return waiting
}

// checkWaits fails if a task has waited for a server that was lost since finishTime after all faults for maxIdleTime.
func (b *testbed) checkWaits() {
	now, tasks := clock.Now(), b.waitingTasks()
	for task := range b.losses.waitingSince {
		if !slices.Contains(tasks, task) {
			delete(b.losses.waitingSince, task)
		}
	}
	var overdue []string
	for _, task := range tasks {
		since, waited := b.losses.waitingSince[task]
		if !waited {
			since = now
			b.losses.waitingSince[task] = now
		}
		if from := b.losses.calmSince.Add(finishTime); since.Before(from) {
			since = from
		}
		if now.Sub(since) > maxIdleTime {
			overdue = append(overdue, task)
		}
	}
	if len(overdue) > 0 {
		b.t.Fatalf("seed %d: tasks wait for servers that were lost, %s after all faults: %v; lost servers: %v",
			b.seed, now.Sub(b.losses.calmSince), overdue, b.losses.servers)
	}
}
