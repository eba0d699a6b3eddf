// Package command implements the command line. Run takes the arguments, runs a process (serve, entry, platform, local)
// or a command for operators and callers, and returns the exit code.
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
	// ExitError is for errors that have no exit code of their own.
	ExitError = 1
	// ExitUsage is for an invalid command line, settings file or document. Nothing was done.
	ExitUsage = 2
	// ExitNotRun is for a request that didn't run, or a change that wasn't made.
	ExitNotRun = 3
	// ExitFailed is for a request that ran and failed.
	ExitFailed = 4
	// ExitUnknown is for a request that may have run.
	ExitUnknown = 5
	// ExitPending is for a change that is stored or applied but not yet in force on every entry VM, and for a job that
	// hasn't ended.
	ExitPending = 6
)

// Run runs the program and returns its exit code. The first of args is the program's name. Results are written to out,
// error messages to errOut.
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
			newCall(), newSubmit(), newExplain(), newWait(), newCancel(), newStatus(),
		},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands return a usageError for invalid flags and unknown commands. By
// default, package cli would print the whole help and exit with 1, or with 0 for an unknown command.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
	if len(c.Commands) > 0 {
		c.Action = showHelp
	}
}

// showHelp is the action of a command that has subcommands. An argument is an unknown subcommand.
func showHelp(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usageError{errors.Errorf("unknown command %q; see %s --help", c.FullName()+" "+c.Args().First(), c.FullName())}
	}
	if c.Root() == c {
		return cli.ShowRootCommandHelp(c)
	}
	return cli.ShowSubcommandHelp(c)
}

// usageError is an error in the command line, a settings file or a document. The exit code is ExitUsage.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// codedError is an error with an exit code of its own.
type codedError struct {
	error
	code int
}

// Unwrap returns the wrapped error.
func (e codedError) Unwrap() error { return e.error }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var coded codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return ExitError
	}
	switch apiErr.Outcome() {
	case "not-run":
		return ExitNotRun
	case "ran":
		return ExitFailed
	default:
		return ExitUnknown
	}
}
