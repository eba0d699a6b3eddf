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

// watchTerm reads the term row and takes control when nobody has it.
func (v *VM) watchTerm(ctx context.Context) error {
	watch := v.newWatch()
	reachable := true
	for ctx.Err() == nil {
		timer.Wait(ctx, v.Timer, watch.ReadDelay(v.Timer.Now()))
		if v.stopping.Load() || v.controller.Load() != nil {
			continue
		}
		term, err := v.readTerm()
		if (err == nil) != reachable {
			reachable = err == nil
			reason := ""
			if err != nil {
				reason = err.Error()
			}
			klog.InfoS("Term row", "readable", reachable, "reason", reason)
		}
		if err != nil {
			continue
		}
		now := v.Timer.Now()
		watch.Observe(term, now)
		if !watch.TakeoverDue(now) {
			continue
		}
		if c := v.takeControl(ctx, term, now); c != nil {
			watch = v.newWatch()
		}
	}
	return nil
}

func (v *VM) newWatch() fleet.TermWatch {
	return fleet.TermWatch{
		EntryVM: v.Settings.Name(), TakeoverDelay: v.preference(), Slow: v.Settings.Processors() < slowProcessor,
	}
}

// preference spreads take-overs, so that VMs with much processor time go first and not all try at once.
func (v *VM) preference() time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(v.Settings.Name()))
	steps := max(0, fullProcessor-v.Settings.Processors()) / fullProcessor * 2
	jitter := time.Duration(h.Sum32()%100) * preferenceStep / 100
	return time.Duration(steps*float64(preferenceStep)) + jitter
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
	return fleet.Term{}, errors.New("unexpected outcome of a scan")
}

// takeControl writes the term row and starts a controller. It returns nil if another entry VM was faster, or if the
// outcome isn't known: the row then runs out, as its holder doesn't renew it.
func (v *VM) takeControl(ctx context.Context, was fleet.Term, now time.Time) *controller {
	term := fleet.Term{
		Holder: v.Settings.Name(), Process: v.process, Renewals: was.Renewals + 1,
		DurationMS: fleet.LongTerm.Milliseconds(), LeaseMS: fleet.LongLease.Milliseconds(),
	}
	tx := provider.NewTransaction(
		[]provider.Condition{provider.NewCondition(fleet.TermKey, was.Version())},
		[]provider.Write{provider.NewPut(fleet.TermKey, term.Encode())})
	var outcome provider.Committed
	switch o := v.control.Commit(ctx, tx).(type) {
	case provider.Committed:
		outcome = o
	case provider.Conflict:
		klog.InfoS("Control not taken", "vm", v.Settings.Name(), "term-version", was.Version(), "reason", "lost-race",
			"row-version", o.Row().Version())
		return nil
	case provider.Unavailable:
		klog.InfoS("Control not taken", "vm", v.Settings.Name(), "term-version", was.Version(), "reason", o.Reason())
		return nil
	case provider.Unknown:
		klog.InfoS("Control may be taken", "vm", v.Settings.Name(), "term-version", was.Version(), "reason", o.Reason())
		return nil
	}
	c := &controller{vm: v, term: term.WithVersion(outcome.Version()), sent: now, token: outcome.Version(), before: was}
	klog.InfoS("Control taken", "vm", v.Settings.Name(), "token", c.token, "from", was.Holder,
		"term-version", was.Version())
	c.start(ctx)
	return c
}
