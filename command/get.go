package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func newGet() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "prints the catalogue as YAML",
		Description: "Example: pistachiolead get > catalogue.yaml",
		Flags:       clientFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			client, err := newClient(c)
			if err != nil {
				return err
			}
			cat, err := client.GetCatalogue()
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if wantsJSON(c) {
				return printJSON(out, cat.JSON())
			}
			fmt.Fprintf(out, "# configuration %d: %s\n%s", cat.Version(), cat.LastChange(), cat.Document())
			return nil
		},
	}
}
