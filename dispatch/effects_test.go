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
	// maxDelay, maxLateDelay and maxSlowTableDelay bound the random delay of a message in one direction: of an
	// ordinary one, of one that is delivered late, and of one to or from a slow table.
	maxDelay     = 4 * time.Millisecond
	maxLateDelay = 800 * time.Millisecond
	// The delay of a slow table exceeds the timeout of a read, so that replies are also lost.
	maxSlowTableDelay = 3500 * time.Millisecond
	// lostRunTimeout is the time after which the loss of a connection is detected while a job runs.
	lostRunTimeout = 15 * time.Second
	// answerPollInterval is the time between two checks for tasks that have ended.
	answerPollInterval = 20 * time.Millisecond
)

// noWaitContext makes a backend server's Run return as soon as the task has started. Its Done channel is closed, and
// its Err is nil.
type noWaitContext struct{ context.Context }

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (noWaitContext) Done() <-chan struct{} { return closedChannel }

// pendingRun is a Run whose task is running, so that it has no answer yet.
type pendingRun struct {
	server       string
	task         provider.Task
	restartCount int // of the backend server when the task started
	reply        func(provider.RunOutcome)
}

// send sends a request of an entry VM to an endpoint. Serve is called when the request arrives. It calls its argument
// with the function that handles the reply, which then runs when the reply arrives. Lost is called if no reply arrives
// before the timeout; sent is false if the request certainly wasn't delivered. A repeatable request may be delivered
// twice. The reply to the second delivery is lost.
func (sm *simulation) send(
	vm *entryVM, to string, timeout time.Duration, repeatable bool, serve func(reply func(func())), lost func(sent bool),
) {
	settled := false
	settle := func(fn func()) {
		if !settled {
			settled = true
			sm.runOrQueue(vm, fn)
		}
	}
	if sm.unreachable(vm, to) && sm.random.IntN(2) == 0 {
		sm.after(maxDelay, func() { settle(func() { lost(false) }) })
		return
	}
	sm.after(timeout, func() { settle(func() { lost(true) }) })
	arrive := func() {
		if sm.unreachable(vm, to) {
			return
		}
		serve(func(fn func()) {
			if sm.faultOccurs(sm.plan.lossPercent) || sm.unreachable(vm, to) {
				return
			}
			sm.after(sm.randomDelay(to), func() { settle(fn) })
		})
	}
	if sm.faultOccurs(sm.plan.lossPercent) {
		return
	}
	delay := sm.randomDelay(to)
	sm.after(delay, arrive)
	if repeatable && sm.faultOccurs(sm.plan.lossPercent) {
		sm.after(delay+sm.randomDelay(to), func() { serve(func(func()) {}) })
	}
}

func (sm *simulation) randomDelay(to string) time.Duration {
	limit := maxDelay
	switch {
	case to == tableEndpoint && sm.now().Before(sm.slowTableUntil):
		limit = maxSlowTableDelay
	case sm.faultOccurs(sm.plan.latePercent):
		limit = maxLateDelay
	}
	return time.Duration(sm.random.Int64N(int64(limit)))
}

func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (sm *simulation) isCut(a, b string) bool { return sm.now().Before(sm.cutUntil[linkKey(a, b)]) }

// carryOut carries out effects like package entry, but against the simulated platform and network.
func (sm *simulation) carryOut(vm *entryVM, effects []dispatch.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case dispatch.Run:
			sm.carryOutRun(vm, f)
		case dispatch.Close, dispatch.Signal, dispatch.Acquire, dispatch.Report, dispatch.Release:
			sm.carryOutServerEffect(vm, f)
		case dispatch.Commit:
			sm.carryOutCommit(vm, f)
		case dispatch.Scan, dispatch.Put, dispatch.Get, dispatch.List:
			sm.carryOutRead(vm, f)
		case dispatch.Heartbeat:
			sm.carryOutHeartbeat(vm, f)
		case dispatch.Forward:
			sm.carryOutForward(vm, f)
		case dispatch.Push:
			sm.carryOutPush(vm, f)
		case dispatch.Reply:
			sm.carryOutReply(vm, f)
		case dispatch.HeartbeatReply:
			if fn, ok := sm.heartbeatHandlers[f.Ticket()]; ok {
				delete(sm.heartbeatHandlers, f.Ticket())
				fn(f)
			}
		case dispatch.ApplyConfiguration:
		case dispatch.Drained:
			sm.drained(vm)
		}
	}
}

// drained ends the process of an entry VM whose planned stop is complete.
func (sm *simulation) drained(vm *entryVM) {
	vm.drainedAt = sm.now()
	if sm.mutation.deleteJobsOnDrain {
		sm.deleteJobs()
	}
	sm.checker.drained(vm)
	sm.runningIDs = slices.DeleteFunc(sm.runningIDs, func(id string) bool { return id == vm.id })
	sm.platform.VMs.Remove(vm.id)
}

func (sm *simulation) deleteJobs() {
	ctx := context.Background()
	for _, row := range sm.platform.Table.Scan(ctx, "job/", 0).(provider.Rows).Rows() {
		sm.platform.Table.Commit(ctx, provider.NewTransaction(nil, []provider.Write{provider.NewDelete(row.Key())}))
	}
}

func (sm *simulation) carryOutRun(vm *entryVM, f dispatch.Run) {
	decidedAt, config := sm.now(), vm.state.Configuration()
	timeout := lostRunTimeout
	if !f.Deadline().IsZero() {
		timeout = max(0, f.Deadline().Sub(sm.now()))
	}
	ended := func(o provider.RunOutcome) {
		sm.checker.tracef("%s: Run of %s#%d on %s ended: %T %+v", vm.id, f.Task().ID(), f.Task().Attempt(), f.Server(), o, o)
		sm.handle(vm, dispatch.NewRunEnded(f.Server(), f.Epoch(), f.Task().ID(), f.Task().Attempt(), o))
	}
	sm.after(f.Delay(), func() {
		sm.send(vm, f.Server(), timeout, true, func(reply func(func())) {
			b := sm.platform.Backends[f.Server()]
			before := b.Counters.Starts(f.Task().ID())
			epoch := f.Epoch()
			if sm.mutation.ignoreEpochs {
				epoch = sm.checker.epochs[f.Server()]
			}
			o := b.Run(noWaitContext{context.Background()}, epoch, f.Task())
			if b.Counters.Starts(f.Task().ID()) > before {
				sm.checker.taskStarted(taskStart{
					startedAt: sm.now(), decidedAt: decidedAt, entryVM: vm.id, server: f.Server(), task: f.Task(), config: config,
				})
			}
			answer := func(o provider.RunOutcome) { reply(func() { ended(o) }) }
			if _, running := o.(provider.OutcomeUnknown); running {
				sm.pendingRuns = append(sm.pendingRuns, &pendingRun{
					server: f.Server(), task: f.Task(), restartCount: sm.restarts[f.Server()], reply: answer,
				})
				return
			}
			answer(o)
		}, func(sent bool) {
			if sent {
				ended(provider.NewOutcomeUnknown("no reply arrived"))
				return
			}
			ended(provider.NewUnavailable("the endpoint is unreachable"))
		})
	})
}

// completeRuns answers the Runs whose tasks have ended, and ends those on restarted backend servers as unknown. If
// no entry VM holds the lease of a backend server, its answers are delayed until the lease is acquired again.
func (sm *simulation) completeRuns() {
	running := make(map[string]bool)
	for _, id := range slices.Sorted(maps.Keys(sm.platform.Backends)) {
		for _, t := range sm.platform.Backends[id].Running() {
			running[fmt.Sprintf("%s/%s/%d", id, t.ID(), t.Attempt())] = true
		}
	}
	kept := sm.pendingRuns[:0]
	for _, p := range sm.pendingRuns {
		if p.restartCount != sm.restarts[p.server] {
			p.reply(provider.NewOutcomeUnknown("the connection was lost"))
			continue
		}
		if running[fmt.Sprintf("%s/%s/%d", p.server, p.task.ID(), p.task.Attempt())] {
			kept = append(kept, p)
			continue
		}
		o := sm.platform.Backends[p.server].Run(noWaitContext{context.Background()}, sm.checker.epochs[p.server], p.task)
		if a, ok := o.(provider.Answer); ok {
			p.reply(a)
			continue
		}
		kept = append(kept, p)
	}
	sm.pendingRuns = kept
}

func (sm *simulation) carryOutServerEffect(vm *entryVM, f dispatch.Effect) {
	const timeout = 2 * time.Second
	ctx := context.Background()
	sent := sm.now()
	unavailable := provider.NewUnavailable("the endpoint is unreachable")
	unknown := provider.NewOutcomeUnknown("no reply arrived")
	send := func(server string, serve func(b provider.BackendServer) dispatch.Event, lost func(sent bool) dispatch.Event) {
		b := sm.platform.Backends[server]
		sm.send(vm, server, timeout, true, func(reply func(func())) {
			e := serve(b)
			reply(func() { sm.handle(vm, e) })
		}, func(sent bool) { sm.handle(vm, lost(sent)) })
	}
	switch f := f.(type) {
	case dispatch.Close:
		ended := func(o provider.CloseOutcome) dispatch.Event {
			sm.checker.tracef("%s: Close of %s#%d on %s ended: %T", vm.id, f.ID(), f.Attempt(), f.Server(), o)
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
			o := b.Acquire(ctx, vm.id, vm.zone)
			if g, ok := o.(provider.Granted); ok {
				sm.checker.epochs[f.Server()] = g.Epoch()
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

// carryOutCommit passes a transaction to the group commit of package commit.
func (sm *simulation) carryOutCommit(vm *entryVM, f dispatch.Commit) {
	if sm.mutation.claimsAlwaysSucceed && writesClaim(f.Transaction()) {
		sm.after(maxDelay, func() { sm.post(vm, dispatch.NewCommitEnded(f.Ticket(), provider.NewCommitted(1))) })
		return
	}
	var options []commit.Option
	if f.Urgency() == dispatch.UrgencyHigh {
		options = append(options, commit.Urgent{})
	}
	if !f.Deadline().IsZero() {
		options = append(options, commit.NewDeadline(f.Deadline()))
	}
	vm.commitTickets[vm.committer.Add(f.Transaction(), options...)] = f.Ticket()
	sm.after(0, func() { sm.runOrQueue(vm, func() { sm.advanceCommitter(vm) }) })
}

// advanceCommitter sends the next transaction of the group commit, if one is due.
func (sm *simulation) advanceCommitter(vm *entryVM) {
	now := sm.now()
	sm.commitsCompleted(vm, vm.committer.Expire(now))
	vm.lastToken++
	switch s := vm.committer.Next(now, fmt.Sprintf("%s.%d.%d", vm.id, sm.startedCount, vm.lastToken)).(type) {
	case commit.Send:
		handle := func(o provider.CommitOutcome) {
			sm.commitsCompleted(vm, vm.committer.Handle(o, sm.now()))
			sm.advanceCommitter(vm)
		}
		sm.send(vm, tableEndpoint, 3*time.Second, true, func(reply func(func())) {
			o := sm.platform.Table.Commit(context.Background(), s.Transaction())
			sm.checker.observeCommit(s.Transaction(), o)
			reply(func() { handle(o) })
		}, func(sent bool) {
			if sent {
				handle(provider.NewOutcomeUnknown("no reply arrived"))
				return
			}
			handle(provider.NewUnavailable("the endpoint is unreachable"))
		})
	case commit.Wait:
		if vm.wakeAt.After(now) && !s.Until().Before(vm.wakeAt) {
			return
		}
		vm.wakeAt = s.Until()
		sm.after(s.Until().Sub(now), func() { sm.runOrQueue(vm, func() { sm.advanceCommitter(vm) }) })
	case commit.Idle:
	}
}

// commitsCompleted passes the outcomes of commits to the control state.
func (sm *simulation) commitsCompleted(vm *entryVM, done []commit.Completion) {
	for _, c := range done {
		ticket := vm.commitTickets[c.ID()]
		delete(vm.commitTickets, c.ID())
		sm.after(0, func() { sm.post(vm, dispatch.NewCommitEnded(ticket, c.Outcome())) })
	}
}

// unreachable reports whether messages to an endpoint are lost now. An entry VM that is cut off from the table can use
// another one as a relay.
func (sm *simulation) unreachable(vm *entryVM, to string) bool {
	if !sm.isCut(vm.id, to) {
		return false
	}
	if to != tableEndpoint {
		return true
	}
	for _, relay := range sm.running() {
		if vm.tableRelays[relay.id] && !relay.paused && !sm.isCut(vm.id, relay.id) && !sm.isCut(relay.id, tableEndpoint) &&
			relay.state.Propagation.MayPublish(sm.now()) {
			return false
		}
	}
	return true
}

func (sm *simulation) carryOutRead(vm *entryVM, f dispatch.Effect) {
	ctx := context.Background()
	sent := sm.now()
	switch f := f.(type) {
	case dispatch.Scan:
		ended := func(o provider.ScanOutcome) {
			sm.handle(vm, dispatch.NewScanEnded(f.Ticket(), f.Prefix(), sent, o))
		}
		sm.send(vm, tableEndpoint, 3*time.Second, false, func(reply func(func())) {
			o := sm.platform.Table.Scan(ctx, f.Prefix(), f.Since())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("no reply arrived")) })
	case dispatch.Put:
		ended := func(o provider.PutOutcome) { sm.handle(vm, dispatch.NewPutEnded(f.Ticket(), o)) }
		sm.send(vm, objectStoreEndpoint, 10*time.Second, true, func(reply func(func())) {
			o := sm.platform.Objects.Put(ctx, f.Name(), f.Data())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewOutcomeUnknown("no reply arrived")) })
	case dispatch.Get:
		ended := func(o provider.GetOutcome) { sm.handle(vm, dispatch.NewGetEnded(f.Ticket(), o)) }
		sm.send(vm, objectStoreEndpoint, 10*time.Second, true, func(reply func(func())) {
			o := sm.platform.Objects.Get(ctx, f.Name())
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("no reply arrived")) })
	case dispatch.List:
		ended := func(o provider.ListOutcome) { sm.handle(vm, dispatch.NewListEnded(o)) }
		sm.send(vm, vmListEndpoint, 2*time.Second, false, func(reply func(func())) {
			o := sm.platform.VMs.List(ctx)
			if sm.mutation.hideLeaving {
				o = withoutLeaving(o)
			}
			reply(func() { ended(o) })
		}, func(bool) { ended(provider.NewUnavailable("no reply arrived")) })
	}
}

func withoutLeaving(o provider.ListOutcome) provider.ListOutcome {
	var vms []provider.VM
	for _, v := range o.(provider.VMs).VMs() {
		vms = append(vms, provider.NewVM(v.ID(), v.Role(), v.Zone(), v.Rack(), v.Address(), v.Shape(), false))
	}
	return provider.NewVMs(vms)
}

func (sm *simulation) carryOutHeartbeat(vm *entryVM, f dispatch.Heartbeat) {
	sent := sm.now()
	sm.send(vm, f.Peer(), time.Second, true, func(reply func(func())) {
		to, ok := sm.entryVMs[f.Peer()]
		if !ok {
			return
		}
		sm.nextTicket++
		sm.heartbeatHandlers[sm.nextTicket] = func(r dispatch.HeartbeatReply) {
			reply(func() {
				vm.tableRelays[f.Peer()] = r.Digest().TableReachable()
				sm.handle(vm, dispatch.NewHeartbeatEnded(f.Peer(), sent, true, r.Digest()))
			})
		}
		sm.post(to, dispatch.NewHeartbeatReceived(sm.nextTicket, f.Digest()))
	}, func(bool) {
		vm.tableRelays[f.Peer()] = false
		sm.handle(vm, dispatch.NewHeartbeatEnded(f.Peer(), sent, false, peer.Digest{}))
	})
}

func (sm *simulation) carryOutForward(vm *entryVM, f dispatch.Forward) {
	q := f.Request()
	remaining := max(0, q.Deadline().Sub(sm.now()))
	ended := func(o peer.ForwardOutcome) { sm.handle(vm, dispatch.NewForwardEnded(f.Peer(), q.ID(), o)) }
	if sm.lostForwards[q.ID()] > 0 {
		sm.lostForwards[q.ID()]--
		sm.after(maxDelay, func() { ended(peer.NewOutcomeUnknown("no reply arrived")) })
		return
	}
	sm.send(vm, f.Peer(), remaining, false, func(reply func(func())) {
		to, ok := sm.entryVMs[f.Peer()]
		if !ok {
			return
		}
		ticket := sm.newTicket(func(o dispatch.Outcome) { reply(func() { ended(forwardOutcome(o)) }) })
		sm.post(to, dispatch.NewSubmitted(ticket, dispatch.NewRequest(
			q.ID(), dispatch.KindCall, q.Entry(), q.Team(), q.KeyID(), q.Payload(), sm.now().Add(remaining), 1, true)))
	}, func(sent bool) {
		if !sent {
			ended(peer.NewUnreachable("the endpoint is unreachable"))
			return
		}
		if to, ok := sm.entryVMs[f.Peer()]; ok && !sm.isCut(vm.id, to.id) {
			sm.after(maxDelay, func() { sm.post(to, dispatch.NewCallerDisconnected(q.ID())) })
		}
		ended(peer.NewOutcomeUnknown("no reply arrived"))
	})
}

// forwardOutcome converts an outcome like the Forward method of package entry.
func forwardOutcome(o dispatch.Outcome) peer.ForwardOutcome {
	switch o := o.(type) {
	case dispatch.Answered:
		return peer.NewAnswered(o.OK(), o.Output(), len(o.Output()), xxhash.Sum64(o.Output()))
	case dispatch.NotRun:
		return peer.NewNotRun(o.Code(), o.Message(), o.RetryAfter())
	default:
		return peer.NewOutcomeUnknown("unresolved")
	}
}

func (sm *simulation) carryOutPush(vm *entryVM, f dispatch.Push) {
	sm.send(vm, f.Peer(), 2*time.Second, true, func(reply func(func())) {
		to, ok := sm.entryVMs[f.Peer()]
		if !ok {
			return
		}
		ticket := sm.newTicket(func(o dispatch.Outcome) {
			c, _ := o.(dispatch.ChangeStatus)
			reply(func() { sm.handle(vm, dispatch.NewPushEnded(f.Peer(), c.Version(), true)) })
		})
		sm.post(to, dispatch.NewPushReceived(ticket, f.Change()))
	}, func(bool) { sm.handle(vm, dispatch.NewPushEnded(f.Peer(), 0, false)) })
}

func (sm *simulation) carryOutReply(vm *entryVM, f dispatch.Reply) {
	fn, ok := sm.replyHandlers[f.Ticket()]
	if !ok {
		sm.checker.addViolation("R6", "%s sent a second reply to ticket %d", vm.id, f.Ticket())
		return
	}
	delete(sm.replyHandlers, f.Ticket())
	fn(f.Outcome())
}
