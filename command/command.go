// Package command implements the command line: the processes (serve, platform, local) and the commands for operators
// and callers.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitError is any error that has no code of its own.
	ExitError = 1
	// ExitUsage is a wrong command line, settings file or document. Nothing was done.
	ExitUsage = 2
	// ExitNotRun is a request that didn't run, or a change that wasn't made.
	ExitNotRun = 3
	// ExitFailed is a request that ran and failed.
	ExitFailed = 4
	// ExitUnknown is a request that may have run.
	ExitUnknown = 5
	// ExitPending is a change that is stored or applied, but not yet in force on every entry VM.
	ExitPending = 6
)

// Run runs the program with its arguments, of which the first is its name, and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	err := newRoot(out, errOut).Run(context.Background(), args)
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(errOut, "pistachiolead:", text)
	}
	return exitCode(err)
}

func newRoot(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "pistachiolead",
		Usage:                 "manages the capacity and maintenance of a fleet",
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			newLocal(), newServe(), newEntry(), newPlatform(), newInit(), newCheck(),
			newApply(), newGet(), newDiff(), newKey(), newZone(), newVM(), newChange(),
			newCall(), newSubmit(), newWait(), newCancel(), newStatus(),
		},
	}
	refuseMisuse(root)
	return root
}

// refuseMisuse makes a command and those below it end with a usage error for wrong flags and unknown commands. The
// library would print the whole help and end with 1, or with 0 for an unknown command.
func refuseMisuse(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }
	for _, sub := range c.Commands {
		refuseMisuse(sub)
	}
	if len(c.Commands) > 0 {
		c.Action = showHelp
	}
}

func showHelp(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError{errors.Errorf("there is no command %q; see %s --help", c.FullName()+" "+c.Args().First(), c.FullName())}
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

// usageError is a mistake in the command line or in a document.
type usageError struct{ error }

// Unwrap returns the error itself.
func (e usageError) Unwrap() error { return e.error }

// codedError ends the program with an exit code of its own.
type codedError struct {
	error
	code int
}

// Unwrap returns the error itself.
func (e codedError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var coded codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	var answer *api.Error
	if !errors.As(err, &answer) {
		return ExitError
	}
	switch answer.Outcome() {
	case "not-run":
		return ExitNotRun
	case "ran":
		return ExitFailed
	default:
		return ExitUnknown
	}
}
