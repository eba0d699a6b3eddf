package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/timer"
)

// check waits until all accepted jobs have ended, and checks what the system guarantees.
func (b *testbed) check() {
	timer.Wait(b.ctx, clock, 4*time.Second) // requests time out, and processes that received SIGTERM end
	b.resume()
	b.losses.calmSince, b.losses.waitingSince = clock.Now(), make(map[string]time.Time)
	b.eventually("all accepted jobs have ended, or run for long", jobEndTimeout, func() bool {
		b.checkWaits()
		return len(b.unfinishedJobs()) == 0
	})
	b.t.Logf("seed %d: %d jobs submitted, %d stored, %d with progress, %d servers lost, %d leaders signalled",
		b.seed, len(b.jobs), b.store.Count("jobs"), b.store.Count("progress"), len(b.losses.servers), b.losses.signals)
	b.cancelLongRunningJobs()
	b.mu.Lock()
	for id, result := range b.jobs {
		if result == refused && b.observer.Starts(id+".0.0.0") > 0 {
			b.t.Errorf("job %s ran although all entry VMs that were asked refused it", id)
		}
	}
	b.mu.Unlock()
	assert.DeepEqual(b.t, b.observer.Violations(), []string(nil))
	b.configure("key-2")
	revoked := clock.Now()
	for vm := range b.entryVMs {
		for status := 0; status != http.StatusUnauthorized; {
			status, _ = b.call(vm, http.MethodGet, "/press/", "key-1", nil)
			if clock.Now().Sub(revoked) > revocationLimit {
				b.t.Fatalf("%s: a revoked key isn't refused after %s: got status %d, want 401",
					b.entryVMs[vm].name, revocationLimit, status)
			}
			timer.Wait(b.ctx, clock, 50*time.Millisecond)
		}
	}
}

// unfinishedJobs asks for the state of the accepted jobs that weren't known to have ended, and returns those that still
// haven't, each with its HTTP status and state.
func (b *testbed) unfinishedJobs() []string {
	b.mu.Lock()
	cancelRequested := make(map[string]bool)
	for id, result := range b.jobs {
		if result == accepted && !b.finished[id] {
			cancelRequested[id] = b.cancelRequested[id]
		}
	}
	b.mu.Unlock()
	var unfinished []string
	for id, requested := range cancelRequested {
		status, state := b.call(b.randomEntryVM(), http.MethodGet, b.jobPath(id), "key-1", nil)
		// A task under which servers crash again and again may be given up, while the others run on.
		running := b.observer.Running(id)
		lasts := isLongRunning(id) && state == "running" && running+b.observer.MayBeGivenUp(id) >= longRunningTasks
		ended := lasts || (state == "completed" && !isLongRunning(id)) || (state == "cancelled" && requested) || (state == "failed" && b.observer.MayFail(id))
		// The rows of a job that ended a while ago are removed.
		removed := requested || b.observer.MayFail(id) || b.observer.Completed(id) == taskCount(id)
		if (status == http.StatusOK && ended) || (status == http.StatusGone && removed) {
			b.finished[id] = true
			continue
		}
		unfinished = append(unfinished, fmt.Sprintf("%s: status %d, state %q, %d of %d tasks completed, %d running",
			id, status, state, b.observer.Completed(id), taskCount(id), b.observer.Running(id)))
	}
	return unfinished
}

// cancelLongRunningJobs cancels the jobs that run for long, and waits until none of their tasks runs.
func (b *testbed) cancelLongRunningJobs() {
	b.mu.Lock()
	var ids []string
	for id := range b.jobs {
		if isLongRunning(id) {
			ids = append(ids, id)
		}
	}
	b.mu.Unlock()
	for _, id := range ids {
		b.eventually("the call to cancel job "+id+" is answered", jobEndTimeout, func() bool {
			status, _ := b.call(b.randomEntryVM(), http.MethodDelete, b.jobPath(id), "key-1", nil)
			return status == http.StatusOK || status == http.StatusGone
		})
	}
	for _, id := range ids {
		b.eventually("no task of job "+id+" runs", jobEndTimeout, func() bool { return b.observer.Running(id) == 0 })
	}
}

func (b *testbed) eventually(condition string, timeout time.Duration, check func() bool) {
	b.t.Helper()
	for until := clock.Now().Add(timeout); !check(); timer.Wait(b.ctx, clock, 100*time.Millisecond) {
		if clock.Now().After(until) {
			b.t.Fatalf("seed %d: condition not met within %s: %s; unfinished jobs: %v",
				b.seed, timeout, condition, b.unfinishedJobs())
		}
	}
}

func (b *testbed) saveLogs() {
	if !b.t.Failed() || *logDirectory == "" {
		return
	}
	assert.NilError(b.t, os.MkdirAll(*logDirectory, 0o700))
	for _, v := range b.entryVMs {
		name := filepath.Join(*logDirectory, fmt.Sprintf("%d-%s.log", b.seed, v.name))
		assert.NilError(b.t, os.WriteFile(name, v.output.Bytes(), 0o600))
	}
}
