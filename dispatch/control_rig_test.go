package dispatch_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/quota"
	"github.com/pistachiolead/pistachiolead/retry"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	controlZones = 5 // R26
	selfID       = "entry-0"
	// callTime and jobTime are how long tasks run.
	callTime, jobTime = 100 * time.Millisecond, 10 * time.Second
	// messageHeaders estimates the HTTP headers of one direction of a request to the platform or a backend server.
	messageHeaders = 150
)

// controlSize is the size of a fleet and the load, per second, that one of its entry VMs receives. Backlog is the
// number of unfinished jobs of other holders.
type controlSize struct {
	servers, pools, teams, entries int
	calls, jobs, backlog           int
}

// controlRig drives one control state through fake time and answers its effects at once, but Run after the time that
// the task takes. Only the calls of the control state are measured.
type controlRig struct {
	size     controlSize
	state    *dispatch.State
	clock    *timer.Manual
	platform *standin.Platform
	listed   provider.VMs
	listSize float64
	filled   bool // whether backend servers are granted to this entry VM
	events   []dispatch.Event
	ends     map[int64][]provider.TaskStatus // by time in units of the tick
	runs     map[string]dispatch.Run
	running  map[string]map[string]provider.TaskStatus
	peers    []*benchPeer
	keys     []string
	round    int
	deadline time.Time // of the requests, zero for the default
	calls    int

	started        time.Duration // processor time of the first 20 s, in which the backend servers are acquired
	exact          bool          // measures allocations, at the cost of time
	spent          time.Duration
	objects        uint64
	counts         map[string]float64
	sent, received map[string]float64
	commits        uint64
}

// benchPeer is another entry VM: what it tells, and both directions of the two exchanges of heartbeats with it.
type benchPeer struct {
	id      string
	asking  link // heartbeats of the measured entry VM, and the replies
	asked   link // heartbeats of the peer, and the replies
	running map[string]provider.Shape
	free    map[string]int
}

// link is one exchange of heartbeats.
type link struct {
	requests, replies           peer.DigestEncoder
	requestDecoder, replyDecode peer.DigestDecoder
}

func newControlRig(size controlSize) *controlRig {
	runtime.LockOSThread()
	c := &controlRig{
		size: size, clock: timer.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)),
		ends: make(map[int64][]provider.TaskStatus), runs: make(map[string]dispatch.Run),
		running: make(map[string]map[string]provider.TaskStatus),
	}
	var vms []provider.VM
	for i := range size.entries {
		id, zone := fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%controlZones)
		vms = append(vms, provider.NewVM(id, provider.RoleEntry, zone, "rack-entry", "10.0.0.1:7001", provider.Shape{}, false))
		if id != selfID {
			c.peers = append(c.peers, &benchPeer{
				id: id, running: make(map[string]provider.Shape), free: make(map[string]int),
			})
		}
	}
	for i := range size.servers {
		zone := i % controlZones
		vms = append(vms, provider.NewVM(
			fmt.Sprintf("backend-%04d", i), provider.RoleBackend, fmt.Sprintf("zone-%d", zone),
			fmt.Sprintf("rack-%d-%02d", zone, i/controlZones/4), fmt.Sprintf("10.0.%d.%d:7000", zone, i/controlZones),
			provider.NewShape(64, 256<<10, 2, 8), false,
		))
	}
	c.platform = standin.NewPlatform(nil, c.clock)
	c.listed = provider.NewVMs(vms)
	c.listSize = listBytes(vms)
	c.configure(vms)
	c.state = &dispatch.State{
		Self: selfID, Zone: "zone-0", Address: "10.0.0.1:7001", Incarnation: 1_770_000_000_000,
		Ownership:      &ownership.State{Self: selfID, Zone: "zone-0"},
		Membership:     &membership.State{Self: selfID, Zone: "zone-0"},
		FreshnessLease: &freshness.Lease{Self: selfID, Duration: freshness.DefaultLeaseDuration},
		Propagation:    &freshness.Propagation{Self: selfID, LeaseDuration: freshness.DefaultLeaseDuration, GuardInterval: freshness.DefaultGuardInterval},
		Queue:          &queue.Queue{}, Placer: &placement.Placer{Zone: "zone-0"}, Ledger: &quota.Ledger{Holder: selfID},
		Retries: &retry.Budget{}, Backoff: &retry.Backoff{},
	}
	c.reset()
	c.answer(c.state.Start(c.clock.Now()))
	for range 20 {
		c.second(0, 0)
	}
	c.filled, c.started = true, c.spent
	return c
}

// configure stores the configuration, the member rows and the unfinished jobs of other holders.
func (c *controlRig) configure(vms []provider.VM) {
	var entries []catalogue.Entry
	var teams []catalogue.Team
	var pools []catalogue.Pool
	for i := range c.size.pools {
		pools = append(pools, catalogue.NewPool(fmt.Sprintf("pool-%02d", i), i == c.size.pools-1, 2))
	}
	shape := provider.NewShape(4, 8<<10, 0, 1)
	for i := range c.size.teams {
		team, pool := teamName(i), pools[i%(len(pools)-1)].Name()
		teams = append(teams, catalogue.NewTeam(team, 1, 400))
		entries = append(entries,
			catalogue.NewEntry("call-"+team, team, catalogue.ClassInteractive, pool, shape).WithIdempotent(true),
			catalogue.NewEntry("job-"+team, team, catalogue.ClassArchive, pool, shape).WithIdempotent(true))
	}
	config := catalogue.NewConfiguration()
	step := func(t provider.Transaction, err error) {
		if err != nil {
			panic(err)
		}
		o := c.platform.Table.Commit(context.Background(), t).(provider.Committed)
		if config, err = config.With(dispatch.WrittenRows(t, o.Version())); err != nil {
			panic(err)
		}
	}
	now := c.clock.Now()
	whole, err := catalogue.New(entries, teams, pools)
	if err != nil {
		panic(err)
	}
	step(catalogue.ChangeCatalogue(config, whole, "init", now))
	for i, v := range vms[c.size.entries:] {
		pool := pools[i/controlZones%len(pools)].Name()
		step(catalogue.SetVM(config, v.ID(), catalogue.NewVMState(pool, false, "first pool", "init", now)))
	}
	for i := range c.size.teams {
		k, _, err := catalogue.NewKey(teamName(i), catalogue.RoleSubmitter, "init", now, time.Time{}, rand.Reader)
		if err != nil {
			panic(err)
		}
		c.keys = append(c.keys, k.ID())
		step(catalogue.GrantKey(config, k))
	}
	var rows []provider.Write
	for _, v := range vms[:c.size.entries] {
		rows = append(rows, provider.NewPut("member/"+v.ID(), []byte(`{"zone":"zone-0","address":"10.0.0.1:7001"}`)))
	}
	for i := range c.size.backlog {
		id := fmt.Sprintf("%s.backlog-%d", teamName(i%c.size.teams), i)
		rows = append(rows, provider.NewPut(dispatch.JobKey(id), fmt.Appendf(nil,
			`{"entry":"job-%s","team":"%s","key":"k","payload-hash":1,"holder":"entry-1","state":"waiting","attempt":1}`,
			teamName(i%c.size.teams), teamName(i%c.size.teams))))
	}
	c.platform.Table.Commit(context.Background(), provider.NewTransaction(nil, rows))
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func (c *controlRig) reset() {
	c.spent, c.objects, c.commits = 0, 0, 0
	c.counts, c.sent, c.received = make(map[string]float64), make(map[string]float64), make(map[string]float64)
}

// second drives one second of control with the given numbers of calls and jobs.
func (c *controlRig) second(calls, jobs int) {
	for i := range 10 {
		c.clock.Advance(dispatch.TickInterval)
		for _, t := range c.ends[c.ticks()] {
			f := c.runs[t.ID()]
			delete(c.runs, t.ID())
			delete(c.running[f.Server()], t.ID())
			c.handle(dispatch.NewRunEnded(f.Server(), f.Epoch(), t.ID(), t.Attempt(),
				provider.NewAnswer(t.ID(), t.Attempt(), true, 0, xxhash.Sum64(nil), nil)))
		}
		delete(c.ends, c.ticks())
		for j := range calls {
			if j%10 == i {
				c.submit(dispatch.KindCall, "call-")
			}
		}
		for j := range jobs {
			if j%10 == i {
				c.submit(dispatch.KindJob, "job-")
			}
		}
		for j, p := range c.peers {
			if j%10 == i {
				c.heartbeat(p)
			}
		}
		c.handle(dispatch.Tick{})
	}
	c.round++
}

func (c *controlRig) ticks() int64 {
	return c.clock.Now().UnixMilli() / dispatch.TickInterval.Milliseconds()
}

func (c *controlRig) submit(k dispatch.Kind, entry string) {
	c.calls++
	i := c.calls % c.size.teams
	id := fmt.Sprintf("%s.request-%d", teamName(i), c.calls)
	c.handle(dispatch.NewSubmitted(uint64(c.calls), dispatch.NewRequest(
		id, k, entry+teamName(i), teamName(i), c.keys[i], []byte(`{"run-ms": 100}`), c.deadline, 0, true)))
}

// heartbeat delivers a heartbeat of a peer. A quarter of its values change each second if there is load.
func (c *controlRig) heartbeat(p *benchPeer) {
	for i := range c.size.teams {
		if len(p.running) < c.size.teams || (c.size.calls+c.size.jobs > 0 && i%4 == c.round%4) {
			n := 1 + (i+c.round)%7
			p.running[teamName(i)] = provider.NewShape(4*n, n*8<<10, 0, n)
		}
	}
	for i := range c.size.pools {
		if len(p.free) < c.size.pools || (c.size.calls+c.size.jobs > 0 && i%4 == c.round%4) {
			p.free[fmt.Sprintf("pool-%02d", i)] = 10 + (i+c.round)%7
		}
	}
	w := p.asked.requests.Encode(p.digest(c).WithoutTables(), p.asked.requestDecoder.Heard(), c.clock.Now())
	c.received["heartbeat"] += float64(proto.Size(w)) + messageHeaders
	d, ok := p.asked.requestDecoder.Decode(w)
	if !ok {
		panic("digest without its base")
	}
	c.handle(dispatch.NewHeartbeatReceived(uint64(len(c.peers)), d))
}

func (p *benchPeer) digest(c *controlRig) peer.Digest {
	return peer.NewDigest(p.id, 1_770_000_000_000, c.state.Configuration().Version(), true).
		WithFreeSlots(p.free).WithRunning(p.running).WithRecognized(true)
}

func (c *controlRig) peer(id string) *benchPeer {
	for _, p := range c.peers {
		if p.id == id {
			return p
		}
	}
	panic("unknown peer " + id)
}

// handle passes an event to the control state, and then those that answer its effects.
func (c *controlRig) handle(e dispatch.Event) {
	c.events = append(c.events, e)
	for len(c.events) > 0 {
		e := c.events[0]
		c.events = c.events[1:]
		c.answer(c.measured(e))
	}
}

func (c *controlRig) measured(e dispatch.Event) []dispatch.Effect {
	var before, after runtime.MemStats
	if c.exact {
		runtime.ReadMemStats(&before)
	}
	start := processorTime()
	effects := c.state.Handle(e, c.clock.Now())
	c.spent += processorTime() - start
	if c.exact {
		runtime.ReadMemStats(&after)
		c.objects += after.Mallocs - before.Mallocs
	}
	return effects
}

// processorTime returns the processor time of the thread, which other processes on the machine don't add to. The caller
// is locked to its thread.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// answer counts the effects and queues the events that answer them.
func (c *controlRig) answer(effects []dispatch.Effect) {
	now := c.clock.Now()
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Run:
			c.run(f)
		case dispatch.Acquire:
			c.count("acquire", 60, 60)
			o := provider.AcquireOutcome(provider.NewHeld("entry-5", standin.LeaseDuration))
			if !c.filled && c.round < 3 {
				o = provider.NewGranted(uint64(now.UnixMilli())<<20, standin.LeaseDuration, nil)
			}
			c.events = append(c.events, dispatch.NewAcquireEnded(f.Server(), now, o))
		case dispatch.Report:
			c.report(f)
		case dispatch.Commit:
			o := c.platform.Table.Commit(context.Background(), f.Transaction())
			c.count("commit", transactionBytes(f.Transaction()), 60)
			c.counts["row"] += float64(len(f.Transaction().Writes()))
			c.events = append(c.events, dispatch.NewCommitEnded(f.Ticket(), o))
		case dispatch.Scan:
			rows := c.platform.Table.Scan(context.Background(), f.Prefix(), f.Since())
			c.count("scan", 60, rowsBytes(rows))
			c.events = append(c.events, dispatch.NewScanEnded(f.Ticket(), f.Prefix(), now, rows))
		case dispatch.List:
			c.count("list", 40, c.listSize)
			c.listSize = 50 // package remote sends a list only if it has changed
			c.events = append(c.events, dispatch.NewListEnded(c.listed))
		case dispatch.Heartbeat:
			c.beat(f)
		case dispatch.HeartbeatReply:
			c.greet(f)
		case dispatch.Forward:
			c.count("forward", 150, 150)
			c.events = append(c.events, dispatch.NewForwardEnded(
				f.Peer(), f.Request().ID(), peer.NewAnswered(true, nil, 0, xxhash.Sum64(nil))))
		case dispatch.Reply:
			c.counts["reply"]++
			if _, refused := f.Outcome().(dispatch.NotRun); refused {
				c.counts["refused"]++
			}
		}
	}
}

func (c *controlRig) count(kind string, sent, received float64) {
	c.counts[kind]++
	c.sent[kind] += sent + messageHeaders
	c.received[kind] += received + messageHeaders
}

func (c *controlRig) run(f dispatch.Run) {
	t := f.Task()
	c.count("run", 250, 150)
	if c.running[f.Server()] == nil {
		c.running[f.Server()] = make(map[string]provider.TaskStatus)
	}
	status := provider.NewTaskStatus(t, false)
	c.running[f.Server()][t.ID()], c.runs[t.ID()] = status, f
	d := jobTime
	if t.Entry()[:4] == "call" {
		d = callTime
	}
	at := c.ticks() + int64(d/dispatch.TickInterval)
	c.ends[at] = append(c.ends[at], status)
}

func (c *controlRig) report(f dispatch.Report) {
	var tasks []provider.TaskStatus
	for _, t := range c.running[f.Server()] {
		tasks = append(tasks, t)
	}
	c.count("report", 30, reportBytes(tasks))
	c.events = append(c.events, dispatch.NewReportEnded(
		f.Server(), f.Epoch(), c.clock.Now(), provider.NewReport(provider.Shape{}, tasks)))
}

func (c *controlRig) beat(f dispatch.Heartbeat) {
	p, now := c.peer(f.Peer()), c.clock.Now()
	w := p.asking.requests.Encode(f.Digest(), p.asking.requestDecoder.Heard(), now)
	if _, ok := p.asking.requestDecoder.Decode(w); !ok {
		panic("digest without its base")
	}
	r := p.asking.replies.Encode(p.digest(c), p.asking.replyDecode.Heard(), now)
	d, ok := p.asking.replyDecode.Decode(r)
	if !ok {
		panic("digest without its base")
	}
	c.count("heartbeat", float64(proto.Size(w)), float64(proto.Size(r)))
	c.events = append(c.events, dispatch.NewHeartbeatEnded(f.Peer(), now, true, d))
}

func (c *controlRig) greet(f dispatch.HeartbeatReply) {
	p := c.peers[c.round%len(c.peers)]
	w := p.asked.replies.Encode(f.Digest(), p.asked.replyDecode.Heard(), c.clock.Now())
	if _, ok := p.asked.replyDecode.Decode(w); !ok {
		panic("digest without its base")
	}
	c.sent["heartbeat"] += float64(proto.Size(w)) + messageHeaders
	c.counts["greet"]++
}

func jsonBytes(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// shapeJSON, listBytes and reportBytes follow the wire types of package remote.
func shapeJSON(s provider.Shape) map[string]int {
	return map[string]int{
		"processors": s.Processors(), "memory-mib": s.MemoryMiB(), "accelerators": s.Accelerators(), "slots": s.Slots(),
	}
}

func listBytes(vms []provider.VM) float64 {
	var all []any
	for _, v := range vms {
		all = append(all, map[string]any{
			"id": v.ID(), "role": "backend", "zone": v.Zone(), "rack": v.Rack(), "address": v.Address(),
			"shape": shapeJSON(v.Shape()),
		})
	}
	return jsonBytes(map[string]any{"vms": all})
}

func reportBytes(tasks []provider.TaskStatus) float64 {
	var all []any
	for _, t := range tasks {
		all = append(all, map[string]any{
			"id": t.ID(), "attempt": t.Attempt(), "entry": t.Entry(), "team": t.Team(), "shape": shapeJSON(t.Shape()),
			"holder": selfID,
		})
	}
	return jsonBytes(map[string]any{"outcome": "report", "usage": shapeJSON(provider.Shape{}), "tasks": all})
}

func transactionBytes(t provider.Transaction) float64 {
	n := 40.0
	for _, c := range t.Conditions() {
		n += float64(len(c.Key())) + 30
	}
	for _, w := range t.Writes() {
		n += float64(len(w.Key())) + 4*float64(len(w.Value()))/3 + 20 // values are base64 in JSON
	}
	return n
}

func rowsBytes(o provider.ScanOutcome) float64 {
	rows, ok := o.(provider.Rows)
	if !ok {
		return 0
	}
	n := 40.0
	for _, r := range rows.Rows() {
		n += float64(len(r.Key())) + 4*float64(len(r.Value()))/3 + 40
	}
	return n
}
