package deployment

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// runElection watches the term row, which names the leader, and becomes the leader when there is none. It returns when
// ctx ends.
func (v *VM) runElection(ctx context.Context) error {
	watch := v.newWatch()
	readable := true
	for ctx.Err() == nil {
		timer.Wait(ctx, v.Clock, watch.ReadDelay(v.Clock.Now()))
		if v.stopping.Load() || v.controller.Load() != nil {
			continue
		}
		term, err := v.readTerm()
		if (err == nil) != readable {
			readable = err == nil
			reason := ""
			if err != nil {
				reason = err.Error()
			}
			klog.InfoS("Term row readability changed", "readable", readable, "reason", reason)
		}
		if err != nil {
			continue
		}
		now := v.Clock.Now()
		watch.Observe(term, now)
		if !watch.TakeoverDue(now) {
			continue
		}
		if c := v.acquireTerm(ctx, term, now); c != nil {
			watch = v.newWatch()
		}
	}
	return nil
}

func (v *VM) newWatch() fleet.TermWatch {
	return fleet.TermWatch{
		EntryVM: v.Settings.Name(), TakeoverDelay: v.takeoverDelay(), Slow: v.Settings.Processors() < slowCores,
	}
}

// takeoverDelay returns how long after the end of a term this entry VM tries to become the leader. Entry VMs with more
// CPU time try earlier, and a jitter by name keeps them from trying all at once.
func (v *VM) takeoverDelay() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(v.Settings.Name()))
	steps := max(0, preferredCores-v.Settings.Processors()) / preferredCores * 2
	jitter := time.Duration(h.Sum32()%100) * takeoverStep / 100
	return time.Duration(steps*float64(takeoverStep)) + jitter
}

func (v *VM) readTerm() (fleet.Term, error) {
	switch o := v.control.Scan(context.Background(), fleet.TermKey, 0).(type) {
	case provider.Rows:
		if len(o.Rows()) == 0 {
			return fleet.Term{}, nil
		}
		return fleet.DecodeTerm(o.Rows()[0])
	case provider.Unavailable:
		return fleet.Term{}, errors.New(o.Reason())
	}
	return fleet.Term{}, errors.New("read the term row: the store returned an unexpected outcome of a scan")
}

// acquireTerm makes this entry VM the leader: it writes the term row and starts a controller. It returns nil if another
// entry VM was faster or the outcome of the write is unknown. If the row was written nevertheless, its term expires
// because nobody renews it.
func (v *VM) acquireTerm(ctx context.Context, previous fleet.Term, now time.Time) *controller {
	term := fleet.Term{
		Holder: v.Settings.Name(), Process: v.processID, Renewals: previous.Renewals + 1,
		DurationMS: fleet.LongTerm.Milliseconds(), LeaseMS: fleet.LongLease.Milliseconds(),
	}
	tx := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(fleet.TermKey, previous.Version())},
		[]provider.Write{provider.NewPut(fleet.TermKey, term.Encode())})
	var committed provider.Committed
	switch o := v.control.Commit(ctx, tx).(type) {
	case provider.Committed:
		committed = o
	case provider.Conflict:
		klog.InfoS("Failed to acquire leadership", "vm", v.Settings.Name(), "term-version", previous.Version(),
			"reason", "lost-race", "row-version", o.Row().Version())
		return nil
	case provider.Unavailable:
		klog.InfoS("Failed to acquire leadership", "vm", v.Settings.Name(), "term-version", previous.Version(),
			"reason", o.Reason())
		return nil
	case provider.OutcomeUnknown:
		klog.InfoS("Outcome of acquiring leadership is unknown", "vm", v.Settings.Name(), "term-version", previous.Version(),
			"reason", o.Reason())
		return nil
	}
	c := &controller{
		vm: v, term: term.WithVersion(committed.Version()), termRequestedAt: now, token: committed.Version(),
		previousTerm: previous,
	}
	klog.InfoS("Acquired leadership", "vm", v.Settings.Name(), "token", c.token, "from", previous.Holder,
		"term-version", previous.Version())
	c.start(ctx)
	return c
}
