package dispatch_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	shortDelay = 4 * time.Millisecond
	longDelay  = 800 * time.Millisecond
	// slowDelay exceeds the time-out of a read, so that a slow table also loses replies.
	slowDelay = 3500 * time.Millisecond
	// lostRunTimeout stands for the detection of a broken connection while a job runs.
	lostRunTimeout = 15 * time.Second
	answerPoll     = 20 * time.Millisecond
)

// started is a context that lets a stand-in apply a request but doesn't wait for anything after that.
type started struct{ context.Context }

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (started) Done() <-chan struct{} { return closed }

// waiter is a Run whose task is running.
type waiter struct {
	server  string
	task    provider.Task
	process int
	reply   func(provider.RunOutcome)
}

// request sends a request of a node. Serve runs when it arrives and passes what the node does with the reply to its
// argument. A repeatable request may arrive a second time, after the first; the reply to the second
// is lost. Lost runs if no reply arrives, with false if the request certainly wasn't delivered.
func (r *rig) request(
	n *node, to string, timeout time.Duration, repeatable bool, serve func(reply func(func())), lost func(sent bool),
) {
	settled := false
	settle := func(fn func()) {
		if !settled {
			settled = true
			r.deliver(n, fn)
		}
	}
	if r.unreachable(n, to) && r.random.IntN(2) == 0 {
		r.after(shortDelay, func() { settle(func() { lost(false) }) })
		return
	}
	r.after(timeout, func() { settle(func() { lost(true) }) })
	arrive := func() {
		if r.unreachable(n, to) {
			return
		}
		serve(func(fn func()) {
			if r.chance(r.plan.loss) || r.unreachable(n, to) {
				return
			}
			r.after(r.delay(to), func() { settle(fn) })
		})
	}
	if r.chance(r.plan.loss) {
		return
	}
	delay := r.delay(to)
	r.after(delay, arrive)
	if repeatable && r.chance(r.plan.loss) {
		r.after(delay+r.delay(to), func() { serve(func(func()) {}) })
	}
}

func (r *rig) delay(to string) time.Duration {
	limit := shortDelay
	switch {
	case to == tableName && r.now().Before(r.slowTable):
		limit = slowDelay
	case r.chance(r.plan.late):
		limit = longDelay
	}
	return time.Duration(r.random.Int64N(int64(limit)))
}

func pair(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (r *rig) isCut(a, b string) bool { return r.now().Before(r.cut[pair(a, b)]) }

// carryOut does what entry.VM does with effects.
func (r *rig) carryOut(n *node, effects []dispatch.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Run:
			r.carryRun(n, f)
		case dispatch.Close, dispatch.Signal, dispatch.Acquire, dispatch.Report, dispatch.Release:
			r.carryServer(n, f)
		case dispatch.Commit:
			r.carryCommit(n, f)
		case dispatch.Scan, dispatch.Put, dispatch.Get, dispatch.List:
			r.carryRead(n, f)
		case dispatch.Heartbeat:
			r.carryHeartbeat(n, f)
		case dispatch.Forward:
			r.carryForward(n, f)
		case dispatch.Push:
			r.carryPush(n, f)
		case dispatch.Reply:
			r.carryReply(n, f)
		case dispatch.HeartbeatReply:
			if fn, ok := r.greetings[f.Ticket()]; ok {
				delete(r.greetings, f.Ticket())
				fn(f)
			}
		case dispatch.Publish:
		case dispatch.Drained:
			r.drained(n)
		}
	}
}

func (r *rig) drained(n *node) {
	n.drainedAt = r.now()
	if r.broken.dropJobs {
		r.deleteJobs()
	}
	r.record.drained(n)
	r.order = slices.DeleteFunc(r.order, func(id string) bool { return id == n.id })
	r.platform.VMs.Remove(n.id)
}

func (r *rig) deleteJobs() {
	ctx := context.Background()
	for _, row := range r.platform.Table.Scan(ctx, "job/", 0).(provider.Rows).Rows() {
		r.platform.Table.Commit(ctx, provider.NewTransaction(nil, []provider.Write{provider.NewDelete(row.Key())}))
	}
}

func (r *rig) carryRun(n *node, f dispatch.Run) {
	decided, config := r.now(), n.state.Configuration()
	timeout := lostRunTimeout
	if !f.Deadline().IsZero() {
		timeout = max(0, f.Deadline().Sub(r.now()))
	}
	ended := func(o provider.RunOutcome) {
		r.record.note("%s: run of %s#%d on %s ends as %T %+v", n.id, f.Task().ID(), f.Task().Attempt(), f.Server(), o, o)
		r.handle(n, dispatch.NewRunEnded(f.Server(), f.Epoch(), f.Task().ID(), f.Task().Attempt(), o))
	}
	r.after(f.Delay(), func() {
		r.request(n, f.Server(), timeout, true, func(reply func(func())) {
			b := r.platform.Backends[f.Server()]
			before := b.Counters.Starts(f.Task().ID())
			epoch := f.Epoch()
			if r.broken.ignoreEpochs {
				epoch = r.record.epochs[f.Server()]
			}
			o := b.Run(started{context.Background()}, epoch, f.Task())
			if b.Counters.Starts(f.Task().ID()) > before {
				r.record.started(start{
					at: r.now(), decided: decided, node: n.id, server: f.Server(), task: f.Task(), config: config,
				})
			}
			answer := func(o provider.RunOutcome) { reply(func() { ended(o) }) }
			if _, running := o.(provider.OutcomeUnknown); running {
				r.waiters = append(r.waiters, &waiter{
					server: f.Server(), task: f.Task(), process: r.restarted[f.Server()], reply: answer,
				})
				return
			}
			answer(o)
		}, func(sent bool) {
			if sent {
				ended(provider.NewOutcomeUnknown("lost"))
				return
			}
			ended(provider.NewUnavailable("cut off"))
		})
	})
}

// fetchAnswers replies to the Runs whose tasks have ended. An answer whose server has no live lease is late.
func (r *rig) fetchAnswers() {
	running := make(map[string]bool)
	for _, id := range slices.Sorted(maps.Keys(r.platform.Backends)) {
		for _, t := range r.platform.Backends[id].Running() {
			running[fmt.Sprintf("%s/%s/%d", id, t.ID(), t.Attempt())] = true
		}
	}
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.process != r.restarted[w.server] {
			w.reply(provider.NewOutcomeUnknown("the connection broke"))
			continue
		}
		if running[fmt.Sprintf("%s/%s/%d", w.server, w.task.ID(), w.task.Attempt())] {
			kept = append(kept, w)
			continue
		}
		o := r.platform.Backends[w.server].Run(started{context.Background()}, r.record.epochs[w.server], w.task)
		if a, ok := o.(provider.Answer); ok {
			w.reply(a)
			continue
		}
		kept = append(kept, w)
	}
	r.waiters = kept
}

func (r *rig) carryServer(n *node, f dispatch.Effect) {
	const timeout = 2 * time.Second
	ctx := context.Background()
	sent := r.now()
	unavailable, unknown := provider.NewUnavailable("cut off"), provider.NewOutcomeUnknown("lost")
	send := func(server string, serve func(b provider.BackendServer) dispatch.Event, lost func(sent bool) dispatch.Event) {
		b := r.platform.Backends[server]
		r.request(n, server, timeout, true, func(reply func(func())) {
			e := serve(b)
			reply(func() { r.handle(n, e) })
		}, func(sent bool) { r.handle(n, lost(sent)) })
	}
	switch f := f.(type) {
	case dispatch.Close:
		ended := func(o provider.CloseOutcome) dispatch.Event {
			r.record.note("close by %s of %s#%d on %s ends as %T", n.id, f.ID(), f.Attempt(), f.Server(), o)
			return dispatch.NewCloseEnded(f.Server(), f.Epoch(), f.ID(), f.Attempt(), o)
		}
		send(f.Server(), func(b provider.BackendServer) dispatch.Event {
			return ended(b.Close(ctx, f.Epoch(), f.ID(), f.Attempt()))
		}, func(sent bool) dispatch.Event {
			if sent {
				return ended(unknown)
			}
			return ended(unavailable)
		})
	case dispatch.Signal:
		ended := func(o provider.SignalOutcome) dispatch.Event {
			return dispatch.NewSignalEnded(f.Server(), f.ID(), f.Attempt(), o)
		}
		send(f.Server(), func(b provider.BackendServer) dispatch.Event {
			return ended(b.Signal(ctx, f.Epoch(), f.ID(), f.Attempt(), f.Signal()))
		}, func(bool) dispatch.Event { return ended(unknown) })
	case dispatch.Acquire:
		send(f.Server(), func(b provider.BackendServer) dispatch.Event {
			o := b.Acquire(ctx, n.id, n.zone)
			if g, ok := o.(provider.Granted); ok {
				r.record.epochs[f.Server()] = g.Epoch()
			}
			return dispatch.NewAcquireEnded(f.Server(), sent, o)
		}, func(bool) dispatch.Event { return dispatch.NewAcquireEnded(f.Server(), sent, unknown) })
	case dispatch.Report:
		send(f.Server(), func(b provider.BackendServer) dispatch.Event {
			return dispatch.NewReportEnded(f.Server(), f.Epoch(), sent, b.Report(ctx, f.Epoch()))
		}, func(bool) dispatch.Event { return dispatch.NewReportEnded(f.Server(), f.Epoch(), sent, unknown) })
	case dispatch.Release:
		send(f.Server(), func(b provider.BackendServer) dispatch.Event {
			return dispatch.NewReleaseEnded(f.Server(), f.Epoch(), b.Release(ctx, f.Epoch()))
		}, func(bool) dispatch.Event { return dispatch.NewReleaseEnded(f.Server(), f.Epoch(), unknown) })
	}
}

// carryCommit hands a transaction to the real group commit.
func (r *rig) carryCommit(n *node, f dispatch.Commit) {
	if r.broken.claimsAlwaysSucceed && isClaim(f.Transaction()) {
		r.after(shortDelay, func() { r.post(n, dispatch.NewCommitEnded(f.Ticket(), provider.NewCommitted(1))) })
		return
	}
	var options []commit.Option
	if f.Urgency() == dispatch.UrgencyHigh {
		options = append(options, commit.Urgent{})
	}
	if !f.Deadline().IsZero() {
		options = append(options, commit.NewDeadline(f.Deadline()))
	}
	n.commits[n.committer.Add(f.Transaction(), options...)] = f.Ticket()
	r.after(0, func() { r.deliver(n, func() { r.pump(n) }) })
}

func (r *rig) pump(n *node) {
	now := r.now()
	r.completed(n, n.committer.Expire(now))
	n.token++
	switch s := n.committer.Next(now, fmt.Sprintf("%s.%d.%d", n.id, r.added, n.token)).(type) {
	case commit.Send:
		handle := func(o provider.CommitOutcome) {
			r.completed(n, n.committer.Handle(o, r.now()))
			r.pump(n)
		}
		r.request(n, tableName, 3*time.Second, true, func(reply func(func())) {
			o := r.platform.Table.Commit(context.Background(), s.Transaction())
			r.record.committed(s.Transaction(), o)
			reply(func() { handle(o) })
		}, func(sent bool) {
			if sent {
				handle(provider.NewOutcomeUnknown("lost"))
				return
			}
			handle(provider.NewUnavailable("cut off"))
		})
	case commit.Wait:
		if n.wake.After(now) && !s.Until().Before(n.wake) {
			return
		}
		n.wake = s.Until()
		r.after(s.Until().Sub(now), func() { r.deliver(n, func() { r.pump(n) }) })
	case commit.Idle:
	}
}

func (r *rig) completed(n *node, done []commit.Completion) {
	for _, c := range done {
		ticket := n.commits[c.ID()]
		delete(n.commits, c.ID())
		r.after(0, func() { r.post(n, dispatch.NewCommitEnded(ticket, c.Outcome())) })
	}
}

// unreachable reports whether no message passes now. A node that is cut off from the table reaches it through others.
func (r *rig) unreachable(n *node, to string) bool {
	if !r.isCut(n.id, to) {
		return false
	}
	if to != tableName {
		return true
	}
	for _, p := range r.running() {
		if n.relays[p.id] && !p.paused && !r.isCut(n.id, p.id) && !r.isCut(p.id, tableName) &&
			p.state.Propagation.MayPublish(r.now()) {
			return false
		}
	}
	return true
}

func (r *rig) carryRead(n *node, f dispatch.Effect) {
	ctx := context.Background()
	sent := r.now()
	switch f := f.(type) {
	case dispatch.Scan:
		ended := func(o provider.ScanOutcome) {
			r.handle(n, dispatch.NewScanEnded(f.Ticket(), f.Prefix(), sent, o))
		}
		r.request(n, tableName, 3*time.Second, false, func(reply func(func())) {
			o := r.platform.Table.Scan(ctx, f.Prefix(), f.Since())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("lost")) })
	case dispatch.Put:
		ended := func(o provider.PutOutcome) { r.handle(n, dispatch.NewPutEnded(f.Ticket(), o)) }
		r.request(n, objectsName, 10*time.Second, true, func(reply func(func())) {
			o := r.platform.Objects.Put(ctx, f.Name(), f.Data())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewOutcomeUnknown("lost")) })
	case dispatch.Get:
		ended := func(o provider.GetOutcome) { r.handle(n, dispatch.NewGetEnded(f.Ticket(), o)) }
		r.request(n, objectsName, 10*time.Second, true, func(reply func(func())) {
			o := r.platform.Objects.Get(ctx, f.Name())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("lost")) })
	case dispatch.List:
		ended := func(o provider.ListOutcome) { r.handle(n, dispatch.NewListEnded(o)) }
		r.request(n, listName, 2*time.Second, false, func(reply func(func())) {
			o := r.platform.VMs.List(ctx)
			if r.broken.hideLeaving {
				o = withoutLeaving(o)
			}
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("lost")) })
	}
}

func withoutLeaving(o provider.ListOutcome) provider.ListOutcome {
	var vms []provider.VM
	for _, v := range o.(provider.VMs).VMs() {
		vms = append(vms, provider.NewVM(v.ID(), v.Role(), v.Zone(), v.Rack(), v.Address(), v.Shape(), false))
	}
	return provider.NewVMs(vms)
}

func (r *rig) carryHeartbeat(n *node, f dispatch.Heartbeat) {
	sent := r.now()
	r.request(n, f.Peer(), time.Second, true, func(reply func(func())) {
		to, ok := r.nodes[f.Peer()]
		if !ok {
			return
		}
		r.nextTicket++
		r.greetings[r.nextTicket] = func(g dispatch.HeartbeatReply) {
			reply(func() {
				n.relays[f.Peer()] = g.Digest().TableReachable()
				r.handle(n, dispatch.NewHeartbeatEnded(f.Peer(), sent, true, g.Digest()))
			})
		}
		r.post(to, dispatch.NewHeartbeatReceived(r.nextTicket, f.Digest()))
	}, func(bool) {
		n.relays[f.Peer()] = false
		r.handle(n, dispatch.NewHeartbeatEnded(f.Peer(), sent, false, peer.Digest{}))
	})
}

func (r *rig) carryForward(n *node, f dispatch.Forward) {
	q := f.Request()
	remaining := max(0, q.Deadline().Sub(r.now()))
	ended := func(o peer.ForwardOutcome) { r.handle(n, dispatch.NewForwardEnded(f.Peer(), q.ID(), o)) }
	r.request(n, f.Peer(), remaining, false, func(reply func(func())) {
		to, ok := r.nodes[f.Peer()]
		if !ok {
			return
		}
		ticket := r.ticket(func(o dispatch.Outcome) { reply(func() { ended(forwarded(o)) }) })
		r.post(to, dispatch.NewSubmitted(ticket, dispatch.NewRequest(
			q.ID(), dispatch.KindCall, q.Entry(), q.Team(), q.Key(), q.Payload(), r.now().Add(remaining), 1, true)))
	}, func(sent bool) {
		if !sent {
			ended(peer.NewUnreachable("cut off"))
			return
		}
		if to, ok := r.nodes[f.Peer()]; ok && !r.isCut(n.id, to.id) {
			r.after(shortDelay, func() { r.post(to, dispatch.NewCallerDisconnected(q.ID())) })
		}
		ended(peer.NewUnknown("lost"))
	})
}

// forwarded is what entry.VM.Forward makes of an outcome.
func forwarded(o dispatch.Outcome) peer.ForwardOutcome {
	switch o := o.(type) {
	case dispatch.Answered:
		return peer.NewAnswered(o.OK(), o.Output(), len(o.Output()), xxhash.Sum64(o.Output()))
	case dispatch.NotRun:
		return peer.NewNotRun(o.Code(), o.Message(), o.RetryAfter())
	default:
		return peer.NewUnknown("unresolved")
	}
}

func (r *rig) carryPush(n *node, f dispatch.Push) {
	r.request(n, f.Peer(), 2*time.Second, true, func(reply func(func())) {
		to, ok := r.nodes[f.Peer()]
		if !ok {
			return
		}
		ticket := r.ticket(func(o dispatch.Outcome) {
			c, _ := o.(dispatch.ChangeStatus)
			reply(func() { r.handle(n, dispatch.NewPushEnded(f.Peer(), c.Version(), true)) })
		})
		r.post(to, dispatch.NewPushReceived(ticket, f.Change()))
	}, func(bool) { r.handle(n, dispatch.NewPushEnded(f.Peer(), 0, false)) })
}

func (r *rig) carryReply(n *node, f dispatch.Reply) {
	fn, ok := r.answers[f.Ticket()]
	if !ok {
		r.record.violate("R6", "%s replied twice to ticket %d", n.id, f.Ticket())
		return
	}
	delete(r.answers, f.Ticket())
	fn(f.Outcome())
}
