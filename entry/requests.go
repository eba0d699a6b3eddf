package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/dispatch"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

var _ peer.Handler = (*VM)(nil)

// Configuration returns the configuration that traffic uses.
func (v *VM) Configuration() *catalogue.Configuration { return v.configuration.Load() }

// Now returns the time.
func (v *VM) Now() time.Time { return v.Timer.Now() }

// Submit submits a request and waits for its outcome. If ctx ends first, the outcome is Unresolved.
func (v *VM) Submit(ctx context.Context, r dispatch.Request) dispatch.Outcome {
	o := v.ask(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewSubmitted(ticket, r) })
	if o == nil {
		v.mail.post(dispatch.NewCallerDisconnected(r.ID()))
		return dispatch.NewUnresolved(dispatch.CodeLostContact, "the wait for the answer ended")
	}
	return o
}

// Cancel cancels a request.
func (v *VM) Cancel(ctx context.Context, id string) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewCancelled(ticket, id) })
}

// Change makes a configuration change and waits until it is in force, for a bounded time.
func (v *VM) Change(ctx context.Context, c dispatch.Change, author string) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewChangeRequested(ticket, c, author) })
}

// ChangeStatus returns how far a configuration version has come.
func (v *VM) ChangeStatus(ctx context.Context, version uint64) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewChangeQueried(ticket, version) })
}

// Status returns what this entry VM knows of itself and of the fleet.
func (v *VM) Status(ctx context.Context) dispatch.Outcome {
	return v.query(ctx, dispatch.NewStatusQueriedEvent)
}

func (v *VM) query(ctx context.Context, event func(ticket uint64) dispatch.Event) dispatch.Outcome {
	if o := v.ask(ctx, event); o != nil {
		return o
	}
	return dispatch.NewRejected(dispatch.CodeLostContact, "the entry VM didn't answer in time", time.Second)
}

func (v *VM) ask(ctx context.Context, event func(ticket uint64) dispatch.Event) dispatch.Outcome {
	ticket, ch := v.tickets.open()
	v.mail.post(event(ticket))
	r, ok := v.tickets.wait(ctx, ticket, ch)
	if !ok {
		return nil
	}
	return r.outcome
}

// Job reads a job's rows until it has finished or ctx ends. The second result is false if there is no such job, and
// the third if the table couldn't be read.
func (v *VM) Job(ctx context.Context, id string, until time.Time) (job dispatch.JobStatus, found, readable bool) {
	for {
		job, found, readable = v.readJob(ctx, id)
		if job.Finished() || !v.Timer.Now().Before(until) || !v.pause(ctx, jobPollInterval) {
			return job, found, readable
		}
	}
}

func (v *VM) readJob(ctx context.Context, id string) (job dispatch.JobStatus, found, readable bool) {
	// The unfinished row is read first: a job that finishes in between is then found by the second read.
	for _, key := range []string{dispatch.JobKey(id), dispatch.DoneKey(id)} {
		rows, ok := v.table.Scan(ctx, key, 0).(provider.Rows)
		if !ok {
			return dispatch.JobStatus{}, false, false
		}
		for _, row := range rows.Rows() {
			if row.Key() != key || row.Deleted() {
				continue
			}
			j, err := dispatch.DecodeJobStatus(key, id, row.Value())
			return v.withOutput(ctx, j), true, err == nil
		}
	}
	return dispatch.JobStatus{}, false, true
}

// withOutput fetches an output that is kept in the object store.
func (v *VM) withOutput(ctx context.Context, j dispatch.JobStatus) dispatch.JobStatus {
	a, ok := j.Outcome().(dispatch.Answered)
	if !ok || j.Object() == "" {
		return j
	}
	object, ok := v.Objects.Get(ctx, j.Object()).(provider.Object)
	if !ok {
		return j.WithOutcome(dispatch.NewRejected(
			dispatch.CodeStoreUnavailable, "the job has finished; its output can't be read now", time.Second))
	}
	return j.WithOutcome(dispatch.NewAnswered(a.OK(), object.Data()))
}

// pause waits for a duration and reports false if ctx ended first.
func (v *VM) pause(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	s := v.Timer.After(d, func(time.Time) { close(done) })
	defer s.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Heartbeat implements peer.Handler.
func (v *VM) Heartbeat(ctx context.Context, d peer.Digest) peer.Digest {
	ticket, ch := v.tickets.open()
	v.mail.post(dispatch.NewHeartbeatReceived(ticket, d))
	r, _ := v.tickets.wait(ctx, ticket, ch)
	return r.digest
}

// Forward implements peer.Handler.
func (v *VM) Forward(ctx context.Context, r peer.Request) peer.ForwardOutcome {
	deadline := time.Time{}
	if r.Remaining() > 0 {
		deadline = v.Timer.Now().Add(r.Remaining())
	}
	o := v.Submit(ctx, dispatch.NewRequest(
		r.ID(), dispatch.KindCall, r.Entry(), r.Team(), r.KeyID(), r.Payload(), deadline, r.Hops(), true,
	))
	switch o := o.(type) {
	case dispatch.Answered:
		return peer.NewAnswered(o.OK(), o.Output(), len(o.Output()), xxhash.Sum64(o.Output()))
	case dispatch.NotRun:
		return peer.NewNotRun(o.Code(), o.Message(), o.RetryAfter())
	default:
		return peer.NewOutcomeUnknown("the request is unresolved")
	}
}

// Apply implements peer.Handler.
func (v *VM) Apply(ctx context.Context, c peer.Change) uint64 {
	ticket, ch := v.tickets.open()
	v.mail.post(dispatch.NewPushReceived(ticket, c))
	r, ok := v.tickets.wait(ctx, ticket, ch)
	if !ok {
		return 0
	}
	changed, _ := r.outcome.(dispatch.ChangeStatus)
	return changed.Version()
}

// Request returns the outcome of a non-idempotent call, from its claim. The second result is false if there is no claim,
// and the third if the table couldn't be read.
func (v *VM) Request(ctx context.Context, id string) (o dispatch.Outcome, found, readable bool) {
	key := claim.RowKey(id)
	rows, ok := v.table.Scan(ctx, key, 0).(provider.Rows)
	if !ok {
		return nil, false, false
	}
	for _, row := range rows.Rows() {
		if row.Key() != key || row.Deleted() {
			continue
		}
		c, err := claim.Decode(row.Value())
		if err != nil {
			return nil, false, false
		}
		return v.claimOutcome(ctx, c), true, true
	}
	return nil, false, true
}

func (v *VM) claimOutcome(ctx context.Context, c claim.Claim) dispatch.Outcome {
	o, name := dispatch.ClaimOutcome(c)
	if name == "" {
		return o
	}
	object, ok := v.Objects.Get(ctx, name).(provider.Object)
	if !ok {
		return dispatch.NewRejected(
			dispatch.CodeStoreUnavailable, "the request has run; its answer can't be read now", time.Second)
	}
	return dispatch.NewAnswered(dispatch.DecodeAnswer(object.Data()))
}
