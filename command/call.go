package command

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
)

func workFlags() []cli.Flag {
	return clientFlags(
		&cli.StringFlag{Name: "payload", Aliases: []string{"p"}, Usage: "the input as `JSON`, or @FILE to read it from a file"},
		&cli.StringFlag{Name: "request-id", Usage: "an `ID` of your choice; non-idempotent work with the same id never runs twice"},
		&cli.DurationFlag{Name: "deadline", Usage: "how long the request may take"},
	)
}

func newCall() *cli.Command {
	return &cli.Command{
		Name:        "call",
		Usage:       "submits a call and prints its output",
		ArgsUsage:   "ENTRY",
		Description: "Example: pistachiolead call quick-proof --payload '{\"run-ms\": 20}'",
		Flags:       workFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			client, w, err := readWork(c)
			if err != nil {
				return err
			}
			answer, err := client.Call(w)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().Writer, "%s\n", answer)
			return nil
		},
	}
}

func newSubmit() *cli.Command {
	return &cli.Command{
		Name:        "submit",
		Usage:       "submits a job and prints its request id once it is accepted",
		ArgsUsage:   "ENTRY",
		Description: "Example: pistachiolead submit archive-render --payload @sleeve.json --wait 1m",
		Flags:       append(workFlags(), &cli.DurationFlag{Name: "wait", Usage: "how long to wait for the job to end"}),
		Action: func(_ context.Context, c *cli.Command) error {
			client, w, err := readWork(c)
			if err != nil {
				return err
			}
			id, err := client.SubmitJob(w)
			if err != nil {
				return err
			}
			if c.Duration("wait") > 0 {
				return waitJob(c, client, id, c.Duration("wait"))
			}
			if wantsJSON(c) {
				fmt.Fprintf(c.Root().Writer, "{\"request-id\":%q}\n", id)
				return nil
			}
			fmt.Fprintln(c.Root().Writer, id)
			return nil
		},
	}
}

// readWork returns the client and the call or job that the command line describes.
func readWork(c *cli.Command) (*api.Client, api.Work, error) {
	entry, err := argument(c, "ENTRY")
	if err != nil {
		return nil, api.Work{}, err
	}
	payload := []byte(c.String("payload"))
	if len(payload) > 0 && payload[0] == '@' {
		if payload, err = readDocument(string(payload[1:])); err != nil {
			return nil, api.Work{}, err
		}
	}
	if len(payload) > 0 && !json.Valid(payload) {
		return nil, api.Work{}, usageError{errors.New("the payload isn't valid JSON")}
	}
	client, err := newClient(c)
	if err != nil {
		return nil, api.Work{}, err
	}
	return client, api.Work{
		Entry: entry, RequestID: c.String("request-id"), Deadline: c.Duration("deadline"), Payload: payload,
	}, nil
}

// pollWait is the longest time that one query waits for a job to end. It is below the default limit of an entry VM for
// the query parameter wait-ms.
const pollWait = 30 * time.Second
