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
	// maxDocumentBytes is the maximum size of a file or of standard input.
	maxDocumentBytes = 8 << 20
)

// clientFlags returns the flags that all commands which call an entry VM have, followed by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "address", Aliases: []string{"a"}, Sources: cli.EnvVars("PISTACHIOLEAD_ADDRESSES"),
			Usage: "`HOST:PORT` of an entry VM; give all of them to take a zone out of service or to revoke a key",
		},
		&cli.StringFlag{
			Name: "key", Aliases: []string{"k"}, Sources: cli.EnvVars("PISTACHIOLEAD_KEY"),
			Usage: "the secret of your key",
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT`: text or json",
			Validator: func(s string) error {
				if s != outputText && s != outputJSON {
					return errors.Errorf("the output format is %q; allowed are text and json", s)
				}
				return nil
			},
		},
		&cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "how long to wait for the response of an entry VM"},
	}, more...)
}

// newClient returns a client with the addresses, the key and the timeout of the command line.
func newClient(c *cli.Command) (*api.Client, error) {
	addresses := c.StringSlice("address")
	if len(addresses) == 0 {
		return nil, usageError{errors.New("no address of an entry VM is given; set --address or PISTACHIOLEAD_ADDRESSES")}
	}
	if c.String("key") == "" {
		return nil, usageError{errors.New("no key is given; set --key or PISTACHIOLEAD_KEY")}
	}
	return &api.Client{Addresses: addresses, Key: c.String("key"), Timeout: c.Duration("timeout")}, nil
}

func wantsJSON(c *cli.Command) bool { return c.String("output") == outputJSON }

// argument returns the only positional argument.
func argument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError{errors.Errorf("%s takes one argument, %s; found %d", c.FullName(), name, c.Args().Len())}
	}
	return c.Args().First(), nil
}

// readDocument reads a file, or standard input if path is "-". Its errors are usage errors.
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

// checkSize returns the data of a read, or a usage error if the read failed or the data is too large.
func checkSize(data []byte, err error, name string) ([]byte, error) {
	if err != nil {
		return nil, usageError{errors.Wrap(err, "read "+name)}
	}
	if len(data) > maxDocumentBytes {
		return nil, usageError{errors.Errorf("read %s: it is larger than the maximum of %d bytes", name, maxDocumentBytes)}
	}
	return data, nil
}

// printChange prints the state of a configuration change, in text output after its description. For a pending change it
// returns an error without a message, so that the exit code is ExitPending.
func printChange(c *cli.Command, ch api.ChangeStatus, description string) error {
	out := c.Root().Writer
	if wantsJSON(c) {
		fmt.Fprintf(out, "%s", ch.JSON())
	} else {
		printChangeText(out, ch, description)
	}
	if ch.State() == "pending" {
		return codedError{error: errors.New(""), code: ExitPending}
	}
	return nil
}

func printChangeText(out io.Writer, ch api.ChangeStatus, description string) {
	for _, d := range ch.Difference() {
		fmt.Fprintln(out, d)
	}
	switch {
	case ch.State() == "dry-run":
		fmt.Fprintln(out, "dry run: nothing was changed")
	case ch.InForce():
		fmt.Fprintf(out, "%s: in force, configuration %d\n", description, ch.Version())
	case !ch.Stored():
		fmt.Fprintf(out, "%s: pending, applied by the entry VMs that received it, not stored yet\n", description)
	default:
		fmt.Fprintf(out, "%s: pending, configuration %d, waiting for %v\n", description, ch.Version(), ch.Awaited())
	}
}

// printJSON prints a JSON response body with indentation.
func printJSON(out io.Writer, data []byte) error {
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "decode the response")
	}
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the response")
	}
	fmt.Fprintf(out, "%s\n", text)
	return nil
}
