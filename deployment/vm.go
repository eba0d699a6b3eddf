// Package deployment runs an entry VM on the users' platform: it serves customers, follows the configuration, and takes
// control of the fleet when no other entry VM has it.
package deployment

import (
	"context"
	"io"
	"net"
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
	"github.com/pistachiolead/pistachiolead/timer"
)

// VM is an entry VM. Its exported fields are set before Run.
type VM struct {
	Settings     *platform.Settings
	Timer        timer.Service
	Scope        tally.Scope
	WriteMetrics func(io.Writer) error

	client    *platform.Client
	directory *directory.Current
	desk      *intake.Desk
	control   *platform.Table
	committer *commit.Committer // of the control part
	tasks     *group.Group
	process   int64
	stopping  atomic.Bool
	drained   chan struct{}

	controller atomic.Pointer[controller]
}

// Run serves until ctx ends or a planned stop is complete.
func (v *VM) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.Init()
	v.tasks, ctx = group.New(ctx)
	klog.InfoS("Start", "vm", v.Settings.Name(), "zone", v.Settings.Zone(), "process", v.process,
		"processors", v.Settings.Processors(), "memory-mb", v.Settings.MemoryMB())
	v.tasks.Go(func() error { return v.committer.Run(ctx) })
	if err := v.listen(ctx); err != nil {
		return err
	}
	v.tasks.Go(func() error { return v.followOperators(ctx) })
	v.tasks.Go(func() error { return v.watchTerm(ctx) })
	v.tasks.Go(func() error {
		select {
		case <-v.drained:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := v.tasks.Wait()
	klog.InfoS("Stop", "vm", v.Settings.Name())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Init prepares the VM for calls of its methods. Run calls it if it wasn't called before.
func (v *VM) Init() {
	if v.desk != nil {
		return
	}
	now := v.Timer.Now()
	v.process = now.UnixMilli()
	v.client = platform.NewClient()
	v.directory = &directory.Current{}
	v.drained = make(chan struct{})
	v.control = &platform.Table{Client: v.client, Address: v.Settings.StoreAddress(), Partition: "control"}
	v.committer = &commit.Committer{
		Table: v.control, Timer: v.Timer, Name: v.Settings.Name(), MaxRate: commitRate, MaxRowRate: commitRowRate,
		MaxRows: commitRows, Scope: v.Scope.SubScope("commit"),
	}
	v.desk = &intake.Desk{
		Directory: v.directory, Control: v.control, Timer: v.Timer, Scope: v.Scope.SubScope("intake"),
		KeyTrust: v.Settings.RevocationLimit() - keyTrustMargin, StoreSilence: storeSilence,
	}
	for part := range v.desk.Jobs {
		v.desk.Jobs[part] = v.jobTable(part)
	}
}

// jobTable returns the part of the store with some of the jobs.
func (v *VM) jobTable(part int) *platform.Table {
	return &platform.Table{Client: v.client, Address: v.Settings.StoreAddress(), Partition: intake.PartName(part)}
}

func (v *VM) listen(ctx context.Context) error {
	customers, err := net.Listen("tcp4", v.Settings.CustomerAddress())
	if err != nil {
		return errors.Wrap(err, "listen for customers")
	}
	probes, err := net.Listen("tcp4", v.Settings.ProbeAddress())
	if err != nil {
		return errors.Wrap(err, "listen for probes")
	}
	ingress := &platform.Ingress{Listener: customers, Desk: v.desk, Timer: v.Timer, Stopping: v.stopping.Load}
	v.tasks.Go(func() error { return ingress.Run(ctx) })
	v.tasks.Go(func() error { return (&platform.ProbeServer{Listener: probes, Ready: v.Ready}).Run(ctx) })
	if v.Settings.MetricsAddress() == "" {
		return nil
	}
	metrics, err := net.Listen("tcp4", v.Settings.MetricsAddress())
	if err != nil {
		return errors.Wrap(err, "listen for metrics")
	}
	served := &platform.ProbeServer{Listener: metrics, Ready: v.Ready, WriteMetrics: v.WriteMetrics}
	v.tasks.Go(func() error { return served.Run(ctx) })
	return nil
}

// Ready reports whether new connections are welcome: the store was heard of lately, and no stop has begun.
func (v *VM) Ready() bool {
	snapshot, _ := v.directory.Snapshot()
	return snapshot != nil && !v.stopping.Load() && v.Timer.Now().Sub(v.directory.Heard()) < storeSilence
}

// Drain starts a planned stop: control is given up, and customers are served until the grace period is nearly over.
func (v *VM) Drain() {
	if !v.stopping.CompareAndSwap(false, true) {
		return
	}
	klog.InfoS("Draining", "vm", v.Settings.Name(), "grace", v.Settings.GracePeriod())
	if c := v.controller.Load(); c != nil {
		c.stop()
	}
	v.Timer.After(v.Settings.GracePeriod()-drainReserve, func(time.Time) { close(v.drained) })
}

// Reload takes in settings that changed. Addresses, bounds and limits stay as they were at the start of the process:
// the platform restarts a process whose place changes.
func (v *VM) Reload(s *platform.Settings) {
	klog.InfoS("Settings reloaded", "vm", v.Settings.Name(), "name-in-file", s.Name(),
		"revoke-bound", s.RevocationLimit(), "store", s.StoreAddress())
}
