package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	zone  = "za"
	lease = 6 * time.Second
)

// options selects the faults of a simulation and, for tests of the checker, switches guards off.
type options struct {
	lossy            bool          // messages are lost, duplicated and delayed while faultsActive is set
	drift            float64       // each clock runs at a constant rate within 1±drift of true time
	leaseFromReceipt bool          // guard off: leases are counted from the receipt of the grant
	acceptAnyEpoch   bool          // guard off: servers accept starts with any epoch
	checksOff        bool          // no checks, for measurements
	maxDelay         time.Duration // upper bound of the delay of a message
}

// simulation runs entry VMs and backend servers in simulated time. It keeps the first violation that its checks find.
type simulation struct {
	options
	rng          *rand.Rand
	clock        *timer.Manual
	entryVMs     []*entryVM
	servers      []*backend
	cuts         map[[2]string]time.Duration // end of the interruption of each link between two ids
	faultsEnd    time.Duration               // when the last fault has ended and the last delayed message has arrived
	faultsActive bool
	lastOwned    map[string]time.Duration // last time at which each server had an owner that may start work
	violation    string
}

// backend is a backend server that follows the lease rules of design 5.2.
type backend struct {
	sim        *simulation
	id         string
	clockRate  float64
	firstEpoch uint64 // first epoch of this incarnation
	grants     uint64
	holder     string
	epoch      uint64
	leaseEnd   time.Time
}

// entryVM is the ownership and membership state of one entry VM.
type entryVM struct {
	sim           *simulation
	id            string
	clockRate     float64
	clockOffset   time.Duration
	ownership     ownership.State
	members       membership.State
	liveInZone    []string
	pausedUntil   time.Duration // true time until which no events are handled
	queued        []func()
	stopped       bool
	leaving       bool
	handoverTimes []time.Time // send times of releases for handovers
	// releases has the time of the last release of each server.
	releases       map[string]time.Duration
	releasedEpochs map[string]uint64    // last released epoch, by server
	inFlightSince  map[string]time.Time // send time of the acquire or report in flight, by server
}

func newSimulation(procs, servers int, o options, seed uint64) *simulation {
	s := &simulation{
		options: o, rng: rand.New(rand.NewPCG(seed, 7)), cuts: map[[2]string]time.Duration{},
		lastOwned: map[string]time.Duration{}, faultsActive: o.lossy, clock: timer.NewManual(time.Unix(0, 0)),
	}
	for i := range servers {
		b := &backend{sim: s, id: "s" + strconv.Itoa(i), clockRate: s.clockRate()}
		b.restart()
		s.servers = append(s.servers, b)
	}
	for range procs {
		s.addEntryVM()
	}
	return s
}

func (s *simulation) clockRate() float64 { return 1 + s.drift*(2*s.rng.Float64()-1) }

func (s *simulation) addEntryVM() {
	id := "e" + strconv.Itoa(len(s.entryVMs))
	p := &entryVM{
		sim: s, id: id, clockRate: s.clockRate(), clockOffset: time.Duration(s.rng.Int64N(int64(time.Hour))),
		ownership: ownership.State{EntryVM: id, Zone: zone}, members: membership.State{EntryVM: id, Zone: zone},
		inFlightSince: map[string]time.Time{},
		releases:      map[string]time.Duration{}, releasedEpochs: map[string]uint64{},
	}
	s.entryVMs = append(s.entryVMs, p)
	phase := time.Duration(s.rng.Int64N(int64(ownership.TickInterval)))
	s.after(phase, func() { p.repeat(time.Second, p.listVMs) })
	s.after(phase, func() { p.repeat(ownership.TickInterval, p.tick) })
}

func (s *simulation) after(d time.Duration, fn func()) { s.clock.After(d, func(time.Time) { fn() }) }

// now returns true time.
func (s *simulation) now() time.Duration { return s.clock.Now().Sub(time.Unix(0, 0)) }

// run advances true time to until, or to the first violation.
func (s *simulation) run(until time.Duration) {
	for s.violation == "" && s.now() < until {
		s.clock.Advance(min(until-s.now(), time.Second))
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%v: ", s.now()) + fmt.Sprintf(format, args...)
	}
}

// check reports servers on which two entry VMs may start work. It runs after each event that an entry VM handles,
// because the passing of time only ends the permission. Paused entry VMs count. Leases granted before a restart of
// the server don't, because the server rejects their epochs.
func (s *simulation) check() {
	for _, b := range s.servers {
		var may []string
		for _, p := range s.entryVMs {
			epoch, ok := p.ownership.MayStart(b.id, p.clock())
			if ok && !p.stopped && epoch > b.firstEpoch {
				may = append(may, p.id)
			}
		}
		if len(may) > 1 {
			s.fail("%v may start work on %s", may, b.id)
		}
		if len(may) == 1 {
			s.lastOwned[b.id] = s.now()
		}
	}
}

func (s *simulation) isCut(a, b string) bool {
	if a > b {
		a, b = b, a
	}
	return s.now() < s.cuts[[2]string{a, b}]
}

func (s *simulation) send(from, to string, fn func()) {
	if s.isCut(from, to) || (s.faultsActive && s.rng.IntN(30) == 0) {
		return
	}
	copies := 1
	if s.faultsActive && s.rng.IntN(20) == 0 {
		copies = 2
	}
	for range copies {
		d := time.Duration(1+s.rng.IntN(3)) * time.Millisecond
		if s.faultsActive && s.rng.IntN(10) == 0 {
			d += time.Duration(s.rng.Int64N(int64(s.maxDelay)))
			s.faultsEnd = max(s.faultsEnd, s.now()+d)
		}
		s.after(d, func() {
			if !s.isCut(from, to) {
				fn()
			}
		})
	}
}

func (b *backend) restart() {
	b.firstEpoch = uint64(b.sim.now().Milliseconds()+1) << 20
	b.grants, b.holder, b.epoch = 0, "", 0
}

func (b *backend) clock() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(b.sim.now()) * b.clockRate))
}

func (b *backend) current(epoch uint64) bool {
	return b.holder != "" && epoch == b.epoch && b.clock().Before(b.leaseEnd)
}

func (b *backend) acquire(holder string) provider.AcquireOutcome {
	now := b.clock()
	if b.holder != "" && b.holder != holder && now.Before(b.leaseEnd) {
		return provider.NewHeld(b.holder, b.leaseEnd.Sub(now))
	}
	b.grants++
	b.holder, b.epoch, b.leaseEnd = holder, b.firstEpoch+b.grants, now.Add(lease)
	return provider.NewGranted(b.epoch, lease, nil)
}

func (b *backend) report(epoch uint64) provider.ReportOutcome {
	if !b.current(epoch) {
		return provider.StaleEpoch{}
	}
	b.leaseEnd = b.clock().Add(lease)
	return provider.NewReport(provider.Shape{}, nil)
}

func (b *backend) release(epoch uint64) provider.ReleaseOutcome {
	if !b.current(epoch) {
		return provider.StaleEpoch{}
	}
	b.holder = ""
	return provider.Released{}
}

// acceptStart handles a start message. Whether accepting it is correct is checked against the lease, independently of
// the fencing by epoch.
func (b *backend) acceptStart(epoch uint64) {
	if accepted := b.sim.acceptAnyEpoch || b.current(epoch); accepted && !b.current(epoch) {
		b.sim.fail("%s accepted a start with epoch %d, current is %d of %q", b.id, epoch, b.epoch, b.holder)
	}
}

func (p *entryVM) clock() time.Time {
	return time.Unix(1e6, 0).Add(p.clockOffset + time.Duration(float64(p.sim.now())*p.clockRate))
}

// runOrQueue runs fn, or queues it until the end of the pause if the entry VM is paused.
func (p *entryVM) runOrQueue(fn func()) {
	switch {
	case p.stopped:
	case p.sim.now() < p.pausedUntil:
		p.queued = append(p.queued, fn)
	default:
		fn()
	}
}

func (p *entryVM) resume() {
	if p.sim.now() < p.pausedUntil {
		return
	}
	queued := p.queued
	p.queued = nil
	for _, fn := range queued {
		p.runOrQueue(fn)
	}
}

func (p *entryVM) repeat(d time.Duration, fn func()) {
	if p.stopped {
		return
	}
	p.runOrQueue(fn)
	p.sim.after(d, func() { p.repeat(d, fn) })
}

func (p *entryVM) listVMs() {
	var vms, servers []provider.VM
	for _, q := range p.sim.entryVMs {
		if !q.stopped {
			vms = append(vms, provider.NewVM(q.id, provider.RoleEntryVM, zone, "", q.id+":1", provider.Shape{}, q.leaving))
		}
	}
	for _, b := range p.sim.servers {
		servers = append(servers, provider.NewVM(b.id, provider.RoleBackendServer, zone, "", b.id, provider.Shape{}, false))
	}
	p.handleMembership(membership.NewVMsListed(vms))
	p.handle(ownership.NewServersListed(servers))
}

func (p *entryVM) tick() {
	p.handleMembership(membership.NewTick())
	p.handle(ownership.NewTick())
	if p.sim.checksOff {
		return
	}
	for _, b := range p.sim.servers {
		if epoch, ok := p.ownership.MayStart(b.id, p.clock()); ok {
			p.sim.send(p.id, b.id, func() { b.acceptStart(epoch) })
		}
	}
}

func (p *entryVM) handleMembership(e membership.Event) {
	for _, f := range p.members.Handle(e, p.clock()) {
		if h, ok := f.(membership.SendHeartbeat); ok {
			p.heartbeat(h.Peer())
		}
	}
	if live := p.members.LiveInZone(zone); !slices.Equal(live, p.liveInZone) {
		p.liveInZone = live
		p.handle(ownership.NewMembersChanged(live))
	}
}

func (p *entryVM) heartbeat(peer string) {
	sent := p.clock()
	i := slices.IndexFunc(p.sim.entryVMs, func(q *entryVM) bool { return q.id == peer })
	q := p.sim.entryVMs[i]
	p.sim.send(p.id, q.id, func() {
		q.runOrQueue(func() {
			q.handleMembership(membership.NewHeartbeatReceived(p.id))
			p.sim.send(q.id, p.id, func() {
				p.runOrQueue(func() { p.handleMembership(membership.NewHeartbeatEnded(peer, true, sent)) })
			})
		})
	})
}

func (p *entryVM) handle(e ownership.Event) {
	effects := p.ownership.Handle(e, p.clock())
	if !p.sim.checksOff {
		p.sim.check()
	}
	for _, f := range effects {
		switch f := f.(type) {
		case ownership.Acquire:
			p.checkSingleRequest(f.Server())
			p.call(f.Server(), func(b *backend) any { return b.acquire(p.id) }, func(sent time.Time, out any) ownership.Event {
				return ownership.NewAcquireEnded(f.Server(), sent, out.(provider.AcquireOutcome))
			})
		case ownership.Report:
			p.checkSingleRequest(f.Server())
			p.call(f.Server(), func(b *backend) any { return b.report(f.Epoch()) },
				func(sent time.Time, out any) ownership.Event {
					return ownership.NewReportEnded(f.Server(), f.Epoch(), sent, out.(provider.ReportOutcome))
				})
		case ownership.Release:
			p.checkHandoverRate(f)
			p.releases[f.Server()] = p.sim.now()
			p.call(f.Server(), func(b *backend) any { return b.release(f.Epoch()) }, func(_ time.Time, out any) ownership.Event {
				return ownership.NewReleaseEnded(f.Server(), f.Epoch(), out.(provider.ReleaseOutcome))
			})
		}
	}
}

// checkSingleRequest checks that no other acquire or report to the server that is younger than RequestTimeout is in
// flight.
func (p *entryVM) checkSingleRequest(server string) {
	if sent, ok := p.inFlightSince[server]; ok && p.clock().Sub(sent) < ownership.RequestTimeout {
		p.sim.fail("%s sends a second request to %s", p.id, server)
	}
	p.inFlightSince[server] = p.clock()
}

// checkHandoverRate checks the limit of 2 handovers a second. Releases at a planned stop and repeated releases are
// exempt.
func (p *entryVM) checkHandoverRate(r ownership.Release) {
	if p.leaving || p.releasedEpochs[r.Server()] == r.Epoch() {
		return
	}
	p.releasedEpochs[r.Server()] = r.Epoch()
	p.handoverTimes = append(p.handoverTimes, p.clock())
	if n := len(p.handoverTimes); n > 2 && p.handoverTimes[n-1].Sub(p.handoverTimes[n-3]) < time.Second {
		p.sim.fail("%s hands over more than 2 servers a second", p.id)
	}
}

// call sends a request to a server. If there is no response within RequestTimeout (1 s) the outcome is Unknown; a
// late response is passed on as well.
func (p *entryVM) call(server string, ask func(*backend) any, done func(time.Time, any) ownership.Event) {
	b := p.sim.servers[slices.IndexFunc(p.sim.servers, func(b *backend) bool { return b.id == server })]
	sent, ended := p.clock(), false
	end := func(out any) {
		if p.inFlightSince[server].Equal(sent) {
			delete(p.inFlightSince, server)
		}
		ended = true
		if p.sim.leaseFromReceipt {
			sent = p.clock()
		}
		p.handle(done(sent, out))
	}
	p.sim.send(p.id, b.id, func() {
		out := ask(b)
		p.sim.send(b.id, p.id, func() { p.runOrQueue(func() { end(out) }) })
	})
	p.sim.after(ownership.RequestTimeout, func() {
		p.runOrQueue(func() {
			if !ended {
				end(provider.NewOutcomeUnknown("time-out"))
			}
		})
	})
}

func (p *entryVM) peerLeaving(id string) { p.handleMembership(membership.NewPeerDraining(id)) }
