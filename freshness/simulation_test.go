package freshness_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/timer"
)

// options selects the faults of a simulation and, for tests of the checker, switches guards off.
type options struct {
	lossy                  bool          // messages are lost, duplicated and delayed
	drift                  float64       // each clock runs at a constant rate within 1±drift of true time
	extraLease             time.Duration // guard off: leases last longer than Propagation assumes
	answerNonMembers       bool          // guard off: answers to heartbeats of non-members renew their leases
	publishUnrecognized    bool          // guard off: an entry VM publishes before all members have recognized it
	unconditionalCommit    bool          // guard off: a commit isn't conditional on the row of the entry VM that sends it
	staleMembers           bool          // guard off: acknowledgements suffice with a member set older than the version
	ignoreHeartbeatVersion bool          // guard off: answers renew the lease whatever their version
}

// simulation runs entry VMs and one table in simulated time. It keeps the first violation that its checks find.
type simulation struct {
	options
	rng             *rand.Rand
	deliversPushes  bool // whether changes are pushed
	fetchesVersions bool // whether half of the versions seen in heartbeats are fetched
	start           time.Time
	clock           *timer.Manual
	vms             []*entryVM
	cuts            map[[2]string]time.Time // end of the interruption of each link; the id of the table is "table"
	tableDownUntil  time.Time               // the table is unavailable until then
	version         uint64
	rows            map[string]bool
	inForce         uint64
	inForceReports  int // number of versions reported as in force
	violation       string
}

type entryVM struct {
	sim          *simulation
	id           string
	clockRate    float64
	clockOffset  time.Duration
	lease        freshness.Lease
	propagation  freshness.Propagation
	version      uint64
	lastReadSent time.Time // send time of the last handled read
	pausedUntil  time.Time
	queued       []func()
	stopped      bool
	removed      bool
	inForce      uint64
}

func newSimulation(n int, o options, seed uint64) *simulation {
	start := time.Unix(1e6, 0)
	s := &simulation{
		options: o, rng: rand.New(rand.NewPCG(seed, 3)), start: start, clock: timer.NewManual(start),
		cuts: map[[2]string]time.Time{}, rows: map[string]bool{},
	}
	s.deliversPushes, s.fetchesVersions = s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	for range n {
		s.join()
	}
	s.clock.Every(50*time.Millisecond, func(time.Time) { s.check() })
	return s
}

func (s *simulation) join() {
	id := "e" + strconv.Itoa(len(s.vms))
	v := &entryVM{
		sim: s, id: id, clockRate: 1 + s.drift*(2*s.rng.Float64()-1),
		clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
	}
	v.lease = freshness.Lease{EntryVM: id, Duration: freshness.DefaultLeaseDuration + s.extraLease}
	v.propagation = freshness.Propagation{
		EntryVM: id, LeaseDuration: freshness.DefaultLeaseDuration, GuardInterval: freshness.DefaultGuardInterval,
	}
	s.vms = append(s.vms, v)
	s.clock.After(time.Duration(s.rng.Int64N(int64(time.Second))), func(time.Time) {
		s.clock.Every(500*time.Millisecond, func(time.Time) { v.runOrQueue(v.readTable) })
		s.clock.Every(time.Second, func(time.Time) { v.runOrQueue(v.heartbeats) })
	})
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%v: ", s.clock.Now().Sub(s.start)) + fmt.Sprintf(format, args...)
	}
}

// check asks every entry VM for the status of every version, and then reports each fresh entry VM that has a lower
// version than one that is or was in force. Paused entry VMs report no status, but may be about to start work.
func (s *simulation) check() {
	for _, v := range s.vms {
		if !v.stopped && !s.clock.Now().Before(v.pausedUntil) {
			v.checkStatus()
		}
	}
	for _, v := range s.vms {
		if !v.stopped && v.version < s.inForce && v.lease.Fresh(v.now()) {
			s.reportViolation("%s is fresh with version %d while %d is in force", v.id, v.version, s.inForce)
		}
	}
}

func (v *entryVM) checkStatus() {
	for n := v.inForce + 1; n <= v.sim.version; n++ {
		if _, ok := v.propagation.Status(n, v.now()).(freshness.InForce); ok {
			v.inForce = n
			v.sim.inForceReports++
		}
	}
	v.sim.inForce = max(v.sim.inForce, v.inForce)
	if _, ok := v.propagation.Status(v.inForce, v.now()).(freshness.InForce); !ok && v.inForce > 0 {
		v.sim.reportViolation("%s no longer reports version %d as in force", v.id, v.inForce)
	}
}

func (s *simulation) after(d time.Duration, fn func()) { s.clock.After(d, func(time.Time) { fn() }) }

func link(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (s *simulation) isCut(a, b string) bool {
	return s.clock.Now().Before(s.cuts[link(a, b)]) ||
		((a == "table" || b == "table") && s.clock.Now().Before(s.tableDownUntil))
}

func (s *simulation) send(from, to string, fn func()) {
	if s.isCut(from, to) || (s.lossy && s.rng.IntN(30) == 0) {
		return
	}
	copies := 1
	if s.lossy && s.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := time.Duration(1+s.rng.IntN(3)) * time.Millisecond
		if s.lossy && s.rng.IntN(10) == 0 {
			d += time.Duration(s.rng.IntN(8000)) * time.Millisecond
		}
		s.after(d, func() {
			if !s.isCut(from, to) {
				fn()
			}
		})
	}
}

func (v *entryVM) now() time.Time {
	return v.sim.start.Add(v.clockOffset + time.Duration(float64(v.sim.clock.Now().Sub(v.sim.start))*v.clockRate))
}

// runOrQueue runs fn, or queues it until the end of the pause if the entry VM is paused.
func (v *entryVM) runOrQueue(fn func()) {
	switch {
	case v.stopped:
	case v.sim.clock.Now().Before(v.pausedUntil):
		v.queued = append(v.queued, fn)
	default:
		fn()
	}
}

func (v *entryVM) resume() {
	if v.sim.clock.Now().Before(v.pausedUntil) {
		return
	}
	queued := v.queued
	v.queued = nil
	for _, fn := range queued {
		v.runOrQueue(fn)
	}
}

func (v *entryVM) apply(version uint64) {
	if version <= v.version {
		return
	}
	v.version = version
	v.lease.Applied(version)
	v.propagation.Applied(version, v.now())
	if v.lease.Version() != version {
		v.sim.reportViolation("%s has a lease on version %d but has applied %d", v.id, v.lease.Version(), version)
	}
}

func (v *entryVM) mayPublish() bool { return v.propagation.MayPublish(v.now()) }

// readTable reads the configuration and the members, and writes the row of the entry VM if it is missing.
func (v *entryVM) readTable() {
	sent := v.now()
	v.sim.send(v.id, "table", func() {
		if !v.removed {
			v.sim.rows[v.id] = true
		}
		version, members := v.sim.version, slices.Collect(maps.Keys(v.sim.rows))
		v.sim.send("table", v.id, func() { v.runOrQueue(func() { v.tableRead(sent, version, members) }) })
	})
}

func (v *entryVM) tableRead(sent time.Time, version uint64, members []string) {
	if sent.Before(v.lastReadSent) {
		return
	}
	v.lastReadSent = sent
	v.apply(version)
	v.lease.TableRead(sent, version, members)
	if v.sim.staleMembers {
		version = math.MaxUint64
	}
	v.propagation.SetMembers(members, version, v.now())
	if v.sim.publishUnrecognized {
		for _, m := range members {
			v.propagation.Recognized(m, v.now())
		}
	}
}

// commit commits a configuration change and pushes it. The table accepts it only if the row of the entry VM exists.
func (v *entryVM) commit() {
	if !v.mayPublish() {
		return
	}
	v.sim.send(v.id, "table", func() {
		if !v.sim.rows[v.id] && !v.sim.unconditionalCommit {
			return
		}
		v.sim.version++
		version := v.sim.version
		v.sim.send("table", v.id, func() { v.runOrQueue(func() { v.push(version) }) })
	})
}

func (v *entryVM) push(version uint64) {
	v.apply(version)
	if !v.mayPublish() || !v.sim.deliversPushes {
		return
	}
	for _, m := range v.lease.Members() {
		q := v.sim.find(m)
		v.sim.send(v.id, q.id, func() {
			q.runOrQueue(func() {
				q.apply(version)
				applied := q.version
				v.sim.send(q.id, v.id, func() { v.runOrQueue(func() { v.propagation.Acknowledged(q.id, applied) }) })
			})
		})
	}
}

func (v *entryVM) heartbeats() {
	for _, m := range v.lease.Members() {
		if m != v.id {
			v.heartbeat(v.sim.find(m))
		}
	}
}

func (v *entryVM) heartbeat(q *entryVM) {
	sent, applied := v.now(), v.version
	v.sim.send(v.id, q.id, func() {
		q.runOrQueue(func() {
			q.propagation.Acknowledged(v.id, applied)
			version, relay := q.version, q.mayPublish()
			known := q.lease.Recognizes(v.id)
			v.sim.send(q.id, v.id, func() { v.runOrQueue(func() { v.heartbeatAnswered(q.id, sent, version, known, relay) }) })
		})
	})
}

func (v *entryVM) heartbeatAnswered(q string, sent time.Time, version uint64, known, relay bool) {
	v.propagation.Acknowledged(q, version)
	if known {
		v.propagation.Recognized(q, v.now())
	}
	if known || v.sim.answerNonMembers {
		seen := version
		if v.sim.ignoreHeartbeatVersion {
			seen = 0
		}
		v.lease.HeartbeatReplied(q, sent, seen)
	}
	if relay && v.sim.fetchesVersions && v.sim.rng.IntN(2) == 0 {
		v.apply(version)
	}
}

func (s *simulation) find(id string) *entryVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *entryVM) bool { return v.id == id })]
}
