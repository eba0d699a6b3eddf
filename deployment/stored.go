package deployment

import (
	"math"
	"sync"
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

	ended []earlierJob // among the rows of progress that were read
	// unreadable holds the ids of the jobs that can't be decoded. They aren't run, and don't affect the others.
	unreadable []string
	// lastRead is the key of the last row of progress that was read in ascending order, or "" if all were read.
	lastRead string
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
		c.seenJobs[id] = 0
	}
	for _, id := range s.unreadable {
		c.seenJobs[id] = 0
	}
	c.ended.addEarlier(s.ended, c.vm.Clock.Now())
	for _, row := range s.vmRequests {
		c.state.RestoreVMRequests(row)
	}
	s.Operations = decodeOperations(s.operations)
	open := c.state.Restore(s.Stored, c.vm.Clock.Now())
	klog.InfoS("Controller started", "vm", c.vm.Settings.Name(), "token", c.token, "open-jobs", open,
		"stored-jobs", len(s.Progress), "ended-jobs", len(s.ended), "all-read", s.lastRead == "", "took", s.took)
	c.vm.Scope.SubScope("control").Timer("load").Record(s.took)
	c.vm.goroutines.Go(func() error {
		defer c.endAfterPanic("ended jobs")
		c.readEndedJobs(s.lastRead)
		return nil
	})
	c.watchTables(s.version)
}

// readStored reads the tables of the control partition in parallel, because no task can start until they are read.
func (c *controller) readStored() (*storedState, error) {
	s := &storedState{}
	reads, _ := group.New(c.ctx)
	reads.Go(func() error {
		if err := c.readCopies(s); err != nil {
			return err
		}
		return c.readProgress(s)
	})
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
	return s, nil
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

// readProgress reads the rows of progress of the jobs that aren't settled. There may be many more rows of jobs that are, so it
// reads a number of pages that grows with the unsettled jobs, and then the rows of the other unsettled jobs one by one.
func (c *controller) readProgress(s *storedState) error {
	s.Progress = make(map[string]workload.Progress, len(s.copies))
	var rows []provider.Row
	more := false
	pages := minProgressPages + len(s.copies)/jobsPerPage
	if c.vm.loadsAll.Load() {
		pages = math.MaxInt
	}
	var err error
	s.version, err = c.readPages(c.vm.control, fleet.ProgressPrefix, "", maxReadRetries, func(page []provider.Row) bool {
		rows = append(rows, page...)
		pages--
		more = pages == 0
		return !more
	})
	if err != nil {
		return err
	}
	if more {
		s.lastRead = rows[len(rows)-1].Key()
		others, err := c.readProgressAfter(s, s.lastRead)
		if err != nil {
			return err
		}
		rows = append(rows, others...)
	}
	for _, row := range rows {
		if err := c.decodeProgress(s, row); err != nil {
			return err
		}
	}
	return nil
}

// readProgressAfter reads the rows of progress of copied jobs that come after a key, in parallel.
func (c *controller) readProgressAfter(s *storedState, last string) ([]provider.Row, error) {
	var mu sync.Mutex
	var all []provider.Row
	reads, _ := group.New(c.ctx)
	reads.SetLimit(maxParallelReads)
	for id := range s.copies {
		key := fleet.ProgressPrefix + id
		if key <= last {
			continue
		}
		reads.Go(func() error {
			rows, _, err := c.scan(c.vm.control, key)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, rows...)
			return err
		})
	}
	err := reads.Wait()
	return all, err
}

// decodeProgress decodes a row of progress, and the job that it belongs to unless that is settled. The error says that the job
// can't be read from the store.
func (c *controller) decodeProgress(s *storedState, row provider.Row) error {
	id := row.Key()[len(fleet.ProgressPrefix):]
	p, err := workload.DecodeProgress(row.Value())
	if err != nil {
		s.skip(id, row, err)
		return nil
	}
	if p.Settled() {
		if s.lastRead == "" || row.Key() <= s.lastRead { // readEndedJobs reads those after it
			s.ended = append(s.ended, earlierJob{id: id, version: row.Version()})
		}
		return nil
	}
	encoded := s.copies[id]
	if encoded == nil {
		if encoded, err = c.readJob(id, p); err != nil {
			return errors.WithMessage(err, row.Key())
		}
	}
	job, err := workload.DecodeJob(encoded)
	if err != nil {
		s.skip(id, row, err)
		return nil
	}
	s.Progress[id] = p
	s.Jobs = append(s.Jobs, job)
	return nil
}

// skip leaves out a job that can't be decoded.
func (s *storedState) skip(id string, row provider.Row, err error) {
	klog.ErrorS(err, "Ignored a job that can't be decoded", "job", id, "version", row.Version())
	s.unreadable = append(s.unreadable, id)
}

// readEndedJobs reads which jobs ended before the term, after a row of progress, or none if the key is "". It retries failed
// reads.
func (c *controller) readEndedJobs(after string) {
	if after != "" {
		began, count := c.vm.Clock.Now(), 0
		_, err := c.readPages(c.vm.control, fleet.ProgressPrefix, after, math.MaxInt, func(rows []provider.Row) bool {
			count += len(rows)
			return c.addEndedJobs(rows)
		})
		if err != nil || c.ctx.Err() != nil {
			return
		}
		klog.InfoS("Read the ended jobs", "vm", c.vm.Settings.Name(), "rows", count, "took", c.vm.Clock.Now().Sub(began))
	}
	close(c.endedRead)
}

// addEndedJobs adds the ended jobs among rows of progress. It returns false if a row is of a job that hasn't ended and wasn't
// loaded. Only earlier releases stored such rows. The controller ends then, and the next one on this entry VM loads all rows.
func (c *controller) addEndedJobs(rows []provider.Row) bool {
	jobs := make([]earlierJob, 0, len(rows))
	for _, row := range rows {
		id := row.Key()[len(fleet.ProgressPrefix):]
		p, err := workload.DecodeProgress(row.Value())
		switch {
		case err != nil:
			klog.ErrorS(err, "Ignored a job that can't be decoded", "job", id, "version", row.Version())
			c.markSeen(id, row.Version())
		case p.Settled():
			jobs = append(jobs, earlierJob{id: id, version: row.Version()})
		case !c.hasSeen(id):
			klog.InfoS("Controller ended: a job of an earlier release has no copy", "vm", c.vm.Settings.Name(), "job", id)
			c.vm.loadsAll.Store(true)
			c.cancel()
			return false
		}
	}
	c.ended.addEarlier(jobs, c.vm.Clock.Now())
	return true
}

// readPages reads rows like platform.Table.Pages, and continues after a failed read. The error says that a page can't be read
// after the given number of retries.
func (c *controller) readPages(
	t *platform.Table, prefix, after string, retries int, handle func([]provider.Row) bool,
) (uint64, error) {
	firstVersion := uint64(0)
	for failures := 0; ; {
		version, err := t.Pages(prefix, after, func(rows []provider.Row) bool {
			failures = 0
			if len(rows) > 0 {
				after = rows[len(rows)-1].Key()
			}
			return handle(rows)
		})
		if firstVersion == 0 {
			firstVersion = version
		}
		if err == nil {
			return firstVersion, nil
		}
		if failures++; failures > retries || c.ctx.Err() != nil {
			return 0, errors.WithMessagef(err, "read rows %s of store partition %s", prefix, t.Partition)
		}
		timer.Wait(c.ctx, c.vm.Clock, readRetryDelay)
	}
}

// readJob returns the stored form of a job that has no copy. Earlier releases stored it with the progress, or only in its own row.
func (c *controller) readJob(id string, p workload.Progress) ([]byte, error) {
	if len(p.Job) > 0 {
		return p.Job, nil
	}
	rows, _, err := c.scan(c.vm.jobPartition(intake.PartitionOf(id)), intake.JobPrefix+id)
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, errors.New("read the job: it has progress but no row of its own")
	}
	return rows[0].Value(), nil
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
