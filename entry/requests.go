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

// Configuration returns the configuration that requests are checked against.
func (v *VM) Configuration() *catalogue.Configuration { return v.configuration.Load() }

// Now returns the current time of the VM's clock.
func (v *VM) Now() time.Time { return v.Clock.Now() }

// Submit submits a request and waits for its outcome. If ctx ends first, the outcome is dispatch.OutcomeUnknown.
func (v *VM) Submit(ctx context.Context, r dispatch.Request) dispatch.Outcome {
	o := v.await(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewSubmitted(ticket, r) })
	if o == nil {
		v.mailbox.post(dispatch.NewCallerDisconnected(r.ID()))
		return dispatch.NewOutcomeUnknown(dispatch.CodeLostContact,
			"the entry VM stopped waiting for the outcome: the caller disconnected or the time limit passed")
	}
	return o
}

// Cancel cancels a request, given the id that is unique across teams. The outcome is dispatch.NotRun or
// dispatch.OutcomeUnknown if it was cancelled, and dispatch.Rejected otherwise.
func (v *VM) Cancel(ctx context.Context, id string) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewCancelled(ticket, id) })
}

// Change makes a configuration change and waits for a limited time until it is in force. The outcome is a
// dispatch.ChangeStatus, or dispatch.Rejected with the reason. The author is recorded with the change.
func (v *VM) Change(ctx context.Context, c dispatch.Change, author string) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewChangeRequested(ticket, c, author) })
}

// ChangeStatus returns whether a configuration version is stored and in force, and which entry VMs haven't
// acknowledged it, as a dispatch.ChangeStatus.
func (v *VM) ChangeStatus(ctx context.Context, version uint64) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewChangeQueried(ticket, version) })
}

// Status returns the state of this entry VM and its view of the fleet, as a dispatch.Status.
func (v *VM) Status(ctx context.Context) dispatch.Outcome {
	return v.query(ctx, dispatch.NewStatusQueriedEvent)
}

// Explain returns what would become of a request that was submitted now, as a dispatch.Explanation.
func (v *VM) Explain(ctx context.Context, r dispatch.Request) dispatch.Outcome {
	return v.query(ctx, func(ticket uint64) dispatch.Event { return dispatch.NewExplanationQueried(ticket, r) })
}

// query posts an event and waits for its outcome, which is Rejected if ctx ends first.
func (v *VM) query(ctx context.Context, event func(ticket uint64) dispatch.Event) dispatch.Outcome {
	if o := v.await(ctx, event); o != nil {
		return o
	}
	return dispatch.NewRejected(
		dispatch.CodeLostContact, "the control loop of the entry VM didn't reply before the timeout", time.Second)
}

// await posts the event of a new ticket and waits for its outcome, which is nil if ctx ends first.
func (v *VM) await(ctx context.Context, event func(ticket uint64) dispatch.Event) dispatch.Outcome {
	ticket, ch := v.replies.open()
	v.mailbox.post(event(ticket))
	r, ok := v.replies.wait(ctx, ticket, ch)
	if !ok {
		return nil
	}
	return r.outcome
}

// Job returns the status of a job. It reads the job's rows until the job has finished, the given time is reached or ctx
// ends. found is false if there is no such job, readable is false if the table couldn't be read or the row
// couldn't be decoded.
func (v *VM) Job(ctx context.Context, id string, until time.Time) (job dispatch.JobStatus, found, readable bool) {
	for {
		job, found, readable = v.readJob(ctx, id)
		if job.Finished() || !v.Clock.Now().Before(until) || !v.pause(ctx, jobPollInterval) {
			return job, found, readable
		}
	}
}

// readJob reads the rows of a job once. Its results are those of Job.
func (v *VM) readJob(ctx context.Context, id string) (job dispatch.JobStatus, found, readable bool) {
	// The row of an unfinished job is read before that of a finished one, so that a job that finishes between the two
	// reads is found by the second.
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

// withOutput returns the status with the job's output, which it fetches if it is in the object store. If that fails,
// the outcome becomes Rejected with a time to retry.
func (v *VM) withOutput(ctx context.Context, j dispatch.JobStatus) dispatch.JobStatus {
	a, ok := j.Outcome().(dispatch.Answered)
	if !ok || j.Object() == "" {
		return j
	}
	object, ok := v.Objects.Get(ctx, j.Object()).(provider.Object)
	if !ok {
		return j.WithOutcome(dispatch.NewRejected(dispatch.CodeStoreUnavailable,
			"the job has finished; its output can't be read from the object store now", time.Second))
	}
	return j.WithOutcome(dispatch.NewAnswered(a.OK(), object.Data()))
}

// pause waits for d and returns false if ctx ended first.
func (v *VM) pause(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	s := v.Clock.After(d, func(time.Time) { close(done) })
	defer s.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Heartbeat implements peer.Handler. It returns an empty digest if ctx ends before the control loop replies.
func (v *VM) Heartbeat(ctx context.Context, d peer.Digest) peer.Digest {
	ticket, ch := v.replies.open()
	v.mailbox.post(dispatch.NewHeartbeatReceived(ticket, d))
	r, _ := v.replies.wait(ctx, ticket, ch)
	return r.digest
}

// Forward implements peer.Handler. It submits a call that another entry VM forwards.
func (v *VM) Forward(ctx context.Context, r peer.Request) peer.ForwardOutcome {
	deadline := time.Time{}
	if r.Remaining() > 0 {
		deadline = v.Clock.Now().Add(r.Remaining())
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
		return peer.NewOutcomeUnknown("the outcome of the request is unknown")
	}
}

// Apply implements peer.Handler. It applies a configuration change that another entry VM pushes, and returns the
// configuration version that this entry VM has then, 0 if ctx ends first.
func (v *VM) Apply(ctx context.Context, c peer.Change) uint64 {
	ticket, ch := v.replies.open()
	v.mailbox.post(dispatch.NewPushReceived(ticket, c))
	r, ok := v.replies.wait(ctx, ticket, ch)
	if !ok {
		return 0
	}
	changed, _ := r.outcome.(dispatch.ChangeStatus)
	return changed.Version()
}

// Request returns the outcome of a non-idempotent call, read from its claim. found is false if there is no claim,
// readable is false if the table couldn't be read or the claim couldn't be decoded.
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

// claimOutcome returns the outcome that a claim records. It fetches the answer if that is in the object store.
func (v *VM) claimOutcome(ctx context.Context, c claim.Claim) dispatch.Outcome {
	o, name := dispatch.ClaimOutcome(c)
	if name == "" {
		return o
	}
	object, ok := v.Objects.Get(ctx, name).(provider.Object)
	if !ok {
		return dispatch.NewRejected(dispatch.CodeStoreUnavailable,
			"the request has run; its answer can't be read from the object store now", time.Second)
	}
	return dispatch.NewAnswered(dispatch.DecodeAnswer(object.Data()))
}
