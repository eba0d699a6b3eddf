package deployment

import (
	"context"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// partitionReader reads the rows of a table that is spread over the job partitions. One read is in progress at a time.
type partitionReader struct {
	controller *controller
	prefix     string
	// ready is closed when the first read may begin. nil stands for a closed channel.
	ready  <-chan struct{}
	handle func(provider.Row)
	// partitionDone is called for each partition, once its rows were handled. It may be nil.
	partitionDone func(partition int)
	// done is called after the first read that is complete. It may be nil.
	done func()

	once   sync.Once
	cancel context.CancelFunc // of the read in progress
	// first is the partition with which the read in progress began, and tried the number of those that it has tried to read.
	first int
	tried atomic.Int64
}

// start reads the table in a goroutine of its own. It takes the place of a read in progress, and begins with the partition to
// which that has come, so that each is read in the end. Partitions that can't be read are tried again after the others. Calls of
// start must not overlap.
func (r *partitionReader) start() {
	if r.cancel != nil {
		r.cancel()
	}
	ctx, cancel := context.WithCancel(r.controller.ctx)
	r.cancel = cancel
	r.first = (r.first + int(r.tried.Swap(0))) % intake.Partitions
	first := r.first
	r.controller.vm.goroutines.Go(func() error {
		defer cancel()
		r.read(ctx, first)
		return nil
	})
}

func (r *partitionReader) read(ctx context.Context, first int) {
	if r.ready != nil {
		select {
		case <-r.ready:
		case <-ctx.Done():
			return
		}
	}
	unread, reason := make([]int, 0, intake.Partitions), ""
	for i := range intake.Partitions {
		unread = append(unread, (first+i)%intake.Partitions)
	}
	for round := 1; len(unread) > 0 && ctx.Err() == nil; round++ {
		if round > 1 {
			klog.InfoS("Failed to read store partitions", "table", r.prefix, "partitions", len(unread), "round", round,
				"reason", reason)
			timer.Wait(ctx, r.controller.vm.Clock, readRetryDelay)
		}
		unread, reason = r.tryPartitions(ctx, unread)
	}
	if len(unread) == 0 && ctx.Err() == nil && r.done != nil {
		r.once.Do(r.done)
	}
}

// tryPartitions reads the table from partitions in parallel. It returns the partitions that can't be read, and why one of
// them can't.
func (r *partitionReader) tryPartitions(ctx context.Context, partitions []int) (failed []int, reason string) {
	var mu sync.Mutex
	reads, _ := group.New(ctx)
	reads.SetLimit(maxParallelReads)
	for _, partition := range partitions {
		reads.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			defer r.tried.Add(1)
			switch o := r.controller.vm.jobPartition(partition).Scan(ctx, r.prefix, 0).(type) {
			case provider.Rows:
				for _, row := range o.Rows() {
					handleRow(row, r.handle)
				}
				if r.partitionDone != nil {
					r.partitionDone(partition)
				}
			case provider.Unavailable:
				mu.Lock()
				failed, reason = append(failed, partition), o.Reason()
				mu.Unlock()
			}
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		klog.ErrorS(err, "Reading store partitions ended early", "table", r.prefix)
	}
	return failed, reason
}
