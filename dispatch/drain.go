package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
)

// drainState is how far a planned stop has come.
type drainState struct {
	started  bool
	since    time.Time
	released bool
	left     bool
	done     bool
}

// startDrain begins a planned stop: nothing new is taken, waiting work is handed over, running work is finished.
func (s *State) startDrain() {
	if s.drain.started {
		return
	}
	s.drain.started, s.drain.since = true, s.now
	s.drainQueue()
}

// drainQueue hands over all work that waits, also what was put back into the queue during the stop.
func (s *State) drainQueue() {
	for _, id := range slices.Sorted(maps.Keys(s.works)) {
		w, ok := s.works[id]
		if ok && (w.phase == phaseQueued || w.phase == phaseBackingOff) {
			s.drainWaiting(w)
		}
	}
}

// passesOn reports whether a stopping entry VM forwards a call, or stores a job for another one to run. The load balancer
// sends requests here for some time after the stop has begun.
func (s *State) passesOn(r Request) bool {
	return r.hops == 0 && s.now.Sub(s.drain.since) < drainSettle
}

// drainWaiting hands over work that hasn't started.
func (s *State) drainWaiting(w *work) {
	s.Queue.Cancel(w.id())
	if !w.isCall() {
		s.releaseJob(w)
		return
	}
	to := s.peerWithRoom(w.pool)
	if to == "" {
		to = s.ownerOfPool(w.pool, w.id())
	}
	if to != "" && w.request.hops == 0 {
		s.forward(w, to)
		return
	}
	w.phase = phaseRefusing
	s.refuse(w, NewNotRun(CodeDraining, "this entry VM is stopping", retryAfterBusy))
}

// releaseJob gives up a job, so that another entry VM adopts it at once.
func (s *State) releaseJob(w *work) {
	row, ok := s.jobs[w.id()]
	if !ok || row.busy {
		s.later(w, drainRetryDelay, func() { s.releaseJob(w) })
		return
	}
	f := row.fields
	f.Holder = ""
	if w.phase != phaseRunning {
		f.State, f.Server, f.Epoch, f.Attempt = jobWaiting, "", 0, w.attempt
	} else {
		f.State, f.Server, f.Epoch, f.Attempt = jobRunning, w.server, w.sentEpoch, w.attempt
	}
	row.busy = true
	s.writeJob(row, f, func(ok bool) {
		if s.works[w.id()] != w {
			return
		}
		if !ok {
			s.later(w, drainRetryDelay, func() { s.releaseJob(w) })
			return
		}
		s.forget(w)
	})
	w.phase = phaseRecording
}

// checkDrain moves a planned stop forward: calls that are here are finished first, then running jobs are left to the next
// owners of their backend servers, then the leases are released. The answers of forwarded calls are awaited last.
func (s *State) checkDrain() {
	d := &s.drain
	if !d.started || d.done {
		return
	}
	s.drainQueue()
	calls, forwarded, jobs := s.held()
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
	if !d.released {
		d.released = true
		s.owners(ownership.NewDrained())
		return
	}
	if forwarded == 0 && len(s.Owners.Owned()) == 0 && s.now.Sub(d.since) >= drainSettle {
		s.leave()
	}
}

// leave deletes the member row, so that the others needn't wait for this entry VM, and then ends the planned stop.
func (s *State) leave() {
	d := &s.drain
	if !d.left {
		d.left = true
		s.members(membership.NewDrained())
		return
	}
	d.done = true
	s.emit(Drained{})
}

func (s *State) held() (calls, forwarded int, jobs []*work) {
	for _, id := range slices.Sorted(maps.Keys(s.works)) {
		w := s.works[id]
		switch {
		case !w.isCall():
			jobs = append(jobs, w)
		case w.phase == phaseForwarded || w.phase == phaseReading:
			forwarded++
		default:
			calls++
		}
	}
	return calls, forwarded, jobs
}
