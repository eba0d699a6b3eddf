package dispatch

import (
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

// phase is where a request stands.
type phase uint8

const (
	phaseReading    phase = iota + 1 // the claim row is being read
	phaseStoring                     // the row of a job is being written
	phaseQueued                      // waits for a backend server
	phaseClaiming                    // the claim is being written, a slot is reserved
	phaseRunning                     // a Run is under way
	phaseForwarded                   // another entry VM has it
	phaseResolving                   // whether it started is being found out
	phaseRefusing                    // the refusal is being made certain
	phaseRecording                   // the output is being stored
	phaseBackingOff                  // waits for its next attempt
)

// work is a request that this entry VM holds.
type work struct {
	request Request
	ticket  uint64
	class   catalogue.Class
	pool    string
	shape   provider.Shape
	// idempotent is false for work that must not run twice.
	idempotent bool

	phase   phase
	attempt int
	// started is set once an attempt may have been started: from then on the request is never told as not run.
	started bool
	// ranBefore is set if an earlier attempt may have run.
	ranBefore bool
	// cancelled is set once nobody wants the answer.
	cancelled bool
	server    string
	epoch     uint64
	// sentEpoch is the epoch that the attempt was first sent under, 0 if that isn't known.
	sentEpoch uint64
	// resends counts how often the same attempt was sent again after a lost reply.
	resends int
	// claim is the claim of a non-idempotent call, claimVersion the version of its row, 0 if there is none.
	claim        claim.Claim
	claimVersion uint64
	// asked are the entry VMs that were asked about the claim.
	asked []string
	// heldSince is when the call was first kept for want of an owner of its pool.
	heldSince time.Time
	// reroutes counts how often the call was sent elsewhere after a refusal.
	reroutes int
	// pending is called at wake, if it is set.
	pending func()
	wake    time.Time
}

func (w *work) id() string { return w.request.id }

func (w *work) isCall() bool { return w.request.kind == KindCall }

// expired reports whether the caller has stopped waiting.
func (w *work) expired(now time.Time) bool {
	return !w.request.deadline.IsZero() && !now.Before(w.request.deadline)
}

// runKey names an attempt on a backend server.
type runKey struct {
	server  string
	id      string
	attempt int
}

// run is an attempt that occupies a slot, or may. It is counted against the slice of its team until it has provably
// ended.
type run struct {
	key   runKey
	team  string
	entry string
	shape provider.Shape
	// sent is when the Run was sent last.
	sent time.Time
	// adopted is set for a run that another entry VM started.
	adopted bool
	// orphan is set once no work waits for this attempt.
	orphan bool
	// closing is set while a Close is under way.
	closing bool
	// lostAt is when the lease of its backend server was lost, zero while it is held.
	lostAt time.Time
	// signalled is when the task was told to end, zero if it wasn't.
	signalled time.Time
}

// foundRun is an attempt that a backend server reported and no work here waits for, with the epoch of that report.
type foundRun struct {
	key   runKey
	epoch uint64
	at    time.Time
}

// begin counts a run.
func (s *State) begin(w *work) *run {
	r := &run{
		key:  runKey{server: w.server, id: w.id(), attempt: w.attempt},
		team: w.request.team, entry: w.request.entry, shape: w.shape, sent: s.now,
	}
	s.addRun(r)
	return r
}

func (s *State) addRun(r *run) {
	s.runs[r.key] = r
	s.running[r.team] = s.running[r.team].Plus(r.shape)
	s.Queue.Shares.TaskStarted(r.team, r.shape)
}

// end frees what a run occupied. The slot of a run whose backend server was lost stays counted in the ledger, because
// another entry VM may have adopted the run.
func (s *State) end(k runKey) {
	r, ok := s.runs[k]
	if !ok {
		return
	}
	delete(s.runs, k)
	s.running[r.team] = s.running[r.team].Minus(r.shape)
	s.Queue.Shares.TaskEnded(r.team, r.shape)
	if r.lostAt.IsZero() {
		s.Ledger.TaskEnded(r.team)
		s.Chooser.Release(k.server, taskKey(k.id, k.attempt))
	}
}
