package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/settings"
)

func newCheck() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "checks settings, platform and catalogue files without starting anything",
		Description: "Example: pistachiolead check --settings settings.yaml --catalogue catalogue.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the settings `FILE` of an entry VM"},
			&cli.StringFlag{Name: "platform", Usage: "the `FILE` of the platform stand-in"},
			&cli.StringFlag{Name: "catalogue", Usage: "the catalogue `FILE`"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			checks := []struct {
				flag  string
				check func(path string) error
			}{
				{"settings", func(path string) error { _, err := settings.Load(path); return err }},
				{"platform", func(path string) error { _, err := settings.LoadStandIn(path); return err }},
				{"catalogue", func(path string) error { _, err := loadCatalogue(path); return err }},
			}
			checked := 0
			for _, k := range checks {
				path := c.String(k.flag)
				if path == "" {
					continue
				}
				if err := k.check(path); err != nil {
					return usageError{err}
				}
				fmt.Fprintf(c.Root().Writer, "%s: ok\n", path)
				checked++
			}
			if checked == 0 {
				return usageError{errors.New("no file is given; set at least one of --settings, --platform and --catalogue")}
			}
			return nil
		},
	}
}

func loadCatalogue(path string) (*catalogue.Catalogue, error) {
	data, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	c, err := catalogue.Parse(data, path)
	if err != nil {
		return nil, usageError{err}
	}
	return c, nil
}
