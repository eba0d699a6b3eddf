package command

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"flag"
	"net/netip"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/entry"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/metrics"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/settings"
	"github.com/pistachiolead/pistachiolead/socket"
	"github.com/pistachiolead/pistachiolead/timer"
)

// acceptedUserTimeout closes an accepted connection whose peer doesn't acknowledge what was sent.
const acceptedUserTimeout = 10 * time.Second

func newServe() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "runs an entry VM",
		Description: "SIGTERM or SIGINT starts a planned stop: no new work is accepted, and present work is finished or\n" +
			"handed over. A second signal ends the process at once.\n\nExample: pistachiolead serve --settings settings.yaml",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := settings.Load(c.String("settings"))
			if err != nil {
				return usageError{err}
			}
			if a, err := netip.ParseAddrPort(cfg.PeerListen()); err != nil || !a.Addr().IsLoopback() {
				return usageError{errors.Errorf(
					"%s: peer-listen: found %s, allowed: a loopback address, because entry VMs don't use TLS to each other yet",
					c.String("settings"), cfg.PeerListen())}
			}
			return serve(ctx, cfg)
		},
	}
}

// process has the parts of an entry VM's process. The container fills its fields by type.
type process struct {
	dig.In

	Settings *settings.Settings
	Timer    timer.Clock
	Metrics  *metrics.Registry
	VM       *entry.VM
	Server   *api.Server
}

// serve wires and runs an entry VM until a planned stop is complete.
func serve(ctx context.Context, cfg *settings.Settings) error {
	setVerbosity(cfg.LogVerbosity())
	c := dig.New()
	providers := []any{
		func() *settings.Settings { return cfg },
		func() timer.Clock { return timer.System{} },
		func() *metrics.Registry { return metrics.New(metricsInterval) },
		provideBodies,
		provideVM,
		provideServer,
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return errors.Wrap(err, "register the parts of the entry VM")
		}
	}
	err := c.Invoke(func(p process) error { return p.run(ctx) })
	return errors.WithMessage(dig.RootCause(err), "entry VM "+cfg.Name())
}

// provideBodies returns the budget for the bodies of callers and the messages of other entry VMs.
func provideBodies(cfg *settings.Settings, t timer.Clock, m *metrics.Registry) *requestbody.Budget {
	return &requestbody.Budget{Bytes: api.BodyMemory(cfg.MaxBodyBytes()), Clock: t, Scope: m.Scope().SubScope("bodies")}
}

func provideVM(cfg *settings.Settings, t timer.Clock, m *metrics.Registry, bodies *requestbody.Budget) (*entry.VM, error) {
	listener, err := socket.Listen("tcp", cfg.PeerListen(), acceptedUserTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other entry VMs")
	}
	return &entry.VM{
		ID: cfg.Name(), Zone: cfg.Zone(), PeerListener: listener, Bodies: bodies, Clock: t, Scope: m.Scope(),
		Table:      &remote.Table{Address: cfg.Platform()},
		Objects:    &remote.Objects{Address: cfg.Platform()},
		List:       &remote.VMs{Address: cfg.Platform()},
		Connect:    func(v provider.VM) provider.BackendServer { return &remote.Backend{Address: v.Address()} },
		QueueBound: cfg.QueueBound(), FreshnessLeaseDuration: cfg.FreshnessLeaseDuration(),
		GuardInterval: cfg.GuardInterval(),
	}, nil
}

func provideServer(
	cfg *settings.Settings, v *entry.VM, m *metrics.Registry, bodies *requestbody.Budget,
) (*api.Server, error) {
	listener, err := socket.Listen("tcp", cfg.Listen(), acceptedUserTimeout)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	if files := cfg.TLS(); files.CertificatePath() != "" {
		pair, err := tls.LoadX509KeyPair(files.CertificatePath(), files.KeyPath())
		if err != nil {
			return nil, errors.Wrap(err, "load the TLS certificate")
		}
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12})
	}
	return &api.Server{
		VM: v, Listener: listener, Random: rand.Reader, WriteMetrics: m.WriteText, Bodies: bodies, MaxBodyBytes: cfg.MaxBodyBytes(),
		ReadTimeout: cfg.ReadTimeout(), WriteTimeout: cfg.WriteTimeout(), IdleTimeout: cfg.IdleTimeout(),
		MaxWait: cfg.MaxWait(),
	}, nil
}

// run runs the entry VM until a planned stop is complete.
func (p process) run(ctx context.Context) error {
	p.VM.Init()
	signals, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tasks, ctx := group.New(ctx)

	tasks.Go(func() error { return p.Server.Run(ctx) })
	tasks.Go(func() error {
		defer cancel()
		return p.VM.Run(ctx)
	})
	tasks.Go(func() error {
		select {
		case <-signals.Done():
		case <-ctx.Done():
			return nil
		}
		// Restores the default action, so that a second signal ends the process.
		stop()
		p.drain(ctx, cancel)
		return nil
	})
	err := tasks.Wait()
	klog.Flush()
	if closeErr := p.Metrics.Close(); err == nil {
		err = closeErr
	}
	return err
}

// drain starts a planned stop. It cancels what still runs after the drain timeout, and returns when ctx ends.
func (p process) drain(ctx context.Context, cancel context.CancelFunc) {
	p.VM.Drain()
	timeout := p.Timer.After(p.Settings.DrainTimeout(), func(time.Time) {
		klog.InfoS("Planned stop exceeded the drain timeout, cancelling it",
			"vm", p.Settings.Name(), "timeout", p.Settings.DrainTimeout())
		cancel()
	})
	defer timeout.Stop()
	<-ctx.Done()
}

// setVerbosity sets the verbosity of log messages.
func setVerbosity(v int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", strconv.Itoa(v)); err != nil {
		panic(err) // the flag exists and takes any integer
	}
}
