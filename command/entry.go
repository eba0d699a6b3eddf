package command

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"go.uber.org/dig"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/deployment"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/logbook"
	"github.com/pistachiolead/pistachiolead/metrics"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// gcPercent is the target percentage of the garbage collector (GOGC). It is below the default of 100 because the
	// peak memory of the VM is billed, and because the live heap is small enough for frequent collections.
	gcPercent = 60
	// memoryLimitDivisor sets the memory limit of the runtime (GOMEMLIMIT) to a quarter of the VM's memory. The garbage
	// collector runs more often near the limit.
	memoryLimitDivisor = 4
)

func newEntry() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "runs an entry VM on the users' platform",
		Description: "The environment variable " + platform.SettingsVariable + " names the platform's settings file.\n" +
			"SIGTERM or SIGINT starts a planned stop; SIGHUP reloads the settings.\n\nExample: pistachiolead entry",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true,
			},
			&cli.BoolFlag{
				Name: "refuse-late", Value: true,
				Usage: "refuses jobs that would certainly end after their hard deadline; --refuse-late=false accepts them",
			},
			&cli.BoolFlag{Name: "customer-weights", Value: true, Usage: "share a pool by the weights of customers while its capacity doesn't suffice"},
			&cli.IntFlag{Name: "verbosity", Usage: "the log `LEVEL`: 0 for changes and failures, 1 for each run of a task too"},
			&cli.BoolFlag{Name: "server-speed", Value: true, Usage: "prefer backend servers of normal speed to slow ones"},
			&cli.BoolFlag{Name: "copies", Value: true, Usage: "copy slow runs of tasks that may run twice; needs --server-speed"},
			&cli.BoolFlag{Name: "move-runs", Value: true, Usage: "move runs with checkpoints off slow servers; needs --server-speed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			cfg, err := platform.LoadSettings(path)
			if err != nil {
				return usageError{err}
			}
			return runEntry(ctx, cfg, entryOptions{
				path: path, verbosity: c.Int("verbosity"), acceptLate: !c.Bool("refuse-late"),
				ignoreWeights: !c.Bool("customer-weights"), disableServerSpeed: !c.Bool("server-speed"),
				disableCopies: !c.Bool("copies"), disableRunMoves: !c.Bool("move-runs"),
			})
		},
	}
}

// entryProcess has the parts of an entry VM's process on the users' platform. The container fills its fields by type.
type entryProcess struct {
	dig.In

	Timer   timer.Clock
	Metrics *metrics.Registry
	VM      *deployment.VM
	// Path is the path of the settings file, which is read again on SIGHUP.
	Path string
}

// entryOptions are the options of the command.
type entryOptions struct {
	path               string // of the settings file
	verbosity          int
	acceptLate         bool
	ignoreWeights      bool
	disableServerSpeed bool
	disableCopies      bool
	disableRunMoves    bool
}

// runEntry wires and runs an entry VM until a planned stop is complete.
func runEntry(ctx context.Context, cfg *platform.Settings, o entryOptions) error {
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB() > 0 {
		debug.SetMemoryLimit(cfg.MemoryMB() << 20 / memoryLimitDivisor)
	}
	logs := &logbook.Writer{Output: os.Stdout, Clock: timer.NewBoot()}
	defer logs.RedirectKlog(o.verbosity)()
	c := dig.New()
	providers := []any{
		func() *platform.Settings { return cfg },
		func() timer.Clock { return timer.NewBoot() },
		func() *metrics.Registry { return metrics.New(metricsInterval) },
		func(m *metrics.Registry) tally.Scope { return m.Scope() },
		func() string { return o.path },
		func(s *platform.Settings, t timer.Clock, m *metrics.Registry) *deployment.VM {
			return &deployment.VM{
				Settings: s, Clock: t, Scope: m.Scope(), WriteMetrics: m.WriteText, AcceptLate: o.acceptLate,
				IgnoreWeights: o.ignoreWeights, DisableServerSpeed: o.disableServerSpeed, DisableCopies: o.disableCopies,
				DisableRunMoves: o.disableRunMoves,
			}
		},
	}
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return errors.Wrap(err, "register the parts of the entry VM")
		}
	}
	err := c.Invoke(func(p entryProcess) error { return p.run(ctx) })
	if err = dig.RootCause(err); err != nil {
		klog.ErrorS(err, "Entry VM failed", "vm", cfg.Name())
	}
	return errors.WithMessage(err, "entry VM "+cfg.Name())
}

// run runs the entry VM until a planned stop is complete.
func (p entryProcess) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.VM.Init()
	// Each signal has a channel of its own: one that arrives while another waits in the channel would be lost.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(stops)
	defer signal.Stop(reloads)
	tasks, ctx := group.New(ctx)
	tasks.Go(func() error {
		defer cancel()
		return p.VM.Run(ctx)
	})
	tasks.Go(func() error {
		select {
		case <-stops:
			p.VM.Drain()
		case <-ctx.Done():
		}
		return nil
	})
	tasks.Go(func() error {
		for {
			select {
			case <-reloads:
				p.reload()
			case <-ctx.Done():
				return nil
			}
		}
	})
	err := tasks.Wait()
	if closeErr := p.Metrics.Close(); err == nil {
		err = closeErr
	}
	return err
}

// reload reads the settings again.
func (p entryProcess) reload() {
	cfg, err := platform.LoadSettings(p.Path)
	if err != nil {
		klog.ErrorS(err, "Failed to reload settings", "path", p.Path)
		return
	}
	p.VM.Reload(cfg)
}
