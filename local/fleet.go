// Package local runs a whole fleet in one process on loopback ports: a stand-in of the platform, backend servers, and
// entry VMs of several availability zones.
package local

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
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
	// EntryVMs and BackendServers are the numbers in each zone.
	EntryVMs, BackendServers int
	// Catalogue is the first catalogue.
	Catalogue *catalogue.Catalogue
	// Shape is the capacity of a backend server.
	Shape provider.Shape
	// Timer defaults to the system's.
	Timer timer.Service
	// WrapTable returns the table as one entry VM reaches it. It may be nil, which is the platform's table itself.
	WrapTable func(id string, t provider.Table) provider.Table
	// NewMetrics returns the scope of an entry VM and the writer of its metrics. It may be nil.
	NewMetrics func() (tally.Scope, func(io.Writer) error)

	platform *standin.Platform
	vms      map[string]*entry.VM
	members  []Member
	tasks    *group.Group // entry VMs
	servers  *group.Group // HTTP servers, which outlive the entry VMs
	cancel   context.CancelFunc
	adminKey string
}

// Member is an entry VM of the fleet.
type Member struct{ id, zone, address string }

// ID returns the entry VM's id.
func (m Member) ID() string { return m.id }

// Zone returns its availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns host:port for callers and operators.
func (m Member) Address() string { return m.address }

// Platform returns the stand-in of the platform.
func (f *Fleet) Platform() *standin.Platform { return f.platform }

// Members returns the entry VMs.
func (f *Fleet) Members() []Member { return f.members }

// VM returns an entry VM.
func (f *Fleet) VM(id string) *entry.VM { return f.vms[id] }

// AdminKey returns the secret of a key of an administrator.
func (f *Fleet) AdminKey() string { return f.adminKey }

// Start starts the fleet and waits until every entry VM is ready or ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	if f.Timer == nil {
		f.Timer = timer.System{}
	}
	f.vms = make(map[string]*entry.VM)
	listeners, vms, err := f.plan()
	if err != nil {
		return err
	}
	f.platform = standin.NewPlatform(vms, f.Timer)
	if err := f.initialize(ctx, vms); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.tasks, _ = group.New(running)
	f.servers, _ = group.New(running)
	for _, v := range vms {
		if v.Role() == provider.RoleEntry {
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

// Stop stops all entry VMs gracefully and waits for them. What isn't complete after the stop timeout is cut short.
func (f *Fleet) Stop() error {
	late := f.Timer.After(stopTimeout, func(time.Time) { f.cancel() })
	defer late.Stop()
	for _, v := range f.vms {
		v.Drain()
	}
	err := f.tasks.Wait()
	f.cancel()
	if serveErr := f.servers.Wait(); err == nil {
		err = serveErr
	}
	return err
}

type listenerPair struct{ callers, peers net.Listener }

// plan opens the listeners of the entry VMs and lists all VMs.
func (f *Fleet) plan() (map[string]listenerPair, []provider.VM, error) {
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
			vms = append(vms, provider.NewVM(id, provider.RoleEntry, zone, zone+"-entry", pair.peers.Addr().String(),
				provider.Shape{}, false))
			f.members = append(f.members, Member{id: id, zone: zone, address: pair.callers.Addr().String()})
		}
		for i := range f.BackendServers {
			id := fmt.Sprintf("backend-%s-%02d", zone, i+1)
			rack := fmt.Sprintf("%s-rack-%d", zone, i/serversPerRack+1)
			vms = append(vms, provider.NewVM(id, provider.RoleBackend, zone, rack, id, f.Shape, false))
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
		return listenerPair{}, errors.Wrap(err, "listen for peers")
	}
	return listenerPair{callers: callers, peers: peers}, nil
}

// initialize stores the first configuration: an administrator's key, the catalogue, and the pools of the VMs.
func (f *Fleet) initialize(ctx context.Context, vms []provider.VM) error {
	pools := make(map[string]string)
	names := f.Catalogue.Pools()
	i := 0
	for _, v := range vms {
		if v.Role() == provider.RoleBackend {
			pools[v.ID()] = names[i%len(names)].Name()
			i++
		}
	}
	secret, err := Initialize(ctx, f.platform.Table, f.Catalogue, pools, f.Timer.Now())
	f.adminKey = secret
	return err
}

func (f *Fleet) startEntry(ctx context.Context, listed provider.VM, pair listenerPair) {
	v := &entry.VM{
		ID: listed.ID(), Zone: listed.Zone(), PeerListener: pair.peers, Timer: f.Timer,
		Table: f.platform.Table, Objects: f.platform.Objects, List: f.platform.VMs,
		Connect:   func(b provider.VM) provider.BackendServer { return f.platform.Backends[b.ID()] },
		Freshness: freshness.DefaultLeaseDuration, Guard: freshness.DefaultGuardInterval,
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
	f.tasks.Go(func() error { return v.Run(ctx) })
	f.servers.Go(func() error { return server.Run(ctx) })
}

// Initialize stores the first configuration in an empty table: a key of an administrator, a catalogue and the pools of
// VMs. It returns the secret of the key. The catalogue may be nil.
func Initialize(
	ctx context.Context, t provider.Table, c *catalogue.Catalogue, pools map[string]string, now time.Time,
) (secret string, err error) {
	key, secret, err := catalogue.NewKey("", catalogue.RoleAdmin, initAuthor, now, time.Time{}, rand.Reader)
	if err != nil {
		return "", err
	}
	config := catalogue.NewConfiguration()
	step := func(tr provider.Transaction, err error) error {
		if err != nil {
			return err
		}
		o := t.Commit(ctx, tr)
		committed, ok := o.(provider.Committed)
		if !ok {
			return errors.Errorf("the first configuration can't be stored: %s", describe(o))
		}
		config, err = config.With(dispatch.WrittenRows(tr, committed.Version()))
		return err
	}
	if err := step(catalogue.GrantKey(config, key)); err != nil {
		return "", err
	}
	if c == nil {
		return secret, nil
	}
	if err := step(catalogue.ChangeCatalogue(config, c, initAuthor, now)); err != nil {
		return "", err
	}
	for _, id := range sortedKeys(pools) {
		state := catalogue.NewVMState(pools[id], false, "first pool", initAuthor, now)
		if err := step(catalogue.SetVM(config, id, state)); err != nil {
			return "", err
		}
	}
	return secret, nil
}

func describe(o provider.CommitOutcome) string {
	switch o := o.(type) {
	case provider.Conflict:
		return "the table has a configuration already: " + catalogue.ConflictError(o.Row()).Error()
	case provider.Unavailable:
		return o.Reason()
	case provider.OutcomeUnknown:
		return o.Reason()
	default:
		return "unexpected outcome"
	}
}
