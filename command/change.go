package command

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newChange() *cli.Command {
	return &cli.Command{
		Name:        "change",
		Usage:       "shows whether a configuration version is in force",
		ArgsUsage:   "VERSION",
		Description: "Exits with 0 if it is in force and with 6 while it is pending.\n\nExample: pistachiolead change 17",
		Flags:       clientFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := argument(c, "VERSION")
			if err != nil {
				return err
			}
			version, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return usageError{errors.Errorf("the configuration version is %q; allowed is a non-negative integer", text)}
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			ch, err := client.GetChange(version)
			if err != nil {
				return err
			}
			return printChange(c, ch, "change")
		},
	}
}
