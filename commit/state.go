package commit

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// State decides what a committer sends and what the outcomes mean. It is a deterministic function of its calls, and
// isn't safe for concurrent use.
//
// Transactions that touch a common key are applied in the order in which they were added, also if the later one is
// urgent, and are never packed together.
type State struct {
	ownKey  string
	version uint64
	limits  Limits
	random  *rand.Rand

	last       uint64
	urgent     []*item
	normal     []*item
	queuedRows int
	waiting    map[string][]uint64
	flight     *flight

	transactions bucket
	rows         bucket
	failures     int
	notBefore    time.Time
}

// NewState returns the state of the committer of an entry VM. Random is the source of back-off jitter. The version of
// the committer's own row is learned from the first conflict.
func NewState(name string, limits Limits, random *rand.Rand, now time.Time) *State {
	s := &State{ownKey: ownRowPrefix + name, random: random, waiting: make(map[string][]uint64)}
	s.SetLimits(limits, now)
	s.transactions.tokens = s.transactions.capacity
	s.rows.tokens = s.rows.capacity
	return s
}

// SetLimits changes the limits. Tokens gathered so far are kept.
func (s *State) SetLimits(limits Limits, now time.Time) {
	s.transactions.fill(now)
	s.rows.fill(now)
	s.limits = limits
	transactions, rows := s.transactions.tokens, s.rows.tokens
	s.transactions = newBucket(float64(limits.rate), 1, now)
	s.rows = newBucket(limits.rowRate, max(2, limits.rowRate*rowBurst.Seconds()), now)
	s.transactions.tokens = min(transactions, s.transactions.capacity)
	s.rows.tokens = min(rows, s.rows.capacity)
}

// Add queues a transaction and returns the number that its completion will have. The transaction must not touch the
// committer's own row.
func (s *State) Add(t provider.Transaction, options ...Option) uint64 {
	s.last++
	m := newItem(s.last, t, options)
	for _, k := range m.keys {
		if k == s.ownKey {
			panic("a transaction touches the committer's own row " + k)
		}
		s.waiting[k] = append(s.waiting[k], m.id)
	}
	s.queue(m)
	return m.id
}

// Pending returns the number of transactions that aren't completed.
func (s *State) Pending() int {
	n := len(s.urgent) + len(s.normal)
	if s.flight == nil {
		return n
	}
	return n + len(s.flight.items)
}

// Next returns what to do now. Token must be new and random after each Send.
func (s *State) Next(now time.Time, token string) Step {
	s.transactions.fill(now)
	s.rows.fill(now)
	if s.flight != nil && s.flight.sending {
		return Idle{}
	}
	if s.flight == nil && len(s.urgent)+len(s.normal) == 0 {
		return Idle{}
	}
	if at := s.earliest(now); at.After(now) {
		return Wait{until: at}
	}

	if s.flight == nil {
		s.flight = newFlight(s.pack(), s.ownKey, s.version, token)
	}
	t := s.flight.next(s.ownKey, s.version, token)
	s.flight.sending = true
	s.transactions.take(1)
	s.rows.take(float64(s.flight.rows))
	return Send{transaction: t}
}

// Handle takes the outcome of the transaction that was sent last, and returns the completions that follow from it.
func (s *State) Handle(outcome provider.CommitOutcome, now time.Time) []Completion {
	s.flight.sending = false
	switch o := outcome.(type) {
	case provider.Committed:
		s.failures = 0
		s.version = o.Version()
		if s.flight.fence != "" {
			s.requeue()
			return nil
		}
		return s.applied(o.Version())
	case provider.Conflict:
		return s.conflict(o, now)
	case provider.Unavailable:
		s.rows.putBack(float64(s.flight.rows))
		s.backOff(now)
		if !s.flight.doubt {
			s.requeue()
		}
		return nil
	case provider.OutcomeUnknown:
		s.flight.doubt = true
		s.backOff(now)
		return nil
	default:
		panic("unknown type of commit outcome")
	}
}

// Expire completes the transactions whose deadline has passed: with Unavailable if they certainly weren't applied and
// won't be, else with Unknown.
func (s *State) Expire(now time.Time) []Completion {
	var done []Completion
	if s.flight != nil {
		for _, m := range s.flight.items {
			if !m.answered && m.expired(now) {
				m.answered = true
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
			s.forget(m)
			done = append(done, Completion{id: m.id, outcome: provider.NewUnavailable("the deadline passed before the commit")})
		}
		clear(items[len(kept):])
		return kept
	}
	s.urgent = expire(s.urgent)
	s.normal = expire(s.normal)
	return done
}

// Stop completes all transactions: with Unknown if they are under way, else with Unavailable. The state can't be used
// afterwards.
func (s *State) Stop() []Completion {
	var done []Completion
	if s.flight != nil {
		done = s.complete(provider.NewOutcomeUnknown("the committer stopped during the commit"))
	}
	for _, q := range [][]*item{s.urgent, s.normal} {
		for _, m := range q {
			done = append(done, Completion{id: m.id, outcome: provider.NewUnavailable("the committer stopped")})
		}
	}
	s.urgent, s.normal = nil, nil
	return done
}

// earliest returns when the next transaction may be sent.
func (s *State) earliest(now time.Time) time.Time {
	at := s.transactions.ready(1, now)
	if s.notBefore.After(at) {
		at = s.notBefore
	}
	rows := 1.0
	if s.flight == nil {
		batch := max(2, s.limits.rowRate*batchInterval.Seconds())
		rows = min(batch, float64(min(s.queuedRows, s.limits.maxRows)+1))
	}
	if r := s.rows.ready(rows, now); r.After(at) {
		return r
	}
	return at
}

// pack removes the items of the next transaction from the queues: the urgent ones first, as many as the limits allow,
// at least one.
func (s *State) pack() []*item {
	budget := min(s.limits.maxRows, int(s.rows.tokens)-1)
	var packed []*item
	full := false
	take := func(items []*item) []*item {
		kept := items[:0]
		for i, m := range items {
			if full {
				kept = append(kept, items[i:]...)
				break
			}
			if !s.first(m) || (m.alone && len(packed) > 0) {
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
			full = m.alone || budget <= 0
		}
		clear(items[len(kept):])
		return kept
	}
	s.urgent = take(s.urgent)
	s.normal = take(s.normal)
	return packed
}

// first reports whether nothing that was added before the item waits for one of its keys.
func (s *State) first(m *item) bool {
	for _, k := range m.keys {
		if s.waiting[k][0] != m.id {
			return false
		}
	}
	return true
}

func (s *State) conflict(o provider.Conflict, now time.Time) []Completion {
	f := s.flight
	if o.Row().Key() == s.ownKey {
		return s.ownConflict(o.Row())
	}
	if f.fence != "" {
		// The fence has no condition on this row, so the outcome says nothing about it.
		s.backOff(now)
		return nil
	}
	s.failures = 0
	s.transactions.putBack(1)
	s.rows.putBack(float64(f.rows))
	if f.doubt {
		// A delayed attempt could still be applied, if the row changes back to absent.
		f.needsFence = true
		return nil
	}

	var done []Completion
	var rest []*item
	for _, m := range f.items {
		if !m.conflicts(o.Row()) && len(f.items) > 1 {
			rest = append(rest, m)
			continue
		}
		s.forget(m)
		if !m.answered {
			done = append(done, Completion{id: m.id, outcome: o})
		}
	}
	if len(rest) == len(f.items) {
		for _, m := range rest {
			m.alone = true
		}
	}
	f.items = rest
	s.requeue()
	return done
}

// ownConflict handles a conflict on the committer's own row, whose value shows which transaction wrote it.
func (s *State) ownConflict(row provider.Row) []Completion {
	f := s.flight
	s.failures = 0
	s.rows.putBack(float64(f.rows))
	s.version = liveVersion(row)
	token := string(row.Value())
	if token == f.token {
		return s.applied(row.Version())
	}
	if f.doubt && (f.fence == "" || token != f.fence) {
		// A stranger has written the row, so it doesn't show whether an attempt was applied before.
		return s.complete(provider.NewOutcomeUnknown("another committer uses the same name"))
	}
	s.requeue()
	return nil
}

func (s *State) applied(version uint64) []Completion {
	return s.complete(provider.NewCommitted(version))
}

// complete ends the flight with one outcome for all of its items.
func (s *State) complete(o provider.CommitOutcome) []Completion {
	done := make([]Completion, 0, len(s.flight.items))
	for _, m := range s.flight.items {
		s.forget(m)
		if !m.answered {
			done = append(done, Completion{id: m.id, outcome: o})
		}
	}
	s.flight = nil
	return done
}

// requeue ends a flight that certainly wasn't applied and won't be.
func (s *State) requeue() {
	items := s.flight.items
	s.flight = nil
	var urgent, normal []*item
	for _, m := range items {
		switch {
		case m.answered:
			s.forget(m)
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

func (s *State) queue(m *item) {
	s.queuedRows += m.rows
	if m.urgent {
		s.urgent = append(s.urgent, m)
		return
	}
	s.normal = append(s.normal, m)
}

// forget removes an item from the queues of its keys.
func (s *State) forget(m *item) {
	for _, k := range m.keys {
		ids := s.waiting[k]
		for i, id := range ids {
			if id == m.id {
				ids = append(ids[:i], ids[i+1:]...)
				break
			}
		}
		if len(ids) == 0 {
			delete(s.waiting, k)
			continue
		}
		s.waiting[k] = ids
	}
}

// backOff delays the next attempt by a random time between half and the whole of a bound that doubles with each
// failure in a row, so that committers don't return to a recovered table all at once.
func (s *State) backOff(now time.Time) {
	bound := min(maxBackoff, minBackoff<<min(s.failures, 16))
	s.failures++
	s.notBefore = now.Add(bound/2 + time.Duration(s.random.Int64N(int64(bound/2)+1)))
}
