package command

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newKey() *cli.Command {
	return &cli.Command{
		Name:        "key",
		Usage:       "grants, revokes and lists keys",
		Description: "Example: pistachiolead key grant --team press",
		Commands: []*cli.Command{
			{
				Name:        "grant",
				Usage:       "grants a key to a team and prints its secret, which is shown only once",
				Description: "Example: pistachiolead key grant --team press --role submitter --expires 720h",
				Flags: clientFlags(
					&cli.StringFlag{Name: "team", Usage: "the `TEAM`; only an admin key may have none"},
					&cli.StringFlag{Name: "role", Value: "submitter", Usage: "`ROLE`: admin, owner or submitter"},
					&cli.DurationFlag{Name: "expires", Usage: "the `TIME` until the key expires; without it, the key doesn't expire"},
				),
				Action: grantKey,
			},
			{
				Name:        "revoke",
				Usage:       "revokes a key on every entry VM given by --address",
				ArgsUsage:   "KEY-ID",
				Description: "Example: pistachiolead key revoke xjb72tpf4osfd6m6",
				Flags:       clientFlags(),
				Action:      revokeKey,
			},
			{
				Name:        "list",
				Usage:       "lists the keys",
				Description: "Example: pistachiolead key list",
				Flags:       clientFlags(),
				Action:      listKeys,
			},
		},
	}
}

func grantKey(_ context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ch, err := client.GrantKey(c.String("team"), c.String("role"), c.Duration("expires"))
	if err != nil {
		return err
	}
	if !wantsJSON(c) {
		fmt.Fprintln(c.Root().Writer, ch.Secret())
	}
	return printChange(c, ch, "key "+ch.KeyID())
}

func revokeKey(_ context.Context, c *cli.Command) error {
	id, err := argument(c, "KEY-ID")
	if err != nil {
		return err
	}
	client, err := newClient(c)
	if err != nil {
		return err
	}
	ch, err := client.RevokeKey(id)
	if err != nil {
		return err
	}
	return printChange(c, ch, "key "+id+" revoked")
}

func listKeys(_ context.Context, c *cli.Command) error {
	client, err := newClient(c)
	if err != nil {
		return err
	}
	data, err := client.GetKeys()
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if wantsJSON(c) {
		return printJSON(out, data)
	}
	var list struct {
		Keys []struct {
			ID, Team, Role, Granted, Expires string
			Revoked                          bool
		}
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "KEY\tTEAM\tROLE\tGRANTED\tEXPIRES\tSTATE")
	for _, k := range list.Keys {
		state := "in force"
		if k.Revoked {
			state = "revoked"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", k.ID, orDash(k.Team), k.Role, k.Granted, orDash(k.Expires), state)
	}
	return w.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
