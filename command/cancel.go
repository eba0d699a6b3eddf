package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newCancel() *cli.Command {
	return &cli.Command{
		Name:        "cancel",
		Usage:       "cancels a request of your team and prints whether it ran",
		ArgsUsage:   "REQUEST-ID",
		Description: "Example: pistachiolead cancel 4f9c1a",
		Flags:       clientFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			id, err := argument(c, "REQUEST-ID")
			if err != nil {
				return err
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			job, err := client.Cancel(id)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				fmt.Fprintf(c.Root().Writer, "%s", job.JSON())
				return nil
			}
			fmt.Fprintln(c.Root().Writer, job.State())
			return nil
		},
	}
}
