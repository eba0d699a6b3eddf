package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/pistachiolead/pistachiolead/api"
)

const (
	outputText = "text"
	outputJSON = "json"
	// maxDocumentBytes bounds files and standard input.
	maxDocumentBytes = 8 << 20
)

// clientFlags are the flags of the commands that call an entry VM.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Aliases: []string{"a"}, Sources: cli.EnvVars("PISTACHIOLEAD_ADDRESSES"),
			Usage: "`HOST:PORT` of an entry VM, more than one for take-outs and revocations",
		},
		&cli.StringFlag{
			Name: "key", Aliases: []string{"k"}, Sources: cli.EnvVars("PISTACHIOLEAD_KEY"),
			Usage: "the secret of your key",
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT`: text or json",
			Validator: func(s string) error {
				if s != outputText && s != outputJSON {
					return errors.Errorf("the output format is %q; it takes text or json", s)
				}
				return nil
			},
		},
		&cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "how long to wait for an entry VM"},
	}, more...)
}

func newClient(c *cli.Command) (*api.Client, error) {
	addresses := c.StringSlice("address")
	if len(addresses) == 0 {
		return nil, usageError{errors.New("give --address or set PISTACHIOLEAD_ADDRESSES")}
	}
	if c.String("key") == "" {
		return nil, usageError{errors.New("give --key or set PISTACHIOLEAD_KEY")}
	}
	return &api.Client{Addresses: addresses, Key: c.String("key"), Timeout: c.Duration("timeout")}, nil
}

func wantsJSON(c *cli.Command) bool { return c.String("output") == outputJSON }

// argument returns the only positional argument.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError{errors.Errorf("%s takes one argument, %s; it got %d", c.FullName(), name, c.Args().Len())}
	}
	return c.Args().First(), nil
}

// readDocument reads a file, or standard input for "-".
func readDocument(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, maxDocumentBytes+1))
		return checkSize(data, err, "standard input")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, usageError{err}
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxDocumentBytes+1))
	return checkSize(data, err, path)
}

func checkSize(data []byte, err error, name string) ([]byte, error) {
	if err != nil {
		return nil, usageError{errors.Wrap(err, "read "+name)}
	}
	if len(data) > maxDocumentBytes {
		return nil, usageError{errors.Errorf("%s is larger than %d bytes", name, maxDocumentBytes)}
	}
	return data, nil
}

// printChange prints how far a change has come. A pending change has an exit code of its own.
func printChange(c *cli.Command, ch api.Change, what string) error {
	out := c.Root().Writer
	if wantsJSON(c) {
		fmt.Fprintf(out, "%s", ch.JSON())
	} else {
		printChangeText(out, ch, what)
	}
	if ch.State() == "pending" {
		return codedError{error: errors.New(""), code: ExitPending}
	}
	return nil
}

func printChangeText(out io.Writer, ch api.Change, what string) {
	for _, d := range ch.Difference() {
		fmt.Fprintln(out, d)
	}
	switch {
	case ch.State() == "dry-run":
		fmt.Fprintln(out, "dry run: nothing was changed")
	case ch.InForce():
		fmt.Fprintf(out, "%s: in force, configuration %d\n", what, ch.Version())
	case !ch.Stored():
		fmt.Fprintf(out, "%s: applied where it was heard, pending until it can be stored\n", what)
	default:
		fmt.Fprintf(out, "%s: pending, configuration %d, waiting for %v\n", what, ch.Version(), ch.Awaited())
	}
}

// printJSON prints a JSON answer, indented.
func printJSON(out io.Writer, data []byte) error {
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "read the answer")
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print the answer")
	}
	fmt.Fprintf(out, "%s\n", text)
	return nil
}
