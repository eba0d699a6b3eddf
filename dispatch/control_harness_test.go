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
	zoneCount = 5 // availability zones of the fleet (R26)
	selfID    = "entry-0"
	// callRunTime and jobRunTime are the run times of tasks.
	callRunTime, jobRunTime = 100 * time.Millisecond, 10 * time.Second
	// headerBytes estimates the size of the HTTP headers of a request, or of a response, of the platform or of a
	// backend server.
	headerBytes = 150
)

// fleetSize is the size of a fleet and the load that one of its entry VMs receives. UnfinishedJobs is the number of
// unfinished jobs that other entry VMs hold.
type fleetSize struct {
	servers, pools, teams, entryVMs               int
	callsPerSecond, jobsPerSecond, unfinishedJobs int
}

// controlHarness drives one control state on a manual clock. It answers all effects at once, except that the answer to
// a Run follows after the task's run time. Only the time spent in State.Handle is measured.
type controlHarness struct {
	size            fleetSize
	state           *dispatch.State
	clock           *timer.Manual
	platform        *standin.Platform
	vmList          provider.VMs
	vmListSize      float64 // bytes of the next transfer
	serversAcquired bool    // set after the start: no leases are granted any more
	pendingEvents   []dispatch.Event
	taskEnds        map[int64][]provider.TaskStatus           // by tick number
	runsByID        map[string]dispatch.Run                   // of running tasks, by request id
	runningTasks    map[string]map[string]provider.TaskStatus // by backend server and request id
	peers           []*simulatedPeer
	keyIDs          []string
	secondsRun      int
	deadline        time.Time // of submitted requests, zero for the default
	submitted       int

	startupCPU               time.Duration // CPU time of the first 20 s, in which the backend servers are acquired
	countAllocs              bool          // counts allocations, which makes each event slower
	cpuTime                  time.Duration
	allocs                   uint64
	counts                   map[string]float64 // by kind of effect, of rows, and of refusals
	sentBytes, receivedBytes map[string]float64 // by kind of effect
}

// simulatedPeer is another entry VM: the content of its digests, and the codecs of the heartbeats in both directions.
type simulatedPeer struct {
	id            string
	outgoing      heartbeatCodec // heartbeats of the measured entry VM, and the replies to them
	incoming      heartbeatCodec // heartbeats of the peer, and the replies to them
	runningByTeam map[string]provider.Shape
	freeSlots     map[string]int
}

// heartbeatCodec encodes and decodes the heartbeats in one direction and the replies to them.
type heartbeatCodec struct {
	requests, replies            peer.DigestEncoder
	requestDecoder, replyDecoder peer.DigestDecoder
}

func newControlHarness(size fleetSize) *controlHarness {
	runtime.LockOSThread()
	h := &controlHarness{
		size: size, clock: timer.NewManual(time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)),
		taskEnds: make(map[int64][]provider.TaskStatus), runsByID: make(map[string]dispatch.Run),
		runningTasks: make(map[string]map[string]provider.TaskStatus),
	}
	var vms []provider.VM
	for i := range size.entryVMs {
		id, zone := fmt.Sprintf("entry-%d", i), fmt.Sprintf("zone-%d", i%zoneCount)
		vms = append(vms, provider.NewVM(
			id, provider.RoleEntryVM, zone, "rack-entry", "10.0.0.1:7001", provider.Shape{}, false))
		if id != selfID {
			h.peers = append(h.peers, &simulatedPeer{
				id: id, runningByTeam: make(map[string]provider.Shape), freeSlots: make(map[string]int),
			})
		}
	}
	for i := range size.servers {
		zone := i % zoneCount
		vms = append(vms, provider.NewVM(
			fmt.Sprintf("backend-%04d", i), provider.RoleBackendServer, fmt.Sprintf("zone-%d", zone),
			fmt.Sprintf("rack-%d-%02d", zone, i/zoneCount/4), fmt.Sprintf("10.0.%d.%d:7000", zone, i/zoneCount),
			provider.NewShape(64, 256<<10, 2, 8), false,
		))
	}
	h.platform = standin.NewPlatform(nil, h.clock)
	h.vmList = provider.NewVMs(vms)
	h.vmListSize = vmListSize(vms)
	h.storeInitialRows(vms)
	h.state = &dispatch.State{
		EntryVM: selfID, Zone: "zone-0", Address: "10.0.0.1:7001", Incarnation: 1_770_000_000_000,
		Ownership:      &ownership.State{EntryVM: selfID, Zone: "zone-0"},
		Membership:     &membership.State{EntryVM: selfID, Zone: "zone-0"},
		FreshnessLease: &freshness.Lease{EntryVM: selfID, Duration: freshness.DefaultLeaseDuration},
		Propagation: &freshness.Propagation{
			EntryVM: selfID, LeaseDuration: freshness.DefaultLeaseDuration, GuardInterval: freshness.DefaultGuardInterval,
		},
		Queue: &queue.Queue{}, Placer: &placement.Placer{Zone: "zone-0"}, Ledger: &quota.Ledger{Holder: selfID},
		Retries: &retry.Budget{}, Backoff: &retry.Backoff{},
	}
	h.reset()
	h.carryOut(h.state.Start(h.clock.Now()))
	for range 20 {
		h.runSecond(0, 0)
	}
	h.serversAcquired, h.startupCPU = true, h.cpuTime
	return h
}

// storeInitialRows stores the configuration, the member rows and the unfinished jobs of other entry VMs.
func (h *controlHarness) storeInitialRows(vms []provider.VM) {
	var entries []catalogue.Entry
	var teams []catalogue.Team
	var pools []catalogue.Pool
	for i := range h.size.pools {
		pools = append(pools, catalogue.NewPool(fmt.Sprintf("pool-%02d", i), i == h.size.pools-1, 2))
	}
	shape := provider.NewShape(4, 8<<10, 0, 1)
	for i := range h.size.teams {
		team, pool := teamName(i), pools[i%(len(pools)-1)].Name()
		teams = append(teams, catalogue.NewTeam(team, 1, 400))
		entries = append(entries,
			catalogue.NewEntry("call-"+team, team, catalogue.ClassInteractive, pool, shape).WithIdempotent(true),
			catalogue.NewEntry("job-"+team, team, catalogue.ClassArchive, pool, shape).WithIdempotent(true))
	}
	config := catalogue.NewConfiguration()
	mustCommit := func(t provider.Transaction, err error) {
		if err != nil {
			panic(err)
		}
		o := h.platform.Table.Commit(context.Background(), t).(provider.Committed)
		if config, err = config.WithRows(dispatch.WrittenRows(t, o.Version())); err != nil {
			panic(err)
		}
	}
	now := h.clock.Now()
	initial, err := catalogue.New(entries, teams, pools)
	if err != nil {
		panic(err)
	}
	mustCommit(catalogue.ChangeCatalogue(config, initial, "init", now))
	for i, v := range vms[h.size.entryVMs:] {
		pool := pools[i/zoneCount%len(pools)].Name()
		mustCommit(catalogue.SetVM(config, v.ID(), catalogue.NewVMState(pool, false, "first pool", "init", now)))
	}
	for i := range h.size.teams {
		k, _, err := catalogue.NewKey(teamName(i), catalogue.RoleSubmitter, "init", now, time.Time{}, rand.Reader)
		if err != nil {
			panic(err)
		}
		h.keyIDs = append(h.keyIDs, k.ID())
		mustCommit(catalogue.GrantKey(config, k))
	}
	var rows []provider.Write
	for _, v := range vms[:h.size.entryVMs] {
		rows = append(rows, provider.NewPut("member/"+v.ID(), []byte(`{"zone":"zone-0","address":"10.0.0.1:7001"}`)))
	}
	for i := range h.size.unfinishedJobs {
		id := fmt.Sprintf("%s.backlog-%d", teamName(i%h.size.teams), i)
		rows = append(rows, provider.NewPut(dispatch.JobKey(id), fmt.Appendf(nil,
			`{"entry":"job-%s","team":"%s","key":"k","payload-hash":1,"holder":"entry-1","state":"waiting","attempt":1}`,
			teamName(i%h.size.teams), teamName(i%h.size.teams))))
	}
	h.platform.Table.Commit(context.Background(), provider.NewTransaction(nil, rows))
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func (h *controlHarness) reset() {
	h.cpuTime, h.allocs = 0, 0
	h.counts, h.sentBytes, h.receivedBytes = make(map[string]float64), make(map[string]float64), make(map[string]float64)
}

// runSecond runs one second of fake time, in which the given numbers of calls and jobs are submitted.
func (h *controlHarness) runSecond(calls, jobs int) {
	for i := range 10 {
		h.clock.Advance(dispatch.TickInterval)
		for _, t := range h.taskEnds[h.tickNumber()] {
			f := h.runsByID[t.ID()]
			delete(h.runsByID, t.ID())
			delete(h.runningTasks[f.Server()], t.ID())
			h.handle(dispatch.NewRunEnded(f.Server(), f.Epoch(), t.ID(), t.Attempt(),
				provider.NewAnswer(t.ID(), t.Attempt(), true, 0, xxhash.Sum64(nil), nil)))
		}
		delete(h.taskEnds, h.tickNumber())
		for j := range calls {
			if j%10 == i {
				h.submit(dispatch.KindCall, "call-")
			}
		}
		for j := range jobs {
			if j%10 == i {
				h.submit(dispatch.KindJob, "job-")
			}
		}
		for j, p := range h.peers {
			if j%10 == i {
				h.receiveHeartbeat(p)
			}
		}
		h.handle(dispatch.Tick{})
	}
	h.secondsRun++
}

func (h *controlHarness) tickNumber() int64 {
	return h.clock.Now().UnixMilli() / dispatch.TickInterval.Milliseconds()
}

func (h *controlHarness) submit(k dispatch.Kind, entry string) {
	h.submitted++
	i := h.submitted % h.size.teams
	id := fmt.Sprintf("%s.request-%d", teamName(i), h.submitted)
	h.handle(dispatch.NewSubmitted(uint64(h.submitted), dispatch.NewRequest(
		id, k, entry+teamName(i), teamName(i), h.keyIDs[i], []byte(`{"run-ms": 100}`), h.deadline, 0, true)))
}

// receiveHeartbeat delivers a heartbeat of a peer. Under load, a quarter of the peer's values change each second.
func (h *controlHarness) receiveHeartbeat(p *simulatedPeer) {
	for i := range h.size.teams {
		if len(p.runningByTeam) < h.size.teams || (h.size.callsPerSecond+h.size.jobsPerSecond > 0 && i%4 == h.secondsRun%4) {
			n := 1 + (i+h.secondsRun)%7
			p.runningByTeam[teamName(i)] = provider.NewShape(4*n, n*8<<10, 0, n)
		}
	}
	for i := range h.size.pools {
		if len(p.freeSlots) < h.size.pools || (h.size.callsPerSecond+h.size.jobsPerSecond > 0 && i%4 == h.secondsRun%4) {
			p.freeSlots[fmt.Sprintf("pool-%02d", i)] = 10 + (i+h.secondsRun)%7
		}
	}
	w := p.incoming.requests.Encode(p.digest(h).WithoutLoad(), p.incoming.requestDecoder.LastDecoded(), h.clock.Now())
	h.receivedBytes["heartbeat"] += float64(proto.Size(w)) + headerBytes
	d, ok := p.incoming.requestDecoder.Decode(w)
	if !ok {
		panic("cannot decode the digest: its base is unknown")
	}
	h.handle(dispatch.NewHeartbeatReceived(uint64(len(h.peers)), d))
}

func (p *simulatedPeer) digest(h *controlHarness) peer.Digest {
	return peer.NewDigest(p.id, 1_770_000_000_000, h.state.Configuration().Version(), true).
		WithFreeSlots(p.freeSlots).WithRunning(p.runningByTeam).WithRecognized(true)
}

func (h *controlHarness) peer(id string) *simulatedPeer {
	for _, p := range h.peers {
		if p.id == id {
			return p
		}
	}
	panic("unknown peer " + id)
}

// handle passes an event to the control state, and then the events that result from its effects.
func (h *controlHarness) handle(e dispatch.Event) {
	h.pendingEvents = append(h.pendingEvents, e)
	for len(h.pendingEvents) > 0 {
		e := h.pendingEvents[0]
		h.pendingEvents = h.pendingEvents[1:]
		h.carryOut(h.handleMeasured(e))
	}
}

func (h *controlHarness) handleMeasured(e dispatch.Event) []dispatch.Effect {
	var before, after runtime.MemStats
	if h.countAllocs {
		runtime.ReadMemStats(&before)
	}
	start := threadCPUTime()
	effects := h.state.Handle(e, h.clock.Now())
	h.cpuTime += threadCPUTime() - start
	if h.countAllocs {
		runtime.ReadMemStats(&after)
		h.allocs += after.Mallocs - before.Mallocs
	}
	return effects
}

// threadCPUTime returns the CPU time of the calling thread, which doesn't depend on other processes of the machine. The
// calling goroutine must be locked to its thread.
func threadCPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_THREAD, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// carryOut counts the effects and queues the events that result from them.
func (h *controlHarness) carryOut(effects []dispatch.Effect) {
	now := h.clock.Now()
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Run:
			h.startTask(f)
		case dispatch.Acquire:
			h.count("acquire", 60, 60)
			o := provider.AcquireOutcome(provider.NewHeld("entry-5", standin.LeaseDuration))
			if !h.serversAcquired && h.secondsRun < 3 {
				o = provider.NewGranted(uint64(now.UnixMilli())<<20, standin.LeaseDuration, nil)
			}
			h.pendingEvents = append(h.pendingEvents, dispatch.NewAcquireEnded(f.Server(), now, o))
		case dispatch.Report:
			h.report(f)
		case dispatch.Commit:
			o := h.platform.Table.Commit(context.Background(), f.Transaction())
			h.count("commit", transactionSize(f.Transaction()), 60)
			h.counts["row"] += float64(len(f.Transaction().Writes()))
			h.pendingEvents = append(h.pendingEvents, dispatch.NewCommitEnded(f.Ticket(), o))
		case dispatch.Scan:
			rows := h.platform.Table.Scan(context.Background(), f.Prefix(), f.Since())
			h.count("scan", 60, rowsSize(rows))
			h.pendingEvents = append(h.pendingEvents, dispatch.NewScanEnded(f.Ticket(), f.Prefix(), now, rows))
		case dispatch.List:
			h.count("list", 40, h.vmListSize)
			h.vmListSize = 50 // package remote transfers the list only if it has changed
			h.pendingEvents = append(h.pendingEvents, dispatch.NewListEnded(h.vmList))
		case dispatch.Heartbeat:
			h.sendHeartbeat(f)
		case dispatch.HeartbeatReply:
			h.replyToHeartbeat(f)
		case dispatch.Forward:
			h.count("forward", 150, 150)
			h.pendingEvents = append(h.pendingEvents, dispatch.NewForwardEnded(
				f.Peer(), f.Request().ID(), peer.NewAnswered(true, nil, 0, xxhash.Sum64(nil))))
		case dispatch.Reply:
			h.counts["reply"]++
			if _, refused := f.Outcome().(dispatch.NotRun); refused {
				h.counts["refused"]++
			}
		}
	}
}

// count counts an effect. Sent and received are the estimated sizes of the request and of the response, in bytes and
// without headers.
func (h *controlHarness) count(kind string, sent, received float64) {
	h.counts[kind]++
	h.sentBytes[kind] += sent + headerBytes
	h.receivedBytes[kind] += received + headerBytes
}

func (h *controlHarness) startTask(f dispatch.Run) {
	t := f.Task()
	h.count("run", 250, 150)
	if h.runningTasks[f.Server()] == nil {
		h.runningTasks[f.Server()] = make(map[string]provider.TaskStatus)
	}
	status := provider.NewTaskStatus(t, false)
	h.runningTasks[f.Server()][t.ID()], h.runsByID[t.ID()] = status, f
	d := jobRunTime
	if t.Entry()[:4] == "call" {
		d = callRunTime
	}
	at := h.tickNumber() + int64(d/dispatch.TickInterval)
	h.taskEnds[at] = append(h.taskEnds[at], status)
}

func (h *controlHarness) report(f dispatch.Report) {
	var tasks []provider.TaskStatus
	for _, t := range h.runningTasks[f.Server()] {
		tasks = append(tasks, t)
	}
	h.count("report", 30, reportSize(tasks))
	h.pendingEvents = append(h.pendingEvents, dispatch.NewReportEnded(
		f.Server(), f.Epoch(), h.clock.Now(), provider.NewReport(provider.Shape{}, tasks)))
}

func (h *controlHarness) sendHeartbeat(f dispatch.Heartbeat) {
	p, now := h.peer(f.Peer()), h.clock.Now()
	w := p.outgoing.requests.Encode(f.Digest(), p.outgoing.requestDecoder.LastDecoded(), now)
	if _, ok := p.outgoing.requestDecoder.Decode(w); !ok {
		panic("cannot decode the digest: its base is unknown")
	}
	r := p.outgoing.replies.Encode(p.digest(h), p.outgoing.replyDecoder.LastDecoded(), now)
	d, ok := p.outgoing.replyDecoder.Decode(r)
	if !ok {
		panic("cannot decode the digest: its base is unknown")
	}
	h.count("heartbeat", float64(proto.Size(w)), float64(proto.Size(r)))
	h.pendingEvents = append(h.pendingEvents, dispatch.NewHeartbeatEnded(f.Peer(), now, true, d))
}

func (h *controlHarness) replyToHeartbeat(f dispatch.HeartbeatReply) {
	p := h.peers[h.secondsRun%len(h.peers)]
	w := p.incoming.replies.Encode(f.Digest(), p.incoming.replyDecoder.LastDecoded(), h.clock.Now())
	if _, ok := p.incoming.replyDecoder.Decode(w); !ok {
		panic("cannot decode the digest: its base is unknown")
	}
	h.sentBytes["heartbeat"] += float64(proto.Size(w)) + headerBytes
	h.counts["heartbeat-reply"]++
}

func jsonSize(v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return float64(len(data))
}

// shapeJSON, vmListSize and reportSize follow the wire types of package remote.
func shapeJSON(s provider.Shape) map[string]int {
	return map[string]int{
		"processors": s.Processors(), "memory-mib": s.MemoryMiB(), "accelerators": s.Accelerators(), "slots": s.Slots(),
	}
}

func vmListSize(vms []provider.VM) float64 {
	var all []any
	for _, v := range vms {
		all = append(all, map[string]any{
			"id": v.ID(), "role": "backend", "zone": v.Zone(), "rack": v.Rack(), "address": v.Address(),
			"shape": shapeJSON(v.Shape()),
		})
	}
	return jsonSize(map[string]any{"vms": all})
}

func reportSize(tasks []provider.TaskStatus) float64 {
	var all []any
	for _, t := range tasks {
		all = append(all, map[string]any{
			"id": t.ID(), "attempt": t.Attempt(), "entry": t.Entry(), "team": t.Team(), "shape": shapeJSON(t.Shape()),
			"holder": selfID,
		})
	}
	return jsonSize(map[string]any{"outcome": "report", "usage": shapeJSON(provider.Shape{}), "tasks": all})
}

func transactionSize(t provider.Transaction) float64 {
	n := 40.0
	for _, c := range t.Conditions() {
		n += float64(len(c.Key())) + 30
	}
	for _, w := range t.Writes() {
		n += float64(len(w.Key())) + 4*float64(len(w.Value()))/3 + 20 // values are base64 in JSON
	}
	return n
}

func rowsSize(o provider.ScanOutcome) float64 {
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
