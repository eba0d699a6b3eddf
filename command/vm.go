package command

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
)

func newVM() *cli.Command {
	reason := &cli.StringFlag{Name: "reason", Usage: "a `TEXT` that is recorded with the change"}
	force := &cli.BoolFlag{Name: "force", Usage: "even if the availability budget is exceeded"}
	return &cli.Command{
		Name:        "vm",
		Usage:       "takes VMs out of service, restores them and moves them between pools",
		Description: "Example: pistachiolead vm out backend-a-03 --reason 'new memory'",
		Commands: []*cli.Command{
			{
				Name: "out", Usage: "takes a VM out of service", ArgsUsage: "VM", Flags: clientFlags(reason, force),
				Description: "Example: pistachiolead vm out backend-a-03 --reason 'new memory'",
				Action: func(_ context.Context, c *cli.Command) error {
					return setVM(c, api.VMUpdate{State: "out"}, "is out")
				},
			},
			{
				Name: "back", Usage: "restores a VM to service", ArgsUsage: "VM", Flags: clientFlags(reason),
				Description: "Example: pistachiolead vm back backend-a-03",
				Action: func(_ context.Context, c *cli.Command) error {
					return setVM(c, api.VMUpdate{State: "in"}, "is back")
				},
			},
			{
				Name: "move", Usage: "moves a VM to another pool", ArgsUsage: "VM",
				Flags:       clientFlags(reason, force, &cli.StringFlag{Name: "pool", Usage: "the new `POOL`", Required: true}),
				Description: "Example: pistachiolead vm move backend-a-03 --pool proofs",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.String("pool") == "" {
						return usageError{errors.New("--pool is empty; set the name of a pool")}
					}
					return setVM(c, api.VMUpdate{Pool: c.String("pool")}, "is in pool "+c.String("pool"))
				},
			},
		},
	}
}

// setVM changes the VM that the argument names and prints the state of the change.
func setVM(c *cli.Command, u api.VMUpdate, description string) error {
	id, err := argument(c, "VM")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	u.Reason, u.Force = c.String("reason"), c.Bool("force")
	ch, err := client.SetVM(id, u)
	if err != nil {
		return err
	}
	return printChange(c, ch, "VM "+id+" "+description)
}
