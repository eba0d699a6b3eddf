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

// options sets the faults of a world and, for tests of the checker, switches its guards off.
type options struct {
	lossy      bool          // messages are lost, duplicated and delayed
	drift      float64       // clocks run at up to 1±drift of true time
	longer     time.Duration // guard off: grants last longer than acceptance assumes
	strangers  bool          // guard off: members answer the heartbeats of entry VMs that aren't members
	anyAuthor  bool          // guard off: an entry VM takes itself for known to all members
	unfenced   bool          // guard off: a commit isn't conditional on the row of its author
	oldMembers bool          // guard off: acknowledgements count with a member set older than the version
	blind      bool          // guard off: exchanges count whatever version they show
}

// world runs entry VMs and one table in simulated time. Its checker stores the first violation.
type world struct {
	options
	rng       *rand.Rand
	pushes    bool // whether pushed changes arrive
	fetches   bool // whether half of the versions seen in heartbeats are fetched
	start     time.Time
	clock     *timer.Manual
	vms       []*vm
	cuts      map[[2]string]time.Time // links that are cut, until when; the table is called "table"
	down      time.Time               // the table is down until
	version   uint64
	rows      map[string]bool
	inForce   uint64
	answers   int // versions that came into force
	violation string
}

type vm struct {
	w      *world
	id     string
	rate   float64
	offset time.Duration
	grant  freshness.Grant
	accept freshness.Acceptance
	held   uint64
	read   time.Time // send time of the last read handled
	pause  time.Time
	inbox  []func()
	dead   bool
	left   bool
	forced uint64
}

func newWorld(n int, o options, seed uint64) *world {
	start := time.Unix(1e6, 0)
	w := &world{
		options: o, rng: rand.New(rand.NewPCG(seed, 3)), start: start, clock: timer.NewManual(start),
		cuts: map[[2]string]time.Time{}, rows: map[string]bool{},
	}
	w.pushes, w.fetches = w.rng.IntN(2) == 0, w.rng.IntN(2) == 0
	for range n {
		w.join()
	}
	w.clock.Every(50*time.Millisecond, func(time.Time) { w.check() })
	return w
}

func (w *world) join() {
	id := "e" + strconv.Itoa(len(w.vms))
	v := &vm{w: w, id: id, rate: 1 + w.drift*(2*w.rng.Float64()-1), offset: time.Duration(w.rng.Int64N(int64(time.Hour)))}
	v.grant = freshness.Grant{Self: id, Duration: freshness.DefaultDuration + w.longer}
	v.accept = freshness.Acceptance{Self: id, Duration: freshness.DefaultDuration, Guard: freshness.DefaultGuard}
	w.vms = append(w.vms, v)
	w.clock.After(time.Duration(w.rng.Int64N(int64(time.Second))), func(time.Time) {
		w.clock.Every(500*time.Millisecond, func(time.Time) { v.do(v.readTable) })
		w.clock.Every(time.Second, func(time.Time) { v.do(v.heartbeats) })
	})
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("%v: ", w.clock.Now().Sub(w.start)) + fmt.Sprintf(format, args...)
	}
}

// check asks every entry VM for the state of every version, and then looks for a fresh entry VM below a version that
// is or was in force. Paused entry VMs don't answer, but may be about to start work.
func (w *world) check() {
	for _, v := range w.vms {
		if !v.dead && !w.clock.Now().Before(v.pause) {
			v.answer()
		}
	}
	for _, v := range w.vms {
		if !v.dead && v.held < w.inForce && v.grant.Fresh(v.now()) {
			w.fail("%s is fresh with version %d while %d is in force", v.id, v.held, w.inForce)
		}
	}
}

func (v *vm) answer() {
	for n := v.forced + 1; n <= v.w.version; n++ {
		if _, ok := v.accept.Status(n, v.now()).(freshness.InForce); ok {
			v.forced = n
			v.w.answers++
		}
	}
	v.w.inForce = max(v.w.inForce, v.forced)
	if _, ok := v.accept.Status(v.forced, v.now()).(freshness.InForce); !ok && v.forced > 0 {
		v.w.fail("%s takes back that version %d is in force", v.id, v.forced)
	}
}

func (w *world) after(d time.Duration, fn func()) { w.clock.After(d, func(time.Time) { fn() }) }

func link(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (w *world) cut(a, b string) bool {
	return w.clock.Now().Before(w.cuts[link(a, b)]) || ((a == "table" || b == "table") && w.clock.Now().Before(w.down))
}

func (w *world) send(from, to string, fn func()) {
	if w.cut(from, to) || (w.lossy && w.rng.IntN(30) == 0) {
		return
	}
	copies := 1
	if w.lossy && w.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := time.Duration(1+w.rng.IntN(3)) * time.Millisecond
		if w.lossy && w.rng.IntN(10) == 0 {
			d += time.Duration(w.rng.IntN(8000)) * time.Millisecond
		}
		w.after(d, func() {
			if !w.cut(from, to) {
				fn()
			}
		})
	}
}

func (v *vm) now() time.Time {
	return v.w.start.Add(v.offset + time.Duration(float64(v.w.clock.Now().Sub(v.w.start))*v.rate))
}

// do runs fn on the control goroutine, which handles nothing while paused and everything queued afterwards.
func (v *vm) do(fn func()) {
	switch {
	case v.dead:
	case v.w.clock.Now().Before(v.pause):
		v.inbox = append(v.inbox, fn)
	default:
		fn()
	}
}

func (v *vm) resume() {
	if v.w.clock.Now().Before(v.pause) {
		return
	}
	queued := v.inbox
	v.inbox = nil
	for _, fn := range queued {
		v.do(fn)
	}
}

func (v *vm) apply(version uint64) {
	if version <= v.held {
		return
	}
	v.held = version
	v.grant.Holds(version)
	v.accept.Learned(version, v.now())
	if v.grant.Version() != version {
		v.w.fail("%s grants for version %d, holds %d", v.id, v.grant.Version(), version)
	}
}

func (v *vm) mayRelay() bool { return v.accept.MayAuthor(v.now()) }

// readTable reads the configuration and the members, and writes the own row if it is missing.
func (v *vm) readTable() {
	sent := v.now()
	v.w.send(v.id, "table", func() {
		if !v.left {
			v.w.rows[v.id] = true
		}
		version, members := v.w.version, slices.Collect(maps.Keys(v.w.rows))
		v.w.send("table", v.id, func() { v.do(func() { v.tableRead(sent, version, members) }) })
	})
}

func (v *vm) tableRead(sent time.Time, version uint64, members []string) {
	if sent.Before(v.read) {
		return
	}
	v.read = sent
	v.apply(version)
	v.grant.TableRead(sent, version, members)
	if v.w.oldMembers {
		version = math.MaxUint64
	}
	v.accept.SetMembers(members, version, v.now())
	if v.w.anyAuthor {
		for _, m := range members {
			v.accept.Recognized(m, v.now())
		}
	}
}

// commit writes a configuration change and pushes it. The table accepts it if the row of the author exists.
func (v *vm) commit() {
	if !v.mayRelay() {
		return
	}
	v.w.send(v.id, "table", func() {
		if !v.w.rows[v.id] && !v.w.unfenced {
			return
		}
		v.w.version++
		version := v.w.version
		v.w.send("table", v.id, func() { v.do(func() { v.push(version) }) })
	})
}

func (v *vm) push(version uint64) {
	v.apply(version)
	if !v.mayRelay() || !v.w.pushes {
		return
	}
	for _, m := range v.grant.Members() {
		q := v.w.find(m)
		v.w.send(v.id, q.id, func() {
			q.do(func() {
				q.apply(version)
				held := q.held
				v.w.send(q.id, v.id, func() { v.do(func() { v.accept.Acknowledged(q.id, held) }) })
			})
		})
	}
}

func (v *vm) heartbeats() {
	for _, m := range v.grant.Members() {
		if m != v.id {
			v.heartbeat(v.w.find(m))
		}
	}
}

func (v *vm) heartbeat(q *vm) {
	sent, held := v.now(), v.held
	v.w.send(v.id, q.id, func() {
		q.do(func() {
			q.accept.Acknowledged(v.id, held)
			version, relay := q.held, q.mayRelay()
			known := q.grant.Recognizes(v.id)
			v.w.send(q.id, v.id, func() { v.do(func() { v.exchanged(q.id, sent, version, known, relay) }) })
		})
	})
}

func (v *vm) exchanged(q string, sent time.Time, version uint64, known, relay bool) {
	v.accept.Acknowledged(q, version)
	if known {
		v.accept.Recognized(q, v.now())
	}
	if known || v.w.strangers {
		seen := version
		if v.w.blind {
			seen = 0
		}
		v.grant.Exchanged(q, sent, seen)
	}
	if relay && v.w.fetches && v.w.rng.IntN(2) == 0 {
		v.apply(version)
	}
}

func (w *world) find(id string) *vm {
	return w.vms[slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == id })]
}
