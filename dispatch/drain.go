package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
)

// drainState is the progress of a planned stop of this entry VM.
type drainState struct {
	started          bool
	startedAt        time.Time
	leasesReleased   bool
	memberRowDeleted bool
	done             bool
}

// startDrain begins a planned stop: no new work is accepted, queued work is handed over, and running calls are
// finished.
func (s *State) startDrain() {
	if s.drain.started {
		return
	}
	s.drain.started, s.drain.startedAt = true, s.now
	s.handOverQueue()
}

// handOverQueue hands over all work that hasn't started, including work that was queued again during the stop.
func (s *State) handOverQueue() {
	for _, id := range slices.Sorted(maps.Keys(s.workItems)) {
		w, ok := s.workItems[id]
		if ok && (w.phase == phaseQueued || w.phase == phaseBackingOff) {
			s.handOverWork(w)
		}
	}
}

// admitsWhileDraining reports whether a stopping entry VM still accepts a request, to forward a call or to store a job
// for another entry VM. The load balancer sends requests here for some time after the stop has begun.
func (s *State) admitsWhileDraining(r Request) bool {
	return r.hops == 0 && s.now.Sub(s.drain.startedAt) < drainGracePeriod
}

// handOverWork forwards a call that hasn't started to another entry VM, or refuses it, and releases a job.
func (s *State) handOverWork(w *workItem) {
	s.Queue.Cancel(w.id())
	if !w.isCall() {
		s.releaseJob(w)
		return
	}
	switch r := s.drainRoute(w).(type) {
	case forwardTo:
		s.forward(w, r.peer)
	case refuseRoute:
		w.phase = phaseFinishing
		s.refuse(w, r.refusal)
	}
}

// drainRoute returns the route of a call that hasn't started during a planned stop.
func (s *State) drainRoute(w *workItem) route {
	to := s.peerWithFreeSlots(w.pool)
	if to == "" {
		to = s.ownerOfPool(w.pool, w.id())
	}
	if to != "" && w.request.hops == 0 {
		return forwardTo{peer: to}
	}
	return refuseRoute{refusal: NewNotRun(CodeDraining, "this entry VM is stopping", retryAfterBusy)}
}

// releaseJob clears the holder of a job, so that another entry VM adopts it at once. It is repeated until the row is
// written.
func (s *State) releaseJob(w *workItem) {
	row, ok := s.jobs[w.id()]
	if !ok || row.pending {
		s.after(w, handoverRetryDelay, func() { s.releaseJob(w) })
		return
	}
	f := row.fields
	f.Holder = ""
	if w.phase != phaseRunning {
		f.State, f.Server, f.Epoch, f.Attempt = jobWaiting, "", 0, w.attempt
	} else {
		f.State, f.Server, f.Epoch, f.Attempt = jobRunning, w.server, w.sentEpoch, w.attempt
	}
	row.pending = true
	s.writeJob(row, f, func(ok bool) {
		if s.workItems[w.id()] != w {
			return
		}
		if !ok {
			s.after(w, handoverRetryDelay, func() { s.releaseJob(w) })
			return
		}
		s.forget(w)
	})
	w.phase = phaseRecordingResult
}

// checkDrain advances a planned stop. Calls held here are finished first. Then running jobs are released to the next
// owners of their backend servers, and the leases are released. Last, the answers of forwarded calls are awaited.
func (s *State) checkDrain() {
	d := &s.drain
	if !d.started || d.done {
		return
	}
	s.handOverQueue()
	calls, forwarded, jobs := s.heldWork()
	if calls > 0 {
		return
	}
	for _, w := range jobs {
		if w.phase == phaseRunning {
			s.releaseJob(w)
		}
	}
	if len(jobs) > 0 || len(s.commits) > 0 {
		return
	}
	if !d.leasesReleased {
		d.leasesReleased = true
		s.ownershipEvent(ownership.NewDrainRequested())
		return
	}
	if forwarded == 0 && len(s.Ownership.Owned()) == 0 && s.now.Sub(d.startedAt) >= drainGracePeriod {
		s.finishDrain()
	}
}

// finishDrain deletes the member row, so that other entry VMs don't wait for this one. The next call ends the planned
// stop.
func (s *State) finishDrain() {
	d := &s.drain
	if !d.memberRowDeleted {
		d.memberRowDeleted = true
		s.membershipEvent(membership.NewDrainRequested())
		return
	}
	d.done = true
	s.emit(Drained{})
}

// heldWork returns the number of calls to finish here, the number of forwarded calls and those whose claim is being
// read, and the jobs.
func (s *State) heldWork() (calls, forwarded int, jobs []*workItem) {
	for _, id := range slices.Sorted(maps.Keys(s.workItems)) {
		w := s.workItems[id]
		switch {
		case !w.isCall():
			jobs = append(jobs, w)
		case w.phase == phaseForwarded || w.phase == phaseReadingClaim:
			forwarded++
		default:
			calls++
		}
	}
	return calls, forwarded, jobs
}
