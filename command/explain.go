package command

import (
	"context"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/platform"
)

func newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "shows what would become of a call or a job, and why, without submitting it",
		ArgsUsage: "ENTRY",
		Description: "A job file is a JSON document with the fields entry, request-id, deadline-ms and payload.\n\n" +
			"Example: pistachiolead explain quick-proof --payload '{\"run-ms\": 20}'\n" +
			"Example: pistachiolead explain --job sleeve.json --team label\n\n" +
			"With --leader, the leader on the users' platform is asked, and the job file is the body of a submission there.\n\n" +
			"Example: pistachiolead explain --leader 10.0.0.1:7300 --queue plates --customer label --job press.json",
		Flags: append(workFlags(),
			&cli.StringFlag{Name: "job", Usage: "the `FILE` of a job (- for standard input), instead of a call"},
			&cli.StringSliceFlag{Name: "leader", Usage: "`HOST:PORT` of the metrics of an entry VM on the users' platform; give all of them to find the leader"},
			&cli.StringFlag{Name: "queue", Usage: "with --leader, the `QUEUE`"},
			&cli.StringFlag{Name: "customer", Usage: "with --leader, the `CUSTOMER`; none for a queue without keys"},
			&cli.StringFlag{Name: "team", Usage: "the `TEAM` that submits, by default that of the key; another one needs an administrator's key"},
		),
		Action: func(_ context.Context, c *cli.Command) error {
			if c.IsSet("leader") {
				return explainByLeader(c)
			}
			e, err := explain(c)
			if err != nil {
				return err
			}
			if wantsJSON(c) {
				return printJSON(c.Root().Writer, e.JSON())
			}
			return e.WriteText(c.Root().Writer)
		},
	}
}

// explain returns the explanation of the call or the job file that the command line describes.
func explain(c *cli.Command) (api.Explanation, error) {
	team := c.String("team")
	if !c.IsSet("job") {
		client, w, err := readWork(c)
		if err != nil {
			return api.Explanation{}, err
		}
		return client.ExplainCall(w, team)
	}
	if c.Args().Present() || c.IsSet("payload") || c.IsSet("request-id") || c.IsSet("deadline") {
		return api.Explanation{}, usageError{errors.New("--job takes no ENTRY, --payload, --request-id or --deadline beside it; they are fields of the file")}
	}
	data, err := readDocument(c.String("job"))
	if err != nil {
		return api.Explanation{}, err
	}
	w, err := api.ParseWork(data, c.String("job"))
	if err != nil {
		return api.Explanation{}, usageError{err}
	}
	client, err := newClient(c)
	if err != nil {
		return api.Explanation{}, err
	}
	return client.ExplainJob(w, team)
}

// explainByLeader prints the explanation of a job file by the leader on the users' platform.
func explainByLeader(c *cli.Command) error {
	if c.Args().Present() || !c.IsSet("job") || !c.IsSet("queue") {
		return usageError{errors.New("--leader needs --queue and --job, and takes no ENTRY")}
	}
	document, err := readDocument(c.String("job"))
	if err != nil {
		return err
	}
	var response []byte
	for _, address := range c.StringSlice("leader") {
		if response, err = platform.RequestExplanation(address, c.String("queue"), c.String("customer"), document); err == nil {
			break
		}
	}
	if err != nil {
		return err
	}
	if wantsJSON(c) {
		return printJSON(c.Root().Writer, response)
	}
	return platform.WriteExplanation(c.Root().Writer, response)
}
