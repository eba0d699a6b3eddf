package command

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/settings"
	"github.com/pistachiolead/pistachiolead/timer"
)

func newPlatform() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "runs a stand-in of the platform and of the backend servers, which keeps all data in memory",
		Description: "Example: pistachiolead platform --file examples/omotnica/platform.yaml",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "file", Usage: "the platform `FILE`", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			doc, err := settings.LoadStandIn(c.String("file"))
			if err != nil {
				return usageError{err}
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			p := standin.NewPlatform(doc.VMs(), timer.System{})
			for _, b := range p.Backends {
				b.LeaseDuration = doc.LeaseDuration()
			}
			s := &remote.Server{Address: doc.Listen(), Platform: p}
			if err := s.Listen(); err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "platform at %s\n", s.Address)
			return s.Run(ctx)
		},
	}
}
