package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/catalogue"
)

func newApply() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replaces the catalogue with a YAML document",
		ArgsUsage: "FILE (- for standard input)",
		Description: "The change is refused if the configuration has changed since the base version.\n\n" +
			"Example: pistachiolead apply --dry-run catalogue.yaml",
		Flags: clientFlags(
			&cli.BoolFlag{Name: "dry-run", Usage: "only show what would change"},
			&cli.Uint64Flag{
				Name:  "base-version",
				Usage: "the configuration `VERSION` that the document was made from; the present one if omitted",
			},
		),
		Action: func(_ context.Context, c *cli.Command) error { return putCatalogue(c, c.Bool("dry-run")) },
	}
}

func newDiff() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "shows what applying a YAML document would change",
		ArgsUsage:   "FILE (- for standard input)",
		Description: "Example: pistachiolead diff catalogue.yaml",
		Flags:       clientFlags(),
		Action:      func(_ context.Context, c *cli.Command) error { return putCatalogue(c, true) },
	}
}

// putCatalogue sends the document to an entry VM and prints the result. A dry run only prints the differences.
func putCatalogue(c *cli.Command, dryRun bool) error {
	path, err := argument(c, "FILE")
	if err != nil {
		return err
	}
	data, err := readDocument(path)
	if err != nil {
		return err
	}
	if _, err := catalogue.Parse(data, path); err != nil {
		return usageError{err}
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	base, err := baseVersion(c, client)
	if err != nil {
		return err
	}
	ch, err := client.PutCatalogue(data, base, dryRun)
	if err != nil {
		return err
	}
	return printChange(c, ch, "catalogue")
}

// baseVersion returns the configuration version that the document was made from.
func baseVersion(c *cli.Command, client *api.Client) (uint64, error) {
	if c.IsSet("base-version") {
		return c.Uint64("base-version"), nil
	}
	now, err := client.GetCatalogue()
	return now.Version(), err
}
