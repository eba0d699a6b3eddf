package deployment

import (
	"context"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/intake"
	"github.com/pistachiolead/pistachiolead/platform"
	"github.com/pistachiolead/pistachiolead/workload"
)

// explanations holds the channels of those who wait for an explanation, by ticket.
type explanations struct {
	lastTicket uint64
	waiting    map[uint64]chan fleet.Explanation
}

// Explain returns what would become of a job that a customer submitted to a queue now. Nothing is stored. Only the leader can tell.
func (v *VM) Explain(ctx context.Context, queue, customer string, o workload.JobOptions) (platform.Explanation, error) {
	snapshot, _ := v.directory.Snapshot()
	if snapshot == nil {
		return platform.Explanation{}, errors.New("this entry VM has no configuration yet")
	}
	q, known := snapshot.Queue(queue)
	if !known {
		return platform.Explanation{}, platform.InvalidField{Field: "queue", Found: queue, Allowed: "the queues of the configuration"}
	}
	if _, known := snapshot.Customer(customer); !known && (customer != "" || !q.AllowsAnonymous) {
		return platform.Explanation{}, platform.InvalidField{Field: "customer", Found: customer, Allowed: "the customers of the configuration"}
	}
	job, outcome := v.handler.Explain(q, customer, o)
	e := platform.Explanation{EntryVM: v.Settings.Name(), Queue: queue, Customer: customer}
	switch out := outcome.(type) {
	case intake.Invalid:
		return platform.Explanation{}, platform.InvalidField{Field: "job", Found: out.Reason, Allowed: "a job within the limits"}
	case intake.Full:
		e.RetryAfter = out.RetryAfter
	}
	c := v.controller.Load()
	if c == nil {
		return platform.Explanation{}, errors.Errorf("entry VM %s isn't the leader", v.Settings.Name())
	}
	var err error
	e.Decision, err = c.explain(ctx, job)
	return e, err
}

// explain asks the control state what would become of a job.
func (c *controller) explain(ctx context.Context, job *workload.Job) (fleet.Explanation, error) {
	answer := make(chan fleet.Explanation, 1)
	c.mu.Lock()
	c.explanations.lastTicket++
	ticket := c.explanations.lastTicket
	if c.explanations.waiting == nil {
		c.explanations.waiting = make(map[uint64]chan fleet.Explanation)
	}
	c.explanations.waiting[ticket] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.explanations.waiting, ticket)
		c.mu.Unlock()
	}()
	c.post(fleet.ExplanationRequested{Ticket: ticket, Job: job})
	select {
	case e := <-answer:
		return e, nil
	case <-c.ctx.Done():
		return fleet.Explanation{}, errors.New("the leader has changed")
	case <-ctx.Done():
		return fleet.Explanation{}, errors.New("the leader gave no explanation in time")
	}
}

// explained passes an explanation on to who waits for it.
func (c *controller) explained(e fleet.Explained) {
	c.mu.Lock()
	answer, waits := c.explanations.waiting[e.Ticket]
	c.mu.Unlock()
	if waits {
		answer <- e.Explanation
	}
}
