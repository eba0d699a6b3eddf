package deployment

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	// lateWriteTime is the longest time from when a write without a response was sent until the store carries it out, as
	// maxCallDelay in package fleet.
	lateWriteTime = 15 * time.Second
	// refusalMargin covers clocks, and the time between the check of a deadline and the write.
	refusalMargin = 5 * time.Second
	// refusalDuration is how long the row of a refusal is kept at least. A call that arrived before the refusal writes for
	// MaxSubmitTime at most, and none of its writes is carried out while the row exists.
	refusalDuration = intake.MaxSubmitTime + lateWriteTime + refusalMargin
	// maxRefusalRemovals bounds the rows that one sweep removes from a partition. The others follow in the next one.
	maxRefusalRemovals = 2000
)

// refusalsSeen is the highest version of the refusals of a partition at a time.
type refusalsSeen struct {
	version uint64
	since   time.Time
}

// sweepRefusals removes the refusals of a partition that were stored at least refusalDuration ago. It keeps one version for each
// partition instead of a time for each row: a row with that version or a lower one was stored before the version was read.
func (r *retention) sweepRefusals(ctx context.Context, partition int) error {
	now := r.Clock.Now()
	seen := &r.refusalsSeen[partition]
	old := now.Sub(seen.since) >= refusalDuration
	highest := uint64(0)
	var removals []removal
	_, err := r.JobTable(partition).Pages(intake.RefusalPrefix, "", func(rows []provider.Row) bool {
		for _, row := range rows {
			highest = max(highest, row.Version())
			if old && row.Version() <= seen.version {
				removals = append(removals, removal{
					conditions: []provider.Condition{provider.NewCondition(row.Key(), row.Version())},
					writes:     []provider.Write{provider.NewDelete(row.Key())},
				})
			}
		}
		return len(removals) < maxRefusalRemovals
	})
	if err != nil {
		return err
	}
	if err := r.commit(ctx, r.JobTable(partition), removals); err != nil {
		return err
	}
	if old && len(removals) < maxRefusalRemovals {
		*seen = refusalsSeen{version: highest, since: now}
	}
	if len(removals) > 0 {
		r.Scope.Counter("removed-refusals").Inc(int64(len(removals)))
		klog.V(1).InfoS("Removed rows of refusals", "partition", partition, "rows", len(removals))
	}
	return nil
}
