// Package local runs a whole fleet in one process for trials and tests: a stand-in of the platform, backend servers,
// and entry VMs that serve callers on loopback ports. Its inputs are the availability zones, the number of VMs in each,
// and the first catalogue; it returns the addresses of the entry VMs and an administrator's key.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/api"
	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/entry"
	"github.com/pistachiolead/pistachiolead/freshness"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/provider/standin"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Fleet is a fleet in one process. Its exported fields are set before Start.
type Fleet struct {
	// Zones are the names of the availability zones.
	Zones []string
	// EntryVMs and BackendServers are the numbers of them in each zone.
	EntryVMs, BackendServers int
	// Catalogue is the first catalogue.
	Catalogue *catalogue.Catalogue
	// Shape is the capacity of a backend server.
	Shape provider.Shape
	// Clock defaults to the system clock.
	Clock timer.Clock
	// WrapTable returns the table that the entry VM with the given id uses in place of the platform's table t. If it is
	// nil, all entry VMs use t itself.
	WrapTable func(id string, t provider.Table) provider.Table
	// NewMetrics returns the metrics scope of an entry VM and a function that writes its metrics. It may be nil for no
	// metrics.
	NewMetrics func() (tally.Scope, func(io.Writer) error)

	platform *standin.Platform
	vms      map[string]*entry.VM
	members  []Member
	entryVMs *group.Group // runs the entry VMs
	servers  *group.Group // runs their HTTP servers, which stop after the entry VMs
	cancel   context.CancelFunc
	adminKey string
}

// Member is an entry VM of the fleet.
type Member struct{ id, zone, address string }

// ID returns the id of the entry VM.
func (m Member) ID() string { return m.id }

// Zone returns the name of its availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns the host:port at which it serves callers and operators.
func (m Member) Address() string { return m.address }

// Platform returns the stand-in of the platform.
func (f *Fleet) Platform() *standin.Platform { return f.platform }

// Members returns the entry VMs, those of the first zone first.
func (f *Fleet) Members() []Member { return f.members }

// VM returns the entry VM with an id, nil if there is none.
func (f *Fleet) VM(id string) *entry.VM { return f.vms[id] }

// AdminKey returns the secret of an administrator's key.
func (f *Fleet) AdminKey() string { return f.adminKey }

// Start starts the fleet and waits until every entry VM is ready. It returns an error if ctx ends first.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Clock == nil {
		f.Clock = timer.System{}
	}
	f.vms = make(map[string]*entry.VM)
	listeners, vms, err := f.createVMs()
	if err != nil {
		return err
	}
	f.platform = standin.NewPlatform(vms, f.Clock)
	if err := f.initialize(ctx, vms); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.entryVMs, _ = group.New(running)
	f.servers, _ = group.New(running)
	for _, v := range vms {
		if v.Role() == provider.RoleEntryVM {
			f.startEntry(running, v, listeners[v.ID()])
		}
	}
	for _, m := range f.members {
		select {
		case <-f.vms[m.id].Ready():
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for entry VM %s", m.id)
		}
	}
	return nil
}

// Stop starts a planned stop of all entry VMs and waits until they and their HTTP servers have stopped. Planned stops
// that aren't complete after the stop timeout are cancelled.
func (f *Fleet) Stop() error {
	timeout := f.Clock.After(stopTimeout, func(time.Time) { f.cancel() })
	defer timeout.Stop()
	for _, v := range f.vms {
		v.Drain()
	}
	err := f.entryVMs.Wait()
	f.cancel()
	if serveErr := f.servers.Wait(); err == nil {
		err = serveErr
	}
	return err
}

// listenerPair has the listeners of one entry VM, for callers and for other entry VMs.
type listenerPair struct{ callers, peers net.Listener }

// createVMs opens the listeners of the entry VMs and returns them by entry VM id, with the list of all VMs.
func (f *Fleet) createVMs() (map[string]listenerPair, []provider.VM, error) {
	listeners := make(map[string]listenerPair)
	var vms []provider.VM
	for _, zone := range f.Zones {
		for i := range f.EntryVMs {
			id := fmt.Sprintf("entry-%s-%d", zone, i+1)
			pair, err := listenLoopback()
			if err != nil {
				return nil, nil, err
			}
			listeners[id] = pair
			vms = append(vms, provider.NewVM(id, provider.RoleEntryVM, zone, zone+"-entry", pair.peers.Addr().String(),
				provider.Shape{}, false))
			f.members = append(f.members, Member{id: id, zone: zone, address: pair.callers.Addr().String()})
		}
		for i := range f.BackendServers {
			id := fmt.Sprintf("backend-%s-%02d", zone, i+1)
			rack := fmt.Sprintf("%s-rack-%d", zone, i/serversPerRack+1)
			vms = append(vms, provider.NewVM(id, provider.RoleBackendServer, zone, rack, id, f.Shape, false))
		}
	}
	return listeners, vms, nil
}

func listenLoopback() (listenerPair, error) {
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return listenerPair{}, errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", loopback)
	if err != nil {
		return listenerPair{}, errors.Wrap(err, "listen for other entry VMs")
	}
	return listenerPair{callers: callers, peers: peers}, nil
}

// initialize stores the first configuration. It assigns the backend servers to the pools of the catalogue in turn.
func (f *Fleet) initialize(ctx context.Context, vms []provider.VM) error {
	pools := make(map[string]string)
	names := f.Catalogue.Pools()
	i := 0
	for _, v := range vms {
		if v.Role() == provider.RoleBackendServer {
			pools[v.ID()] = names[i%len(names)].Name()
			i++
		}
	}
	secret, err := Initialize(ctx, f.platform.Table, f.Catalogue, pools, f.Clock.Now())
	f.adminKey = secret
	return err
}

// startEntry starts an entry VM and its HTTP server.
func (f *Fleet) startEntry(ctx context.Context, listed provider.VM, pair listenerPair) {
	v := &entry.VM{
		ID: listed.ID(), Zone: listed.Zone(), PeerListener: pair.peers, Clock: f.Clock,
		Table: f.platform.Table, Objects: f.platform.Objects, List: f.platform.VMs,
		Connect:                func(b provider.VM) provider.BackendServer { return f.platform.Backends[b.ID()] },
		FreshnessLeaseDuration: freshness.DefaultLeaseDuration, GuardInterval: freshness.DefaultGuardInterval,
	}
	server := &api.Server{VM: v, Listener: pair.callers, Random: rand.Reader}
	if f.WrapTable != nil {
		v.Table = f.WrapTable(v.ID, f.platform.Table)
	}
	if f.NewMetrics != nil {
		v.Scope, server.WriteMetrics = f.NewMetrics()
	}
	v.Init()
	f.vms[v.ID] = v
	f.entryVMs.Go(func() error { return v.Run(ctx) })
	f.servers.Go(func() error { return server.Run(ctx) })
}

// Initialize stores the first configuration in an empty table: an administrator's key, the catalogue c, and the pools
// of VMs by VM id. It returns the secret of the key. If c is nil, only the key is stored. It returns an error if the
// table has a configuration or can't be written; the table may then have part of the first configuration.
func Initialize(
	ctx context.Context, t provider.Table, c *catalogue.Catalogue, pools map[string]string, now time.Time,
) (secret string, err error) {
	key, secret, err := catalogue.NewKey("", catalogue.RoleAdmin, initAuthor, now, time.Time{}, rand.Reader)
	if err != nil {
		return "", err
	}
	config := catalogue.NewConfiguration()
	store := func(tr provider.Transaction, err error) error {
		if err != nil {
			return err
		}
		o := t.Commit(ctx, tr)
		committed, ok := o.(provider.Committed)
		if !ok {
			return errors.Errorf("store the first configuration: %s", failureReason(o))
		}
		config, err = config.WithRows(dispatch.WrittenRows(tr, committed.Version()))
		return err
	}
	if err := store(catalogue.GrantKey(config, key)); err != nil {
		return "", err
	}
	if c == nil {
		return secret, nil
	}
	if err := store(catalogue.ChangeCatalogue(config, c, initAuthor, now)); err != nil {
		return "", err
	}
	for _, id := range slices.Sorted(maps.Keys(pools)) {
		state := catalogue.NewVMState(pools[id], false, "first pool", initAuthor, now)
		if err := store(catalogue.SetVM(config, id, state)); err != nil {
			return "", err
		}
	}
	return secret, nil
}

// failureReason returns why a commit failed.
func failureReason(o provider.CommitOutcome) string {
	switch o := o.(type) {
	case provider.Conflict:
		return "the table already has a configuration: " + catalogue.ConflictError(o.Row()).Error()
	case provider.Unavailable:
		return o.Reason()
	case provider.OutcomeUnknown:
		return o.Reason()
	default:
		return "the table returned an outcome of an unknown type"
	}
}
