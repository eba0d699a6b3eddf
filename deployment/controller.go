package deployment

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/relay"
	"github.com/pistachiolead/pistachiolead/timer"
)

// controller runs the control state while this entry VM is the leader. It posts events to the state and carries out the
// effects that the state returns.
type controller struct {
	vm              *VM
	term            fleet.Term
	token           uint64 // the fencing token of all requests of this term
	termRequestedAt time.Time
	// previousTerm is the term before this one. Its holder is "" if the previous controller resigned or there was none.
	previousTerm fleet.Term

	previousGCPercent int // of the runtime, restored when the controller ends

	state   *fleet.State
	servers *platform.BackendClient
	relays  *relay.Pool
	vms     *platform.VMClient
	ctx     context.Context
	cancel  context.CancelFunc

	mu          sync.Mutex // guards events, eventsSince, seenJobs and explanations
	events      []fleet.Event
	eventsSince time.Time // when the first of events was posted
	eventsReady chan struct{}
	requests    chan fleet.Effect // to senders that are idle
	// seenJobs holds the jobs that were read, so that none is posted twice: the versions of their rows by id, or 0 for a job
	// whose row wasn't read.
	seenJobs     map[string]uint64
	explanations explanations
	ended        endedJobs
	endedRead    chan struct{} // closed once ended holds all jobs that ended before the term
}

// start starts the controller in goroutines of the entry VM.
func (c *controller) start(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.eventsReady, c.seenJobs = make(chan struct{}, 1), make(map[string]uint64)
	c.endedRead = make(chan struct{})
	c.requests = make(chan fleet.Effect)
	s := c.vm.Settings
	c.servers = platform.NewBackendClient()
	c.relays = &relay.Pool{
		Leader: s.Name(), Processors: s.Processors(), Clock: c.vm.Clock, Post: c.postAll, SendDirectly: c.sendDirectly,
	}
	c.vms = &platform.VMClient{Client: c.vm.client, Address: s.VMsAddress(), Holder: s.Name()}
	c.state = &fleet.State{
		EntryVM: s.Name(), Term: c.term, Token: c.token, TermRequestedAt: c.termRequestedAt,
		PreviousLease:   c.previousTerm.Lease(),
		HandoverPause:   s.HandoverPause(),
		MaintenanceTime: s.MaintenanceTime(), MoveTime: s.MoveTime(), StopTime: s.StopTime(), MaxLease: s.MaxLease(),
		LinkMbps: s.LinkMbps(), AwaitRestore: true, MaxTasks: maxTasks(s.MemoryMB()),
		CancelPartitions: intake.Partitions, CancelPartition: intake.PartitionOf,
		IgnoreWeights: c.vm.IgnoreWeights, DisableServerSpeed: c.vm.DisableServerSpeed, DisableCopies: c.vm.DisableCopies, DisableRunMoves: c.vm.DisableRunMoves,
		Scope: c.vm.Scope.SubScope("control"),
	}
	c.previousGCPercent = debug.SetGCPercent(controllerGCPercent)
	c.vm.controller.Store(c)
	c.vm.goroutines.Go(func() error {
		defer c.release()
		return c.run()
	})
}

// maxTasks returns the number of tasks that the leader has room for, or 0 if its memory isn't known.
func maxTasks(memoryMB int64) int {
	return int(memoryMB * 1_000_000 * taskMemoryPercent / 100 / bytesPerTask)
}

// release ends the controller's goroutines and lets the entry VM take part in the next election.
func (c *controller) release() {
	c.cancel()
	debug.SetGCPercent(c.previousGCPercent)
	c.vm.controller.CompareAndSwap(c, nil)
}

// resign makes the leader resign once its changes are stored and no start request is in flight.
func (c *controller) resign() { c.post(fleet.Stopping{}) }

// post queues an event for the control state.
func (c *controller) post(e fleet.Event) { c.postAll([]fleet.Event{e}) }

// postAll queues events for the control state.
func (c *controller) postAll(events []fleet.Event) {
	c.mu.Lock()
	if len(c.events) == 0 {
		c.eventsSince = c.vm.Clock.Now()
	}
	c.events = append(c.events, events...)
	c.mu.Unlock()
	select {
	case c.eventsReady <- struct{}{}:
	default:
	}
}

// drainEvents returns the queued events and when the first of them was posted. It uses the array of the given slice for
// the next ones.
func (c *controller) drainEvents(reuse []fleet.Event) ([]fleet.Event, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	clear(reuse)
	c.events = reuse[:0]
	return events, c.eventsSince
}

// run is the event loop. Only its goroutine uses the control state.
func (c *controller) run() error {
	defer c.endAfterPanic("event loop")
	c.state.Begin(c.vm.Clock.Now())
	ticks := c.vm.Clock.Every(tickInterval, func(time.Time) { c.post(fleet.Tick{}) })
	defer ticks.Stop()
	c.post(fleet.Tick{})
	c.watchClaims()
	c.watchMembers()
	loaded := make(chan *storedState, 1)
	c.vm.goroutines.Go(func() error {
		defer c.endAfterPanic("load")
		loaded <- c.load()
		return nil
	})
	var events []fleet.Event
	var posted time.Time
	var load controllerLoad
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case s := <-loaded:
			if s == nil {
				return nil
			}
			c.restore(s)
		case <-c.eventsReady:
		}
		events, posted = c.drainEvents(events)
		now := c.vm.Clock.Now()
		for _, e := range events {
			c.state.Handle(e, now)
			if _, tick := e.(fleet.Tick); tick {
				c.vm.fullFor.Store(int64(c.state.FullFor()))
				c.shareForecast()
				c.relays.Resize(c.ctx, c.vm.goroutines, c.state.ServerCount())
			}
		}
		effects := c.state.TakeEffects(c.vm.Clock.Now())
		if len(events) > 0 {
			load.recordBatch(len(events), now.Sub(posted), c.vm.Clock.Now().Sub(now))
		}
		for _, e := range effects {
			if _, deposed := e.(fleet.Deposed); deposed {
				return nil
			}
			load.recordEffect(e)
			c.execute(e)
		}
		c.relays.Flush()
		load.log(c.vm.Settings.Name(), c.vm.Settings.Processors(), c.vm.Clock.Now())
	}
}

// endAfterPanic ends the controller instead of the process if its goroutine panicked. Calls are served on, and another
// entry VM becomes the leader.
func (c *controller) endAfterPanic(part string) {
	if r := recover(); r != nil {
		klog.ErrorS(nil, "Controller ended after a panic", "vm", c.vm.Settings.Name(), "part", part, "panic", r,
			"stack", string(debug.Stack()))
		c.cancel()
	}
}

// watchClaims posts claims on the term by faster entry VMs. A leader with much processor time doesn't read them.
func (c *controller) watchClaims() {
	if c.vm.Settings.Processors() >= preferredCores {
		return
	}
	c.vm.goroutines.Go(func() error {
		for c.ctx.Err() == nil {
			timer.Wait(c.ctx, c.vm.Clock, claimReadInterval)
			row, err := c.vm.readControlRow(fleet.ClaimKey)
			if err != nil {
				klog.InfoS("Failed to read claims on the term", "vm", c.vm.Settings.Name(), "error", err.Error())
				continue
			}
			claim, err := fleet.DecodeClaim(row)
			if err != nil {
				klog.ErrorS(err, "Ignored an invalid claim on the term", "row-version", row.Version())
				continue
			}
			c.post(fleet.TermClaimed{Claim: claim, Version: row.Version()})
		}
		return nil
	})
}

// watchTables reads jobs, cancellations and registrations, and their changes after the table version.
func (c *controller) watchTables(version uint64) {
	c.watchJobTable(intake.JobPrefix, version, func(row provider.Row) {
		id := row.Key()[len(intake.JobPrefix):]
		if row.Deleted() || c.ended.contains(id, row.Version()) || !c.markSeen(id, row.Version()) {
			return
		}
		if job := decodeJob(row); job != nil {
			c.post(fleet.JobArrived{Job: job})
		}
	})
	c.watchJobTable(intake.CancelPrefix, version, func(row provider.Row) {
		if !row.Deleted() {
			c.post(fleet.CancelRequested{ID: row.Key()[len(intake.CancelPrefix):]})
		}
	})
	c.watchRegistrations()
}

// markSeen records the row of a job and reports whether it is new. A later row is of a new job with the same id: the row of the
// earlier one was removed after its end.
func (c *controller) markSeen(id string, version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, seen := c.seenJobs[id]
	c.seenJobs[id] = max(known, version)
	return !seen || (known > 0 && version > known)
}

func (c *controller) hasSeen(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, seen := c.seenJobs[id]
	return seen
}

// forget forgets jobs whose rows were removed.
func (c *controller) forget(ids []string) {
	if len(ids) == 0 {
		return
	}
	c.mu.Lock()
	for _, id := range ids {
		delete(c.seenJobs, id)
	}
	c.mu.Unlock()
	c.post(fleet.JobsRemoved{IDs: ids})
}

// removeEndedJobs removes the rows of jobs that ended a while ago.
func (c *controller) removeEndedJobs() {
	kept := c.vm.Settings.StatusTime() * retentionPercent / 100
	r := &retention{
		Duration: kept, Interval: kept, Clock: c.vm.Clock, ControlTable: c.vm.control, JobTable: c.vm.jobPartition,
		Ended: &c.ended, Removed: c.forget, Scope: c.vm.Scope.SubScope("retention"),
	}
	c.vm.goroutines.Go(func() error {
		defer c.endAfterPanic("retention")
		return r.Run(c.ctx)
	})
}

// watchJobTable calls handle for the rows of a table that is spread over the job partitions. It reads the present rows
// partition by partition, and the changes after the table version from the feed.
func (c *controller) watchJobTable(prefix string, version uint64, handle func(provider.Row)) {
	w := &tableWatcher{
		clock: c.vm.Clock, feed: c.vm.feed(prefix[:len(prefix)-1]), maxWait: feedMaxWait, batchDelay: jobsBatchDelay,
		maxRelistDelay: maxJobsRelistDelay, version: version,
	}
	w.handle = func(rows []provider.Row, _ time.Time) {
		for _, row := range rows {
			handleRow(row, handle)
		}
	}
	reader := &partitionReader{controller: c, prefix: prefix, handle: handle}
	if prefix == intake.CancelPrefix {
		reader.partitionDone = func(partition int) { c.post(fleet.CancelsRead{Partition: partition}) }
	}
	if prefix == intake.JobPrefix {
		began := c.vm.Clock.Now()
		reader.ready = c.endedRead
		reader.done = func() {
			c.vm.Scope.SubScope("control").Timer("read-waiting-jobs").Record(c.vm.Clock.Now().Sub(began))
			c.post(fleet.JobsRead{})
			c.removeEndedJobs()
		}
	}
	w.list = func() ([]provider.Row, uint64, error) {
		_, listVersion, err := c.scan(c.vm.control, fleet.TermKey)
		if err == nil {
			reader.start()
		}
		return nil, listVersion, err
	}
	reader.start()
	c.vm.goroutines.Go(func() error { return w.run(c.ctx) })
}

// watchRegistrations posts the registrations of backend servers, their changes and their removals.
func (c *controller) watchRegistrations() {
	feed := c.vm.feed(platform.ServersTable)
	registered := make(map[string]bool)
	handle := func(rows []provider.Row, _ time.Time) {
		for _, row := range rows {
			handleRow(row, func(row provider.Row) { c.postRegistration(row, registered) })
		}
	}
	w := &tableWatcher{
		clock: c.vm.Clock, feed: feed, batchDelay: registrationsBatchDelay, list: feed.Read, rows: &presentRows{}, handle: handle,
	}
	c.vm.goroutines.Go(func() error { return w.run(c.ctx) })
}

// postRegistration posts the change of a registration, and updates the set of valid registrations by server id.
func (c *controller) postRegistration(row provider.Row, registered map[string]bool) {
	id := platform.ServerID(row)
	if row.Deleted() {
		delete(registered, id)
		c.post(fleet.ServerUnregistered{ID: id})
		return
	}
	r, err := platform.DecodeRegistration(row)
	if err != nil {
		if registered[id] {
			klog.InfoS("Registration became invalid", "server", id, "error", err.Error())
		}
		delete(registered, id)
		c.post(fleet.ServerUnregistered{ID: id})
		return
	}
	registered[id] = true
	c.post(fleet.ServerRegistered{Registration: r})
}

// execute carries out an effect without blocking, and posts its outcome as an event.
func (c *controller) execute(e fleet.Effect) {
	switch e := e.(type) {
	case fleet.Commit:
		c.vm.committer.Submit(e.Transaction, func(o provider.CommitOutcome) { c.post(fleet.CommitEnded{Outcome: o}) })
		return
	case fleet.JobsSettled:
		now := c.vm.Clock.Now()
		for _, id := range e.IDs {
			c.ended.add(endedJob{id: id, version: e.Version, since: now})
		}
		return
	case fleet.Explained:
		c.explained(e)
		return
	}
	if !c.relays.Send(e) {
		c.sendDirectly(e)
	}
}

// sendDirectly sends the request of an effect from this entry VM.
func (c *controller) sendDirectly(e fleet.Effect) {
	select {
	case c.requests <- e:
	default:
		c.vm.goroutines.Go(func() error { return c.runSender(e) })
	}
}

// runSender sends the request of an effect, and then those that it takes over from execute until the controller ends.
// Senders are kept because a new goroutine would grow its stack for each request.
func (c *controller) runSender(e fleet.Effect) error {
	defer c.endAfterPanic("request")
	for {
		c.post(c.send(e, c.vm.Clock))
		select {
		case e = <-c.requests:
		case <-c.ctx.Done():
			return nil
		}
	}
}

// send sends the request of an effect and returns its outcome.
func (c *controller) send(e fleet.Effect, t timer.Clock) fleet.Event {
	switch e := e.(type) {
	case fleet.Poll:
		return fleet.PollEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Sequence: e.Sequence,
			Outcome: c.servers.Poll(e.Target, e.Request),
		}
	case fleet.Start:
		var outcome backend.Outcome = backend.Refused{Reason: backend.RefusedExpired}
		if t.Now().Before(e.ValidUntil) {
			outcome = c.servers.Start(e.Target, e.Request)
		}
		return fleet.StartEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Request.Run, Outcome: outcome,
		}
	case fleet.Stop:
		return fleet.StopEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run,
			Outcome: c.servers.Stop(e.Target, e.Run, e.Token),
		}
	case fleet.Pace:
		return fleet.PaceEnded{
			Server: e.Target.ID, Run: e.Run, Percent: e.Percent,
			Outcome: c.servers.Pace(e.Target, e.Run, e.Percent, e.Token),
		}
	case fleet.MaintainVM:
		return fleet.MaintenanceEnded{VM: e.VM, Wave: e.Wave, Outcome: c.vms.Maintain(e.VM, e.Wave, e.Token)}
	case fleet.MoveVM:
		return fleet.VMMoveEnded{VM: e.VM, Outcome: c.vms.Move(e.VM, e.Pool, e.Token)}
	case fleet.PublishWaveStatus:
		return fleet.WaveStatusPublished{
			Wave: e.Wave, Version: e.Version, Complete: e.Complete, Outcome: c.publishWave(e),
		}
	case fleet.RequestRecommendation:
		return c.recommend(e, t.Now())
	case fleet.ListVMs:
		return c.listVMs(t.Now())
	case fleet.Commit, fleet.JobsSettled, fleet.Deposed, fleet.Explained:
	}
	panic("send: the effect has no request")
}

// publishWave publishes the status of a wave, unless the present one is of the same content of the wave and isn't behind.
func (c *controller) publishWave(e fleet.PublishWaveStatus) provider.CommitOutcome {
	statuses := &platform.WaveStatuses{Client: c.vm.client, Address: c.vm.Settings.StoreAddress()}
	present, err := statuses.Read(c.ctx, e.Wave)
	if err != nil {
		return provider.NewUnavailable(err.Error())
	}
	if present.Version > e.Version && (present.Complete || present.Running && !e.Complete) {
		return provider.NewCommitted(present.Version)
	}
	return statuses.Write(c.ctx, e.Wave, e.Version, present.Version, e.Complete)
}

// recommend asks the recommendation service on which servers a step may run.
func (c *controller) recommend(e fleet.RequestRecommendation, requestedAt time.Time) fleet.Event {
	client := &platform.RecommendationClient{Client: c.vm.client, Address: c.vm.Settings.RecommendationAddress()}
	tickets, err := client.RequestTickets(e.Step, e.Servers, e.ExpectedDuration)
	if err != nil {
		return fleet.RecommendationEnded{Step: e.Step, Failure: err.Error()}
	}
	return fleet.RecommendationEnded{Step: e.Step, Tickets: tickets, RequestedAt: requestedAt}
}

// listVMs lists the platform's VMs. Without a list the event holds none.
func (c *controller) listVMs(requestedAt time.Time) fleet.Event {
	list, err := c.vms.List()
	if err != nil {
		klog.InfoS("Failed to list VMs", "error", err.Error())
		return fleet.VMsListed{RequestedAt: requestedAt}
	}
	return fleet.VMsListed{VMs: list, RequestedAt: requestedAt}
}
