package fleet

import (
	"time"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/schedule"
	"github.com/pistachiolead/pistachiolead/workload"
)

// server is what the controller knows of a backend server. It is kept without a registration for as long as runs may
// exist on the server.
type server struct {
	id          string
	reg         backend.Registration
	registered  bool
	incarnation int64
	knownSince  time.Time // when the controller learned of the incarnation
	token       uint64    // fencing token of the latest requests, or 0 if none was sent in this term
	needsToken  bool      // requests need a higher token, as those to an earlier incarnation may still be carried out
	ackToken    uint64    // token of the latest poll in this term that acknowledged ends of runs, or 0 if none did
	returned    bool      // requests to an earlier incarnation may reach this one, until it is confirmed

	confirmed   bool          // it has responded to a poll with this term's token since it last restarted
	confirmedAt time.Time     // when confirmed was set
	clock       time.Duration // the server's clock in its latest report
	clockAt     time.Time     // when the report with clock was received
	clockAfter  time.Time     // when the poll for that report was sent
	hasClock    bool
	leaseUntil  time.Duration // the latest lease expiry that was sent to it, by its clock
	expiresAt   time.Time     // when all runs started so far have certainly ended, by this entry VM's clock

	pollInFlight bool
	pollSequence uint64
	pollToken    uint64
	pollSentAt   time.Time
	nextPollAt   time.Time
	pollIndex    int // in State.polls, or notQueued
	failedPolls  int // consecutive failed polls

	lastEndReceived     int64     // number of the last end of a run that was received
	lastEndStored       int64     // number of the last end of a run that is stored
	allReportedAfter    time.Time // when the poll was sent for the latest report that had room for all ends of runs
	attempts            map[backend.Run]*attempt
	longRunning         int // number of attempts of long-running tasks
	bestEffort          int // number of attempts of best-effort tasks
	isolatedRuns        int // number of isolated attempts
	reserved            workload.Resources
	hasOrphans          bool                      // the last report listed runs that aren't recorded, whose resources are in use
	orphans             map[backend.Run]time.Time // runs that aren't recorded, with the time of the last stop request
	lateStarts          lateStarts
	consecutiveFailures int
	cooldownUntil       time.Time // gets no new runs before that (failureCooldown, refusalCooldown)
	cordoned            bool      // gets no new runs, as it is about to be maintained or moved
	retired             bool      // the platform ends this incarnation, or has ended it
	retiredAt           time.Time // when the platform accepted a request for its VM, until it reports again
	down                bool      // its VM doesn't run it any more; until it registers with a new incarnation or reports
	vmRemoved           bool      // the platform has removed its VM, so that it doesn't return; until it registers or reports
	aliveAt             time.Time // last sign that the server was running: a report, a response or a new registration
	releasing           bool      // gets no new runs, as another pool needs its VM
	maintenanceDue      bool      // its maintenance is due, so it gets only runs that fit on no other server
	idleSince           time.Time
	paceSetAt           time.Time // when the pace of a best-effort task was last set
	speed               serverSpeed
	awaitedRuns         []otherRun // until these are decided, no ends of runs are acknowledged
}

// formerServer is a server that was dropped, and the token of the last requests to it.
type formerServer struct {
	droppedAt time.Time
	token     uint64
}

func newServer(id string) *server {
	return &server{
		id: id, pollIndex: notQueued, attempts: make(map[backend.Run]*attempt), orphans: make(map[backend.Run]time.Time),
		speed: serverSpeed{value: schedule.NormalSpeed},
	}
}

func (v *server) target() backend.Target {
	return backend.Target{ID: v.id, Address: v.reg.Address, Incarnation: v.incarnation}
}

// clockNow estimates the current time of the server's clock.
func (v *server) clockNow(now time.Time) time.Duration { return v.clock + now.Sub(v.clockAt) }

// latestClock returns the highest time that the clock of the server's incarnation can show at the given time.
func (v *server) latestClock(now time.Time) time.Duration {
	return v.clock + now.Sub(v.clockAfter) + clockRounding
}

// extendExpiry sets expiresAt to when the granted lease has expired even on the slowest clock. It doesn't move
// expiresAt back, as a lease that an earlier controller granted may expire later.
func (v *server) extendExpiry() {
	left := max(v.leaseUntil-v.clock, 0)
	expires := v.clockAt.Add(onSlowestClock(left) + leaseMargin)
	if expires.After(v.expiresAt) {
		v.expiresAt = expires
	}
}

// expectRequestsToEarlierIncarnation takes into account that requests to an earlier incarnation may have reached this one until
// now. Their lease expiries are by the clock of the earlier one, and so the server may hold its longest lease.
func (v *server) expectRequestsToEarlierIncarnation(maxLease time.Duration) {
	v.leaseUntil = max(v.leaseUntil, v.clock+maxLease)
	v.extendExpiry()
}

// ranAt reports whether the server's incarnation had certainly started at the given time: the controller knew of it, or it is old
// enough by the time of day of the server. The server's clock doesn't tell, as it starts at any value.
func (v *server) ranAt(t time.Time) bool {
	return v.incarnation != 0 && (v.knownSince.Before(t) || !v.mayBeYoungerThan(t))
}

// mayBeYoungerThan reports whether the server's incarnation may have started after the given time, by the time of day of the server.
func (v *server) mayBeYoungerThan(t time.Time) bool { return mayHaveStartedAfter(v.incarnation, t) }

func mayHaveStartedAfter(incarnation int64, t time.Time) bool {
	return incarnation > t.Add(-maxTimeOfDaySkew).UnixMilli()
}

// setIncarnation records the server's present incarnation.
func (v *server) setIncarnation(incarnation int64, now time.Time) {
	v.incarnation, v.knownSince = incarnation, now
}

// onSlowestClock converts a duration by a server's clock to the longest time that it can take by an exact clock.
func onSlowestClock(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// unresponsive reports whether the server didn't respond to the last poll, or hasn't responded yet in this term or
// since its restart. The runs of a responsive server are known from its reports.
func (v *server) unresponsive() bool { return v.failedPolls > 0 || !v.confirmed }

// capacityKnown reports whether the registration is of the server's present incarnation. The next incarnation may be smaller.
func (v *server) capacityKnown() bool { return v.reg.Incarnation >= v.incarnation }

// usable reports whether new runs may be placed on the server.
func (v *server) usable(now time.Time) bool {
	return v.registered && v.capacityKnown() && v.confirmed && !v.retired && !v.down && !v.hasOrphans && v.hasClock && v.failedPolls == 0 && !v.reg.Draining &&
		!now.Before(v.cooldownUntil)
}
