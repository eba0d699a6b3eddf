package deployment

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/intake"
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
		if err != nil || ctx.Err() != nil {
			continue // a VM that ends doesn't become the leader
		}
		now := v.Clock.Now()
		watch.Observe(term, now)
		v.fullFor.Store(int64(term.FullFor()))
		v.observeForecast(intake.Forecast{Waits: term.Waits, Version: term.Version(), Since: watch.Since()})
		if watch.ClaimDue(now) {
			watch.RecordClaim(now)
			v.claimTerm(ctx, term)
		}
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
		Processors: v.Settings.Processors(), SufficientProcessors: preferredCores,
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
	row, err := v.readControlRow(fleet.TermKey)
	if err != nil {
		return fleet.Term{}, err
	}
	return fleet.DecodeTerm(row)
}

// claimTerm asks the leader to resign in favor of this entry VM, unless another one has claimed the same term.
func (v *VM) claimTerm(ctx context.Context, term fleet.Term) {
	row, err := v.readControlRow(fleet.ClaimKey)
	if err != nil {
		klog.InfoS("Failed to read the claim on the term", "vm", v.Settings.Name(), "error", err.Error())
		return
	}
	claim, err := fleet.DecodeClaim(row)
	if err != nil {
		klog.ErrorS(err, "Replacing an invalid claim on the term", "row-version", row.Version())
	}
	if claim.Claims(term) && !claim.Stale(term) && claim.Claimant != v.Settings.Name() {
		return
	}
	claim = fleet.Claim{
		Claimant: v.Settings.Name(), Holder: term.Holder, Process: term.Process, Renewals: term.Renewals,
	}
	tx := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(fleet.ClaimKey, row.Version())},
		[]provider.Write{provider.NewPut(fleet.ClaimKey, claim.Encode())})
	_, committed := v.control.Commit(ctx, tx).(provider.Committed)
	klog.InfoS("Claimed the term of a leader with less processor time", "vm", v.Settings.Name(), "leader", term.Holder,
		"leader-processors", term.Processors, "processors", v.Settings.Processors(), "stored", committed)
}

// readControlRow reads one row of the control partition. A row that doesn't exist has version 0.
func (v *VM) readControlRow(key string) (provider.Row, error) {
	switch o := v.control.Scan(context.Background(), key, 0).(type) {
	case provider.Rows:
		v.handler.ObserveVersion(o.Version()) // the newest one, of any partition
		if len(o.Rows()) == 0 {
			return provider.Row{}, nil
		}
		return o.Rows()[0], nil
	case provider.Unavailable:
		return provider.Row{}, errors.New(o.Reason())
	}
	return provider.Row{}, errors.Errorf("read row %s: the store returned an unexpected outcome of a scan", key)
}

// acquireTerm makes this entry VM the leader: it writes the term row and starts a controller. It returns nil if another
// entry VM was faster or the outcome of the write is unknown. If the row was written nevertheless, its term expires
// because nobody renews it.
func (v *VM) acquireTerm(ctx context.Context, previous fleet.Term, now time.Time) *controller {
	term := fleet.Term{
		Holder: v.Settings.Name(), Process: v.processID, Renewals: previous.Renewals + 1,
		DurationMS: fleet.LongTerm.Milliseconds(), LeaseMS: fleet.LongLease.Milliseconds(),
		Processors: v.Settings.Processors(),
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
	case provider.Rejected:
		klog.ErrorS(nil, "Failed to acquire leadership", "vm", v.Settings.Name(), "term-version", previous.Version(),
			"reason", o.Reason())
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
	klog.InfoS("Acquired leadership", "vm", v.Settings.Name(), "token", c.token, "previous", previous.Holder,
		"term-version", previous.Version())
	c.start(ctx)
	return c
}
