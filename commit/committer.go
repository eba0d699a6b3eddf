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

// Committer commits submitted transactions to the table.
type Committer struct {
	// Table is the platform's table.
	Table provider.Table
	// Timer defaults to the system's.
	Timer timer.Clock
	// Name is the id of the entry VM. Only one committer may use it at a time.
	Name string
	// MaxQueued, MaxRows, MaxRate and MaxRowRate default to the constants of the same names.
	MaxQueued  int
	MaxRows    int
	MaxRate    int
	MaxRowRate int
	// Scope receives counters, and defaults to none.
	Scope tally.Scope

	mu          sync.Mutex
	submitted   []submission
	outstanding int
	stopped     bool
	sharers     int

	once    sync.Once
	wake    chan struct{}
	waiting map[uint64]func(provider.CommitOutcome)
	metrics metrics
}

type submission struct {
	transaction provider.Transaction
	options     []Option
	done        func(provider.CommitOutcome)
}

// Submit queues a transaction. Done is called exactly once:
//   - with Committed once it is applied;
//   - with Conflict if a condition of this transaction doesn't hold;
//   - with Unavailable if it isn't applied and never will be: at once if the queue is full, at the deadline, or when the
//     committer stops;
//   - with Unknown if an attempt's outcome isn't known at the deadline or when the committer stops.
//
// Transactions that touch a common key are applied in the order of their Submit calls. Done is called on the
// committer's goroutine, or on the caller's if the queue is full, and must not block.
func (c *Committer) Submit(t provider.Transaction, done func(provider.CommitOutcome), options ...Option) {
	c.init()
	if refusal := c.accept(submission{transaction: t, options: options, done: done}); refusal != "" {
		c.metrics.refused.Inc(1)
		done(provider.NewUnavailable(refusal))
		return
	}
	c.notify()
}

// Pending returns the number of submitted transactions whose done wasn't called.
func (c *Committer) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding
}

// SetSharers sets the number of committers that share MaxRowRate, 1 at start.
func (c *Committer) SetSharers(n int) {
	c.init()
	c.mu.Lock()
	c.sharers = max(1, n)
	c.mu.Unlock()
	c.notify()
}

// Run commits until ctx ends. It then completes what is left, and returns nil.
func (c *Committer) Run(ctx context.Context) error {
	c.init()
	state := NewState(c.Name, c.limits(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), c.Timer.Now())
	tick := c.Timer.Every(expiryInterval, func(time.Time) { c.notify() })
	defer tick.Stop()

	attempts, attemptCtx := group.New(ctx)
	outcomes := make(chan provider.CommitOutcome, 1)
	token := newToken()
	var alarm timer.Subscription
	for {
		now := c.Timer.Now()
		c.takeIn(state)
		state.SetLimits(c.limits(), now)
		c.complete(state.Expire(now))
		if alarm != nil {
			alarm.Stop()
			alarm = nil
		}
		switch step := state.Next(now, token).(type) {
		case Send:
			token = newToken()
			c.metrics.attempts.Inc(1)
			attempts.Go(func() error {
				outcomes <- c.attempt(attemptCtx, step.transaction)
				return nil
			})
		case Wait:
			alarm = c.Timer.After(step.until.Sub(now), func(time.Time) { c.notify() })
		case Idle:
		}

		select {
		case <-ctx.Done():
			return c.stop(state, attempts, outcomes)
		case <-c.wake:
		case o := <-outcomes:
			c.metrics.count(o)
			c.complete(state.Handle(o, c.Timer.Now()))
		}
		c.metrics.queued.Update(float64(state.Pending()))
	}
}

func (c *Committer) init() {
	c.once.Do(func() {
		c.wake = make(chan struct{}, 1)
		c.waiting = make(map[uint64]func(provider.CommitOutcome))
		if c.Timer == nil {
			c.Timer = timer.System{}
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
	return NewLimits(c.MaxRows, c.MaxRate, float64(c.MaxRowRate)/float64(max(1, c.sharers)))
}

// accept returns why the submission is refused, or an empty string.
func (c *Committer) accept(s submission) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return "the committer has stopped"
	}
	if c.outstanding >= c.MaxQueued {
		return "the commit queue is full"
	}
	c.outstanding++
	c.submitted = append(c.submitted, s)
	return ""
}

func (c *Committer) takeIn(state *State) {
	c.mu.Lock()
	submitted := c.submitted
	c.submitted = nil
	c.mu.Unlock()
	for _, s := range submitted {
		c.waiting[state.Add(s.transaction, s.options...)] = s.done
	}
}

func (c *Committer) complete(done []Completion) {
	if len(done) == 0 {
		return
	}
	c.mu.Lock()
	c.outstanding -= len(done)
	c.mu.Unlock()
	for _, d := range done {
		fn := c.waiting[d.id]
		delete(c.waiting, d.id)
		fn(d.outcome)
	}
}

func (c *Committer) attempt(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := c.Timer.After(attemptTimeout, func(time.Time) { cancel() })
	defer timeout.Stop()
	return c.Table.Commit(ctx, t)
}

func (c *Committer) stop(state *State, attempts *group.Group, outcomes <-chan provider.CommitOutcome) error {
	err := attempts.Wait()
	select {
	case o := <-outcomes:
		c.complete(state.Handle(o, c.Timer.Now()))
	default:
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.takeIn(state)
	c.complete(state.Stop())
	return err
}

func (c *Committer) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func newToken() string {
	var b [tokenBytes]byte
	_, _ = crand.Read(b[:])
	return hex.EncodeToString(b[:])
}
