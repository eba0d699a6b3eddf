package command

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/timer"
)

func newWait() *cli.Command {
	return &cli.Command{
		Name:        "wait",
		Usage:       "waits for a job to end and prints its output",
		ArgsUsage:   "REQUEST-ID",
		Description: "Example: pistachiolead wait 4f9c1a --for 10m",
		Flags:       clientFlags(&cli.DurationFlag{Name: "for", Value: time.Minute, Usage: "how long to wait"}),
		Action: func(_ context.Context, c *cli.Command) error {
			id, err := argument(c, "REQUEST-ID")
			if err != nil {
				return err
			}
			client, err := newClient(c)
			if err != nil {
				return err
			}
			return waitJob(c, client, id, c.Duration("for"))
		},
	}
}

// waitJob queries a job until it has ended, and prints it. If it hasn't ended after the limit, the exit code is
// ExitPending.
func waitJob(c *cli.Command, client *api.Client, id string, limit time.Duration) error {
	clock := timer.System{}
	until := clock.Now().Add(limit)
	for {
		remaining := until.Sub(clock.Now())
		job, err := client.GetJob(id, max(min(remaining, pollWait), 0))
		if err != nil {
			return err
		}
		if job.Finished() {
			return printJob(c, job)
		}
		if remaining <= 0 {
			return codedError{error: errors.Errorf("job %s hasn't ended after %s", id, limit), code: ExitPending}
		}
	}
}

// printJob prints the output of a job that has ended, and returns its error if it didn't succeed.
func printJob(c *cli.Command, job api.JobStatus) error {
	out := c.Root().Writer
	if wantsJSON(c) {
		fmt.Fprintf(out, "%s", job.JSON())
		return job.Problem()
	}
	if err := job.Problem(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", job.Output())
	return nil
}
