// Package command implements the command line.
package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitError = 1
)

// Run runs the program with its arguments, of which the first is its name, and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := &cli.Command{
		Name:                  "pistachiolead",
		Usage:                 "manages the capacity and maintenance of a fleet",
		Writer:                out,
		ErrWriter:             errOut,
		EnableShellCompletion: true,
	}
	if err := root.Run(context.Background(), args); err != nil {
		fmt.Fprintln(errOut, "pistachiolead:", err)
		return ExitError
	}
	return ExitOK
}
