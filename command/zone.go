package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newZone() *cli.Command {
	return &cli.Command{
		Name:        "zone",
		Usage:       "takes availability zones out of service and restores them",
		Description: "Example: pistachiolead zone out zagreb-2",
		Commands: []*cli.Command{
			{
				Name:      "out",
				Usage:     "takes an availability zone out of service; no more work starts there",
				ArgsUsage: "ZONE",
				Description: "Give the addresses of all entry VMs, so that one that can't communicate with the others applies the\n" +
					"change too.\n\nExample: pistachiolead zone out zagreb-2",
				Flags:  clientFlags(&cli.BoolFlag{Name: "force", Usage: "even if an availability budget is exceeded"}),
				Action: func(_ context.Context, c *cli.Command) error { return setZone(c, true) },
			},
			{
				Name:        "back",
				Usage:       "restores an availability zone to service",
				ArgsUsage:   "ZONE",
				Description: "Example: pistachiolead zone back zagreb-2",
				Flags:       clientFlags(),
				Action:      func(_ context.Context, c *cli.Command) error { return setZone(c, false) },
			},
		},
	}
}

// setZone changes the zone that the argument names and prints the state of the change.
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
	description := "availability zone " + zone + " is back"
	if out {
		description = "availability zone " + zone + " is out"
	}
	return printChange(c, ch, description)
}
