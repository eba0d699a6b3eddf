package commit

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// Committer packs submitted transactions and commits them to the table.
type Committer struct {
	// Table is the platform's table.
	Table provider.Table
	// Clock defaults to timer.System.
	Clock timer.Clock
	// Name is the id of the entry VM, and the key of the committer's own row. Two running committers must not share it.
	Name string
	// MaxQueued, MaxRows, MaxRate and MaxRowRate default to the constants DefaultMaxQueued, DefaultMaxRows and so on.
	MaxQueued  int
	MaxRows    int
	MaxRate    int
	MaxRowRate int
	// Scope receives the metrics. Nil drops them.
	Scope tally.Scope

	mu         sync.Mutex
	submitted  []submission
	pending    int
	stopped    bool
	committers int

	once      sync.Once
	wake      chan struct{}
	callbacks map[uint64]func(provider.CommitOutcome)
	metrics   metrics
}

type submission struct {
	transaction provider.Transaction
	options     []Option
	callback    func(provider.CommitOutcome)
}

// Submit queues a transaction. The callback is called exactly once:
//   - with Committed after the transaction was applied;
//   - with Conflict if a condition of this transaction isn't met;
//   - with Rejected if the table rejects this transaction for its content;
//   - with Unavailable if it wasn't applied and never will be: at once if the queue is full or the committer has
//     stopped, else at the deadline or when the committer stops;
//   - with OutcomeUnknown if the outcome of an attempt isn't known at the deadline or when the committer stops.
//
// Transactions with a common key are applied in the order of their Submit calls. The callback runs on the committer's
// goroutine, or on the caller's if the transaction is refused at once, and must not block.
func (c *Committer) Submit(t provider.Transaction, callback func(provider.CommitOutcome), options ...Option) {
	c.init()
	if refusal := c.accept(submission{transaction: t, options: options, callback: callback}); refusal != "" {
		c.metrics.refused.Inc(1)
		callback(provider.NewUnavailable(refusal))
		return
	}
	c.notify()
}

// Pending returns the number of submitted transactions whose callback hasn't been called.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// SetCommitters sets the number of committers that share MaxRowRate. It is 1 at first.
func (c *Committer) SetCommitters(n int) {
	c.init()
	c.mu.Lock()
	c.committers = max(1, n)
	c.mu.Unlock()
	c.notify()
}

// Run commits until ctx ends. It then calls all remaining callbacks, and returns nil.
func (c *Committer) Run(ctx context.Context) error {
	c.init()
	state := NewState(c.Name, c.limits(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), c.Clock.Now())
	tick := c.Clock.Every(expiryInterval, func(time.Time) { c.notify() })
	defer tick.Stop()

	attempts, attemptCtx := group.New(ctx)
	outcomes := make(chan provider.CommitOutcome, 1)
	token := randomToken()
	var wakeup timer.Subscription
	for {
		now := c.Clock.Now()
		c.addSubmitted(state)
		state.SetLimits(c.limits(), now)
		c.complete(state.Expire(now))
		if wakeup != nil {
			wakeup.Stop()
			wakeup = nil
		}
		switch step := state.Next(now, token).(type) {
		case Send:
			token = randomToken()
			c.metrics.attempts.Inc(1)
			attempts.Go(func() error {
				outcomes <- c.attempt(attemptCtx, step.transaction)
				return nil
			})
		case Wait:
			wakeup = c.Clock.After(step.until.Sub(now), func(time.Time) { c.notify() })
		case Idle:
		}

		select {
		case <-ctx.Done():
			return c.stop(state, attempts, outcomes)
		case <-c.wake:
		case o := <-outcomes:
			c.metrics.count(o)
			c.complete(state.Handle(o, c.Clock.Now()))
		}
		c.metrics.queued.Update(float64(state.Pending()))
	}
}

func (c *Committer) init() {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.callbacks = make(map[uint64]func(provider.CommitOutcome))
		if c.Clock == nil {
			c.Clock = timer.System{}
		}
		if c.MaxQueued == 0 {
			c.MaxQueued = DefaultMaxQueued
		}
		if c.MaxRows == 0 {
			c.MaxRows = DefaultMaxRows
		}
		if c.MaxRate == 0 {
			c.MaxRate = DefaultMaxRate
		}
		if c.MaxRowRate == 0 {
			c.MaxRowRate = DefaultMaxRowRate
		}
		if c.Scope == nil {
			c.Scope = tally.NoopScope
		}
		c.metrics = newMetrics(c.Scope)
	})
}

func (c *Committer) limits() Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return NewLimits(c.MaxRows, c.MaxRate, float64(c.MaxRowRate)/float64(max(1, c.committers)))
}

// accept queues a submission. It returns the reason if it refuses the submission, else "".
func (c *Committer) accept(s submission) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return "the committer has stopped"
	}
	if c.pending >= c.MaxQueued {
		return "the commit queue is full"
	}
	c.pending++
	c.submitted = append(c.submitted, s)
	return ""
}

func (c *Committer) addSubmitted(state *State) {
	c.mu.Lock()
	submitted := c.submitted
	c.submitted = nil
	c.mu.Unlock()
	for _, s := range submitted {
		c.callbacks[state.Add(s.transaction, s.options...)] = s.callback
	}
}

func (c *Committer) complete(done []Completion) {
	if len(done) == 0 {
		return
	}
	c.mu.Lock()
	c.pending -= len(done)
	c.mu.Unlock()
	for _, d := range done {
		fn := c.callbacks[d.id]
		delete(c.callbacks, d.id)
		fn(d.outcome)
	}
}

func (c *Committer) attempt(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := c.Clock.After(attemptTimeout, func(time.Time) { cancel() })
	defer timeout.Stop()
	return c.Table.Commit(ctx, t)
}

func (c *Committer) stop(state *State, attempts *group.Group, outcomes <-chan provider.CommitOutcome) error {
	err := attempts.Wait()
	select {
	case o := <-outcomes:
		c.complete(state.Handle(o, c.Clock.Now()))
	default:
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.addSubmitted(state)
	c.complete(state.Stop())
	return err
}

func (c *Committer) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func randomToken() string {
	var b [tokenBytes]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}
