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

// followOperators takes in what operators write, and knows how recent that knowledge is.
func (v *VM) followOperators(ctx context.Context) error {
	feed := v.feed(platform.OperatorTable)
	f := follower{
		timer: v.Timer, feed: feed, wait: feedWait, pause: 0,
		whole: feed.Read,
		take: func(rows []provider.Row, asked time.Time) {
			v.takeOperations(rows)
			v.directory.Confirm(asked, v.Timer.Now())
		},
	}
	return f.run(ctx)
}

func (v *VM) takeOperations(rows []provider.Row) {
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

// follower reads a table whole and then its changes, again and again. Lost history is replaced by the whole table.
type follower struct {
	timer timer.Service
	feed  *platform.Feed
	wait  time.Duration
	pause time.Duration
	// whole reads the table. It also runs when history was lost.
	whole func() ([]provider.Row, uint64, error)
	// take takes rows that were asked for at the given time.
	take func(rows []provider.Row, asked time.Time)
	// from is the version to go on from, or 0 to read the table first.
	from uint64

	failing bool
}

func (f *follower) run(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := f.timer.Now()
		rows, version, err := f.read()
		if err != nil {
			f.failed(err)
			if errors.Is(err, platform.ErrHistoryGone) {
				f.from = 0
				continue
			}
			timer.Wait(ctx, f.timer, feedRetry)
			continue
		}
		if f.failing {
			f.failing = false
			klog.InfoS("Table readable again", "table", f.feed.Table, "version", version)
		}
		f.from = max(f.from, version)
		f.take(rows, asked)
		pause := f.pause
		if f.from == 0 {
			pause = feedRetry // nothing was ever written to the store
		}
		if pause > 0 {
			timer.Wait(ctx, f.timer, pause)
		}
	}
	return nil
}

func (f *follower) read() ([]provider.Row, uint64, error) {
	if f.from == 0 {
		return f.whole()
	}
	return f.feed.Changes(f.from, f.wait)
}

func (f *follower) failed(err error) {
	if f.failing {
		return
	}
	f.failing = true
	klog.InfoS("Table can't be followed", "table", f.feed.Table, "version", f.from, "error", err.Error())
}
