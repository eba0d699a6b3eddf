package deployment

import (
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// storedState is the control state as previous controllers stored it.
type storedState struct {
	fleet.Stored
	copies     map[string][]byte // jobs in their stored form, by id
	vmRequests []provider.Row
	operations []provider.Row
	version    uint64 // the table version of progress, from which changes of jobs are read
	took       time.Duration
}

// load reads the control state from the store while the event loop renews the term. It returns nil if that fails.
func (c *controller) load() *storedState {
	began := c.vm.Clock.Now()
	s, err := c.readStored()
	if err != nil {
		klog.InfoS("Controller ended: failed to load the control state", "vm", c.vm.Settings.Name(), "error", err.Error())
		return nil
	}
	s.took = c.vm.Clock.Now().Sub(began)
	return s
}

// restore restores the control state and starts to watch the tables. Jobs that haven't started are read later in other
// goroutines, because some partitions of the store may be down.
func (c *controller) restore(s *storedState) {
	for id := range s.Progress {
		c.seenJobs[id] = true
	}
	mayStillSend := c.previousTerm.Holder != "" && c.previousTerm.Holder != c.vm.Settings.Name()
	for _, row := range s.vmRequests {
		c.state.RestoreVMRequests(row, mayStillSend)
	}
	s.Operations = decodeOperations(s.operations)
	open := c.state.Restore(s.Stored, c.vm.Clock.Now())
	klog.InfoS("Controller started", "vm", c.vm.Settings.Name(), "token", c.token, "open-jobs", open,
		"stored-jobs", len(s.Progress), "took", s.took)
	c.watchTables(s.version)
}

// readStored reads the tables of the control partition in parallel, because no task can start until they are read.
func (c *controller) readStored() (*storedState, error) {
	s := &storedState{}
	reads, _ := group.New(c.ctx)
	var progress []provider.Row
	reads.Go(func() (err error) {
		progress, s.version, err = c.scan(c.vm.control, fleet.ProgressPrefix)
		return err
	})
	reads.Go(func() error { return c.readCopies(s) })
	reads.Go(func() (err error) {
		s.Waves, _, err = c.scan(c.vm.control, fleet.WavesPrefix)
		return err
	})
	reads.Go(func() (err error) {
		s.operations, _, err = c.vm.feed(platform.OperatorTable).Read()
		c.vm.operatorRows.update(s.operations) // the watcher of the table may never have seen them
		return err
	})
	reads.Go(func() (err error) {
		s.vmRequests, _, err = c.scan(c.vm.control, fleet.VMRequestsKey)
		return err
	})
	if err := reads.Wait(); err != nil {
		return nil, err
	}
	return s, c.decodeStored(s, progress)
}

// readCopies reads the copies of unsettled jobs.
func (c *controller) readCopies(s *storedState) error {
	rows, _, err := c.scan(c.vm.control, fleet.JobsPrefix)
	s.copies, s.Copied = make(map[string][]byte, len(rows)), make(map[string]bool, len(rows))
	for _, row := range rows {
		id := row.Key()[len(fleet.JobsPrefix):]
		s.copies[id], s.Copied[id] = row.Value(), true
	}
	return err
}

// decodeStored decodes the rows of progress and the jobs that aren't settled.
func (c *controller) decodeStored(s *storedState, rows []provider.Row) error {
	s.Progress = make(map[string]workload.Progress, len(rows))
	for _, row := range rows {
		id := row.Key()[len(fleet.ProgressPrefix):]
		p, err := workload.DecodeProgress(row.Value())
		if err != nil {
			return errors.WithMessage(err, row.Key())
		}
		s.Progress[id] = p
		if p.Settled() {
			continue
		}
		job, err := c.storedJob(id, p, s.copies[id])
		if err != nil {
			return errors.WithMessage(err, row.Key())
		}
		s.Jobs = append(s.Jobs, job)
	}
	return nil
}

// storedJob returns the job that a row of progress belongs to. Earlier releases stored the job in that row, or didn't copy
// it, so that it is read from its own row.
func (c *controller) storedJob(id string, p workload.Progress, stored []byte) (*workload.Job, error) {
	switch {
	case stored != nil:
		return workload.DecodeJob(stored)
	case len(p.Job) > 0:
		return workload.DecodeJob(p.Job)
	}
	rows, _, err := c.scan(c.vm.jobPartition(intake.PartitionOf(id)), intake.JobPrefix+id)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, errors.New("read the job: it has progress but no row of its own")
	}
	return workload.DecodeJob(rows[0].Value())
}

// scan reads the rows with a key prefix and the table version, and retries failed reads.
func (c *controller) scan(t *platform.Table, prefix string) ([]provider.Row, uint64, error) {
	for try := 0; ; try++ {
		switch o := t.Scan(c.ctx, prefix, 0).(type) {
		case provider.Rows:
			return o.Rows(), o.Version(), nil
		case provider.Unavailable:
			if try >= maxReadRetries || c.ctx.Err() != nil {
				return nil, 0, errors.Errorf("read rows %s of store partition %s: %s", prefix, t.Partition, o.Reason())
			}
			timer.Wait(c.ctx, c.vm.Clock, readRetryDelay)
		}
	}
}

// decodeJob returns the job of a row, or nil if the row is invalid.
func decodeJob(row provider.Row) *workload.Job {
	job, err := workload.DecodeJob(row.Value())
	if err != nil {
		klog.ErrorS(err, "Failed to decode stored job", "key", row.Key(), "version", row.Version())
		return nil
	}
	return job
}

// decodeOperations returns the operations that operators requested before this term.
func decodeOperations(rows []provider.Row) []directory.Operation {
	var operations []directory.Operation
	for _, row := range rows {
		o, err := platform.DecodeOperation(row)
		if err != nil {
			klog.ErrorS(err, "Failed to decode operator row", "key", row.Key())
			continue
		}
		if o != nil {
			operations = append(operations, o)
		}
	}
	return operations
}
