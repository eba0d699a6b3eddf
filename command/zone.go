package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newZone() *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "takes availability zones out of service and brings them back",
		Description: "Example: pistachiolead zone out zagreb-2",
		Commands: []*cli.Command{
			{
				Name:        "out",
				Usage:       "takes an availability zone out; nothing starts there any more",
				ArgsUsage:   "ZONE",
				Description: "Give all entry VMs by --address, so that one that is cut off hears of it too.\n\nExample: pistachiolead zone out zagreb-2",
				Flags:       clientFlags(&cli.BoolFlag{Name: "force", Usage: "also if an availability budget is exceeded"}),
				Action:      func(_ context.Context, c *cli.Command) error { return setZone(c, true) },
			},
			{
				Name:        "back",
				Usage:       "brings an availability zone back into service",
				ArgsUsage:   "ZONE",
				Description: "Example: pistachiolead zone back zagreb-2",
				Flags:       clientFlags(),
				Action:      func(_ context.Context, c *cli.Command) error { return setZone(c, false) },
			},
		},
	}
}

func setZone(c *cli.Command, out bool) error {
	zone, err := argument(c, "ZONE")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ch, err := client.SetZone(zone, out, c.Bool("force"))
	if err != nil {
		return err
	}
	what := "availability zone " + zone + " is back"
	if out {
		what = "availability zone " + zone + " is out"
	}
	return printChange(c, ch, what)
}
