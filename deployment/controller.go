package deployment

import (
	"context"
	"slices"
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
	// before is the entry VM whose term ran out, or "" if it gave up its term.
	before string

	state    *fleet.State
	backends *platform.Backends
	vms      *platform.VMs
	ctx      context.Context
	cancel   context.CancelFunc

	mu     sync.Mutex
	events []fleet.Event
	wake   chan struct{}
	known  map[string]bool // the ids of all jobs that were read, so that none is taken in twice
}

// start runs the controller in goroutines of the VM.
func (c *controller) start(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.wake, c.known = make(chan struct{}, 1), make(map[string]bool)
	s := c.vm.Settings
	c.backends = &platform.Backends{Client: c.vm.client}
	c.vms = &platform.VMs{Client: c.vm.client, Address: s.VMsAddress(), Holder: s.Name()}
	c.state = &fleet.State{
		Self: s.Name(), Term: c.term, Token: c.token, TermSent: c.sent,
		DutyPause:       s.DutyPause(),
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

// stored is what earlier controllers and entry VMs stored.
type stored struct {
	progress    map[string]workload.Progress
	jobs        []provider.Row
	cancels     []provider.Row
	waves       []provider.Row
	vmOrders    []provider.Row
	operations  []provider.Row
	jobsFrom    uint64 // the version to follow changes of jobs from
	cancelsFrom uint64
}

// load reads what earlier controllers stored, and starts to follow what changes.
func (c *controller) load() error {
	began := c.vm.Timer.Now()
	c.state.Begin(began)
	s, err := c.readStored()
	if err != nil {
		return err
	}
	var cancels []string
	for _, row := range s.cancels {
		cancels = append(cancels, row.Key()[len(intake.CancelPrefix):])
	}
	for _, row := range s.vmOrders {
		c.state.RestoreVMOrders(row)
	}
	c.takeOperations(s.operations)
	open := c.state.Restore(c.openJobs(s), s.progress, s.waves, c.vm.Timer.Now())
	for _, id := range cancels {
		c.state.Handle(fleet.CancelArrived{ID: id}, c.vm.Timer.Now())
	}
	klog.InfoS("Control begins", "vm", c.vm.Settings.Name(), "token", c.token, "open-jobs", open,
		"stored-jobs", len(s.progress), "took", c.vm.Timer.Now().Sub(began))
	c.follow(s.jobsFrom, s.cancelsFrom)
	return nil
}

// readStored reads all tables at the same time, as nothing starts until they are read.
func (c *controller) readStored() (*stored, error) {
	s := &stored{}
	reads, _ := group.New(c.ctx)
	reads.Go(func() (err error) {
		s.progress, err = c.readProgress()
		return err
	})
	reads.Go(func() (err error) {
		s.jobs, s.jobsFrom, err = c.readParts(intake.JobPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.cancels, s.cancelsFrom, err = c.readParts(intake.CancelPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.waves, _, err = c.scan(c.vm.control, fleet.WavesPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.operations, _, err = c.vm.feed(platform.OperatorTable).Read()
		return err
	})
	if c.before != "" && c.before != c.vm.Settings.Name() {
		reads.Go(func() (err error) {
			s.vmOrders, _, err = c.scan(c.vm.control, fleet.VMOrdersKey)
			return err
		})
	}
	return s, reads.Wait()
}

func (c *controller) readProgress() (map[string]workload.Progress, error) {
	progress := make(map[string]workload.Progress)
	rows, _, err := c.scan(c.vm.control, fleet.ProgressPrefix)
	if err != nil {
		return nil, err
	}
	for _, row := range rows {
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			return nil, errors.WithMessage(err, row.Key())
		}
		progress[row.Key()[len(fleet.ProgressPrefix):]] = p
	}
	return progress, nil
}

func (c *controller) scan(t *platform.Table, prefix string) ([]provider.Row, uint64, error) {
	for try := 0; ; try++ {
		switch o := t.Scan(c.ctx, prefix, 0).(type) {
		case provider.Rows:
			return o.Rows(), o.Version(), nil
		case provider.Unavailable:
			if try >= loadTries || c.ctx.Err() != nil {
				return nil, 0, errors.Errorf("read %s of part %s: %s", prefix, t.Part, o.Reason())
			}
			timer.Wait(c.ctx, c.vm.Timer, feedRetry)
		}
	}
}

// openJobs returns the stored jobs that aren't over, and takes note of all.
func (c *controller) openJobs(s *stored) []*workload.Job {
	var jobs []*workload.Job
	for _, row := range s.jobs {
		id := row.Key()[len(intake.JobPrefix):]
		c.known[id] = true
		if p, known := s.progress[id]; known && p.State.Final() && len(p.Tasks) == 0 {
			continue
		}
		if job := decodeJob(row); job != nil {
			jobs = append(jobs, job)
		}
	}
	return jobs
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

// follow reads the changes of jobs, cancellations and registrations.
func (c *controller) follow(jobsFrom, cancelsFrom uint64) {
	c.followTable(intake.JobPrefix, feedWait, feedPause, jobsFrom, func(row provider.Row) {
		id := row.Key()[len(intake.JobPrefix):]
		// A job that was known once may be over, and must not run again.
		if row.Deleted() || c.known[id] {
			return
		}
		c.known[id] = true
		if job := decodeJob(row); job != nil {
			c.post(fleet.JobArrived{Job: job})
		}
	})
	c.followTable(intake.CancelPrefix, feedWait, feedPause, cancelsFrom, func(row provider.Row) {
		if !row.Deleted() {
			c.post(fleet.CancelArrived{ID: row.Key()[len(intake.CancelPrefix):]})
		}
	})
	c.followServers()
}

func (c *controller) followTable(prefix string, wait, pause time.Duration, from uint64, take func(provider.Row)) {
	feed := c.vm.feed(prefix[:len(prefix)-1])
	last := from
	f := &follower{timer: c.vm.Timer, feed: feed, wait: wait, pause: pause, from: from}
	f.take = func(rows []provider.Row, _ time.Time) {
		for _, row := range rows {
			if row.Version() > last {
				take(row)
			}
		}
		last = max(last, f.from)
	}
	f.whole = func() ([]provider.Row, uint64, error) { return c.readParts(prefix) }
	c.vm.tasks.Go(func() error { return f.run(c.ctx) })
}

// readParts reads all parts of a table of jobs, and returns the version that all are at least as new as.
func (c *controller) readParts(prefix string) ([]provider.Row, uint64, error) {
	var rows [intake.Parts][]provider.Row
	var versions [intake.Parts]uint64
	reads, _ := group.New(c.ctx)
	reads.SetLimit(loadReads)
	for part := range intake.Parts {
		reads.Go(func() (err error) {
			rows[part], versions[part], err = c.scan(c.vm.jobTable(part), prefix)
			return err
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, 0, err
	}
	return slices.Concat(rows[:]...), slices.Min(versions[:]), nil
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
			Outcome: c.backends.Look(e.Target, e.Order),
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
		status := &platform.WaveStatus{Client: c.vm.client, Address: c.vm.Settings.StoreAddress()}
		return fleet.WaveTold{Wave: e.Wave, Complete: e.Complete, Outcome: status.Write(c.ctx, e.Wave, e.Complete)}
	case fleet.ListVMs:
		return c.listVMs(t.Now())
	case fleet.Commit, fleet.Deposed:
	}
	panic("effect without an order")
}

func (c *controller) listVMs(asked time.Time) fleet.Event {
	list, err := c.vms.List()
	if err != nil {
		klog.InfoS("VMs can't be listed", "error", err.Error())
		return fleet.VMsListed{Asked: asked}
	}
	return fleet.VMsListed{VMs: list, Asked: asked}
}
