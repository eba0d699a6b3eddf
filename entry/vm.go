// Package entry runs an entry VM: the control loop, the execution of its effects, the protocol between entry VMs, and
// a planned stop.
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
	"github.com/pistachiolead/pistachiolead/retry"
	"github.com/pistachiolead/pistachiolead/timer"
)

// VM is one entry VM. Its exported fields are set before Run.
type VM struct {
	// ID is the id of the VM in the platform's list, Zone its availability zone.
	ID, Zone string
	// PeerListener accepts connections of other entry VMs.
	PeerListener net.Listener
	// PeerSecret is shared by all entry VMs. It may be empty on loopback only.
	PeerSecret string
	// Table, Objects and List are the platform.
	Table   provider.Table
	Objects provider.ObjectStore
	List    provider.VMList
	// Connect returns the client of a backend server.
	Connect func(provider.VM) provider.BackendServer
	// QueueBound is the largest number of waiting requests of one team.
	QueueBound int
	// Freshness and Guard are the durations of package freshness.
	Freshness, Guard time.Duration
	// Timer and Scope default to the system's time and to no metrics.
	Timer timer.Service
	Scope tally.Scope

	control   *dispatch.State
	committer *commit.Committer
	table     *relayedTable
	mail      *mailbox
	tickets   *tickets
	tasks     *group.Group
	ctx       context.Context

	configuration atomic.Pointer[catalogue.Configuration]
	mayRelay      atomic.Bool
	draining      atomic.Bool
	drained       chan struct{}
	ready         chan struct{}
	readyOnce     sync.Once

	servers sync.Map // backend servers by id: server
	peers   sync.Map // clients of other entry VMs by id: *peer.Client
}

// server is a backend server and the address that its client uses.
type server struct {
	address string
	client  provider.BackendServer
}

// Init prepares the VM for calls of its methods. Run calls it if it wasn't called before.
func (v *VM) Init() {
	if v.mail != nil {
		return
	}
	if v.Timer == nil {
		v.Timer = timer.System{}
	}
	if v.Scope == nil {
		v.Scope = tally.NoopScope
	}
	v.mail, v.tickets = newMailbox(), newTickets()
	v.drained, v.ready = make(chan struct{}), make(chan struct{})
	v.configuration.Store(catalogue.NewConfiguration())
	v.table = &relayedTable{direct: v.Table, relays: make(map[string]provider.Table)}
	v.committer = &commit.Committer{Table: v.table, Timer: v.Timer, Name: v.ID, Scope: v.Scope.SubScope("commit")}
	v.control = v.newControl()
}

func (v *VM) newControl() *dispatch.State {
	now := v.Timer.Now()
	address := ""
	if v.PeerListener != nil {
		address = v.PeerListener.Addr().String()
	}
	// The source of jitter needs no secrecy, only other values in each process.
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &dispatch.State{
		Self: v.ID, Zone: v.Zone, Address: address, Incarnation: uint64(now.UnixNano()),
		Ownership:      &ownership.State{Self: v.ID, Zone: v.Zone},
		Membership:     &membership.State{Self: v.ID, Zone: v.Zone},
		FreshnessLease: &freshness.Grant{Self: v.ID, Duration: v.Freshness},
		Propagation:    &freshness.Acceptance{Self: v.ID, Duration: v.Freshness, Guard: v.Guard},
		Queue:          &queue.Queue{Bound: v.QueueBound},
		Chooser:        &placement.Placer{Zone: v.Zone},
		Ledger:         &quota.Ledger{Holder: v.ID},
		Retries:        &retry.Budget{},
		Backoff:        &retry.Backoff{Random: source},
		Scope:          v.Scope.SubScope("control"),
	}
}

// Run runs the VM until ctx ends or a planned stop is complete. It returns an error only if it can't serve.
func (v *VM) Run(ctx context.Context) error {
	v.Init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.tasks, v.ctx = group.New(ctx)

	v.tasks.Go(func() error { return v.committer.Run(v.ctx) })
	v.tasks.Go(func() error { return v.servePeers(v.ctx) })
	ticks := v.Timer.Every(dispatch.TickInterval, func(time.Time) { v.mail.post(dispatch.Tick{}) })
	defer ticks.Stop()
	v.tasks.Go(func() error {
		defer cancel()
		return v.loop(v.ctx)
	})
	err := v.tasks.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain starts a planned stop. Run returns once it is complete.
func (v *VM) Drain() {
	if v.draining.CompareAndSwap(false, true) {
		klog.InfoS("Draining", "vm", v.ID)
		v.mail.post(dispatch.DrainRequested{})
	}
}

// Draining reports whether a planned stop has begun.
func (v *VM) Draining() bool { return v.draining.Load() }

// Ready is closed once the VM may act on its configuration and is known to all others.
func (v *VM) Ready() <-chan struct{} { return v.ready }

// loop is the control goroutine: it alone touches the control state.
func (v *VM) loop(ctx context.Context) error {
	v.carryOut(v.control.Start(v.Timer.Now()))
	var events []dispatch.Event
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.drained:
			return nil
		case <-v.mail.wake:
		}
		events = v.mail.take(events)
		for _, e := range events {
			v.carryOut(v.control.Handle(e, v.Timer.Now()))
		}
		v.publishState()
	}
}

func (v *VM) publishState() {
	now := v.Timer.Now()
	known := v.control.Propagation.MayAuthor(now)
	v.mayRelay.Store(known)
	v.committer.SetCommitters(max(len(v.control.FreshnessLease.Members()), 1))
	if known && v.control.Fresh(now) {
		v.readyOnce.Do(func() {
			klog.InfoS("Ready", "vm", v.ID, "zone", v.Zone, "configuration", v.control.Configuration().Version())
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
		Handler: v, Table: guardedTable{table: v.Table, allowed: &v.mayRelay}, Secret: v.PeerSecret, Timer: v.Timer,
	}
	s := &http.Server{
		Handler: protocol.HTTPHandler(), ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout,
	}
	v.tasks.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(s.Close(), "close the listener for peers")
	})
	if err := s.Serve(v.PeerListener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}
