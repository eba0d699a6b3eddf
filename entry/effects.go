package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// execute starts the effects that the control state returned. Requests run in goroutines of their own and post their
// outcomes as events, so that the control goroutine never blocks.
func (v *VM) execute(effects []dispatch.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Run:
			v.run(f)
		case dispatch.Close:
			v.onServer(f.Server(), controlTimeout, func(ctx context.Context, b provider.BackendServer) {
				o := b.Close(ctx, f.Epoch(), f.ID(), f.Attempt())
				v.mailbox.post(dispatch.NewCloseEnded(f.Server(), f.Epoch(), f.ID(), f.Attempt(), o))
			})
		case dispatch.Signal:
			v.onServer(f.Server(), controlTimeout, func(ctx context.Context, b provider.BackendServer) {
				o := b.Signal(ctx, f.Epoch(), f.ID(), f.Attempt(), f.Signal())
				v.mailbox.post(dispatch.NewSignalEnded(f.Server(), f.ID(), f.Attempt(), o))
			})
		case dispatch.Acquire:
			sent := v.Clock.Now()
			v.onServer(f.Server(), controlTimeout, func(ctx context.Context, b provider.BackendServer) {
				v.mailbox.post(dispatch.NewAcquireEnded(f.Server(), sent, b.Acquire(ctx, v.ID, v.Zone)))
			})
		case dispatch.Report:
			sent := v.Clock.Now()
			v.onServer(f.Server(), controlTimeout, func(ctx context.Context, b provider.BackendServer) {
				v.mailbox.post(dispatch.NewReportEnded(f.Server(), f.Epoch(), sent, b.Report(ctx, f.Epoch())))
			})
		case dispatch.Release:
			v.onServer(f.Server(), controlTimeout, func(ctx context.Context, b provider.BackendServer) {
				v.mailbox.post(dispatch.NewReleaseEnded(f.Server(), f.Epoch(), b.Release(ctx, f.Epoch())))
			})
		case dispatch.Commit:
			v.commit(f)
		case dispatch.Scan:
			v.scan(f)
		case dispatch.Put:
			v.async(objectTimeout, func(ctx context.Context) {
				v.mailbox.post(dispatch.NewPutEnded(f.Ticket(), v.Objects.Put(ctx, f.Name(), f.Data())))
			})
		case dispatch.Get:
			v.async(objectTimeout, func(ctx context.Context) {
				v.mailbox.post(dispatch.NewGetEnded(f.Ticket(), v.Objects.Get(ctx, f.Name())))
			})
		case dispatch.List:
			v.async(listTimeout, v.list)
		case dispatch.Heartbeat:
			v.heartbeat(f)
		case dispatch.Forward:
			v.forward(f)
		case dispatch.Push:
			v.push(f)
		case dispatch.Reply:
			v.replies.resolve(f.Ticket(), reply{outcome: f.Outcome()})
		case dispatch.HeartbeatReply:
			v.replies.resolve(f.Ticket(), reply{digest: f.Digest()})
		case dispatch.ApplyConfiguration:
			v.configuration.Store(f.Configuration())
			klog.InfoS("Applied configuration", "vm", v.ID, "version", f.Configuration().Version())
		case dispatch.Drained:
			klog.InfoS("Drained", "vm", v.ID)
			close(v.drained)
		}
	}
}

// async runs fn in a goroutine of the VM's group. The context of fn ends after timeout or when the VM stops.
func (v *VM) async(timeout time.Duration, fn func(ctx context.Context)) {
	v.group.Go(func() error {
		ctx, cancel := context.WithTimeout(v.ctx, timeout)
		defer cancel()
		fn(ctx)
		return nil
	})
}

// onServer runs fn with the client of a backend server, in a goroutine of the VM's group.
func (v *VM) onServer(id string, timeout time.Duration, fn func(ctx context.Context, b provider.BackendServer)) {
	b := v.backend(id)
	v.async(timeout, func(ctx context.Context) { fn(ctx, b) })
}

// run sends a Run request after the effect's delay. The request ends at the task's deadline, or after runTimeout if
// there is none.
func (v *VM) run(f dispatch.Run) {
	b := v.backend(f.Server())
	timeout := runTimeout
	if !f.Deadline().IsZero() {
		timeout = f.Delay() + f.Deadline().Sub(v.Clock.Now())
	}
	send := func() {
		v.async(timeout, func(ctx context.Context) {
			o := b.Run(ctx, f.Epoch(), f.Task())
			v.mailbox.post(dispatch.NewRunEnded(f.Server(), f.Epoch(), f.Task().ID(), f.Task().Attempt(), o))
		})
	}
	if f.Delay() == 0 {
		send()
		return
	}
	v.Clock.After(f.Delay(), func(time.Time) { send() })
}

// commit submits a transaction to the committer, which may combine it with others.
func (v *VM) commit(f dispatch.Commit) {
	var options []commit.Option
	if f.Urgency() == dispatch.UrgencyHigh {
		options = append(options, commit.Urgent{})
	}
	if !f.Deadline().IsZero() {
		options = append(options, commit.NewDeadline(f.Deadline()))
	}
	v.committer.Submit(f.Transaction(), func(o provider.CommitOutcome) {
		v.mailbox.post(dispatch.NewCommitEnded(f.Ticket(), o))
	}, options...)
}

// scan reads the rows with a prefix that changed since a table version.
func (v *VM) scan(f dispatch.Scan) {
	sent := v.Clock.Now()
	v.async(scanTimeout, func(ctx context.Context) {
		v.mailbox.post(dispatch.NewScanEnded(f.Ticket(), f.Prefix(), sent, v.table.Scan(ctx, f.Prefix(), f.Since())))
	})
}

// list reads the VM list and creates clients of the backend servers that are new in it or have another address.
func (v *VM) list(ctx context.Context) {
	o := v.List.List(ctx)
	if vms, ok := o.(provider.VMs); ok {
		for _, m := range vms.VMs() {
			if m.Role() != provider.RoleBackendServer {
				continue
			}
			if s, ok := v.servers.Load(m.ID()); !ok || s.(server).address != m.Address() {
				v.servers.Store(m.ID(), server{address: m.Address(), client: v.Connect(m)})
			}
		}
	}
	v.mailbox.post(dispatch.NewListEnded(o))
}

// backend returns the client of a backend server, an unlistedServer if the server isn't in the VM list.
func (v *VM) backend(id string) provider.BackendServer {
	s, ok := v.servers.Load(id)
	if !ok {
		return unlistedServer{}
	}
	return s.(server).client
}

// client returns the client of another entry VM at the given address, and replaces it if the address has changed.
func (v *VM) client(id, address string) *peer.Client {
	if c, ok := v.peers.Load(id); ok && c.(*peer.Client).Address == address {
		return c.(*peer.Client)
	}
	c := &peer.Client{Address: address, Secret: v.PeerSecret, Clock: v.Clock}
	v.peers.Store(id, c)
	return c
}

// heartbeat sends a heartbeat and records whether the other entry VM can relay requests to the table.
func (v *VM) heartbeat(f dispatch.Heartbeat) {
	sent := v.Clock.Now()
	c := v.client(f.Peer(), f.Address())
	v.async(heartbeatTimeout, func(ctx context.Context) {
		reply, ok := c.Heartbeat(ctx, f.Digest()).(peer.HeartbeatReply)
		ok = ok && reply.Digest().Member() == f.Peer()
		v.table.set(f.Peer(), ok && reply.Digest().TableReachable(), c.Relay())
		v.mailbox.post(dispatch.NewHeartbeatEnded(f.Peer(), sent, ok, reply.Digest()))
	})
}

// forward sends a call to another entry VM, which gets the time that remains until the call's deadline.
func (v *VM) forward(f dispatch.Forward) {
	c := v.client(f.Peer(), f.Address())
	r := f.Request()
	remaining := r.Deadline().Sub(v.Clock.Now())
	v.async(remaining, func(ctx context.Context) {
		o := c.Forward(ctx, peer.NewRequest(
			r.ID(), f.Attempt(), peer.KindCall, r.Entry(), r.Team(), r.KeyID(), r.Payload(), remaining,
		))
		v.mailbox.post(dispatch.NewForwardEnded(f.Peer(), r.ID(), o))
	})
}

// push sends a configuration change to another entry VM.
func (v *VM) push(f dispatch.Push) {
	c := v.client(f.Peer(), f.Address())
	v.async(pushTimeout, func(ctx context.Context) {
		ack, ok := c.Apply(ctx, f.Change()).(peer.Acknowledged)
		v.mailbox.post(dispatch.NewPushEnded(f.Peer(), ack.Version(), ok))
	})
}
