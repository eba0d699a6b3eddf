package fleet

import (
	"encoding/json"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/provider"
	"github.com/pistachiolead/pistachiolead/workload"
)

// Keys of the rows that the controller writes.
const (
	ProgressPrefix = "progress/"
	WaitingPrefix  = "waiting/"
	WavesPrefix    = "waves/"
)

// commit is a transaction under way.
type commit struct {
	sent    time.Time
	renews  bool
	jobs    []*job
	intents []*attempt
	waves   []storedWaveOf
	ends    map[string]lastEnd // the last end that is stored with it, by server
	release bool
	term    Term // that it writes, if it renews

	vmOrders []vmOrder
}

// lastEnd is the number of an end. Numbers start anew with each life of a server.
type lastEnd struct {
	incarnation int64
	number      int64
}

// flush commits what changed, one transaction at a time.
func (s *State) flush(now time.Time) {
	if s.commit != nil || s.released {
		return
	}
	c := &commit{sent: now, ends: make(map[string]lastEnd)}
	writes, all := s.jobWrites(c)
	writes = append(writes, s.waveWrites(c)...)
	writes = append(writes, s.statusWrites(now)...)
	writes = append(writes, s.vmOrdersWrite(c, now)...)
	if all {
		for _, v := range s.allServers() {
			if v.seen > v.noted {
				c.ends[v.id] = lastEnd{incarnation: v.incarnation, number: v.seen}
			}
		}
	}
	c.release = s.stopping && all && !s.ordersOpen() && len(s.vmOrders) == 0
	c.renews = c.release || now.Sub(s.renewedAt) >= renewInterval
	if len(writes) == 0 && !c.renews {
		s.noteEnds(c.ends, now)
		return
	}
	if c.renews {
		term := s.Term
		term.Renewals++
		term.DurationMS = s.termDuration().Milliseconds()
		term.LeaseMS = s.leaseBound(now).Milliseconds()
		if term.Duration() > ShortTerm {
			term.LeaseMS = LongLease.Milliseconds()
		}
		c.term = term
		if c.release {
			term.Holder = ""
		}
		writes = append(writes, provider.NewPut(TermKey, term.Encode()))
	}
	s.commit = c
	s.counters.commits.Inc(1)
	conditions := []provider.Condition{provider.NewCondition(TermKey, s.Term.Version())}
	s.emit(Commit{Transaction: provider.NewTransaction(conditions, writes)})
}

// termDuration returns how long the next term is to last.
func (s *State) termDuration() time.Duration {
	if s.commitTook >= slowRenewal {
		return LongTerm
	}
	return ShortTerm
}

// ordersOpen reports whether an order to start has no outcome yet.
func (s *State) ordersOpen() bool {
	for _, v := range s.allServers() {
		for _, a := range v.attempts {
			if a.inFlight {
				return true
			}
		}
	}
	return false
}

// urgency orders the rows of a commit that can't hold all, as happens while the store is slow: runs that wait for their
// intent to be stored go first, then ends that customers wait for. Lower goes first.
func (j *job) urgency() int {
	switch {
	case j.storing > 0:
		return 0
	case j.state.Final():
		return 1
	}
	return 2
}

func (s *State) jobWrites(c *commit) (writes []provider.Write, all bool) {
	if len(s.changed) == 0 {
		return nil, true
	}
	changed := make([]*job, 0, len(s.changed))
	for j := range s.changed {
		changed = append(changed, j)
	}
	sort.Slice(changed, func(a, b int) bool {
		if x, y := changed[a].urgency(), changed[b].urgency(); x != y {
			return x < y
		}
		return changed[a].spec.ID() < changed[b].spec.ID()
	})
	if len(changed) > maxRowsInCommit {
		changed = changed[:maxRowsInCommit]
	} else {
		all = true
	}
	for _, j := range changed {
		if j.state == workload.JobQueued && j.started {
			j.state = workload.JobRunning
		}
		if j.storing > 0 {
			c.intents = append(c.intents, j.intents()...)
		}
		writes = append(writes, provider.NewPut(ProgressPrefix+j.spec.ID(), j.progress().Encode()))
		j.changed = false
		delete(s.changed, j)
	}
	c.jobs = changed
	return writes, all
}

// statusWrites tell how many jobs of each queue wait.
func (s *State) statusWrites(now time.Time) []provider.Write {
	if now.Sub(s.statusAt) < statusInterval {
		return nil
	}
	s.statusAt = now
	waiting := make(map[string]int)
	total := 0
	for _, j := range s.jobs {
		if !j.started && !j.state.Final() {
			waiting[j.spec.Queue()]++
			total++
		}
	}
	s.counters.waiting.Update(float64(total))
	for queue := range s.statusKnown {
		waiting[queue] += 0
	}
	var writes []provider.Write
	for queue, n := range waiting {
		if known, stored := s.statusKnown[queue]; stored && known == n {
			continue
		}
		s.statusKnown[queue] = n
		data, err := json.Marshal(map[string]int{"jobs": n})
		if err != nil {
			panic(err) // a map of numbers
		}
		writes = append(writes, provider.NewPut(WaitingPrefix+queue, data))
	}
	return writes
}

// DecodeWaiting reads how many jobs of a queue wait.
func DecodeWaiting(row provider.Row) (int, error) {
	var w map[string]int
	err := json.Unmarshal(row.Value(), &w)
	return w["jobs"], err
}

func (s *State) committed(outcome provider.CommitOutcome, now time.Time) {
	c := s.commit
	s.commit = nil
	if c == nil {
		return
	}
	s.commitTook = now.Sub(c.sent)
	switch o := outcome.(type) {
	case provider.Committed:
		s.applied(c, o.Version(), now)
	case provider.Conflict:
		s.depose("term-row-changed")
	case provider.Unavailable:
		s.notApplied(c, o.Reason())
	case provider.Unknown:
		s.depose("commit-unknown: " + o.Reason())
	}
}

func (s *State) notApplied(c *commit, reason string) {
	klog.InfoS("Commit not applied", "reason", reason, "jobs", len(c.jobs))
	for _, j := range c.jobs {
		s.change(j)
	}
	for _, w := range c.waves {
		w.wave.changed = true
	}
	s.vmOrders = append(c.vmOrders, s.vmOrders...)
	s.statusKnown = make(map[string]int)
}

func (s *State) applied(c *commit, version uint64, now time.Time) {
	if c.renews {
		s.Term = c.term.WithVersion(version)
		s.renewedAt = c.sent
		s.termUntil = c.sent.Add(c.term.Duration())
	}
	if c.release {
		s.released = true
		s.depose("released")
		return
	}
	for _, a := range c.intents {
		a.task.job.storing--
		a.phase = ordered
		if a.stopWanted || !s.mayTake(a.server) {
			s.removeAttempt(a) // it was never ordered
			continue
		}
		s.sendStart(a, now)
	}
	for _, w := range c.waves {
		w.wave.storedComplete = w.complete
	}
	for _, o := range c.vmOrders {
		s.emit(o.effect)
	}
	s.noteEnds(c.ends, now)
	for _, j := range c.jobs {
		s.forget(j)
	}
}

// noteEnds lets servers forget ends that are stored.
func (s *State) noteEnds(ends map[string]lastEnd, now time.Time) {
	for id, last := range ends {
		v, known := s.servers[id]
		if known && last.incarnation == v.incarnation && last.number > v.noted {
			v.noted = last.number
			v.nextLook = earlier(v.nextLook, now.Add(lookPause))
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
