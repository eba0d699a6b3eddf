package commit

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State is the state machine of a committer: it decides which transactions to send, and derives the outcomes of the
// submitted transactions. It is deterministic, and not safe for concurrent use.
//
// Transactions with a common key are applied in the order in which they were added, also if a later one is urgent, and
// are never packed together.
type State struct {
	ownKey     string
	ownVersion uint64
	limits     Limits
	random     *rand.Rand

	lastID       uint64
	urgent       []*item
	normal       []*item
	queuedRows   int                 // rows of urgent and normal together
	pendingByKey map[string][]uint64 // ids of the items that aren't completed, in the order of Add
	inFlight     *batch

	transactionBucket   tokenBucket
	rowBucket           tokenBucket
	consecutiveFailures int
	retryAt             time.Time
}

// NewState returns the state of the committer of an entry VM. Random provides the backoff jitter. The State learns the
// version of the committer's own row from the first conflict.
func NewState(name string, limits Limits, random *rand.Rand, now time.Time) *State {
	s := &State{ownKey: ownRowPrefix + name, random: random, pendingByKey: make(map[string][]uint64)}
	s.SetLimits(limits, now)
	s.transactionBucket.tokens = s.transactionBucket.capacity
	s.rowBucket.tokens = s.rowBucket.capacity
	return s
}

// SetLimits changes the limits. It keeps the tokens of the rate limiters, up to the new burst sizes.
func (s *State) SetLimits(limits Limits, now time.Time) {
	s.transactionBucket.refill(now)
	s.rowBucket.refill(now)
	s.limits = limits
	transactions, rows := s.transactionBucket.tokens, s.rowBucket.tokens
	s.transactionBucket = newTokenBucket(float64(limits.rate), 1, now)
	s.rowBucket = newTokenBucket(limits.rowRate, max(2, limits.rowRate*rowBurstDuration.Seconds()), now)
	s.transactionBucket.tokens = min(transactions, s.transactionBucket.capacity)
	s.rowBucket.tokens = min(rows, s.rowBucket.capacity)
}

// Add queues a transaction and returns an id, which its completion will have. The transaction must not touch the
// committer's own row.
func (s *State) Add(t provider.Transaction, options ...Option) uint64 {
	s.lastID++
	m := newItem(s.lastID, t, options)
	for _, k := range m.keys {
		if k == s.ownKey {
			panic("a transaction touches the committer's own row " + k)
		}
		s.pendingByKey[k] = append(s.pendingByKey[k], m.id)
	}
	s.enqueue(m)
	return m.id
}

// Pending returns the number of transactions that aren't completed.
func (s *State) Pending() int {
	n := len(s.urgent) + len(s.normal)
	if s.inFlight == nil {
		return n
	}
	return n + len(s.inFlight.items)
}

// Next returns what to do now. After each Send, the next call needs a new random token.
func (s *State) Next(now time.Time, token string) Step {
	s.transactionBucket.refill(now)
	s.rowBucket.refill(now)
	if s.inFlight != nil && s.inFlight.awaitingOutcome {
		return Idle{}
	}
	if s.inFlight == nil && len(s.urgent)+len(s.normal) == 0 {
		return Idle{}
	}
	if at := s.nextSendTime(now); at.After(now) {
		return Wait{until: at}
	}

	if s.inFlight == nil {
		s.inFlight = newBatch(s.takeBatch(), s.ownKey, s.ownVersion, token)
	}
	t := s.inFlight.nextTransaction(s.ownKey, s.ownVersion, token)
	s.inFlight.awaitingOutcome = true
	s.transactionBucket.take(1)
	s.rowBucket.take(float64(s.inFlight.rows))
	return Send{transaction: t}
}

// Handle processes the outcome of the last Send and returns the completions that result from it.
func (s *State) Handle(outcome provider.CommitOutcome, now time.Time) []Completion {
	s.inFlight.awaitingOutcome = false
	switch o := outcome.(type) {
	case provider.Committed:
		s.consecutiveFailures = 0
		s.ownVersion = o.Version()
		if s.inFlight.fenceToken != "" {
			s.requeue()
			return nil
		}
		return s.applied(o.Version())
	case provider.Conflict:
		return s.handleConflict(o, now)
	case provider.Rejected:
		return s.handleRejection(o, now)
	case provider.Unavailable:
		s.rowBucket.refund(float64(s.inFlight.rows))
		s.backOff(now)
		if !s.inFlight.outcomeUnknown {
			s.requeue()
		}
		return nil
	case provider.OutcomeUnknown:
		s.inFlight.outcomeUnknown = true
		s.backOff(now)
		return nil
	default:
		panic("unknown type of commit outcome")
	}
}

// Expire completes the transactions whose deadline has passed: with Unavailable if they weren't applied and never will
// be, else with OutcomeUnknown.
func (s *State) Expire(now time.Time) []Completion {
	var done []Completion
	if s.inFlight != nil {
		for _, m := range s.inFlight.items {
			if !m.completed && m.expired(now) {
				m.completed = true
				done = append(done, Completion{id: m.id, outcome: provider.NewOutcomeUnknown("the deadline passed during the commit")})
			}
		}
	}
	expire := func(items []*item) []*item {
		kept := items[:0]
		for _, m := range items {
			if !m.expired(now) {
				kept = append(kept, m)
				continue
			}
			s.queuedRows -= m.rows
			s.releaseKeys(m)
			done = append(done, Completion{id: m.id, outcome: provider.NewUnavailable("the deadline passed before the commit")})
		}
		clear(items[len(kept):])
		return kept
	}
	s.urgent = expire(s.urgent)
	s.normal = expire(s.normal)
	return done
}

// Stop completes all transactions: with OutcomeUnknown if they are being committed, else with Unavailable. The State
// must not be used afterwards.
func (s *State) Stop() []Completion {
	var done []Completion
	if s.inFlight != nil {
		done = s.completeBatch(provider.NewOutcomeUnknown("the committer stopped during the commit"))
	}
	for _, q := range [][]*item{s.urgent, s.normal} {
		for _, m := range q {
			done = append(done, Completion{id: m.id, outcome: provider.NewUnavailable("the committer stopped")})
		}
	}
	s.urgent, s.normal = nil, nil
	return done
}

// nextSendTime returns when the next transaction may be sent, or now if that is already possible.
func (s *State) nextSendTime(now time.Time) time.Time {
	at := s.transactionBucket.readyAt(1, now)
	if s.retryAt.After(at) {
		at = s.retryAt
	}
	rows := 1.0
	if s.inFlight == nil {
		batchRows := max(2, s.limits.rowRate*batchInterval.Seconds())
		rows = min(batchRows, float64(min(s.queuedRows, s.limits.maxRows)+1))
	}
	if r := s.rowBucket.readyAt(rows, now); r.After(at) {
		return r
	}
	return at
}

// takeBatch removes the items of the next batch from the queues: at least one, urgent ones first, and as many as the
// limits allow.
func (s *State) takeBatch() []*item {
	budget := min(s.limits.maxRows, int(s.rowBucket.tokens)-1)
	var packed []*item
	full := false
	take := func(items []*item) []*item {
		kept := items[:0]
		for i, m := range items {
			if full {
				kept = append(kept, items[i:]...)
				break
			}
			if !s.isFirstForKeys(m) || (m.sendAlone && len(packed) > 0) {
				kept = append(kept, m)
				continue
			}
			if m.rows > budget && len(packed) > 0 {
				full = true
				kept = append(kept, m)
				continue
			}
			packed = append(packed, m)
			budget -= m.rows
			s.queuedRows -= m.rows
			full = m.sendAlone || budget <= 0
		}
		clear(items[len(kept):])
		return kept
	}
	s.urgent = take(s.urgent)
	s.normal = take(s.normal)
	return packed
}

// isFirstForKeys reports whether no item that was added earlier and isn't completed has a key of this item.
func (s *State) isFirstForKeys(m *item) bool {
	for _, k := range m.keys {
		if s.pendingByKey[k][0] != m.id {
			return false
		}
	}
	return true
}

func (s *State) handleConflict(o provider.Conflict, now time.Time) []Completion {
	b := s.inFlight
	if o.Row().Key() == s.ownKey {
		return s.handleOwnRowConflict(o.Row())
	}
	if b.fenceToken != "" {
		// The fence has no condition on this row, so the outcome shows nothing about the fence.
		s.backOff(now)
		return nil
	}
	s.consecutiveFailures = 0
	s.transactionBucket.refund(1)
	s.rowBucket.refund(float64(b.rows))
	if b.outcomeUnknown {
		// An earlier attempt may be delayed. It would still be applied if the row is deleted before it arrives and its
		// condition is that the row doesn't exist.
		b.needsFence = true
		return nil
	}

	var done []Completion
	var rest []*item
	for _, m := range b.items {
		if !m.failsCondition(o.Row()) && len(b.items) > 1 {
			rest = append(rest, m)
			continue
		}
		s.releaseKeys(m)
		if !m.completed {
			done = append(done, Completion{id: m.id, outcome: o})
		}
	}
	if len(rest) == len(b.items) {
		for _, m := range rest {
			m.sendAlone = true
		}
	}
	b.items = rest
	s.requeue()
	return done
}

// handleRejection ends a batch that the table rejects for its content. The items of a batch of several are sent one by one, to
// find those that it rejects.
func (s *State) handleRejection(o provider.Rejected, now time.Time) []Completion {
	b := s.inFlight
	s.rowBucket.refund(float64(b.rows))
	if b.fenceToken != "" {
		s.backOff(now)
		return nil
	}
	s.consecutiveFailures = 0
	if b.outcomeUnknown {
		return s.completeBatch(provider.NewOutcomeUnknown("rejected after an attempt without a response: " + o.Reason()))
	}
	if len(b.items) == 1 {
		return s.completeBatch(o)
	}
	for _, m := range b.items {
		m.sendAlone = true
	}
	s.requeue()
	return nil
}

// handleOwnRowConflict processes a conflict on the committer's own row. The token in the row shows who wrote it last.
func (s *State) handleOwnRowConflict(row provider.Row) []Completion {
	b := s.inFlight
	s.consecutiveFailures = 0
	s.rowBucket.refund(float64(b.rows))
	s.ownVersion = conditionVersion(row)
	token := string(row.Value())
	if token == b.token {
		return s.applied(row.Version())
	}
	if b.outcomeUnknown && (b.fenceToken == "" || token != b.fenceToken) {
		// Another committer has written the row, so the row doesn't show whether an attempt was applied before.
		return s.completeBatch(provider.NewOutcomeUnknown("another committer uses the same name"))
	}
	s.requeue()
	return nil
}

func (s *State) applied(version uint64) []Completion {
	return s.completeBatch(provider.NewCommitted(version))
}

// completeBatch ends the batch with the same outcome for all of its items.
func (s *State) completeBatch(o provider.CommitOutcome) []Completion {
	done := make([]Completion, 0, len(s.inFlight.items))
	for _, m := range s.inFlight.items {
		s.releaseKeys(m)
		if !m.completed {
			done = append(done, Completion{id: m.id, outcome: o})
		}
	}
	s.inFlight = nil
	return done
}

// requeue ends a batch that wasn't applied and never will be, and puts its items back at the head of the queues.
func (s *State) requeue() {
	items := s.inFlight.items
	s.inFlight = nil
	var urgent, normal []*item
	for _, m := range items {
		switch {
		case m.completed:
			s.releaseKeys(m)
		case m.urgent:
			urgent = append(urgent, m)
			s.queuedRows += m.rows
		default:
			normal = append(normal, m)
			s.queuedRows += m.rows
		}
	}
	s.urgent = append(urgent, s.urgent...)
	s.normal = append(normal, s.normal...)
}

func (s *State) enqueue(m *item) {
	s.queuedRows += m.rows
	if m.urgent {
		s.urgent = append(s.urgent, m)
		return
	}
	s.normal = append(s.normal, m)
}

// releaseKeys removes an item from the queue of each of its keys.
func (s *State) releaseKeys(m *item) {
	for _, k := range m.keys {
		ids := s.pendingByKey[k]
		for i, id := range ids {
			if id == m.id {
				ids = append(ids[:i], ids[i+1:]...)
				break
			}
		}
		if len(ids) == 0 {
			delete(s.pendingByKey, k)
			continue
		}
		s.pendingByKey[k] = ids
	}
}

// backOff delays the next attempt by a random time between half and all of a bound that doubles with each consecutive
// failure. The jitter keeps committers from returning to a recovered table all at once.
func (s *State) backOff(now time.Time) {
	bound := min(maxBackoff, minBackoff<<min(s.consecutiveFailures, 16))
	s.consecutiveFailures++
	s.retryAt = now.Add(bound/2 + time.Duration(s.random.Int64N(int64(bound/2)+1)))
}
