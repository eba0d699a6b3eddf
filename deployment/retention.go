package deployment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// maxRemovalEntries bounds the conditions and deletions in one transaction.
	maxRemovalEntries = 90
	// removalPause is the pause between two transactions, which leaves the store to accepted work.
	removalPause = 50 * time.Millisecond
)

// retention removes the rows of jobs that ended a while ago, of requests to cancel jobs that were never stored, and of refusals.
//
// The row of a job is removed before its row of progress: without the latter, a new leader would run the job again. All
// removals have conditions, so that one that the store carries out late can't remove a row of a new job with the same id.
type retention struct {
	// Duration is how long rows are kept. The leader counts it from when it learned of the end.
	Duration time.Duration
	// Interval is the time between the removals from one partition.
	Interval     time.Duration
	Clock        timer.Clock
	ControlTable *platform.Table
	JobTable     func(partition int) *platform.Table
	Ended        *endedJobs
	// Removed is called with the ids of jobs whose rows were removed.
	Removed func(ids []string)
	Scope   tally.Scope

	cancelsSeen map[string]cancelSeen // by job id: requests to cancel jobs that aren't stored
	// removed holds the jobs whose rows were removed in the last sweep, by partition and id. They are forgotten in the next one:
	// a reader may have read a row before its removal, and handle it later.
	removed [intake.Partitions]map[string]uint64
	// refusalsSeen says up to which version the refusals of a partition had been stored at a time.
	refusalsSeen [intake.Partitions]refusalsSeen
}

// cancelSeen is a row with a request to cancel a job that wasn't stored when the row was first read.
type cancelSeen struct {
	version uint64
	since   time.Time
}

// removal is a set of conditions and writes that take effect together.
type removal struct {
	conditions []provider.Condition
	writes     []provider.Write
}

// Run removes rows until ctx ends. It logs failed removals and tries them again.
func (r *retention) Run(ctx context.Context) error {
	r.cancelsSeen = make(map[string]cancelSeen)
	for {
		timer.Wait(ctx, r.Clock, r.Interval)
		for partition := range intake.Partitions {
			if ctx.Err() != nil {
				return nil
			}
			if err := r.sweep(ctx, partition); err != nil {
				klog.InfoS("Failed to remove rows of ended jobs", "partition", partition, "error", err.Error())
			}
			if err := r.sweepRefusals(ctx, partition); err != nil {
				klog.InfoS("Failed to remove rows of refusals", "partition", partition, "error", err.Error())
			}
		}
	}
}

// sweep removes what is old enough from one partition, and then the rows of progress of these jobs.
func (r *retention) sweep(ctx context.Context, partition int) error {
	r.forgetRemoved(partition)
	now := r.Clock.Now()
	ended := r.Ended.endedBefore(partition, now.Add(-r.Duration))
	cancels, err := r.readCancels(partition)
	if err != nil || (len(ended) == 0 && len(cancels) == 0) {
		return err
	}
	removals, stored, err := r.jobRemovals(partition, ended, cancels)
	if err != nil {
		return err
	}
	old, ids := r.cancelRemovals(ended, cancels, stored, now)
	if err := r.commit(ctx, r.JobTable(partition), append(removals, old...)); err != nil {
		return err
	}
	r.Removed(ids)
	if err := r.removeProgress(ctx, ended); err != nil {
		return err
	}
	r.removed[partition] = ended
	r.Scope.Counter("removed-jobs").Inc(int64(len(ended)))
	if len(ended) > 0 {
		klog.V(1).InfoS("Removed rows of ended jobs", "partition", partition, "jobs", len(ended),
			"took", r.Clock.Now().Sub(now))
	}
	return nil
}

func (r *retention) forgetRemoved(partition int) {
	removed := r.removed[partition]
	r.removed[partition] = nil
	r.Ended.remove(partition, removed)
	ids := make([]string, 0, len(removed))
	for id := range removed {
		ids = append(ids, id)
	}
	r.Removed(ids)
}

// readCancels reads the versions of the requests to cancel jobs of a partition, by job id.
func (r *retention) readCancels(partition int) (map[string]uint64, error) {
	cancels := make(map[string]uint64)
	_, err := r.JobTable(partition).Pages(intake.CancelPrefix, "", func(rows []provider.Row) bool {
		for _, row := range rows {
			cancels[row.Key()[len(intake.CancelPrefix):]] = row.Version()
		}
		return true
	})
	return cancels, err
}

// jobRemovals returns the removals of the rows of ended jobs and of the requests to cancel them, and the ids of all jobs that
// are stored in the partition.
func (r *retention) jobRemovals(
	partition int, ended, cancels map[string]uint64,
) (removals []removal, stored map[string]bool, err error) {
	stored = make(map[string]bool)
	_, err = r.JobTable(partition).Pages(intake.JobPrefix, "", func(rows []provider.Row) bool {
		for _, row := range rows {
			id := row.Key()[len(intake.JobPrefix):]
			stored[id] = true
			if version, ok := ended[id]; !ok || row.Version() > version {
				continue
			}
			m := removal{
				conditions: []provider.Condition{provider.NewCondition(row.Key(), row.Version())},
				writes:     []provider.Write{provider.NewDelete(row.Key())},
			}
			if _, cancelled := cancels[id]; cancelled {
				m.writes = append(m.writes, provider.NewDelete(intake.CancelPrefix+id))
			}
			removals = append(removals, m)
		}
		return true
	})
	return removals, stored, err
}

// cancelRemovals returns the removals of the requests to cancel jobs that aren't stored, and the ids of these jobs. An
// unanswered write of such a job may still be carried out while the request is new.
func (r *retention) cancelRemovals(
	ended, cancels map[string]uint64, stored map[string]bool, now time.Time,
) (removals []removal, ids []string) {
	for id, version := range cancels {
		if stored[id] {
			delete(r.cancelsSeen, id)
			continue
		}
		if _, ok := ended[id]; !ok {
			seen, known := r.cancelsSeen[id]
			if !known || seen.version != version {
				r.cancelsSeen[id] = cancelSeen{version: version, since: now}
				continue
			}
			if now.Sub(seen.since) < r.Duration {
				continue
			}
		}
		delete(r.cancelsSeen, id)
		ids = append(ids, id)
		removals = append(removals, removal{
			conditions: []provider.Condition{
				provider.NewCondition(intake.JobPrefix+id, 0), provider.NewCondition(intake.CancelPrefix+id, version),
			},
			writes: []provider.Write{provider.NewDelete(intake.CancelPrefix + id)},
		})
	}
	return removals, ids
}

func (r *retention) removeProgress(ctx context.Context, ended map[string]uint64) error {
	removals := make([]removal, 0, len(ended))
	for id, version := range ended {
		key := fleet.ProgressPrefix + id
		removals = append(removals, removal{
			conditions: []provider.Condition{provider.NewCondition(key, version)},
			writes:     []provider.Write{provider.NewDelete(key)},
		})
	}
	return r.commit(ctx, r.ControlTable, removals)
}

// commit carries out removals in transactions of several. If one of them conflicts, the removals of its transaction are
// carried out one by one, and those that conflict are left out: their rows have changed or are gone.
func (r *retention) commit(ctx context.Context, t *platform.Table, removals []removal) error {
	for len(removals) > 0 {
		var tx removal
		n := 0
		for ; n < len(removals); n++ {
			m := removals[n]
			entries := len(tx.conditions) + len(tx.writes) + len(m.conditions) + len(m.writes)
			if n > 0 && entries > maxRemovalEntries {
				break
			}
			tx.conditions, tx.writes = append(tx.conditions, m.conditions...), append(tx.writes, m.writes...)
		}
		switch o := t.Commit(ctx, provider.NewTransaction(tx.conditions, tx.writes)).(type) {
		case provider.Committed:
		case provider.Conflict:
			for _, m := range removals[:n] {
				if n == 1 {
					break
				}
				if err := r.commit(ctx, t, []removal{m}); err != nil {
					return err
				}
			}
		case provider.Rejected:
			return errors.Errorf("remove rows: %s", o.Reason())
		case provider.Unavailable:
			return errors.Errorf("remove rows: %s", o.Reason())
		case provider.OutcomeUnknown:
			return errors.Errorf("remove rows: the outcome is unknown: %s", o.Reason())
		}
		removals = removals[n:]
		timer.Wait(ctx, r.Clock, removalPause)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
	}
	return nil
}
