package commit_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/pistachiolead/pistachiolead/commit"
	"github.com/pistachiolead/pistachiolead/provider"
)

// modelTable is a table in memory. It counts how often each submitted transaction was applied, by its row mark/<id>,
// and records the order of applications by key.
type modelTable struct {
	rows    map[string]provider.Row
	version uint64
	// ignoreOwnRow makes the table ignore conditions on commit/ rows.
	ignoreOwnRow bool
	// lastConflictFirst makes a conflict name the last failed condition in key order instead of the first.
	lastConflictFirst bool
	applications      map[uint64]int
	applicationOrder  map[string][]uint64
}

func newModelTable() *modelTable {
	return &modelTable{
		rows: map[string]provider.Row{}, applications: map[uint64]int{}, applicationOrder: map[string][]uint64{},
	}
}

func (m *modelTable) commit(t provider.Transaction) provider.CommitOutcome {
	conditions := append([]provider.Condition(nil), t.Conditions()...)
	// provider.Table doesn't specify which of several failed conditions a conflict names.
	sort.Slice(conditions, func(i, j int) bool {
		return (conditions[i].Key() < conditions[j].Key()) != m.lastConflictFirst
	})
	for _, c := range conditions {
		if m.ignoreOwnRow && strings.HasPrefix(c.Key(), "commit/") {
			continue
		}
		if r := m.rows[c.Key()]; r.Version() != c.Version() {
			if r.Version() == 0 {
				r = provider.NewRow(c.Key(), nil, 0)
			}
			return provider.NewConflict(r)
		}
	}
	m.version++
	for _, w := range t.Writes() {
		if w.Delete() {
			delete(m.rows, w.Key())
			continue
		}
		m.rows[w.Key()] = provider.NewRow(w.Key(), w.Value(), m.version)
		var id uint64
		if n, _ := fmt.Sscanf(w.Key(), "mark/%d", &id); n == 1 {
			m.applications[id]++
			m.applicationOrder[string(w.Value())] = append(m.applicationOrder[string(w.Value())], id)
		}
	}
	return provider.NewCommitted(m.version)
}

// Limits of the simulated committer: transactions per second, rows per second, and rows in a packed transaction.
const simRate, simRowRate, simMaxRows = 20, 60, 12

type appliedWrite struct {
	at   time.Time
	rows int
}

// simulation runs a State against a modelTable. Pick makes all random choices: it returns a number from 0 to n-1.
type simulation struct {
	pick   func(n int) int
	table  *modelTable
	state  *commit.State
	now    time.Time
	outage bool
	// otherCommitter lets another process of the same name write the committer's own row.
	otherCommitter bool
	sent           *provider.Transaction
	sentAt         time.Time
	delayed        []provider.Transaction
	outcomes       map[uint64]provider.CommitOutcome
	deadlines      map[uint64]time.Time
	submitted      map[uint64]provider.Transaction
	writes         []appliedWrite
	tokens         int
	violation      string
}

func newSimulation(pick func(n int) int) *simulation {
	now := time.Unix(1000, 0)
	return &simulation{
		pick: pick, table: newModelTable(), now: now,
		state:    commit.NewState("vm", commit.NewLimits(simMaxRows, simRate, simRowRate), rand.New(rand.NewPCG(1, 2)), now),
		outcomes: map[uint64]provider.CommitOutcome{}, submitted: map[uint64]provider.Transaction{},
		deadlines: map[uint64]time.Time{},
	}
}

func (s *simulation) run(steps int) string {
	s.table.lastConflictFirst = s.pick(2) == 1
	s.otherCommitter = s.pick(3) == 0
	for i := 0; i < steps && s.violation == ""; i++ {
		switch s.pick(9) {
		case 0, 1:
			s.submit()
		case 2:
			s.now = s.now.Add(time.Duration(s.pick(400)) * time.Millisecond)
		case 3:
			s.complete(s.state.Expire(s.now))
		case 4:
			s.deliverDelayed()
		case 5:
			s.outage = s.pick(4) == 0
		case 6:
			k := fmt.Sprintf("k%d", s.pick(4))
			if s.otherCommitter && s.pick(3) == 0 {
				k = "commit/vm"
			}
			s.table.commit(provider.NewTransaction(nil, []provider.Write{provider.NewPut(k, nil)}))
		default:
			s.sendOrReply()
		}
	}
	s.outage = false
	for i := 0; i < 2000 && s.state.Pending() > 0 && s.violation == ""; i++ {
		s.now = s.now.Add(100 * time.Millisecond)
		s.send()
		if s.sent != nil {
			s.reply(0)
		}
	}
	for len(s.delayed) > 0 {
		s.deliverDelayed()
	}
	return s.check()
}

// submit adds a transaction on one key: unconditional, on a missing key, on the key's current version, or a deletion.
func (s *simulation) submit() {
	id := uint64(len(s.submitted) + 1)
	k := fmt.Sprintf("k%d", s.pick(4))
	writes := []provider.Write{provider.NewPut(fmt.Sprintf("mark/%d", id), []byte(k)), provider.NewPut(k, nil)}
	var conditions []provider.Condition
	switch s.pick(4) {
	case 0:
		conditions = append(conditions, provider.NewCondition(k, 0))
	case 1:
		conditions = append(conditions, provider.NewCondition(k, s.table.rows[k].Version()))
	case 2:
		writes[1] = provider.NewDelete(k)
	}
	t := provider.NewTransaction(conditions, writes)
	var options []commit.Option
	if s.pick(3) == 0 {
		options = append(options, commit.Urgent{})
	}
	if s.pick(2) == 0 {
		s.deadlines[id] = s.now.Add(time.Duration(s.pick(2000)) * time.Millisecond)
		options = append(options, commit.NewDeadline(s.deadlines[id]))
	}
	s.submitted[id] = t
	if got := s.state.Add(t, options...); got != id {
		s.violation = "ids of added transactions aren't consecutive"
	}
}

func (s *simulation) sendOrReply() {
	if s.sent == nil {
		s.send()
		return
	}
	s.reply(s.pick(6))
}

func (s *simulation) send() {
	s.tokens++
	if step, ok := s.state.Next(s.now, fmt.Sprint("token", s.tokens)).(commit.Send); ok {
		t := step.Transaction()
		s.sent, s.sentAt = &t, s.now
		for _, w := range t.Writes() {
			var id uint64
			if n, _ := fmt.Sscanf(w.Key(), "mark/%d", &id); n == 1 && s.outcomes[id] != nil {
				s.violation = fmt.Sprintf("transaction %d is sent after it was completed", id)
			}
		}
	}
}

// reply gives the State the outcome of the transaction that was sent last. The kind is 0 or 1 for applied, 2 for
// applied with its response lost, 3 for delayed, 4 for lost, 5 for refused.
func (s *simulation) reply(kind int) {
	t := *s.sent
	s.sent = nil
	if s.outage {
		kind = 3 + kind%3
	}
	var o provider.CommitOutcome
	switch kind {
	case 0, 1:
		o = s.apply(t)
	case 2:
		s.apply(t)
		o = provider.NewOutcomeUnknown("response lost")
	case 3:
		s.delayed = append(s.delayed, t)
		o = provider.NewOutcomeUnknown("delayed")
	case 4:
		o = provider.NewOutcomeUnknown("lost")
	default:
		o = provider.NewUnavailable("down")
	}
	s.complete(s.state.Handle(o, s.now))
}

func (s *simulation) apply(t provider.Transaction) provider.CommitOutcome {
	o := s.table.commit(t)
	if _, ok := o.(provider.Committed); ok {
		s.writes = append(s.writes, appliedWrite{at: s.sentAt, rows: len(t.Writes())})
	}
	return o
}

func (s *simulation) deliverDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.pick(len(s.delayed))
	s.table.commit(s.delayed[i])
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
}

func (s *simulation) complete(done []commit.Completion) {
	for _, d := range done {
		if s.outcomes[d.ID()] != nil {
			s.violation = fmt.Sprintf("transaction %d is completed twice", d.ID())
		}
		s.outcomes[d.ID()] = d.Outcome()
		switch o := d.Outcome().(type) {
		case provider.Conflict:
			s.checkConflict(d.ID(), o)
		case provider.Unavailable, provider.OutcomeUnknown:
			_, unknown := o.(provider.OutcomeUnknown)
			if at, ok := s.deadlines[d.ID()]; (!ok || s.now.Before(at)) && (!unknown || !s.otherCommitter) {
				s.violation = fmt.Sprintf(
					"transaction %d is completed as Unavailable or OutcomeUnknown before its deadline", d.ID())
			}
		}
	}
}

func (s *simulation) checkConflict(id uint64, o provider.Conflict) {
	for _, c := range s.submitted[id].Conditions() {
		if c.Key() == o.Row().Key() && c.Version() != o.Row().Version() {
			return
		}
	}
	s.violation = fmt.Sprintf("transaction %d got the conflict of another one", id)
}

func (s *simulation) check() string {
	if s.violation != "" {
		return s.violation
	}
	for id := range s.submitted {
		n := s.table.applications[id]
		if n > 1 {
			return fmt.Sprintf("double application: transaction %d", id)
		}
		switch s.outcomes[id].(type) {
		case provider.Committed:
			if n != 1 {
				return fmt.Sprintf("transaction %d has the outcome Committed and wasn't applied", id)
			}
		case provider.Conflict, provider.Unavailable:
			if n != 0 {
				return fmt.Sprintf("transaction %d has the outcome Conflict or Unavailable and was applied", id)
			}
		case nil:
			return fmt.Sprintf("transaction %d has no outcome", id)
		}
	}
	for k, ids := range s.table.applicationOrder {
		if !sort.SliceIsSorted(ids, func(i, j int) bool { return ids[i] < ids[j] }) {
			return fmt.Sprintf("wrong order of transactions on key %s: %v", k, ids)
		}
	}
	return s.checkRate()
}

// checkRate checks that the applied transactions keep the limits, bursts included, in each interval between two of
// them.
func (s *simulation) checkRate() string {
	for i := range s.writes {
		rows := 0
		for j := i; j < len(s.writes); j++ {
			rows += s.writes[j].rows
			d := s.writes[j].at.Sub(s.writes[i].at).Seconds()
			if float64(rows) > simRowRate*(d+0.5)+3 {
				return fmt.Sprintf("row rate exceeded: %d rows in %.1f s", rows, d)
			}
			if float64(j-i+1) > simRate*d+1.001 {
				return fmt.Sprintf("transaction rate exceeded: %d transactions in %.3f s", j-i+1, d)
			}
		}
	}
	return ""
}
