package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/local"
	"github.com/pistachiolead/pistachiolead/provider/remote"
	"github.com/pistachiolead/pistachiolead/settings"
	"github.com/pistachiolead/pistachiolead/timer"
)

func newInit() *cli.Command {
	return &cli.Command{
		Name:  "init",
		Usage: "stores the first configuration in an empty table and prints an administrator's key, which is shown only once",
		Description: "The first pool of each VM is read from the platform file, if one is given.\n\n" +
			"Example: pistachiolead init --table 127.0.0.1:7000 --catalogue catalogue.yaml --platform platform.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "table", Usage: "`HOST:PORT` of the platform's table", Required: true},
			&cli.StringFlag{Name: "catalogue", Usage: "the first catalogue `FILE`"},
			&cli.StringFlag{Name: "platform", Usage: "the platform `FILE`, which has the first pool of each VM"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cat, pools, err := firstConfiguration(c)
			if err != nil {
				return err
			}
			secret, err := local.Initialize(ctx, &remote.Table{Address: c.String("table")}, cat, pools, timer.System{}.Now())
			if err != nil {
				return codedError{error: err, code: ExitNotRun}
			}
			fmt.Fprintln(c.Root().Writer, secret)
			return nil
		},
	}
}

// firstConfiguration reads the first catalogue, which is nil if no file is given, and the first pool of each VM.
func firstConfiguration(c *cli.Command) (*catalogue.Catalogue, map[string]string, error) {
	pools := make(map[string]string)
	if c.String("catalogue") == "" {
		if c.String("platform") != "" {
			return nil, nil, usageError{errors.New("--platform is given without --catalogue, which defines the pools")}
		}
		return nil, pools, nil
	}
	cat, err := loadCatalogue(c.String("catalogue"))
	if err != nil || c.String("platform") == "" {
		return cat, pools, err
	}
	doc, err := settings.LoadStandIn(c.String("platform"))
	if err != nil {
		return nil, nil, usageError{err}
	}
	for _, v := range doc.VMs() {
		pool := doc.InitialPool(v.ID())
		if pool == "" {
			continue
		}
		if _, ok := cat.Pool(pool); !ok {
			return nil, nil, usageError{errors.Errorf("%s: VM %s is in pool %q, which the catalogue doesn't have",
				c.String("platform"), v.ID(), pool)}
		}
		pools[v.ID()] = pool
	}
	return cat, pools, nil
}
