package command

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/local"
	"github.com/pistachiolead/pistachiolead/metrics"
	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	localStartTimeout = 30 * time.Second
	// localBackendServers and localEntryVMs are the numbers in each zone. The backend servers fill two racks.
	localBackendServers = 8
	localEntryVMs       = 2
	// metricsInterval is the time between two updates of the metrics that are written.
	metricsInterval = time.Second
)

// localCatalogue is the catalogue of the command local.
const localCatalogue = `pools:
  - {name: render, budget: 4}
  - {name: spare, spare: true, budget: 4}
teams:
  - {name: studio, share: 3, limit: 64}
  - {name: label, share: 1, limit: 32}
entries:
  - name: quick-proof
    owner: studio
    class: interactive
    pool: render
    open: true
    idempotent: true
    shape: {processors: 1, memory: 256MiB}
  - name: plate-order
    owner: studio
    class: interactive
    pool: render
    teams: [label]
    shape: {processors: 1, memory: 256MiB}
  - name: archive-render
    owner: studio
    class: archive
    pool: render
    open: true
    idempotent: true
    checkpoint: true
    shape: {processors: 2, memory: 1GiB}
`

func newLocal() *cli.Command {
	return &cli.Command{
		Name:  "local",
		Usage: "runs a whole fleet in one process on loopback ports, with a stand-in of the platform",
		Description: "Prints the addresses and a key, submits a sample call and a sample job, and serves until it is\n" +
			"interrupted.\n\nExample: pistachiolead local --once",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "stop after the sample call and the sample job"},
			&cli.IntFlag{Name: "zones", Value: 2, Usage: "the number of availability zones, 1 to 5", Validator: between("zones", 1, 5)},
		},
		Action: runLocal,
	}
}

// between returns a validator of a flag whose values are low to high.
func between(name string, low, high int) func(int) error {
	return func(n int) error {
		if n < low || n > high {
			return fmt.Errorf("--%s is %d; allowed are %d to %d", name, n, low, high)
		}
		return nil
	}
}

func runLocal(ctx context.Context, c *cli.Command) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	klog.SetOutput(c.Root().ErrWriter)
	klog.LogToStderr(false)

	cat, err := catalogue.Parse([]byte(localCatalogue), "built-in catalogue")
	if err != nil {
		return err
	}
	f := &local.Fleet{
		EntryVMs: localEntryVMs, BackendServers: localBackendServers, Catalogue: cat,
		Shape: provider.NewShape(64, 256<<10, 0, 8), NewMetrics: newMetrics,
	}
	for i := range c.Int("zones") {
		f.Zones = append(f.Zones, fmt.Sprintf("zone-%c", 'a'+i))
	}
	starting, cancel := context.WithTimeout(ctx, localStartTimeout)
	defer cancel()
	if err := f.Start(starting); err != nil {
		return err
	}
	if err := showLocal(c.Root().Writer, f); err != nil {
		return err
	}
	if !c.Bool("once") {
		<-ctx.Done()
	}
	// Restores the default action of the signals, so that a second one ends the process at once.
	stop()
	return f.Stop()
}

func newMetrics() (tally.Scope, func(io.Writer) error) {
	r := metrics.New(metricsInterval)
	return r.Scope(), r.WriteText
}

// showLocal prints the addresses and keys of the fleet, runs a sample call and a sample job and prints their outputs.
func showLocal(out io.Writer, f *local.Fleet) error {
	var addresses []string
	for _, m := range f.Members() {
		fmt.Fprintf(out, "entry VM %s in %s: http://%s\n", m.ID(), m.Zone(), m.Address())
		addresses = append(addresses, m.Address())
	}
	admin := &api.Client{Addresses: addresses, Key: f.AdminKey()}
	grant, err := admin.GrantKey("label", "submitter", 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\nexport PISTACHIOLEAD_ADDRESSES=%s\n", strings.Join(addresses, ","))
	fmt.Fprintf(out, "export PISTACHIOLEAD_KEY=%s   # administrator\n", f.AdminKey())
	fmt.Fprintf(out, "# key of team label: %s\n\n", grant.Secret())

	label := &api.Client{Addresses: addresses, Key: grant.Secret()}
	answer, err := label.Call(api.Work{Entry: "quick-proof", Payload: []byte(`{"run-ms": 20}`)})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "call quick-proof answered: %s\n", answer)

	id, err := label.SubmitJob(api.Work{Entry: "archive-render", Payload: []byte(`{"run-ms": 200}`)})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "job archive-render accepted: %s\n", id)
	job, err := label.GetJob(id, localStartTimeout)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "job archive-render %s: %s\n", job.State(), job.Output())
	return nil
}
