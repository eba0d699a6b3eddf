package deployment

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// controller runs the control state while this entry VM is in control.
type controller struct {
	vm    *VM
	term  fleet.Term
	token uint64
	sent  time.Time
	// before is the term before, whose holder is "" if it gave up its term.
	before fleet.Term

	state    *fleet.State
	backends *platform.BackendClient
	vms      *platform.VMClient
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	events []fleet.Event
	wake   chan struct{}
	known  map[string]bool // the ids of all jobs that were read, so that none is taken in twice; guarded by mu
}

// start runs the controller in goroutines of the VM.
func (c *controller) start(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.wake, c.known = make(chan struct{}, 1), make(map[string]bool)
	s := c.vm.Settings
	c.backends = &platform.BackendClient{Client: c.vm.client}
	c.vms = &platform.VMClient{Client: c.vm.client, Address: s.VMsAddress(), Holder: s.Name()}
	c.state = &fleet.State{
		Self: s.Name(), Term: c.term, Token: c.token, TermSent: c.sent,
		LeaseBefore:     c.before.Lease(),
		DutyPause:       s.HandoverPause(),
		MaintenanceTime: s.MaintenanceTime(), MoveTime: s.MoveTime(),
		Scope: c.vm.Scope.SubScope("control"),
	}
	c.vm.controller.Store(c)
	c.vm.tasks.Go(func() error {
		defer c.end()
		return c.run()
	})
}

// end makes way for another term.
func (c *controller) end() {
	c.cancel()
	c.vm.controller.CompareAndSwap(c, nil)
}

// stop gives up control once all orders have an outcome.
func (c *controller) stop() { c.post(fleet.Stopping{}) }

func (c *controller) post(e fleet.Event) {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *controller) takeEvents(reuse []fleet.Event) []fleet.Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.events
	clear(reuse)
	c.events = reuse[:0]
	return events
}

// run is the control goroutine: it alone touches the control state.
func (c *controller) run() error {
	if err := c.load(); err != nil {
		klog.InfoS("Control given up", "vm", c.vm.Settings.Name(), "error", err.Error())
		return nil
	}
	ticks := c.vm.Timer.Every(tickInterval, func(time.Time) { c.post(fleet.Tick{}) })
	defer ticks.Stop()
	c.post(fleet.Tick{})
	var events []fleet.Event
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-c.wake:
		}
		events = c.takeEvents(events)
		now := c.vm.Timer.Now()
		for _, e := range events {
			c.state.Handle(e, now)
		}
		for _, e := range c.state.Settle(c.vm.Timer.Now()) {
			if _, over := e.(fleet.Deposed); over {
				return nil
			}
			c.carryOut(e)
		}
	}
}

// stored is what earlier controllers stored.
type stored struct {
	progress   map[string]workload.Progress
	jobs       []*workload.Job // that aren't over
	waves      []provider.Row
	vmOrders   []provider.Row
	operations []provider.Row
	version    uint64 // that all of it is at least as new as
}

// load reads what earlier controllers stored, and starts to follow what changes. Jobs of which nothing has run yet are
// read while the controller is at work, as some parts of the store may be down.
func (c *controller) load() error {
	began := c.vm.Timer.Now()
	c.state.Begin(began)
	s, err := c.readStored()
	if err != nil {
		return err
	}
	for id := range s.progress {
		c.known[id] = true
	}
	for _, row := range s.vmOrders {
		c.state.RestoreVMOrders(row)
	}
	c.takeOperations(s.operations)
	open := c.state.Restore(s.jobs, s.progress, s.waves, c.vm.Timer.Now())
	klog.InfoS("Control begins", "vm", c.vm.Settings.Name(), "token", c.token, "open-jobs", open,
		"stored-jobs", len(s.progress), "took", c.vm.Timer.Now().Sub(began))
	c.follow(s.version)
	return nil
}

// readStored reads all tables of the control part at the same time, as nothing starts until they are read.
func (c *controller) readStored() (*stored, error) {
	s := &stored{}
	reads, _ := group.New(c.ctx)
	reads.Go(func() error { return c.readProgress(s) })
	reads.Go(func() (err error) {
		s.waves, _, err = c.scan(c.vm.control, fleet.WavesPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.operations, _, err = c.vm.feed(platform.OperatorTable).Read()
		return err
	})
	if c.before.Holder != "" && c.before.Holder != c.vm.Settings.Name() {
		reads.Go(func() (err error) {
			s.vmOrders, _, err = c.scan(c.vm.control, fleet.VMOrdersKey)
			return err
		})
	}
	return s, reads.Wait()
}

func (c *controller) readProgress(s *stored) error {
	rows, version, err := c.scan(c.vm.control, fleet.ProgressPrefix)
	if err != nil {
		return err
	}
	s.version = version
	s.progress = make(map[string]workload.Progress)
	for _, row := range rows {
		id := row.Key()[len(fleet.ProgressPrefix):]
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			return errors.WithMessage(err, row.Key())
		}
		s.progress[id] = p
		if p.Over() {
			continue
		}
		job, err := c.storedJob(id, p)
		if err != nil {
			return errors.WithMessage(err, row.Key())
		}
		s.jobs = append(s.jobs, job)
	}
	return nil
}

// storedJob returns the job of a row of progress. Rows of releases before this one lack it.
func (c *controller) storedJob(id string, p workload.Progress) (*workload.Job, error) {
	if len(p.Job) > 0 {
		return workload.DecodeJob(p.Job)
	}
	rows, _, err := c.scan(c.vm.jobTable(intake.Part(id)), intake.JobPrefix+id)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, errors.New("the job isn't stored")
	}
	return workload.DecodeJob(rows[0].Value())
}

func (c *controller) scan(t *platform.Table, prefix string) ([]provider.Row, uint64, error) {
	for try := 0; ; try++ {
		switch o := t.Scan(c.ctx, prefix, 0).(type) {
		case provider.Rows:
			return o.Rows(), o.Version(), nil
		case provider.Unavailable:
			if try >= loadTries || c.ctx.Err() != nil {
				return nil, 0, errors.Errorf("read %s of part %s: %s", prefix, t.Partition, o.Reason())
			}
			timer.Wait(c.ctx, c.vm.Timer, feedRetry)
		}
	}
}

func decodeJob(row provider.Row) *workload.Job {
	job, err := workload.DecodeJob(row.Value())
	if err != nil {
		klog.ErrorS(err, "Stored job can't be read", "key", row.Key(), "version", row.Version())
		return nil
	}
	return job
}

// takeOperations takes in what operators asked for before this term.
func (c *controller) takeOperations(rows []provider.Row) {
	for _, row := range rows {
		o, err := platform.DecodeOperation(row)
		if err != nil {
			klog.ErrorS(err, "Operators' row can't be read", "key", row.Key())
			continue
		}
		if o != nil {
			c.post(fleet.OperationArrived{Operation: o})
		}
	}
}

// follow reads jobs, cancellations and registrations, and their changes after a version.
func (c *controller) follow(version uint64) {
	c.followTable(intake.JobPrefix, version, func(row provider.Row) {
		id := row.Key()[len(intake.JobPrefix):]
		// A job that was known once may be over, and must not run again.
		if row.Deleted() || !c.firstSight(id) {
			return
		}
		if job := decodeJob(row); job != nil {
			c.post(fleet.JobArrived{Job: job})
		}
	})
	c.followTable(intake.CancelPrefix, version, func(row provider.Row) {
		if !row.Deleted() {
			c.post(fleet.CancelArrived{ID: row.Key()[len(intake.CancelPrefix):]})
		}
	})
	c.followServers()
}

// firstSight takes note of a job, and reports whether it wasn't known.
func (c *controller) firstSight(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[id] {
		return false
	}
	c.known[id] = true
	return true
}

// followTable follows a table of jobs: its changes after a version by the feed, and what it held before part by part.
func (c *controller) followTable(prefix string, from uint64, take func(provider.Row)) {
	f := &follower{timer: c.vm.Timer, feed: c.vm.feed(prefix[:len(prefix)-1]), wait: feedWait, pause: feedPause, from: from}
	f.take = func(rows []provider.Row, _ time.Time) {
		for _, row := range rows {
			take(row)
		}
	}
	f.whole = func() ([]provider.Row, uint64, error) {
		_, version, err := c.scan(c.vm.control, fleet.TermKey)
		if err == nil {
			c.readParts(prefix, take)
		}
		return nil, version, err
	}
	c.readParts(prefix, take)
	c.vm.tasks.Go(func() error { return f.run(c.ctx) })
}

// readParts reads all parts of a table of jobs in goroutines of its own. Parts that can't be read are tried again after
// the others.
func (c *controller) readParts(prefix string, take func(provider.Row)) {
	c.vm.tasks.Go(func() error {
		left, reason := make([]int, 0, intake.Parts), ""
		for part := range intake.Parts {
			left = append(left, part)
		}
		for round := 1; len(left) > 0 && c.ctx.Err() == nil; round++ {
			if round > 1 {
				klog.InfoS("Parts of the store can't be read", "table", prefix, "parts", len(left), "round", round,
					"reason", reason)
				timer.Wait(c.ctx, c.vm.Timer, feedRetry)
			}
			left, reason = c.tryParts(left, prefix, take)
		}
		return nil
	})
}

// tryParts reads parts at the same time, and returns those that can't be read, with the reason of one of them.
func (c *controller) tryParts(parts []int, prefix string, take func(provider.Row)) (failed []int, reason string) {
	var mu sync.Mutex
	reads, _ := group.New(c.ctx)
	reads.SetLimit(loadReads)
	for _, part := range parts {
		reads.Go(func() error {
			switch o := c.vm.jobTable(part).Scan(c.ctx, prefix, 0).(type) {
			case provider.Rows:
				for _, row := range o.Rows() {
					take(row)
				}
			case provider.Unavailable:
				mu.Lock()
				failed, reason = append(failed, part), o.Reason()
				mu.Unlock()
			}
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		klog.ErrorS(err, "Reading the parts of the store ended early", "table", prefix)
	}
	return failed, reason
}

func (c *controller) followServers() {
	feed := c.vm.feed(platform.ServersTable)
	registered := make(map[string]bool)
	take := func(rows []provider.Row, _ time.Time) {
		for _, row := range rows {
			c.takeRegistration(row, registered)
		}
	}
	whole := func() ([]provider.Row, uint64, error) {
		rows, version, err := feed.Read()
		if err != nil {
			return nil, 0, err
		}
		// Registrations that were removed meanwhile are missing.
		missing := registered
		registered = make(map[string]bool)
		for _, row := range rows {
			delete(missing, platform.ServerID(row))
		}
		for id := range missing {
			c.post(fleet.ServerUnregistered{ID: id})
		}
		return rows, version, nil
	}
	f := &follower{timer: c.vm.Timer, feed: feed, pause: serversPause, whole: whole, take: take}
	c.vm.tasks.Go(func() error { return f.run(c.ctx) })
}

func (c *controller) takeRegistration(row provider.Row, registered map[string]bool) {
	id := platform.ServerID(row)
	if row.Deleted() {
		delete(registered, id)
		c.post(fleet.ServerUnregistered{ID: id})
		return
	}
	r, err := platform.DecodeRegistration(row)
	if err != nil {
		if registered[id] {
			klog.InfoS("Registration can't be used", "server", id, "error", err.Error())
		}
		delete(registered, id)
		c.post(fleet.ServerUnregistered{ID: id})
		return
	}
	registered[id] = true
	c.post(fleet.ServerRegistered{Registration: r})
}

// carryOut carries out an effect in a goroutine of its own, and posts its outcome.
func (c *controller) carryOut(e fleet.Effect) {
	if e, ok := e.(fleet.Commit); ok {
		c.vm.committer.Submit(e.Transaction, func(o provider.CommitOutcome) { c.post(fleet.CommitEnded{Outcome: o}) })
		return
	}
	c.vm.tasks.Go(func() error {
		c.post(c.order(e, c.vm.Timer))
		return nil
	})
}

func (c *controller) order(e fleet.Effect, t timer.Service) fleet.Event {
	switch e := e.(type) {
	case fleet.Look:
		return fleet.LookEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Sequence: e.Sequence,
			Outcome: c.backends.Poll(e.Target, e.Order),
		}
	case fleet.Start:
		return fleet.StartEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Order.Run,
			Outcome: c.backends.Start(e.Target, e.Order),
		}
	case fleet.Stop:
		return fleet.StopEnded{
			Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run,
			Outcome: c.backends.Stop(e.Target, e.Run, e.Token),
		}
	case fleet.Pace:
		return fleet.PaceEnded{
			Server: e.Target.ID, Run: e.Run, Percent: e.Percent,
			Outcome: c.backends.Pace(e.Target, e.Run, e.Percent, e.Token),
		}
	case fleet.MaintainVM:
		return fleet.MaintenanceEnded{VM: e.VM, Outcome: c.vms.Maintain(e.VM, e.Wave, e.Token)}
	case fleet.MoveVM:
		return fleet.VMMoveEnded{VM: e.VM, Outcome: c.vms.Move(e.VM, e.Pool, e.Token)}
	case fleet.TellWave:
		status := &platform.WaveStatusWriter{Client: c.vm.client, Address: c.vm.Settings.StoreAddress()}
		return fleet.WaveTold{Wave: e.Wave, Complete: e.Complete, Outcome: status.Write(c.ctx, e.Wave, e.Complete)}
	case fleet.Advise:
		return c.advise(e, t.Now())
	case fleet.ListVMs:
		return c.listVMs(t.Now())
	case fleet.Commit, fleet.Deposed:
	}
	panic("effect without an order")
}

func (c *controller) advise(e fleet.Advise, asked time.Time) fleet.Event {
	advisor := &platform.RecommendationClient{Client: c.vm.client, Address: c.vm.Settings.RecommendationAddress()}
	tickets, err := advisor.RequestTickets(e.Step, e.Servers, e.Expected)
	if err != nil {
		return fleet.Advised{Step: e.Step, Failure: err.Error()}
	}
	return fleet.Advised{Step: e.Step, Tickets: tickets, Asked: asked}
}

func (c *controller) listVMs(asked time.Time) fleet.Event {
	list, err := c.vms.List()
	if err != nil {
		klog.InfoS("VMs can't be listed", "error", err.Error())
		return fleet.VMsListed{Asked: asked}
	}
	return fleet.VMsListed{VMs: list, Asked: asked}
}
