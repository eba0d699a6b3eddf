package intake_test

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

// script is a table whose commits have the given outcomes, the last one again and again.
type script struct {
	outcomes []provider.CommitOutcome
	commits  int
}

func (s *script) Commit(context.Context, provider.Transaction) provider.CommitOutcome {
	o := s.outcomes[min(s.commits, len(s.outcomes)-1)]
	s.commits++
	return o
}

func (s *script) Scan(context.Context, string, uint64) provider.ScanOutcome {
	return provider.NewRows(nil, 1)
}

func newDesk(age time.Duration, outcomes ...provider.CommitOutcome) (*intake.Desk, *script) {
	now := timer.System{}.Now()
	current := &directory.Current{}
	current.Replace(directory.NewSnapshot(1,
		[]directory.Queue{
			{Name: "plates", Host: "h", Prefix: "/p/", Pool: "press"},
			{Name: "open", Host: "h", Prefix: "/p/open/", Pool: "press", Open: true},
		},
		[]directory.Customer{{Name: "label", Keys: []string{"key"}}}, nil, 0))
	current.Confirm(now.Add(-age), now.Add(-age))
	table := &script{outcomes: outcomes}
	d := &intake.Desk{
		Directory: current, Control: table, Timer: timer.System{}, Scope: tally.NoopScope,
		KeyTrust: 4 * time.Second, StoreSilence: 5 * time.Second,
	}
	for part := range d.Jobs {
		d.Jobs[part] = table
	}
	return d, table
}

// Guards against "not run" for a job that may be stored, and against callers that wait for what can't be stored.
func TestSubmitTellsWhatIsKnown(t *testing.T) {
	unknown, unavailable := provider.NewUnknown("lost"), provider.NewUnavailable("busy")
	exists := provider.NewConflict(provider.NewRow("jobs/x", nil, 5))
	for name, c := range map[string]struct {
		outcomes []provider.CommitOutcome
		want     string
		within   time.Duration
	}{
		"stored":              {[]provider.CommitOutcome{provider.NewCommitted(5)}, "accepted", 100 * time.Millisecond},
		"stored before":       {[]provider.CommitOutcome{exists}, "accepted", 100 * time.Millisecond},
		"answer lost":         {[]provider.CommitOutcome{unknown, exists}, "accepted", 300 * time.Millisecond},
		"busy for a while":    {[]provider.CommitOutcome{unavailable, provider.NewCommitted(5)}, "accepted", 300 * time.Millisecond},
		"busy":                {[]provider.CommitOutcome{unavailable}, "refused", time.Second},
		"lost and then busy":  {[]provider.CommitOutcome{unknown, unavailable}, "unsure", 2 * time.Second},
		"lost again and more": {[]provider.CommitOutcome{unknown}, "unsure", 2 * time.Second},
	} {
		d, _ := newDesk(0, c.outcomes...)
		began := timer.System{}.Now()
		call := intake.Call{Host: "h", Path: "/p/0123456789abcdef", Key: "key", Deadline: began.Add(1500 * time.Millisecond)}
		pass, refusal := d.Admit(call)
		assert.Assert(t, refusal == nil, name)
		outcome := d.Submit(call, pass, workload.JobOptions{
			ID: "0123456789abcdef", Steps: []workload.StepOptions{{Count: 1}},
		})
		assert.Equal(t, kind(outcome), c.want, name)
		assert.Assert(t, timer.System{}.Now().Sub(began) < c.within, name)
	}
}

func kind(o intake.Outcome) string {
	switch o.(type) {
	case intake.Accepted:
		return "accepted"
	case intake.Refused:
		return "refused"
	case intake.Unsure:
		return "unsure"
	case intake.NoKey:
		return "no-key"
	case intake.NoQueue:
		return "no-queue"
	case nil:
		return "admitted"
	}
	return "other"
}

// Guards against keys that work after they were revoked, on an entry VM that can't hear of it.
func TestAdmitTrustsKeysOnlyWhileTheConfigurationIsFresh(t *testing.T) {
	for name, c := range map[string]struct {
		age       time.Duration
		path, key string
		want      string
	}{
		"fresh":            {time.Second, "/p/1", "key", "admitted"},
		"unknown key":      {time.Second, "/p/1", "other", "no-key"},
		"no queue":         {time.Second, "/q/1", "key", "no-queue"},
		"stale":            {4500 * time.Millisecond, "/p/1", "key", "refused"},
		"stale but open":   {4500 * time.Millisecond, "/p/open/1", "", "admitted"},
		"store is silent":  {6 * time.Second, "/p/open/1", "", "refused"},
		"longest prefix":   {0, "/p/open/1", "other", "admitted"},
		"key on open path": {0, "/p/open", "other", "no-key"},
	} {
		d, _ := newDesk(c.age, provider.NewCommitted(1))
		_, outcome := d.Admit(intake.Call{Host: "h", Path: c.path, Key: c.key})
		assert.Equal(t, kind(outcome), c.want, name)
	}
}

// Guards against a slow store that is taken for a silent one: its answer tells of a configuration that was read long
// before it arrives.
func TestAdmitGoesOnWhileTheStoreIsSlow(t *testing.T) {
	for name, c := range map[string]struct {
		asOf, heard time.Duration // ago
		refused     bool
	}{
		"slow":   {3 * time.Second, 0, false},
		"silent": {3 * time.Second, time.Second, true},
	} {
		d, _ := newDesk(time.Minute)
		d.StoreSilence = 500 * time.Millisecond
		now := d.Timer.Now()
		d.Directory.Confirm(now.Add(-c.asOf), now.Add(-c.heard))
		_, outcome := d.Admit(intake.Call{Host: "h", Path: "/p/1", Key: "key"})
		_, refused := outcome.(intake.Refused)
		assert.Equal(t, refused, c.refused, name)
	}
}
