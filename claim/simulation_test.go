package claim_test

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/claim"
	"github.com/pistachiolead/pistachiolead/provider"
)

const requestID, servers = "sale-1", 2

// simulation runs the handling of one request at several entry VMs, with a table and backend servers whose messages
// are lost or delayed. All random choices come from pick, which returns a number in [0, n).
type simulation struct {
	pick    func(n int) int
	noClaim bool
	noClose bool

	row            provider.Row
	version        uint64
	delayedCommits []provider.Transaction
	servers        [servers]map[int]string
	startMessages  []startMessage
	arrivals       []*arrival
	// notRun has the attempts that were reported as not run to a caller, answered the number of answers to callers.
	notRun    []int
	answered  int
	violation string
}

// startMessage is a message in flight to a backend server. Its sender may have crashed when it arrives.
type startMessage struct {
	server, attempt int
	from            *arrival
}

// arrival is one copy of the request at an entry VM. Next is its next step, nil if it has ended or crashed.
type arrival struct {
	vm   string
	next func(a *arrival)
}

func newSimulation(pick func(n int) int) *simulation {
	s := &simulation{pick: pick}
	for i := range s.servers {
		s.servers[i] = map[int]string{}
	}
	return s
}

func (s *simulation) run(steps int) string {
	for i := 0; i < steps && s.violation == ""; i++ {
		switch s.pick(8) {
		case 0:
			s.arrivals = append(s.arrivals, &arrival{vm: fmt.Sprintf("vm%d", s.pick(3)), next: s.arrive})
		case 1:
			s.deliver()
		case 2:
			if len(s.delayedCommits) > 0 {
				s.apply(s.delayedCommits[0])
				s.delayedCommits = s.delayedCommits[1:]
			}
		default:
			s.runArrival()
		}
	}
	for len(s.startMessages) > 0 && s.violation == "" {
		s.deliver()
	}
	return s.check()
}

// runArrival runs the next step of a random arrival, or lets it crash.
func (s *simulation) runArrival() {
	if len(s.arrivals) == 0 {
		return
	}
	a := s.arrivals[s.pick(len(s.arrivals))]
	if a.next == nil {
		return
	}
	next := a.next
	a.next = nil
	if s.pick(12) != 0 {
		next(a)
	}
}

func (s *simulation) arrive(a *arrival) {
	if s.noClaim {
		s.send(a, s.pick(servers), 1)
		return
	}
	s.decide(a, s.row)
}

func (s *simulation) decide(a *arrival, row provider.Row) {
	d, err := claim.Decide(row, requestID, "team", "sale", claim.Hash(nil))
	if err != nil {
		s.violation = err.Error()
		return
	}
	server := s.pick(servers)
	name := fmt.Sprint(server)
	switch d := d.(type) {
	case claim.Unclaimed:
		t := claim.Create(claim.New(requestID, "team", "sale", a.vm, name, claim.Hash(nil), time.Time{}))
		a.next = func(a *arrival) { s.commit(a, t, func() { s.send(a, server, 1) }) }
	case claim.MayRetry:
		c, t := claim.Retry(d.Claim(), d.Version(), a.vm, name, time.Time{})
		a.next = func(a *arrival) { s.commit(a, t, func() { s.send(a, server, c.Attempt()) }) }
	case claim.InProgress:
		a.next = func(a *arrival) { s.resolveAttempt(a, d) }
	case claim.AlreadyDone:
		s.answered++
	case claim.Mismatch:
		s.violation = "a repetition of the same request is a mismatch"
	}
}

// resolveAttempt closes an attempt at its backend server. The response may be lost.
func (s *simulation) resolveAttempt(a *arrival, d claim.InProgress) {
	c := d.Claim()
	var server int
	_, _ = fmt.Sscan(d.Server(), &server)
	task := s.servers[server][c.Attempt()]
	if task == "" && !s.noClose {
		s.servers[server][c.Attempt()] = "closed"
	}
	switch {
	case s.pick(5) == 0:
	case task == "" || task == "closed":
		_, t := claim.Abandon(c, d.Version(), time.Time{})
		a.next = func(a *arrival) { s.commit(a, t, func() { s.notRun = append(s.notRun, c.Attempt()) }) }
	case task == "finished":
		_, t := claim.Finish(c, d.Version(), "", time.Time{})
		a.next = func(a *arrival) { s.commit(a, t, func() { s.answered++ }) }
	}
}

// commit commits a transaction. After an unknown outcome or a conflict the arrival reads the row again.
func (s *simulation) commit(a *arrival, t provider.Transaction, committed func()) {
	again := func(a *arrival) { s.decide(a, s.row) }
	switch s.pick(6) {
	case 0:
		a.next = again
		s.delayedCommits = append(s.delayedCommits, t)
	case 1:
		a.next = again
		s.apply(t)
	default:
		if !s.apply(t) {
			a.next = again
			return
		}
		committed()
	}
}

func (s *simulation) apply(t provider.Transaction) bool {
	if t.Conditions()[0].Version() != s.row.Version() {
		return false
	}
	s.version++
	s.row = provider.NewRow(t.Writes()[0].Key(), t.Writes()[0].Value(), s.version)
	return true
}

func (s *simulation) send(a *arrival, server, attempt int) {
	s.startMessages = append(s.startMessages, startMessage{server: server, attempt: attempt, from: a})
}

// deliver delivers a random start message to its backend server, which may start and finish the task.
func (s *simulation) deliver() {
	if len(s.startMessages) == 0 {
		return
	}
	i := s.pick(len(s.startMessages))
	m := s.startMessages[i]
	s.startMessages = append(s.startMessages[:i], s.startMessages[i+1:]...)
	switch s.servers[m.server][m.attempt] {
	case "closed":
		if s.pick(3) != 0 {
			s.notRun = append(s.notRun, m.attempt)
		}
		return
	case "":
		s.servers[m.server][m.attempt] = "running"
	}
	if s.pick(3) == 0 {
		return
	}
	s.servers[m.server][m.attempt] = "finished"
	if s.pick(3) == 0 {
		return
	}
	m.from.next = func(a *arrival) {
		s.answered++
		s.finishClaim(a, m.attempt)
	}
}

func (s *simulation) finishClaim(a *arrival, attempt int) {
	if s.noClaim || s.row.Version() == 0 {
		return
	}
	c, err := claim.Decode(s.row.Value())
	if err != nil || c.State() != claim.Claimed || c.Attempt() != attempt {
		return
	}
	_, t := claim.Finish(c, s.row.Version(), "", time.Time{})
	s.commit(a, t, func() {})
}

func (s *simulation) check() string {
	if s.violation != "" {
		return s.violation
	}
	started := 0
	for i := range s.servers {
		for attempt, task := range s.servers[i] {
			if task == "closed" {
				continue
			}
			started++
			for _, n := range s.notRun {
				if attempt <= n {
					return fmt.Sprintf("not run: attempt %d was reported as not run, but attempt %d started", n, attempt)
				}
			}
		}
	}
	if started > 1 {
		return fmt.Sprintf("double start: the request started %d times", started)
	}
	if started == 0 && s.answered > 0 {
		return "an answer without a start"
	}
	return ""
}
