package dispatch_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/quota"
	"github.com/pistachiolead/pistachiolead/retry"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Endpoints of the platform that entry VMs send requests to.
const (
	tableEndpoint       = "table"
	objectStoreEndpoint = "objects"
	vmListEndpoint      = "list"
)

// vmListLag is how long after a change the VM list still shows the previous state.
const vmListLag = time.Second

// simulation runs the control states of several entry VMs against one stand-in platform, on a manual clock. All actions
// run on one goroutine in order of time, so that a run is determined by its plan.
type simulation struct {
	plan      plan
	mutation  mutation
	clock     *timer.Manual
	platform  *standin.Platform
	random    *rand.Rand
	scheduled actionHeap
	sequence  uint64

	entryVMs       map[string]*entryVM
	runningIDs     []string // ids of the running entry VMs, sorted
	startedCount   int
	cutUntil       map[string]time.Time // end of a network cut, by linkKey of the two endpoints
	slowTableUntil time.Time            // end of the time in which the table replies late
	faultsStopped  bool                 // no faults are injected any more
	// lostForwards holds how many forwarded calls get no reply and never arrive, by request id.
	lostForwards map[string]int

	pendingRuns       []*pendingRun
	restarts          map[string]int // by backend server
	nextTicket        uint64
	replyHandlers     map[uint64]func(dispatch.Outcome)        // by ticket; submissions, forwards, pushes and changes
	heartbeatHandlers map[uint64]func(dispatch.HeartbeatReply) // by ticket
	checker           *checker
}

// entryVM is a simulated entry VM: a control state and its committer.
type entryVM struct {
	id, zone       string
	state          *dispatch.State
	committer      *commit.State
	commitTickets  map[uint64]uint64 // ticket of the Commit effect, by the committer's id of the commit
	lastToken      uint64
	wakeAt         time.Time
	paused         bool
	killed         bool            // the process was killed
	queued         []func()        // deferred until the pause ends
	tableRelays    map[string]bool // peers whose last heartbeat reply says that they reach the table
	drainStartedAt time.Time       // zero before the planned stop
	drainedAt      time.Time       // zero until the planned stop is complete
	disturbed      bool            // by a fault, so that R10 doesn't limit the time of its planned stop
	lastVersion    uint64          // configuration version after the last event
}

// action is a function that is scheduled for a time.
type action struct {
	at       time.Time
	sequence uint64
	fn       func()
}

// actionHeap orders actions by time, then by the order in which they were scheduled.
type actionHeap []action

func (a actionHeap) Len() int { return len(a) }

func (a actionHeap) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].sequence < a[j].sequence
	}
	return a[i].at.Before(a[j].at)
}

func (a actionHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *actionHeap) Push(x any) { *a = append(*a, x.(action)) }

func (a *actionHeap) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newSimulation(p plan, m mutation) *simulation {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	sm := &simulation{
		plan: p, mutation: m, clock: timer.NewManual(start), random: rand.New(rand.NewPCG(p.seed, 1)),
		entryVMs: make(map[string]*entryVM), cutUntil: make(map[string]time.Time), restarts: make(map[string]int),
		replyHandlers:     make(map[uint64]func(dispatch.Outcome)),
		heartbeatHandlers: make(map[uint64]func(dispatch.HeartbeatReply)),
	}
	sm.checker = newChecker(sm)
	var vms []provider.VM
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			id := fmt.Sprintf("backend-%s-%d", zone, i+1)
			rack := fmt.Sprintf("rack-%s-%d", zone, i%2)
			vms = append(vms, provider.NewVM(
				id, provider.RoleBackendServer, zone, rack, id, provider.NewShape(4, 4096, 0, 3), false))
		}
	}
	for i := range p.entryVMs {
		zone := []string{"a", "b"}[i%2]
		id := fmt.Sprintf("entry-%s-%d", zone, i/2+1)
		vms = append(vms, newListedEntryVM(id, zone))
	}
	sm.platform = standin.NewPlatform(vms, sm.clock)
	sm.platform.VMs.Lag = vmListLag
	sm.storeInitialConfiguration(vms)
	for _, v := range vms {
		if v.Role() == provider.RoleEntryVM {
			sm.start(v.ID(), v.Zone())
		}
	}
	return sm
}

func newListedEntryVM(id, zone string) provider.VM {
	return provider.NewVM(id, provider.RoleEntryVM, zone, "rack-entry", id, provider.Shape{}, false)
}

// start starts the process of an entry VM with the same components as in package entry.
func (sm *simulation) start(id, zone string) {
	sm.startedCount++
	source := rand.New(rand.NewPCG(sm.plan.seed, uint64(sm.startedCount)))
	leaseDuration := freshness.DefaultLeaseDuration
	if sm.mutation.freshnessDuration > 0 {
		leaseDuration = sm.mutation.freshnessDuration
	}
	propagationDuration := freshness.DefaultLeaseDuration
	if sm.mutation.propagationDuration > 0 {
		propagationDuration = sm.mutation.propagationDuration
	}
	holder := id
	if sm.mutation.sharedSlices {
		holder = "shared"
	}
	vm := &entryVM{
		id: id, zone: zone, commitTickets: make(map[uint64]uint64), tableRelays: make(map[string]bool),
		state: &dispatch.State{
			EntryVM: id, Zone: zone, Address: id, Incarnation: uint64(sm.startedCount),
			Ownership:      &ownership.State{EntryVM: id, Zone: zone},
			Membership:     &membership.State{EntryVM: id, Zone: zone},
			FreshnessLease: &freshness.Lease{EntryVM: id, Duration: leaseDuration},
			Propagation: &freshness.Propagation{
				EntryVM: id, LeaseDuration: propagationDuration, GuardInterval: freshness.DefaultGuardInterval,
			},
			Queue:   &queue.Queue{},
			Placer:  &placement.Placer{Zone: zone},
			Ledger:  &quota.Ledger{Holder: holder},
			Retries: &retry.Budget{},
			Backoff: &retry.Backoff{Random: source},
		},
	}
	limits := commit.NewLimits(commit.DefaultMaxRows, commit.DefaultMaxRate, commit.DefaultMaxRowRate)
	vm.committer = commit.NewState(fmt.Sprintf("%s.%d", id, sm.startedCount), limits, source, sm.now())
	sm.entryVMs[id] = vm
	sm.runningIDs = append(sm.runningIDs, id)
	slices.Sort(sm.runningIDs)
	sm.carryOut(vm, vm.state.Start(sm.now()))
	sm.after(time.Duration(sm.random.IntN(100))*time.Millisecond, func() { sm.tick(vm) })
}

// tick sends the periodic Tick events.
func (sm *simulation) tick(vm *entryVM) {
	if vm.killed || !vm.drainedAt.IsZero() {
		return
	}
	sm.post(vm, dispatch.Tick{})
	sm.after(dispatch.TickInterval, func() { sm.tick(vm) })
}

func (sm *simulation) now() time.Time { return sm.clock.Now() }

// after schedules fn.
func (sm *simulation) after(d time.Duration, fn func()) {
	sm.sequence++
	heap.Push(&sm.scheduled, action{at: sm.now().Add(d), sequence: sm.sequence, fn: fn})
}

// runUntil runs the actions that are due up to a time and sets the clock to it.
func (sm *simulation) runUntil(until time.Time) {
	for len(sm.scheduled) > 0 && !sm.scheduled[0].at.After(until) {
		a := heap.Pop(&sm.scheduled).(action)
		if d := a.at.Sub(sm.now()); d > 0 {
			sm.clock.Advance(d)
		}
		a.fn()
	}
	sm.clock.Advance(until.Sub(sm.now()))
}

// post passes an event to an entry VM, at once or after its pause.
func (sm *simulation) post(vm *entryVM, e dispatch.Event) {
	sm.runOrQueue(vm, func() { sm.handle(vm, e) })
}

// runOrQueue runs fn at once, or after the pause of the entry VM. It drops fn if the process has ended.
func (sm *simulation) runOrQueue(vm *entryVM, fn func()) {
	switch {
	case vm.killed || !vm.drainedAt.IsZero():
	case vm.paused:
		vm.queued = append(vm.queued, fn)
	default:
		fn()
	}
}

func (sm *simulation) handle(vm *entryVM, e dispatch.Event) {
	if vm.killed || !vm.drainedAt.IsZero() {
		return
	}
	sm.carryOut(vm, vm.state.Handle(e, sm.now()))
	sm.checker.eventHandled(vm)
}

// resume ends the pause of an entry VM and runs what was queued in it.
func (sm *simulation) resume(vm *entryVM) {
	vm.paused = false
	queued := vm.queued
	vm.queued = nil
	for _, fn := range queued {
		sm.runOrQueue(vm, fn)
	}
}

// kill ends the process of an entry VM. The connections of its callers are closed.
func (sm *simulation) kill(vm *entryVM) {
	vm.killed = true
	sm.runningIDs = slices.DeleteFunc(sm.runningIDs, func(id string) bool { return id == vm.id })
	sm.checker.connectionsClosed(vm)
}

// running returns the entry VMs whose process runs, sorted by id. Paused ones are included.
func (sm *simulation) running() []*entryVM {
	var entryVMs []*entryVM
	for _, id := range sm.runningIDs {
		if vm := sm.entryVMs[id]; !vm.killed && vm.drainedAt.IsZero() {
			entryVMs = append(entryVMs, vm)
		}
	}
	return entryVMs
}

// faultOccurs returns true with a probability in percent, and false once the faults have stopped.
func (sm *simulation) faultOccurs(percent int) bool {
	return !sm.faultsStopped && sm.random.IntN(100) < percent
}

// newTicket returns a ticket for an event. Fn is called with the outcome that is replied to the ticket.
func (sm *simulation) newTicket(fn func(dispatch.Outcome)) uint64 {
	sm.nextTicket++
	sm.replyHandlers[sm.nextTicket] = fn
	return sm.nextTicket
}

// storeInitialConfiguration writes the same kinds of rows to the table as local.Initialize.
func (sm *simulation) storeInitialConfiguration(vms []provider.VM) {
	config := catalogue.NewConfiguration()
	mustCommit := func(t provider.Transaction, err error) {
		if err != nil {
			panic(err)
		}
		o := sm.platform.Table.Commit(context.Background(), t).(provider.Committed)
		if config, err = config.WithRows(dispatch.WrittenRows(t, o.Version())); err != nil {
			panic(err)
		}
	}
	mustCommit(catalogue.ChangeCatalogue(config, testCatalogue(3, 2, false), "init", sm.now()))
	for i, v := range vms {
		if v.Role() != provider.RoleBackendServer {
			continue
		}
		pool := []string{"main", "main", "side"}[i%3]
		mustCommit(catalogue.SetVM(config, v.ID(), catalogue.NewVMState(pool, false, "", "init", sm.now())))
	}
	for range 2 {
		for _, team := range []string{"red", "blue"} {
			k := sm.newKey(team)
			mustCommit(catalogue.GrantKey(config, k))
			sm.checker.keys[team] = append(sm.checker.keys[team], k.ID())
		}
	}
	sm.checker.configurationCommitted()
}

func (sm *simulation) newKey(team string) catalogue.Key {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(sm.random.IntN(256))
	}
	k, _, err := catalogue.NewKey(team, catalogue.RoleSubmitter, "init", sm.now(), time.Time{}, rand.NewChaCha8(seed))
	if err != nil {
		panic(err)
	}
	return k
}

// testCatalogue returns the catalogue of the simulation with the given limits of the teams red and blue. If open is
// set, both teams may use all entries.
func testCatalogue(red, blue int, open bool) *catalogue.Catalogue {
	shape := provider.NewShape(1, 256, 0, 1)
	c, err := catalogue.New(
		[]catalogue.Entry{
			catalogue.NewEntry("proofs", "red", catalogue.ClassInteractive, "main", shape).WithIdempotent(true).WithOpen(true),
			catalogue.NewEntry("plates", "red", catalogue.ClassArchive, "main", shape).WithOpen(open),
			catalogue.NewEntry("seats", "blue", catalogue.ClassUrgent, "side", shape).WithOpen(true),
			catalogue.NewEntry("batch", "blue", catalogue.ClassArchive, "side", shape).WithIdempotent(true).WithOpen(open),
		},
		[]catalogue.Team{catalogue.NewTeam("red", 2, red), catalogue.NewTeam("blue", 1, blue)},
		[]catalogue.Pool{
			catalogue.NewPool("main", false, 2), catalogue.NewPool("side", false, 1), catalogue.NewPool("spare", true, 6),
		},
	)
	if err != nil {
		panic(err)
	}
	return c
}
