package command

import (
	"context"

	"github.com/urfave/cli/v3"
)

func newStatus() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "shows the status of an entry VM and its view of the fleet",
		Description: "Example: pistachiolead status --address 127.0.0.1:7100",
		Flags:       clientFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			st, err := client.GetStatus()
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if wantsJSON(c) {
				return printJSON(out, st.JSON())
			}
			return st.WriteText(out)
		},
	}
}
