package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

// phase is the processing state of a work item.
type phase uint8

const (
	phaseReadingClaim    phase = iota + 1 // the claim row of a call is being read
	phaseStoringJob                       // the row of a new job is being written
	phaseQueued                           // in the queue, until a backend server has free capacity
	phaseWritingClaim                     // the claim is being written; slot and capacity are reserved
	phaseRunning                          // a Run was sent and has no outcome yet
	phaseForwarded                        // sent to another entry VM
	phaseResolving                        // a Close was sent to find out whether the attempt started
	phaseFinishing                        // the claim is being closed, or the stored answer is being read
	phaseRecordingResult                  // the result or the release of a job is being stored
	phaseBackingOff                       // delayed until the next attempt or the next check for an owner
)

// workItem is a request that this entry VM processes, with the state of its current attempt.
type workItem struct {
	request Request
	ticket  uint64
	class   catalogue.Class
	pool    string
	shape   provider.Shape
	// idempotent is false for work that must not run twice.
	idempotent bool

	phase   phase
	attempt int
	// started is set once an attempt may have started. The request is then never reported as not run.
	started bool
	// ranBefore is set if an earlier attempt may have run.
	ranBefore bool
	// cancelled is set once the request was cancelled or its caller has disconnected.
	cancelled bool
	server    string
	epoch     uint64
	// sentEpoch is the epoch of the lease under which the attempt was first sent, 0 if unknown.
	sentEpoch uint64
	// resends is the number of times that the same attempt was sent again.
	resends int
	// claim is the claim of a non-idempotent call, claimVersion the version of its row, 0 if there is none.
	claim        claim.Claim
	claimVersion uint64
	// queriedOwners are the entry VMs that the request was forwarded to, to resolve the claim.
	queriedOwners []string
	// ownerAwaitedSince is when the call first waited for an owner of its pool, zero if it hasn't.
	ownerAwaitedSince time.Time
	// reroutes is the number of times that the call was sent elsewhere after a refusal.
	reroutes int
	// wakeAt is when onWake is called or, in phaseBackingOff, when the delay ends. OnWake is nil if nothing is to be
	// called.
	wakeAt time.Time
	onWake func()
}

func (w *workItem) id() string { return w.request.id }

func (w *workItem) isCall() bool { return w.request.kind == KindCall }

// expired reports whether the request's deadline has passed.
func (w *workItem) expired(now time.Time) bool {
	return !w.request.deadline.IsZero() && !now.Before(w.request.deadline)
}

// runKey identifies an attempt on a backend server.
type runKey struct {
	server  string
	id      string
	attempt int
}

// run is an attempt that occupies a slot on a backend server, or may occupy one. It counts against the slice of its
// team until it is known to have ended.
type run struct {
	key   runKey
	team  string
	entry string
	shape provider.Shape
	// sentAt is when the Run was last sent.
	sentAt time.Time
	// adopted is set if another entry VM started the run, or this one under an earlier lease.
	adopted bool
	// orphaned is set if no work item waits for this attempt.
	orphaned bool
	// closing is set while a Close has no outcome yet.
	closing bool
	// leaseLostAt is when the lease of the backend server was lost, zero while it is held.
	leaseLostAt time.Time
	// stopSignalledAt is when the task was signalled to stop or to checkpoint, zero if it wasn't.
	stopSignalledAt time.Time
}

// discoveredRun is an attempt that a backend server reported and that has no work item here. Epoch is the epoch of the
// lease under which it was reported.
type discoveredRun struct {
	key        runKey
	epoch      uint64
	reportedAt time.Time
}

// beginRun adds a run for the work's current attempt.
func (s *State) beginRun(w *workItem) *run {
	r := &run{
		key:  runKey{server: w.server, id: w.id(), attempt: w.attempt},
		team: w.request.team, entry: w.request.entry, shape: w.shape, sentAt: s.now,
	}
	s.addRun(r)
	return r
}

// addRun adds a run to the state and to the usage of its team.
func (s *State) addRun(r *run) {
	s.runs[r.key] = r
	s.running[r.team] = s.running[r.team].Plus(r.shape)
	s.Queue.Shares.TaskStarted(r.team, r.shape)
}

// endRun removes a run and frees its capacity. The ledger keeps the slot of a run whose backend server's lease was
// lost, because another entry VM may have adopted the task.
func (s *State) endRun(k runKey) {
	r, ok := s.runs[k]
	if !ok {
		return
	}
	delete(s.runs, k)
	s.running[r.team] = s.running[r.team].Minus(r.shape)
	s.Queue.Shares.TaskEnded(r.team, r.shape)
	if r.leaseLostAt.IsZero() {
		s.Ledger.TaskEnded(r.team)
		s.Placer.Release(k.server, reservationKey(k.id, k.attempt))
	}
}
