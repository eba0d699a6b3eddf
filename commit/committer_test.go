package commit_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/group"
	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/timer"
)

// lossyTable loses every fourth response and refuses every fifth transaction.
type lossyTable struct {
	provider.Table
	mu    sync.Mutex
	calls int
	model *modelTable
	// hanging is closed by the first call, which then blocks until its context ends. If it is nil, the first call doesn't
	// block.
	hanging chan struct{}
	once    sync.Once
}

func (l *lossyTable) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	first := false
	l.once.Do(func() { first = l.hanging != nil })
	if first {
		close(l.hanging)
		<-ctx.Done()
		return provider.NewOutcomeUnknown("no response")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls%5 == 0 {
		return provider.NewUnavailable("down")
	}
	o := l.model.commit(t)
	if l.calls%4 == 0 {
		return provider.NewOutcomeUnknown("response lost")
	}
	return o
}

func markTransaction(id int) provider.Transaction {
	k := fmt.Sprintf("mark/%d", id)
	return provider.NewTransaction(nil, []provider.Write{provider.NewPut(k, []byte(k))})
}

// startCommitter runs a committer and returns a function that stops it.
func startCommitter(t testing.TB, c *commit.Committer) func() {
	ctx, cancel := context.WithCancel(t.Context())
	run, _ := group.New(ctx)
	run.Go(func() error { return c.Run(ctx) })
	return func() {
		cancel()
		assert.NilError(t, run.Wait())
	}
}

// Guards against outcomes that are lost, delivered twice or delivered to another submitter, when submitters run
// concurrently with the committer.
func TestCommitterAnswersEverySubmitter(t *testing.T) {
	table := &lossyTable{model: newModelTable()}
	c := &commit.Committer{Table: table, Name: "vm", MaxRate: 2000, MaxRowRate: 100_000, MaxRows: 20}
	stop := startCommitter(t, c)

	submitters, _ := group.New(t.Context())
	for i := range 20 {
		submitters.Go(func() error {
			for j := range 20 {
				done := make(chan provider.CommitOutcome, 2)
				c.Submit(markTransaction(i*20+j), func(o provider.CommitOutcome) { done <- o })
				if o, ok := (<-done).(provider.Committed); !ok {
					return fmt.Errorf("%d: %v", i, o)
				}
			}
			return nil
		})
	}
	assert.NilError(t, submitters.Wait())
	stop()
	assert.Equal(t, len(table.model.applications), 400)
	for id, n := range table.model.applications {
		assert.Equal(t, n, 1, "%d", id)
	}
}

// Guards against an unbounded queue, and against submitters that get no outcome when the committer stops.
func TestCommitterRefusesWhenFullOrStopped(t *testing.T) {
	table := &lossyTable{model: newModelTable(), hanging: make(chan struct{})}
	c := &commit.Committer{Table: table, Name: "vm", MaxQueued: 2, MaxRows: 1}
	var outcomes [4]provider.CommitOutcome
	submit := func(i int) { c.Submit(markTransaction(i), func(o provider.CommitOutcome) { outcomes[i] = o }) }
	submit(0)
	submit(1)
	submit(2)
	assert.Equal(t, outcomes[2], provider.NewUnavailable("the commit queue is full"))

	stop := startCommitter(t, c)
	<-table.hanging
	stop()
	submit(3)
	assert.Equal(t, outcomes[0], provider.NewOutcomeUnknown("the committer stopped during the commit"))
	assert.Equal(t, outcomes[1], provider.NewUnavailable("the committer stopped"))
	assert.Equal(t, outcomes[3], provider.NewUnavailable("the committer has stopped"))
	assert.Equal(t, c.Pending(), 0)
}

// Guards against a call to the table that never returns and blocks all transactions after it.
func TestCommitterEndsHungAttempt(t *testing.T) {
	table := &lossyTable{model: newModelTable(), hanging: make(chan struct{})}
	clock := timer.NewManual(time.Unix(1000, 0))
	c := &commit.Committer{Table: table, Clock: clock, Name: "vm"}
	stop := startCommitter(t, c)

	done := make(chan provider.CommitOutcome, 1)
	c.Submit(markTransaction(1), func(o provider.CommitOutcome) { done <- o })
	<-table.hanging
	for len(done) == 0 {
		clock.Advance(50 * time.Millisecond)
		runtime.Gosched()
	}
	_, ok := (<-done).(provider.Committed)
	assert.Assert(t, ok)
	stop()
}

// instantTable applies each transaction at once and counts transactions and rows.
type instantTable struct {
	lossyTable
	version, transactions, rows uint64
}

func (f *instantTable) Commit(_ context.Context, t provider.Transaction) provider.CommitOutcome {
	f.version++
	f.transactions++
	f.rows += uint64(len(t.Writes()))
	return provider.NewCommitted(f.version)
}

// BenchmarkControlCommit measures the rows and transactions per second of one committer without a rate limit. Each
// submitter writes one row, and the next one after it got the outcome.
func BenchmarkControlCommit(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("submitters=%d", n), func(b *testing.B) {
			table := &instantTable{}
			c := &commit.Committer{Table: table, Name: "vm", MaxRate: 1e6, MaxRowRate: 1e9}
			stop := startCommitter(b, c)
			submitters, _ := group.New(b.Context())
			var left atomic.Int64
			left.Store(int64(b.N))
			b.ResetTimer()
			for range n {
				submitters.Go(func() error {
					done := make(chan provider.CommitOutcome, 1)
					for i := left.Add(-1); i >= 0; i = left.Add(-1) {
						c.Submit(markTransaction(int(i)), func(o provider.CommitOutcome) { done <- o })
						<-done
					}
					return nil
				})
			}
			assert.NilError(b, submitters.Wait())
			b.StopTimer()
			stop()
			b.ReportMetric(float64(table.rows)/b.Elapsed().Seconds(), "rows/s")
			b.ReportMetric(float64(table.transactions)/b.Elapsed().Seconds(), "transactions/s")
		})
	}
}

// BenchmarkControlCommitPeak measures, in simulated time, what the jobs of a peak (R20) cost with the default limits.
// Jobs arrive at one entry VM at a fixed rate for 10 s, and each writes three records of one row (accepted, started,
// done).
func BenchmarkControlCommitPeak(b *testing.B) {
	for _, c := range []struct{ rate, sharers int }{{5, 1}, {5, 9}, {44, 1}, {44, 9}, {220, 1}, {220, 9}} {
		b.Run(fmt.Sprintf("jobs=%d/sharers=%d", c.rate, c.sharers), func(b *testing.B) {
			for range b.N {
				runPeak(b, c.rate, c.sharers)
			}
		})
	}
}

func runPeak(b *testing.B, rate, sharers int) {
	b.Helper()
	const step = 5 * time.Millisecond
	clock := timer.NewManual(time.Unix(1000, 0))
	start := clock.Now()
	limits := commit.NewLimits(commit.DefaultMaxRows, commit.DefaultMaxRate,
		float64(commit.DefaultMaxRowRate)/float64(sharers))
	s := commit.NewState("vm", limits, nil, start)
	table := &instantTable{}
	jobs, records := 0, map[uint64]int{}
	for elapsed := time.Duration(0); jobs < 10*rate || s.Pending() > 0; elapsed = clock.Now().Sub(start) {
		for ; jobs < 10*rate && jobs < int(elapsed.Seconds()*float64(rate)); jobs++ {
			records[s.Add(markTransaction(jobs))] = 1
		}
		if send, ok := s.Next(clock.Now(), "token").(commit.Send); ok {
			for _, d := range s.Handle(table.Commit(b.Context(), send.Transaction()), clock.Now()) {
				if n := records[d.ID()]; n < 3 {
					records[s.Add(markTransaction(int(d.ID())))] = n + 1
				}
			}
		}
		clock.Advance(step)
	}
	b.ReportMetric(float64(table.transactions)/float64(jobs), "transactions/job")
	b.ReportMetric(float64(table.rows)/float64(jobs), "rows/job")
	b.ReportMetric(float64(jobs)/clock.Now().Sub(start).Seconds(), "jobs/s")
}
