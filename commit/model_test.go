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

// model is a table that counts, by rows named mark/<id>, how often each submitted transaction was applied.
type model struct {
	rows    map[string]provider.Row
	version uint64
	// unguarded ignores conditions on commit/ rows.
	unguarded bool
	// reversed makes conflicts name the last failed condition in key order instead of the first.
	reversed bool
	applied  map[uint64]int
	order    map[string][]uint64
}

func newModel() *model {
	return &model{rows: map[string]provider.Row{}, applied: map[uint64]int{}, order: map[string][]uint64{}}
}

func (m *model) commit(t provider.Transaction) provider.CommitOutcome {
	conditions := append([]provider.Condition(nil), t.Conditions()...)
	// The interface doesn't say which of several failed conditions a conflict names.
	sort.Slice(conditions, func(i, j int) bool { return (conditions[i].Key() < conditions[j].Key()) != m.reversed })
	for _, c := range conditions {
		if m.unguarded && strings.HasPrefix(c.Key(), "commit/") {
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
			m.applied[id]++
			m.order[string(w.Value())] = append(m.order[string(w.Value())], id)
		}
	}
	return provider.NewCommitted(m.version)
}

const simRate, simRowRate, simMaxRows = 20, 60, 12

type write struct {
	at   time.Time
	rows int
}

// simulation runs a State against a model table. All choices come from pick, which returns a number below n.
type simulation struct {
	pick   func(n int) int
	table  *model
	state  *commit.State
	now    time.Time
	outage bool
	// strangers lets another process write the committer's own row, as one of the same name would.
	strangers bool
	sent      *provider.Transaction
	sentAt    time.Time
	delayed   []provider.Transaction
	told      map[uint64]provider.CommitOutcome
	deadlines map[uint64]time.Time
	items     map[uint64]provider.Transaction
	writes    []write
	tokens    int
	fault     string
}

func newSimulation(pick func(n int) int) *simulation {
	now := time.Unix(1000, 0)
	return &simulation{
		pick: pick, table: newModel(), now: now,
		state: commit.NewState("vm", commit.NewLimits(simMaxRows, simRate, simRowRate), rand.New(rand.NewPCG(1, 2)), now),
		told:  map[uint64]provider.CommitOutcome{}, items: map[uint64]provider.Transaction{},
		deadlines: map[uint64]time.Time{},
	}
}

func (s *simulation) run(steps int) string {
	s.table.reversed = s.pick(2) == 1
	s.strangers = s.pick(3) == 0
	for i := 0; i < steps && s.fault == ""; i++ {
		switch s.pick(9) {
		case 0, 1:
			s.submit()
		case 2:
			s.now = s.now.Add(time.Duration(s.pick(400)) * time.Millisecond)
		case 3:
			s.complete(s.state.Expire(s.now))
		case 4:
			s.deliver()
		case 5:
			s.outage = s.pick(4) == 0
		case 6:
			k := fmt.Sprintf("k%d", s.pick(4))
			if s.strangers && s.pick(3) == 0 {
				k = "commit/vm"
			}
			s.table.commit(provider.NewTransaction(nil, []provider.Write{provider.NewPut(k, nil)}))
		default:
			s.exchange()
		}
	}
	s.outage = false
	for i := 0; i < 2000 && s.state.Pending() > 0 && s.fault == ""; i++ {
		s.now = s.now.Add(100 * time.Millisecond)
		s.send()
		if s.sent != nil {
			s.reply(0)
		}
	}
	for len(s.delayed) > 0 {
		s.deliver()
	}
	return s.check()
}

// submit adds a transaction on one key: blind, creating, conditional on the current version, or deleting.
func (s *simulation) submit() {
	id := uint64(len(s.items) + 1)
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
	s.items[id] = t
	if got := s.state.Add(t, options...); got != id {
		s.fault = "ids aren't consecutive"
	}
}

func (s *simulation) exchange() {
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
			if n, _ := fmt.Sscanf(w.Key(), "mark/%d", &id); n == 1 && s.told[id] != nil {
				s.fault = fmt.Sprintf("%d is sent after its submitter was answered", id)
			}
		}
	}
}

// reply ends the exchange with one of its fates: whole, reply lost, delayed, lost, refused.
func (s *simulation) reply(fate int) {
	t := *s.sent
	s.sent = nil
	if s.outage {
		fate = 3 + fate%3
	}
	var o provider.CommitOutcome
	switch fate {
	case 0, 1:
		o = s.apply(t)
	case 2:
		s.apply(t)
		o = provider.NewOutcomeUnknown("reply lost")
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
		s.writes = append(s.writes, write{at: s.sentAt, rows: len(t.Writes())})
	}
	return o
}

func (s *simulation) deliver() {
	if len(s.delayed) == 0 {
		return
	}
	i := s.pick(len(s.delayed))
	s.table.commit(s.delayed[i])
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
}

func (s *simulation) complete(done []commit.Completion) {
	for _, d := range done {
		if s.told[d.ID()] != nil {
			s.fault = fmt.Sprintf("%d is completed twice", d.ID())
		}
		s.told[d.ID()] = d.Outcome()
		switch o := d.Outcome().(type) {
		case provider.Conflict:
			s.checkConflict(d.ID(), o)
		case provider.Unavailable, provider.OutcomeUnknown:
			_, unknown := o.(provider.OutcomeUnknown)
			if at, ok := s.deadlines[d.ID()]; (!ok || s.now.Before(at)) && (!unknown || !s.strangers) {
				s.fault = fmt.Sprintf("%d was given up before its deadline", d.ID())
			}
		}
	}
}

func (s *simulation) checkConflict(id uint64, o provider.Conflict) {
	for _, c := range s.items[id].Conditions() {
		if c.Key() == o.Row().Key() && c.Version() != o.Row().Version() {
			return
		}
	}
	s.fault = fmt.Sprintf("%d got the conflict of another transaction", id)
}

func (s *simulation) check() string {
	if s.fault != "" {
		return s.fault
	}
	for id := range s.items {
		n := s.table.applied[id]
		if n > 1 {
			return fmt.Sprintf("double application: %d", id)
		}
		switch s.told[id].(type) {
		case provider.Committed:
			if n != 1 {
				return fmt.Sprintf("%d was told Committed and wasn't applied", id)
			}
		case provider.Conflict, provider.Unavailable:
			if n != 0 {
				return fmt.Sprintf("%d was told that it wasn't applied and was", id)
			}
		case nil:
			return fmt.Sprintf("%d got no outcome", id)
		}
	}
	for k, ids := range s.table.order {
		if !sort.SliceIsSorted(ids, func(i, j int) bool { return ids[i] < ids[j] }) {
			return fmt.Sprintf("order on %s: %v", k, ids)
		}
	}
	return s.checkRate()
}

// checkRate checks every interval between the sending of two applied transactions against the limits and their bursts.
func (s *simulation) checkRate() string {
	for i := range s.writes {
		rows := 0
		for j := i; j < len(s.writes); j++ {
			rows += s.writes[j].rows
			d := s.writes[j].at.Sub(s.writes[i].at).Seconds()
			if float64(rows) > simRowRate*(d+0.5)+3 {
				return fmt.Sprintf("%d rows in %.1f s", rows, d)
			}
			if float64(j-i+1) > simRate*d+1.001 {
				return fmt.Sprintf("%d transactions in %.3f s", j-i+1, d)
			}
		}
	}
	return ""
}
