package deployment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// watchOperators takes in what operators write, and knows how recent that knowledge is.
func (v *VM) watchOperators(ctx context.Context) error {
	feed := v.feed(platform.OperatorTable)
	f := tableWatcher{
		timer: v.Timer, feed: feed, maxWait: feedMaxWait, batchDelay: 0,
		list: feed.Read,
		handle: func(rows []provider.Row, asked time.Time) {
			v.applyOperations(rows)
			v.directory.Confirm(asked, v.Timer.Now())
		},
	}
	return f.run(ctx)
}

func (v *VM) applyOperations(rows []provider.Row) {
	for _, row := range rows {
		o, err := platform.DecodeOperation(row)
		if err != nil {
			klog.ErrorS(err, "Operators' row can't be read", "key", row.Key(), "version", row.Version())
			continue
		}
		if o == nil {
			continue
		}
		if c, ok := o.(directory.Configured); ok && v.directory.Replace(c.Snapshot) {
			klog.InfoS("Configuration in force", "version", c.Snapshot.Version(), "row-version", row.Version(),
				"queues", c.Snapshot.Queues())
		}
		if c := v.controller.Load(); c != nil {
			c.post(fleet.OperationArrived{Operation: o})
		}
	}
}

func (v *VM) feed(table string) *platform.Feed {
	return &platform.Feed{Client: v.client, Address: v.Settings.StoreAddress(), Table: table}
}

// tableWatcher reads a table whole and then its changes, again and again. Lost history is replaced by the whole table.
type tableWatcher struct {
	timer      timer.Service
	feed       *platform.Feed
	maxWait    time.Duration
	batchDelay time.Duration
	// list reads the table. It also runs when history was lost.
	list func() ([]provider.Row, uint64, error)
	// handle takes rows that were asked for at the given time.
	handle func(rows []provider.Row, asked time.Time)
	// version is the version to go on version, or 0 to read the table first.
	version uint64

	failing bool
}

func (f *tableWatcher) run(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := f.timer.Now()
		rows, version, err := f.read()
		if err != nil {
			f.logFailure(err)
			if errors.Is(err, platform.ErrHistoryGone) {
				f.version = 0
				continue
			}
			timer.Wait(ctx, f.timer, readRetryDelay)
			continue
		}
		if f.failing {
			f.failing = false
			klog.InfoS("Table readable again", "table", f.feed.Table, "version", version)
		}
		f.version = max(f.version, version)
		f.handle(rows, asked)
		pause := f.batchDelay
		if f.version == 0 {
			pause = readRetryDelay // nothing was ever written to the store
		}
		if pause > 0 {
			timer.Wait(ctx, f.timer, pause)
		}
	}
	return nil
}

func (f *tableWatcher) read() ([]provider.Row, uint64, error) {
	if f.version == 0 {
		return f.list()
	}
	return f.feed.Changes(f.version, f.maxWait)
}

func (f *tableWatcher) logFailure(err error) {
	if f.failing {
		return
	}
	f.failing = true
	klog.InfoS("Table can't be followed", "table", f.feed.Table, "version", f.version, "error", err.Error())
}
