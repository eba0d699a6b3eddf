// Package entry runs an entry VM. A single goroutine passes events to the control state (dispatch.State): requests of
// callers, messages of other entry VMs, ticks and the outcomes of earlier effects. The package executes the effects
// that the control state returns: replies, and requests to backend servers, to the platform and to other entry VMs. It
// also serves the protocol between entry VMs and performs planned stops.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/membership"
	"github.com/pistachiolead/pistachiolead/ownership"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/placement"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/queue"
	"github.com/pistachiolead/pistachiolead/quota"
	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/retry"
	"github.com/pistachiolead/pistachiolead/timer"
)

// VM is one entry VM. Its exported fields are set before Run.
type VM struct {
	// ID is the id of the VM in the platform's VM list, Zone the name of its availability zone.
	ID, Zone string
	// PeerListener accepts connections of other entry VMs.
	PeerListener net.Listener
	// PeerSecret authenticates entry VMs to each other and is the same on all of them. It may be empty only if the
	// protocol between entry VMs is served on a loopback address.
	PeerSecret string
	// Table, Objects and List are the platform's table, object store and VM list.
	Table   provider.Table
	Objects provider.ObjectStore
	List    provider.VMList
	// Connect returns a client of a backend server in the VM list.
	Connect func(provider.VM) provider.BackendServer
	// QueueBound is the maximum number of queued requests of one team.
	QueueBound int
	// FreshnessLeaseDuration is the duration of a freshness lease, GuardInterval the guard interval that is added to it
	// before a lease of another entry VM counts as expired. See package freshness.
	FreshnessLeaseDuration, GuardInterval time.Duration
	// Bodies bounds the memory for messages of other entry VMs that arrive. It may be nil, for a budget of its own.
	Bodies *requestbody.Budget
	// Clock defaults to the system clock, Scope to one that drops all metrics.
	Clock timer.Clock
	Scope tally.Scope

	control   *dispatch.State
	committer *commit.Committer
	table     *relayedTable
	mailbox   *mailbox
	replies   *pendingReplies
	group     *group.Group    // the goroutines of Run
	ctx       context.Context // ends when Run returns or a goroutine of the group fails

	configuration atomic.Pointer[catalogue.Configuration]
	mayRelay      atomic.Bool
	draining      atomic.Bool
	drained       chan struct{}
	ready         chan struct{}
	readyOnce     sync.Once

	servers sync.Map // string -> server, by id of the backend server
	peers   sync.Map // string -> *peer.Client, by id of the entry VM
}

// server is the client of a backend server and the address that the client connects to.
type server struct {
	address string
	client  provider.BackendServer
}

// Init sets defaults and creates the internal state that the other methods need. Run calls it if it wasn't called
// before; callers that use other methods before Run call it themselves.
func (v *VM) Init() {
	if v.mailbox != nil {
		return
	}
	if v.Clock == nil {
		v.Clock = timer.System{}
	}
	if v.Scope == nil {
		v.Scope = tally.NoopScope
	}
	v.mailbox, v.replies = newMailbox(), newPendingReplies()
	v.drained, v.ready = make(chan struct{}), make(chan struct{})
	v.configuration.Store(catalogue.NewConfiguration())
	v.table = &relayedTable{direct: v.Table, relays: make(map[string]provider.Table)}
	v.committer = &commit.Committer{Table: v.table, Clock: v.Clock, Name: v.ID, Scope: v.Scope.SubScope("commit")}
	v.control = v.newControl()
}

func (v *VM) newControl() *dispatch.State {
	now := v.Clock.Now()
	address := ""
	if v.PeerListener != nil {
		address = v.PeerListener.Addr().String()
	}
	// Jitter needs no cryptographic randomness, only a seed that differs between processes.
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &dispatch.State{
		EntryVM: v.ID, Zone: v.Zone, Address: address, Incarnation: uint64(now.UnixNano()),
		Ownership:      &ownership.State{EntryVM: v.ID, Zone: v.Zone},
		Membership:     &membership.State{EntryVM: v.ID, Zone: v.Zone},
		FreshnessLease: &freshness.Lease{EntryVM: v.ID, Duration: v.FreshnessLeaseDuration},
		Propagation: &freshness.Propagation{
			EntryVM: v.ID, LeaseDuration: v.FreshnessLeaseDuration, GuardInterval: v.GuardInterval,
		},
		Queue:   &queue.Queue{Bound: v.QueueBound},
		Placer:  &placement.Placer{Zone: v.Zone},
		Ledger:  &quota.Ledger{Holder: v.ID},
		Retries: &retry.Budget{},
		Backoff: &retry.Backoff{Random: source},
		Scope:   v.Scope.SubScope("control"),
	}
}

// Run runs the VM until ctx ends or a planned stop is complete, and returns nil then. It returns an error if the
// protocol between entry VMs can't be served.
func (v *VM) Run(ctx context.Context) error {
	v.Init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.group, v.ctx = group.New(ctx)

	v.group.Go(func() error { return v.committer.Run(v.ctx) })
	v.group.Go(func() error { return v.servePeers(v.ctx) })
	ticks := v.Clock.Every(dispatch.TickInterval, func(time.Time) { v.mailbox.post(dispatch.Tick{}) })
	defer ticks.Stop()
	v.group.Go(func() error {
		defer cancel()
		return v.loop(v.ctx)
	})
	err := v.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain starts a planned stop: the VM takes no new work and finishes or hands over what it has. Run returns once the
// stop is complete.
func (v *VM) Drain() {
	if v.draining.CompareAndSwap(false, true) {
		klog.InfoS("Draining", "vm", v.ID)
		v.mailbox.post(dispatch.DrainRequested{})
	}
}

// Draining reports whether a planned stop has started.
func (v *VM) Draining() bool { return v.draining.Load() }

// Ready returns a channel that is closed once the VM holds a freshness lease for its configuration and all other entry
// VMs know it.
func (v *VM) Ready() <-chan struct{} { return v.ready }

// loop runs in the control goroutine, the only one that accesses the control state.
func (v *VM) loop(ctx context.Context) error {
	v.execute(v.control.Start(v.Clock.Now()))
	var events []dispatch.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.drained:
			return nil
		case <-v.mailbox.wake:
		}
		events = v.mailbox.take(events)
		for _, e := range events {
			v.execute(v.control.Handle(e, v.Clock.Now()))
		}
		v.publishState()
	}
}

// publishState copies state that other goroutines use from the control state, and closes ready once the VM is ready.
func (v *VM) publishState() {
	now := v.Clock.Now()
	known := v.control.Propagation.MayPublish(now)
	v.mayRelay.Store(known)
	v.committer.SetCommitters(max(len(v.control.FreshnessLease.Members()), 1))
	if known && v.control.Fresh(now) {
		v.readyOnce.Do(func() {
			klog.InfoS("Ready", "vm", v.ID, "zone", v.Zone, "version", v.control.Configuration().Version())
			close(v.ready)
		})
	}
}

// servePeers serves the protocol between entry VMs.
func (v *VM) servePeers(ctx context.Context) error {
	if v.PeerListener == nil {
		return nil
	}
	protocol := &peer.Server{
		Handler: v, Table: guardedTable{table: v.Table, allowed: &v.mayRelay}, Secret: v.PeerSecret, Bodies: v.Bodies, Clock: v.Clock,
	}
	s := &http.Server{
		Handler: protocol.HTTPHandler(), ReadHeaderTimeout: peerHeaderTimeout, ReadTimeout: peerReadTimeout, IdleTimeout: peerIdleTimeout,
	}
	v.group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(s.Close(), "close the listener for other entry VMs")
	})
	if err := s.Serve(v.PeerListener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve other entry VMs")
	}
	return nil
}
