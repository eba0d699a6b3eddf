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

// Endpoints of the platform.
const (
	tableName   = "table"
	objectsName = "objects"
	listName    = "list"
)

// listLag is the lag of the VM list in the rig.
const listLag = time.Second

// rig runs several control states against one stand-in platform. Everything runs on one goroutine, in order of time,
// so that a run is a function of its plan.
type rig struct {
	plan     plan
	broken   broken
	clock    *timer.Manual
	platform *standin.Platform
	random   *rand.Rand
	due      actions
	sequence uint64

	nodes     map[string]*node
	order     []string // ids of the nodes that run, sorted
	added     int
	cut       map[string]time.Time // end of a cut, by pair of endpoints
	slowTable time.Time            // end of a slow phase
	quiet     bool                 // set once no more faults happen

	waiters    []*waiter
	restarted  map[string]int // by backend server, how often it was restarted
	nextTicket uint64
	answers    map[uint64]func(dispatch.Outcome) // of forwarded requests, pushes and changes
	greetings  map[uint64]func(dispatch.HeartbeatReply)
	record     *record
}

// node is an entry VM: a control state, its committer, and the events that wait for it.
type node struct {
	id, zone  string
	state     *dispatch.State
	committer *commit.State
	commits   map[uint64]uint64 // ticket of the control state by number of the committer
	token     uint64
	wake      time.Time
	paused    bool
	dead      bool
	mail      []func()
	relays    map[string]bool
	drainedAt time.Time
	draining  time.Time
	disturbed bool // paused or cut off since it began to drain
	version   uint64
}

// action is something that happens at a time.
type action struct {
	at       time.Time
	sequence uint64
	fn       func()
}

// actions is a heap in order of time.
type actions []action

func (a actions) Len() int { return len(a) }

func (a actions) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].sequence < a[j].sequence
	}
	return a[i].at.Before(a[j].at)
}

func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *actions) Push(x any) { *a = append(*a, x.(action)) }

func (a *actions) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

func newRig(p plan, b broken) *rig {
	start := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	r := &rig{
		plan: p, broken: b, clock: timer.NewManual(start), random: rand.New(rand.NewPCG(p.seed, 1)),
		nodes: make(map[string]*node), cut: make(map[string]time.Time), restarted: make(map[string]int),
		answers: make(map[uint64]func(dispatch.Outcome)), greetings: make(map[uint64]func(dispatch.HeartbeatReply)),
	}
	r.record = newRecord(r)
	var vms []provider.VM
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			id := fmt.Sprintf("backend-%s-%d", zone, i+1)
			rack := fmt.Sprintf("rack-%s-%d", zone, i%2)
			vms = append(vms, provider.NewVM(id, provider.RoleBackend, zone, rack, id, provider.NewShape(4, 4096, 0, 3), false))
		}
	}
	for i := range p.nodes {
		zone := []string{"a", "b"}[i%2]
		id := fmt.Sprintf("entry-%s-%d", zone, i/2+1)
		vms = append(vms, entryVM(id, zone))
	}
	r.platform = standin.NewPlatform(vms, r.clock)
	r.platform.VMs.Lag = listLag
	r.storeFirstConfiguration(vms)
	for _, v := range vms {
		if v.Role() == provider.RoleEntry {
			r.start(v.ID(), v.Zone())
		}
	}
	return r
}

func entryVM(id, zone string) provider.VM {
	return provider.NewVM(id, provider.RoleEntry, zone, "rack-entry", id, provider.Shape{}, false)
}

// start starts the process of an entry VM, with the parts that entry.VM gives it.
func (r *rig) start(id, zone string) {
	r.added++
	source := rand.New(rand.NewPCG(r.plan.seed, uint64(r.added)))
	d := freshness.DefaultLeaseDuration
	if r.broken.freshness > 0 {
		d = r.broken.freshness
	}
	accept := freshness.DefaultLeaseDuration
	if r.broken.acceptance > 0 {
		accept = r.broken.acceptance
	}
	holder := id
	if r.broken.sharedSlices {
		holder = "shared"
	}
	n := &node{
		id: id, zone: zone, commits: make(map[uint64]uint64), relays: make(map[string]bool),
		state: &dispatch.State{
			Self: id, Zone: zone, Address: id, Incarnation: uint64(r.added),
			Ownership:      &ownership.State{Self: id, Zone: zone},
			Membership:     &membership.State{Self: id, Zone: zone},
			FreshnessLease: &freshness.Lease{Self: id, Duration: d},
			Propagation:    &freshness.Propagation{Self: id, LeaseDuration: accept, GuardInterval: freshness.DefaultGuardInterval},
			Queue:          &queue.Queue{},
			Placer:         &placement.Placer{Zone: zone},
			Ledger:         &quota.Ledger{Holder: holder},
			Retries:        &retry.Budget{},
			Backoff:        &retry.Backoff{Random: source},
		},
	}
	limits := commit.NewLimits(commit.DefaultMaxRows, commit.DefaultMaxRate, commit.DefaultMaxRowRate)
	n.committer = commit.NewState(fmt.Sprintf("%s.%d", id, r.added), limits, source, r.now())
	r.nodes[id] = n
	r.order = append(r.order, id)
	slices.Sort(r.order)
	r.carryOut(n, n.state.Start(r.now()))
	r.after(time.Duration(r.random.IntN(100))*time.Millisecond, func() { r.tick(n) })
}

func (r *rig) tick(n *node) {
	if n.dead || !n.drainedAt.IsZero() {
		return
	}
	r.post(n, dispatch.Tick{})
	r.after(dispatch.TickInterval, func() { r.tick(n) })
}

func (r *rig) now() time.Time { return r.clock.Now() }

func (r *rig) after(d time.Duration, fn func()) {
	r.sequence++
	heap.Push(&r.due, action{at: r.now().Add(d), sequence: r.sequence, fn: fn})
}

// run runs everything that is due until the time.
func (r *rig) run(until time.Time) {
	for len(r.due) > 0 && !r.due[0].at.After(until) {
		a := heap.Pop(&r.due).(action)
		if d := a.at.Sub(r.now()); d > 0 {
			r.clock.Advance(d)
		}
		a.fn()
	}
	r.clock.Advance(until.Sub(r.now()))
}

// post hands an event to a node, at once or when its pause has ended.
func (r *rig) post(n *node, e dispatch.Event) { r.deliver(n, func() { r.handle(n, e) }) }

func (r *rig) deliver(n *node, fn func()) {
	switch {
	case n.dead || !n.drainedAt.IsZero():
	case n.paused:
		n.mail = append(n.mail, fn)
	default:
		fn()
	}
}

func (r *rig) handle(n *node, e dispatch.Event) {
	if n.dead || !n.drainedAt.IsZero() {
		return
	}
	r.carryOut(n, n.state.Handle(e, r.now()))
	r.record.handled(n)
}

func (r *rig) resume(n *node) {
	n.paused = false
	mail := n.mail
	n.mail = nil
	for _, fn := range mail {
		r.deliver(n, fn)
	}
}

// kill ends the process of a node. Its callers see a closed connection.
func (r *rig) kill(n *node) {
	n.dead = true
	r.order = slices.DeleteFunc(r.order, func(id string) bool { return id == n.id })
	r.record.connectionsLost(n)
}

func (r *rig) running() []*node {
	var nodes []*node
	for _, id := range r.order {
		if n := r.nodes[id]; !n.dead && n.drainedAt.IsZero() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// chance reports true with a probability in percent, never once the faults have stopped.
func (r *rig) chance(percent int) bool { return !r.quiet && r.random.IntN(100) < percent }

func (r *rig) ticket(fn func(dispatch.Outcome)) uint64 {
	r.nextTicket++
	r.answers[r.nextTicket] = fn
	return r.nextTicket
}

// storeFirstConfiguration fills the table as local.Initialize does.
func (r *rig) storeFirstConfiguration(vms []provider.VM) {
	config := catalogue.NewConfiguration()
	step := func(t provider.Transaction, err error) {
		if err != nil {
			panic(err)
		}
		o := r.platform.Table.Commit(context.Background(), t).(provider.Committed)
		if config, err = config.With(dispatch.WrittenRows(t, o.Version())); err != nil {
			panic(err)
		}
	}
	step(catalogue.ChangeCatalogue(config, testCatalogue(3, 2, false), "init", r.now()))
	for i, v := range vms {
		if v.Role() != provider.RoleBackend {
			continue
		}
		pool := []string{"main", "main", "side"}[i%3]
		step(catalogue.SetVM(config, v.ID(), catalogue.NewVMState(pool, false, "", "init", r.now())))
	}
	for range 2 {
		for _, team := range []string{"red", "blue"} {
			k := r.newKey(team)
			step(catalogue.GrantKey(config, k))
			r.record.keys[team] = append(r.record.keys[team], k.ID())
		}
	}
	r.record.accepted()
}

func (r *rig) newKey(team string) catalogue.Key {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(r.random.IntN(256))
	}
	k, _, err := catalogue.NewKey(team, catalogue.RoleSubmitter, "init", r.now(), time.Time{}, rand.NewChaCha8(seed))
	if err != nil {
		panic(err)
	}
	return k
}

// testCatalogue returns the catalogue of the rig with the limits of both teams.
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
