// Package deployment runs the process of an entry VM on the users' platform. It takes the settings of the platform, and
// connects the other packages: it serves the calls of customers, watches the configuration of the operators, and takes
// part in the election of the leader. The leader runs the controller, which schedules the work of the whole fleet.
package deployment

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/relay"
	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/timer"
)

// VM is an entry VM. Its exported fields must be set before Init and Run.
type VM struct {
	Settings     *platform.Settings
	Clock        timer.Clock
	Scope        tally.Scope
	WriteMetrics func(io.Writer) error
	// AcceptLate makes the entry VM accept jobs that would certainly end after their hard deadline.
	AcceptLate bool
	// IgnoreWeights makes it share a pool without regard to the weights of customers while it is the leader.
	IgnoreWeights bool
	// DisableServerSpeed makes this VM treat all backend servers as equally fast while it is the leader.
	DisableServerSpeed bool
	// DisableCopies and DisableRunMoves make it place no copies of tasks, and move no runs off slow servers.
	DisableCopies, DisableRunMoves bool

	// loadsAll says that a new controller reads all rows of progress before it starts, as some were stored by an earlier release
	// without copies of their jobs.
	loadsAll atomic.Bool

	// operatorRows holds the rows of operators that this entry VM has seen.
	operatorRows presentRows

	client     *platform.Client
	directory  *directory.Cache
	handler    *intake.Handler
	bodies     *requestbody.Budget // of customers, probes and readers of metrics
	control    *platform.Table
	committer  *commit.Committer // writes the control partition
	goroutines *group.Group
	processID  int64 // start time of the process in Unix milliseconds
	stopping   atomic.Bool
	fullFor    atomic.Int64                    // by the last known state of the leader: fleet.Term.FullFor
	forecast   atomic.Pointer[intake.Forecast] // the last known one, or nil
	drained    chan struct{}                   // closed when the graceful shutdown is complete

	// controller is nil while this entry VM isn't the leader.
	controller atomic.Pointer[controller]
}

// Run serves until ctx ends or a planned stop is complete. The error tells which address can't be listened on, or
// why a goroutine failed. It is nil if Run was stopped.
func (v *VM) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.Init()
	v.goroutines, ctx = group.New(ctx)
	klog.InfoS("Entry VM started", "vm", v.Settings.Name(), "zone", v.Settings.Zone(), "process", v.processID,
		"processors", v.Settings.Processors(), "memory-mb", v.Settings.MemoryMB())
	v.goroutines.Go(func() error { return v.committer.Run(ctx) })
	if err := v.listen(ctx); err != nil {
		return err
	}
	v.goroutines.Go(func() error { return v.watchOperators(ctx) })
	v.goroutines.Go(func() error { return v.runElection(ctx) })
	v.goroutines.Go(func() error {
		select {
		case <-v.drained:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := v.goroutines.Wait()
	klog.InfoS("Entry VM stopped", "vm", v.Settings.Name())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Init prepares the VM so that its other methods can be called. Run calls it if it wasn't called before.
func (v *VM) Init() {
	if v.handler != nil {
		return
	}
	now := v.Clock.Now()
	v.processID = now.UnixMilli()
	v.client = platform.NewClient()
	v.client.LinkMbps = v.Settings.LinkMbps()
	v.directory = &directory.Cache{}
	v.drained = make(chan struct{})
	v.control = &platform.Table{Client: v.client, Address: v.Settings.StoreAddress(), Partition: "control"}
	v.committer = &commit.Committer{
		Table: v.control, Clock: v.Clock, Name: v.Settings.Name(), MaxRate: maxCommitsPerSecond, MaxRowRate: maxRowsPerSecond,
		MaxRows: maxRowsPerCommit, Scope: v.Scope.SubScope("commit"),
	}
	v.bodies = &requestbody.Budget{Bytes: v.Settings.BodyMemory(), Clock: v.Clock, Scope: v.Scope.SubScope("bodies")}
	v.handler = &intake.Handler{
		Configuration: v.directory, ControlTable: v.control, Clock: v.Clock, Scope: v.Scope.SubScope("intake"),
		FullFor:   func() time.Duration { return time.Duration(v.fullFor.Load()) },
		MaxKeyAge: v.Settings.RevocationLimit() - keyAgeMargin, StoreContactTimeout: storeContactTimeout,
	}
	if !v.AcceptLate {
		v.handler.Forecast = v.lastForecast
	}
	for partition := range v.handler.JobTables {
		v.handler.JobTables[partition] = v.jobPartition(partition)
	}
}

// jobPartition returns a store partition with jobs by its number.
func (v *VM) jobPartition(partition int) *platform.Table {
	return &platform.Table{
		Client: v.client, Address: v.Settings.StoreAddress(), Partition: intake.PartitionName(partition),
	}
}

// listen opens the addresses for customers, readiness probes and metrics, and serves them.
func (v *VM) listen(ctx context.Context) error {
	customers, err := platform.Listen(v.Settings.CustomerAddress(), v.Clock)
	if err != nil {
		return errors.Wrap(err, "listen for customers")
	}
	probes, err := platform.Listen(v.Settings.ProbeAddress(), v.Clock)
	if err != nil {
		return errors.Wrap(err, "listen for probes")
	}
	ingress := &platform.Ingress{
		Listener: customers, Handler: v.handler, Clock: v.Clock, MaxConnections: v.Settings.MaxCustomerConnections(),
		Stopping: v.stopping.Load, Bodies: v.bodies, MaxBodyBytes: v.maxBodyBytes,
	}
	v.goroutines.Go(func() error { return ingress.Run(ctx) })
	probeServer := &platform.ProbeServer{Listener: probes, Ready: v.Ready, Bodies: v.bodies}
	v.goroutines.Go(func() error { return probeServer.Run(ctx) })
	if err := v.listenForLeaders(ctx); err != nil {
		return err
	}
	if v.Settings.MetricsAddress() == "" {
		return nil
	}
	metrics, err := platform.Listen(v.Settings.MetricsAddress(), v.Clock)
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	metricsServer := &platform.ProbeServer{Listener: metrics, Ready: v.Ready, Bodies: v.bodies, WriteMetrics: v.WriteMetrics, Explain: v.Explain}
	v.goroutines.Go(func() error { return metricsServer.Run(ctx) })
	return nil
}

// listenForLeaders serves as a relay for leaders, if the settings give an address for it.
func (v *VM) listenForLeaders(ctx context.Context) error {
	address := v.Settings.RelayAddress()
	if address == "" {
		return nil
	}
	l, err := platform.Listen(address, v.Clock)
	if err != nil {
		return errors.Wrap(err, "listen for leaders")
	}
	scope := v.Scope.SubScope("relay")
	s := &relay.Server{
		Listener: l, Sender: platform.NewBackendClient(), Clock: v.Clock, Scope: scope,
		Frames: relay.NewFrameBudget(v.Clock, scope.SubScope("frames")),
	}
	v.goroutines.Go(func() error { return s.Run(ctx) })
	v.goroutines.Go(func() error { return v.announce(ctx, l.Addr().String()) })
	return nil
}

// maxBodyBytes returns the limit of a body by the configuration in effect, or 0 if there is none.
func (v *VM) maxBodyBytes() int {
	if snapshot, _ := v.directory.Snapshot(); snapshot != nil {
		return snapshot.MaxBodyBytes()
	}
	return 0
}

// Ready reports whether the entry VM accepts new connections: it has a configuration, the store has responded within
// storeContactTimeout, and no shutdown has started.
func (v *VM) Ready() bool {
	snapshot, _ := v.directory.Snapshot()
	return snapshot != nil && !v.stopping.Load() && v.Clock.Now().Sub(v.directory.LastContact()) < storeContactTimeout
}

// Drain starts a planned stop: a leader resigns, and customers are served until shutdownReserve before the end of
// the grace period. Run returns then.
func (v *VM) Drain() {
	if !v.stopping.CompareAndSwap(false, true) {
		return
	}
	klog.InfoS("Entry VM draining", "vm", v.Settings.Name(), "grace", v.Settings.GracePeriod())
	if c := v.controller.Load(); c != nil {
		c.resign()
	}
	v.Clock.After(v.Settings.GracePeriod()-shutdownReserve, func(time.Time) { close(v.drained) })
}

// Reload logs changed settings. It applies none of them: addresses, bounds and limits stay as they were at the start of
// the process, because the platform restarts a process when its placement changes.
func (v *VM) Reload(s *platform.Settings) {
	klog.InfoS("Settings file changed; a restart applies it", "vm", v.Settings.Name(), "name-in-file", s.Name(),
		"revoke-bound", s.RevocationLimit(), "store", s.StoreAddress())
}
